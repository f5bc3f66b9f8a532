#include "caller_api.h"

#include "error_reply.h"

#include "fescuestream/base/log.h"

#include <algorithm>

namespace fescue::fleet {

namespace {

constexpr int ok_status = 200;
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int method_not_allowed = 405;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;
/** Timeout of a proposal to the job log; callers wait a few seconds. */
constexpr milliseconds proposal_timeout{2000};
/** Retry-After of a job for which there is no memory; most jobs end within seconds. */
constexpr std::int64_t memory_retry_ms = 2000;
/** Refused ids are kept for one to two times this. Longer than instances stand still and partitions
 * last on the users' installations, 10 s. */
constexpr milliseconds refusal_period{60'000};
/** Size of a refusal's command in the log, without the account. */
constexpr std::size_t refusal_bytes = 32;

/** @return the properties of a job that affect its scheduling, for the log. */
std::string job_features(const jobs::job_spec& spec)
{
    std::string out;
    const auto add_if = [&](bool condition, const char* name) {
        if (condition) {
            out += out.empty() ? "" : "+";
            out += name;
        }
    };
    const auto any_step = [&](auto predicate) {
        return std::ranges::any_of(spec.steps, predicate);
    };
    add_if(spec.has_long_running_steps(), "lasting");
    add_if(any_step([](const jobs::step_spec& s) { return s.gang; }), "gang");
    add_if(any_step([](const jobs::step_spec& s) { return s.best_effort; }), "filler");
    add_if(any_step([](const jobs::step_spec& s) { return s.latency_limit_ms > 0; }), "serving");
    add_if(any_step([](const jobs::step_spec& s) { return s.speculative; }), "racing");
    add_if(
        any_step([](const jobs::step_spec& s) { return !s.preferred_rack.empty() || s.same_rack; }),
        "rack");
    add_if(any_step([](const jobs::step_spec& s) { return s.max_unavailable > 0; }), "guarded");
    add_if(spec.schedule.times > 0, "repeated");
    return out.empty() ? "plain" : out;
}

/** @return the reply for a path that is not a queue's path prefix followed by a job id: its queue
 * may have been removed, which says nothing about the job. */
wire::forwarded_reply no_job_in_path()
{
    return error_reply(not_found, "not_found", "no queue matches the path, or it names no job");
}

wire::forwarded_reply no_such_job()
{
    return error_reply(gone, "not_found", "no such job");
}

wire::forwarded_reply refuse_cancelled_job(const jobs::job_id& id)
{
    log::info("job_refused", {{"job", id.text()}, {"why", "cancelled before it arrived"}});
    return error_reply(gone, "not_found", "the job was cancelled before it arrived");
}

wire::forwarded_reply too_many_refusals()
{
    wire::forwarded_reply out =
        error_reply(service_unavailable, "not_serving",
                    "too many jobs that do not exist were cancelled; the job may be accepted");
    out.retry_after_ms = refusal_period.count();
    return out;
}

} // namespace

void caller_api::handle_call(const wire::forwarded_call& in, const reply_function& reply)
{
    const jobs::document& doc = context_.state().doc;
    if (doc.version == 0) {
        reply(error_reply(service_unavailable, "not_serving",
                          "no configuration document has been set yet"));
        return;
    }
    const jobs::queue* queue = doc.route(in.host, in.path);
    if (queue == nullptr) {
        log::info(
            "call_refused",
            {{"why", "no_queue"}, {"host", in.host}, {"path", in.path}, {"version", doc.version}});
        reply(error_reply(not_found, "not_found", "no queue matches the host and path"));
        return;
    }
    const team_id* owner = in.key.empty() ? nullptr : doc.owner_of(in.key);
    if (owner == nullptr && !queue->open) {
        log::info("call_refused",
                  {{"why", "bad_key"}, {"path", in.path}, {"version", doc.version}});
        reply(error_reply(unauthorized, "bad_key", "the API key is unknown"));
        return;
    }
    const team_id account = owner == nullptr ? team_id{} : *owner;
    const std::string job_id_text = in.path.substr(queue->path_prefix.size());
    if (in.method == "POST") {
        submit(in, *queue, account, job_id_text, reply);
    } else if (in.method == "GET" && job_id_text.empty()) {
        reply({0, ok_status,
               context_.server_protocol.format_pending_count(count_pending(queue->id)), 0});
    } else if (in.method == "GET") {
        get_state(account, *queue, job_id_text, reply);
    } else if (in.method == "DELETE") {
        cancel(account, *queue, job_id_text, reply);
    } else {
        reply(error_reply(method_not_allowed, "bad_request", "the method is not supported"));
    }
}

void caller_api::submit(const wire::forwarded_call& in, const jobs::queue& queue,
                        const team_id& account, const std::string& job_id_text,
                        const reply_function& reply)
{
    const auto id = jobs::job_id::parse(job_id_text);
    if (!id) {
        reply(error_reply(bad_request, "bad_request", "a job id must be 16 hexadecimal digits"));
        return;
    }
    if (context_.state().jobs.contains(*id)) {
        reply(acknowledge(account, queue, *id));
        return;
    }
    if (context_.state().refused.contains(account, *id) ||
        unrecorded_refusals_.contains(account, *id)) {
        reply(refuse_cancelled_job(*id));
        return;
    }
    auto spec = context_.server_protocol.parse_job(in.body);
    if (!ok(spec)) {
        log::info("job_refused", {{"job", job_id_text}, {"why", error_of(spec).detail}});
        reply(error_reply(bad_request, "bad_request", error_of(spec).detail));
        return;
    }
    if (!context_.log_has_room(in.body.size()) &&
        context_.stored_jobs.is_pending(*id, context_.now())) {
        reply(error_reply(gateway_timeout, "outcome_unknown",
                          "an earlier submission of the job may be accepted"));
        return;
    }
    if (auto refusal = refuse_for_memory(*id, value(spec), in.body.size())) {
        reply(std::move(*refusal));
        return;
    }
    const mono_time received_at = context_.now();
    jobs::submit_job cmd{*id, queue.id, queue.terms, account, std::move(value(spec)), wall_now()};
    log::info("job_accepting", {{"job", job_id_text},
                                {"queue", queue.id.str()},
                                {"account", account.str()},
                                {"steps", cmd.spec.steps.size()},
                                {"kind", job_features(cmd.spec)},
                                {"version", context_.state().doc.version}});
    context_.log.propose(
        std::move(cmd), proposal_timeout,
        [this, received_at, id = *id, queue, account, reply](const result<jobs::outcome>& outcome) {
            if (!ok(outcome)) {
                log::warning("job_in_doubt",
                             {{"job", id.text()}, {"why", error_of(outcome).detail}});
                reply(error_reply(gateway_timeout, "outcome_unknown",
                                  "the job may have been accepted"));
                return;
            }
            if (value(outcome).refused) {
                reply(refuse_cancelled_job(id));
                return;
            }
            context_.counters.observe(latency_kind::job_accept, context_.now() - received_at);
            reply(acknowledge(account, queue, id));
        });
}

std::optional<wire::forwarded_reply> caller_api::refuse_for_memory(const jobs::job_id& id,
                                                                   const jobs::job_spec& spec,
                                                                   std::size_t document_bytes)
{
    const memory_verdict verdict =
        context_.log_has_room(document_bytes)
            ? context_.stored_jobs.admit(id, spec, context_.state(), context_.now())
            : memory_verdict::no_room;
    if (verdict == memory_verdict::fits) {
        return std::nullopt;
    }
    context_.counters.count("jobs_refused_for_memory");
    log::info("job_refused", {{"job", id.text()},
                              {"why", "memory"},
                              {"job_bytes", estimate_memory(spec)},
                              {"held_bytes", context_.stored_jobs.bytes()},
                              {"unapplied_bytes", context_.log.replica().unapplied_bytes()},
                              {"max_bytes", context_.settings.max_job_bytes}});
    if (verdict == memory_verdict::job_too_large) {
        return error_reply(bad_request, "bad_request", "the job has too many steps or tasks");
    }
    wire::forwarded_reply refusal =
        error_reply(service_unavailable, "not_serving", "too many jobs are stored");
    refusal.retry_after_ms = memory_retry_ms;
    return refusal;
}

wire::forwarded_reply caller_api::acknowledge(const team_id& account, const jobs::queue& queue,
                                              const jobs::job_id& id) const
{
    if (find_job(account, queue, id) == nullptr) {
        log::info("job_refused", {{"job", id.text()}, {"why", "another account uses the id"}});
        return error_reply(conflict, "conflict", "another account uses this job id");
    }
    return {0, ok_status, "{}", 0};
}

const jobs::job* caller_api::find_job(const team_id& account, const jobs::queue& queue,
                                      const jobs::job_id& id) const
{
    const auto found = context_.state().jobs.find(id);
    if (found == context_.state().jobs.end()) {
        return nullptr;
    }
    const jobs::job& job = found->second;
    // The queue needs no key, or needed none when it accepted the job.
    const bool keyless = is_job_of_queue(job, queue) && (queue.open || job.account.empty());
    return keyless || job.account == account ? &job : nullptr;
}

bool caller_api::is_job_of_queue(const jobs::job& job, const jobs::queue& queue) const
{
    const bool renamed =
        !context_.state().doc.queues.contains(job.queue) && job.terms.pool == queue.terms.pool;
    return job.queue == queue.id || renamed;
}

void caller_api::get_state(const team_id& account, const jobs::queue& queue,
                           const std::string& job_id_text, const reply_function& reply) const
{
    const auto id = jobs::job_id::parse(job_id_text);
    if (!id) {
        reply(no_job_in_path());
        return;
    }
    const jobs::job* job = find_job(account, queue, *id);
    if (job == nullptr) {
        reply(no_such_job());
        return;
    }
    reply({0, ok_status, context_.server_protocol.format_job_phase(job->phase), 0});
}

void caller_api::cancel(const team_id& account, const jobs::queue& queue,
                        const std::string& job_id_text, const reply_function& reply)
{
    const auto id = jobs::job_id::parse(job_id_text);
    if (!id) {
        reply(no_job_in_path());
        return;
    }
    const bool exists = context_.state().jobs.contains(*id);
    if (!exists && context_.stored_jobs.is_pending(*id, context_.now())) {
        reply(error_reply(gateway_timeout, "outcome_unknown",
                          "a submission of the job may be accepted"));
        return;
    }
    if (find_job(account, queue, *id) == nullptr) {
        if (exists) {
            reply(no_such_job());
        } else {
            refuse_later_submission(account, *id, reply);
        }
        return;
    }
    log::info("job_cancelling", {{"job", job_id_text}, {"account", account.str()}});
    context_.log.propose(jobs::cancel_job{*id, wall_now()}, proposal_timeout,
                         [reply](const result<jobs::outcome>& outcome) {
                             if (ok(outcome)) {
                                 reply({0, ok_status, "{}", 0});
                             } else {
                                 reply(error_reply(gateway_timeout, "outcome_unknown",
                                                   "the job may have been cancelled"));
                             }
                         });
}

void caller_api::refuse_later_submission(const team_id& account, const jobs::job_id& id,
                                         const reply_function& reply)
{
    const jobs::refused_jobs& recorded = context_.state().refused;
    if (recorded.contains(account, id)) {
        reply(no_such_job());
        return;
    }
    jobs::refused_jobs& unrecorded = unrecorded_refusals_;
    if (!recorded.has_room(account) || !unrecorded.has_room(account) ||
        !context_.log_has_room(refusal_bytes + account.str().size())) {
        context_.counters.count("cancels_refused");
        reply(too_many_refusals());
        return;
    }
    if (!context_.all_commands_known) {
        unrecorded.add(account, id);
        reply(no_such_job());
        return;
    }
    context_.log.propose(
        jobs::refuse_job{account, id}, proposal_timeout,
        [reply](const result<jobs::outcome>& outcome) {
            if (!ok(outcome)) {
                reply(error_reply(gateway_timeout, "outcome_unknown",
                                  "a submission of the job may be accepted"));
            } else if (const auto& refused = value(outcome).refused; !refused) {
                reply(no_such_job());
            } else if (refused->kind == error_kind::at_limit) {
                reply(too_many_refusals());
            } else {
                reply(error_reply(gateway_timeout, "outcome_unknown", refused->detail));
            }
        });
}

void caller_api::drop_old_refusals()
{
    const mono_time now = context_.now();
    if (now - rotated_at_ < refusal_period) {
        return;
    }
    rotated_at_ = now;
    unrecorded_refusals_.rotate(unrecorded_refusals_.rotations() + 1);
    const jobs::refused_jobs& recorded = context_.state().refused;
    if (!recorded.empty()) {
        context_.log.propose_here(jobs::rotate_refused_jobs{recorded.rotations() + 1});
    }
}

std::size_t caller_api::count_pending(const jobs::queue_id& queue) const
{
    std::size_t out = 0;
    for (const jobs::job_id& id : context_.state().active_jobs) {
        const jobs::job& j = context_.state().jobs.at(id);
        out += j.queue == queue && j.phase == jobs::job_phase::pending ? 1 : 0;
    }
    return out;
}

} // namespace fescue::fleet
