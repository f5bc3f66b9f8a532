#include "caller_api.h"

#include "refusal.h"

#include "fescuestream/base/log.h"

#include <algorithm>

namespace fescue::fleet {

namespace {

constexpr int ok_status = 200;
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int not_allowed = 405;
constexpr int gone = 410;
constexpr int unavailable = 503;
constexpr int no_answer_in_time = 504;
/** How long the log is given to take a job; callers wait a few seconds. */
constexpr milliseconds log_patience{2000};

/** What sets a job's treatment apart, for the log. */
std::string kind_of(const jobs::job_spec& spec)
{
    std::string out;
    const auto add = [&](bool has, const char* word) {
        if (has) {
            out += out.empty() ? "" : "+";
            out += word;
        }
    };
    const auto any = [&](auto member) { return std::ranges::any_of(spec.steps, member); };
    add(spec.lasting(), "lasting");
    add(any([](const jobs::step_spec& s) { return s.gang; }), "gang");
    add(any([](const jobs::step_spec& s) { return s.filler; }), "filler");
    add(any([](const jobs::step_spec& s) { return s.tail_limit_ms > 0; }), "serving");
    add(any([](const jobs::step_spec& s) { return s.copies_may_race; }), "racing");
    add(any([](const jobs::step_spec& s) { return !s.data_rack.empty() || s.same_rack; }), "rack");
    add(any([](const jobs::step_spec& s) { return s.most_unavailable > 0; }), "guarded");
    add(spec.repeats.times > 0, "repeated");
    return out.empty() ? "plain" : out;
}

} // namespace

void caller_api::call(const wire::forwarded_call& in, const reply_function& reply)
{
    const jobs::document& doc = shared_.state().doc;
    if (doc.version == 0) {
        reply(refusal(unavailable, "not_serving", "there is no configuration yet"));
        return;
    }
    const jobs::queue* queue = doc.route(in.host, in.path);
    if (queue == nullptr) {
        log::info(
            "call_refused",
            {{"why", "no_queue"}, {"host", in.host}, {"path", in.path}, {"version", doc.version}});
        reply(refusal(not_found, "not_found", "there is no such queue"));
        return;
    }
    const team_id* owner = in.key.empty() ? nullptr : doc.owner_of(in.key);
    if (owner == nullptr && !queue->open) {
        log::info("call_refused",
                  {{"why", "bad_key"}, {"path", in.path}, {"version", doc.version}});
        reply(refusal(unauthorized, "bad_key", "the key is not known"));
        return;
    }
    const team_id account = owner == nullptr ? team_id{} : *owner;
    const std::string rest = in.path.substr(queue->path_prefix.size());
    if (in.method == "POST") {
        submit(in, *queue, account, rest, reply);
    } else if (in.method == "GET" && rest.empty()) {
        reply({0, ok_status, shared_.wire.show_waiting(waiting_in(queue->id)), 0});
    } else if (in.method == "GET") {
        show(account, *queue, rest, reply);
    } else if (in.method == "DELETE") {
        cancel(account, *queue, rest, reply);
    } else {
        reply(refusal(not_allowed, "bad_request", "the method is not known"));
    }
}

void caller_api::submit(const wire::forwarded_call& in, const jobs::queue& queue,
                        const team_id& account, const std::string& rest,
                        const reply_function& reply)
{
    const auto id = jobs::job_id::parse(rest);
    if (!id) {
        reply(refusal(bad_request, "bad_request", "a job's id is 16 hexadecimal digits"));
        return;
    }
    if (shared_.state().jobs.contains(*id)) {
        reply({0, ok_status, "{}", 0});
        return;
    }
    auto spec = shared_.wire.read_job(in.body);
    if (!ok(spec)) {
        log::info("job_refused", {{"job", rest}, {"why", error_of(spec).detail}});
        reply(refusal(bad_request, "bad_request", error_of(spec).detail));
        return;
    }
    const mono_time since = shared_.now();
    jobs::submit_job cmd{*id, queue.id, queue.terms, account, std::move(value(spec)), wall_now()};
    log::info("job_accepting", {{"job", rest},
                                {"queue", queue.id.str()},
                                {"account", account.str()},
                                {"steps", cmd.spec.steps.size()},
                                {"kind", kind_of(cmd.spec)},
                                {"version", shared_.state().doc.version}});
    shared_.log.propose(
        std::move(cmd), log_patience,
        [this, since, rest, reply](const result<jobs::outcome>& outcome) {
            if (!ok(outcome)) {
                log::warning("job_in_doubt", {{"job", rest}, {"why", error_of(outcome).detail}});
                reply(refusal(no_answer_in_time, "outcome_unknown",
                              "the job may have been accepted"));
                return;
            }
            shared_.counters.observe(latency_kind::job_accept, shared_.now() - since);
            reply({0, ok_status, "{}", 0});
        });
}

const jobs::job* caller_api::job_for(const team_id& account, const jobs::queue& queue,
                                     const jobs::job_id& id) const
{
    const auto found = shared_.state().jobs.find(id);
    if (found == shared_.state().jobs.end()) {
        return nullptr;
    }
    const bool allowed = queue.open || found->second.account == account;
    return allowed ? &found->second : nullptr;
}

void caller_api::show(const team_id& account, const jobs::queue& queue, const std::string& rest,
                      const reply_function& reply) const
{
    const auto id = jobs::job_id::parse(rest);
    const jobs::job* job = id ? job_for(account, queue, *id) : nullptr;
    if (job == nullptr) {
        reply(refusal(gone, "not_found", "there is no such job"));
        return;
    }
    reply({0, ok_status, shared_.wire.show_phase(job->phase), 0});
}

void caller_api::cancel(const team_id& account, const jobs::queue& queue, const std::string& rest,
                        const reply_function& reply)
{
    const auto id = jobs::job_id::parse(rest);
    if (!id || job_for(account, queue, *id) == nullptr) {
        reply(refusal(gone, "not_found", "there is no such job"));
        return;
    }
    log::info("job_cancelling", {{"job", rest}, {"account", account.str()}});
    shared_.log.propose(jobs::cancel_job{*id, wall_now()}, log_patience,
                        [reply](const result<jobs::outcome>& outcome) {
                            if (ok(outcome)) {
                                reply({0, ok_status, "{}", 0});
                            } else {
                                reply(refusal(no_answer_in_time, "outcome_unknown",
                                              "the job may have been cancelled"));
                            }
                        });
}

std::size_t caller_api::waiting_in(const jobs::queue_id& queue) const
{
    std::size_t out = 0;
    for (const jobs::job_id& id : shared_.state().live) {
        const jobs::job& j = shared_.state().jobs.at(id);
        out += j.queue == queue && j.phase == jobs::job_phase::pending ? 1 : 0;
    }
    return out;
}

} // namespace fescue::fleet
