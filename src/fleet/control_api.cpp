#include "control_api.h"

#include "error_reply.h"
#include "scope_timer.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

namespace fescue::fleet {

namespace {

constexpr int ok_status = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int service_unavailable = 503;
/** Below the second after which operators' clients try another instance. */
constexpr milliseconds proposal_timeout{900};
/** Memory of the maintenance waves, about 30,000 machines that await maintenance. */
constexpr std::size_t max_wave_bytes = 4U << 20U;
constexpr std::size_t bytes_per_wave_machine = 96;
constexpr std::size_t bytes_per_wave = 192;
/** Limits on the data centres that operators take out of service. */
constexpr std::size_t max_data_centres = 1000;
constexpr std::size_t max_data_centre_bytes = 1024;

std::size_t estimate_wave_bytes(const jobs::state& state)
{
    std::size_t bytes = 0;
    for (const auto& [id, wave] : state.waves) {
        bytes += bytes_per_wave + id.size();
        for (const auto& [machine, m] : wave.machines) {
            bytes += bytes_per_wave_machine + machine.size();
        }
    }
    return bytes;
}

std::size_t estimate_wave_bytes(const start_maintenance& m)
{
    std::size_t bytes = bytes_per_wave + m.id.size();
    for (const std::string& machine : m.machines) {
        bytes += bytes_per_wave_machine + machine.size();
    }
    return bytes;
}

wire::forwarded_reply make_reply(int status, std::string body)
{
    wire::forwarded_reply out;
    out.status = status;
    out.body = std::move(body);
    return out;
}

} // namespace

void control_api::handle_call(const wire::forwarded_call& in, const reply_function& reply)
{
    if (handle_repeated_document(in, reply)) {
        return;
    }
    auto request = parse(in);
    if (!ok(request)) {
        const error& why = error_of(request);
        context_.counters.count("control_calls_refused");
        const auto calls = refusals_.admit(in.path + ' ' + why.detail, context_.now());
        if (calls > 0) {
            log::info("control_call_refused", {{"method", in.method},
                                               {"path", in.path},
                                               {"kind", name_of(why.kind)},
                                               {"why", why.detail},
                                               {"calls", calls}});
        }
        reply(error_reply(why.kind == error_kind::not_found ? not_found : bad_request, why));
        return;
    }
    std::visit([&](auto& m) { handle(std::move(m), reply); }, value(request));
}

result<control_request> control_api::parse(const wire::forwarded_call& in) const
{
    const scope_timer timing{"parse_control_request"};
    return context_.server_protocol.parse_control_request(in.method, in.path, in.body);
}

void control_api::handle(const jobs::server_report& report, const reply_function& reply)
{
    if (!driver_.has_room_for(report)) {
        reply(error_reply(service_unavailable,
                          {error_kind::not_serving, "too many servers have reported"}));
        return;
    }
    if (driver_.on_report(report)) {
        // The other schedulers must know that a server is draining before that server gets the
        // reply to its report.
        broadcast_report_(report);
    }
    const http::endpoint& control_address = context_.settings.control;
    reply(make_reply(ok_status, context_.server_protocol.format_report_reply(fmt::format(
                                    "{}:{}", control_address.ip, control_address.port))));
}

void control_api::handle(const deregister_server& m, const reply_function& reply)
{
    driver_.on_shutdown_notice(m.id);
    reply(make_reply(ok_status, "{}"));
}

job_log::callback control_api::reply_with_outcome(const char* command_name,
                                                  const reply_function& reply)
{
    const mono_time proposed_at = context_.now();
    return [this, command_name, proposed_at, reply](const result<jobs::outcome>& outcome) {
        if (!ok(outcome)) {
            log::warning("order_in_doubt",
                         {{"order", command_name}, {"why", error_of(outcome).detail}});
            reply(error_reply(service_unavailable, error_of(outcome)));
            return;
        }
        context_.counters.observe(latency_kind::order_commit, context_.now() - proposed_at);
        log::info("order_applied", {{"order", command_name}, {"changed", value(outcome).changed}});
        reply(make_reply(ok_status, "{}"));
    };
}

std::optional<replication::log_position>
control_api::propose(jobs::command cmd, const char* command_name, const reply_function& reply)
{
    return context_.log.propose(std::move(cmd), proposal_timeout,
                                reply_with_outcome(command_name, reply));
}

void control_api::propose_once(const jobs::command& cmd, const char* command_name,
                               const reply_function& reply)
{
    context_.log.propose_once(cmd, proposal_timeout, reply_with_outcome(command_name, reply));
}

bool control_api::handle_repeated_document(const wire::forwarded_call& in,
                                           const reply_function& reply)
{
    if (in.body.empty() || !context_.server_protocol.is_document_put(in.method, in.path)) {
        return false;
    }
    const jobs::document& held = context_.state().doc;
    if (in.body == held.source) {
        log::info("document_put_again", {{"held", held.version}, {"pending", false}});
        reply(make_reply(ok_status, "{}"));
        return true;
    }
    for (unproposed_document& next : unproposed_) {
        if (in.body == next.doc.source) {
            log::info("document_put_again", {{"held", held.version}, {"pending", true}});
            next.replies.push_back(reply);
            return true;
        }
    }
    if (!last_proposed_ || in.body != last_proposed_->source) {
        return false;
    }
    const bool pending = context_.log.await(last_proposed_->at, proposal_timeout,
                                            reply_with_outcome("document", reply));
    if (pending) {
        log::info("document_put_again", {{"held", held.version}, {"pending", true}});
    }
    return pending;
}

void control_api::handle(put_document&& m, const reply_function& reply)
{
    log::info("document_put", {{"version", m.doc.version}, {"held", context_.state().doc.version}});
    if (m.doc.version <= context_.state().doc.version) {
        reply(make_reply(ok_status, "{}"));
        return;
    }
    propose_later(std::move(m.doc), reply);
}

void control_api::propose_later(jobs::document&& doc, const reply_function& reply)
{
    unproposed_.push_back({std::move(doc), {reply}});
    if (unproposed_.size() == 1) {
        propose_timer_ = context_.loop.after(milliseconds{0}, [this] { propose_next_document(); });
    }
}

void control_api::propose_next_document()
{
    unproposed_document next = std::move(unproposed_.front());
    unproposed_.pop_front();
    if (!unproposed_.empty()) {
        propose_timer_ = context_.loop.after(milliseconds{0}, [this] { propose_next_document(); });
    }
    const auto reply_to_all = [replies = std::move(next.replies)](wire::forwarded_reply&& r) {
        for (const reply_function& reply : replies) {
            reply(wire::forwarded_reply{r});
        }
    };
    if (!context_.log.replica().is_leader()) {
        reply_to_all(error_reply(service_unavailable,
                                 {error_kind::no_leader, "the leader changed meanwhile"}));
        return;
    }
    std::string source = next.doc.source;
    if (const auto at =
            propose(jobs::put_document{std::move(next.doc)}, "document", reply_to_all)) {
        last_proposed_ = {std::move(source), *at};
    }
}

void control_api::handle(const get_document& /*m*/, const reply_function& reply)
{
    const jobs::document& doc = context_.state().doc;
    if (doc.version == 0) {
        reply(error_reply(service_unavailable,
                          {error_kind::not_serving, "no configuration document has been set yet"}));
        return;
    }
    reply(make_reply(ok_status, doc.source));
}

void control_api::handle(const set_data_centre& m, const reply_function& reply)
{
    const auto& out_of_service = context_.state().out_of_service;
    if (!m.in_service && m.id.str().size() > max_data_centre_bytes) {
        reply(error_reply(bad_request,
                          {error_kind::bad_request, "the name of the data centre is too long"}));
        return;
    }
    if (!m.in_service && !out_of_service.contains(m.id) &&
        out_of_service.size() >= max_data_centres) {
        reply(error_reply(service_unavailable,
                          {error_kind::not_serving, "too many data centres are out of service"}));
        return;
    }
    log::info("data_centre_order", {{"data_centre", m.id.str()}, {"in_service", m.in_service}});
    propose_once(jobs::set_data_centre{m.id, m.in_service}, "data_centre", reply);
}

void control_api::handle(const start_maintenance& m, const reply_function& reply)
{
    log::info("upkeep_asked", {{"wave", m.id},
                               {"machines", m.machines.size()},
                               {"duration_ms", m.duration_ms},
                               {"most_at_once", m.max_concurrent}});
    const jobs::state& state = context_.state();
    if (!state.waves.contains(m.id) &&
        estimate_wave_bytes(state) + estimate_wave_bytes(m) > max_wave_bytes) {
        reply(error_reply(service_unavailable,
                          {error_kind::not_serving, "too many machines await maintenance"}));
        return;
    }
    propose_once(
        jobs::start_maintenance{m.id, m.machines, m.duration_ms, m.max_concurrent, wall_now()},
        "upkeep", reply);
}

void control_api::handle(const get_maintenance& m, const reply_function& reply)
{
    const auto wave = context_.state().waves.find(m.id);
    if (wave == context_.state().waves.end()) {
        reply(error_reply(not_found, {error_kind::not_found, "no such maintenance wave"}));
        return;
    }
    reply(make_reply(ok_status,
                     context_.server_protocol.format_maintenance_state(wave->second.is_done())));
}

} // namespace fescue::fleet
