#include "control_api.h"

#include "refusal.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

namespace fescue::fleet {

namespace {

constexpr int ok_status = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int unavailable = 503;
/** Operators try elsewhere after a second without an answer. */
constexpr milliseconds log_patience{900};

wire::forwarded_reply answer(int status, std::string body)
{
    wire::forwarded_reply out;
    out.status = status;
    out.body = std::move(body);
    return out;
}

} // namespace

void control_api::call(const wire::forwarded_call& in, const reply_function& reply)
{
    const auto read = shared_.wire.read_control(in.method, in.path, in.body);
    if (!ok(read)) {
        const error& why = error_of(read);
        log::info("control_call_refused", {{"method", in.method},
                                           {"path", in.path},
                                           {"kind", name_of(why.kind)},
                                           {"why", why.detail}});
        reply(refusal(why.kind == error_kind::not_found ? not_found : bad_request, why));
        return;
    }
    std::visit([&](const auto& m) { take(m, reply); }, value(read));
}

void control_api::take(const jobs::server_report& report, const reply_function& reply)
{
    if (driver_.heard(report)) {
        // Others must know that a server leaves before the server is told that we do.
        share_(report);
    }
    const http::endpoint& here = shared_.settings.control;
    reply(answer(ok_status,
                 shared_.wire.show_report_taken(fmt::format("{}:{}", here.ip, here.port))));
}

void control_api::take(const server_leaves& m, const reply_function& reply)
{
    driver_.left(m.id);
    reply(answer(ok_status, "{}"));
}

void control_api::order(jobs::command cmd, const char* what, const reply_function& reply)
{
    const mono_time since = shared_.now();
    shared_.log.propose(
        std::move(cmd), log_patience,
        [this, what, since, reply](const result<jobs::outcome>& outcome) {
            if (!ok(outcome)) {
                log::warning("order_in_doubt",
                             {{"order", what}, {"why", error_of(outcome).detail}});
                reply(refusal(unavailable, error_of(outcome)));
                return;
            }
            shared_.counters.observe(latency_kind::order_commit, shared_.now() - since);
            log::info("order_applied", {{"order", what}, {"changed", value(outcome).changed}});
            reply(answer(ok_status, "{}"));
        });
}

void control_api::take(const put_document& m, const reply_function& reply)
{
    log::info("document_put", {{"version", m.doc.version}, {"held", shared_.state().doc.version}});
    if (m.doc.version <= shared_.state().doc.version) {
        reply(answer(ok_status, "{}"));
        return;
    }
    order(jobs::put_document{m.doc}, "document", reply);
}

void control_api::take(const read_document& /*m*/, const reply_function& reply)
{
    const jobs::document& doc = shared_.state().doc;
    if (doc.version == 0) {
        reply(refusal(unavailable, {error_kind::not_serving, "there is no configuration yet"}));
        return;
    }
    reply(answer(ok_status, doc.source));
}

void control_api::take(const set_data_centre& m, const reply_function& reply)
{
    log::info("data_centre_order", {{"data_centre", m.id.str()}, {"in_service", m.in_service}});
    order(jobs::set_data_centre{m.id, m.in_service}, "data_centre", reply);
}

void control_api::take(const start_upkeep& m, const reply_function& reply)
{
    log::info("upkeep_asked", {{"wave", m.id},
                               {"machines", m.machines.size()},
                               {"duration_ms", m.duration_ms},
                               {"most_at_once", m.most_at_once}});
    order(jobs::start_upkeep{m.id, m.machines, m.duration_ms, m.most_at_once, wall_now()}, "upkeep",
          reply);
}

void control_api::take(const show_upkeep& m, const reply_function& reply)
{
    const auto wave = shared_.state().waves.find(m.id);
    if (wave == shared_.state().waves.end()) {
        reply(refusal(not_found, {error_kind::not_found, "there is no such wave"}));
        return;
    }
    reply(answer(ok_status, shared_.wire.show_upkeep_state(wave->second.is_done())));
}

} // namespace fescue::fleet
