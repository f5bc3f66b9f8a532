#include "task_dispatcher.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace fescue::node {

namespace {

constexpr milliseconds sweep_period{20};
/** A job whose ingress does not confirm the start within this time is dropped. */
constexpr milliseconds start_confirmation_timeout{1000};
constexpr milliseconds claim_commit_timeout{700};
constexpr milliseconds min_backoff{5};
constexpr milliseconds max_backoff{40};
constexpr std::size_t max_attempts = 4;
/** Weight of the newest sample in the mean run time. */
constexpr double run_time_ewma_weight = 0.05;
constexpr int min_server_error_status = 500;
constexpr int status_service_unavailable = 503;

std::int64_t remaining_ms(mono_time deadline, mono_time now)
{
    return std::chrono::duration_cast<milliseconds>(deadline - now).count();
}

milliseconds jittered_backoff()
{
    static std::minstd_rand random{std::random_device{}()};
    std::uniform_int_distribution<milliseconds::rep> backoff_ms{min_backoff.count(),
                                                                max_backoff.count()};
    return milliseconds{backoff_ms(random)};
}

} // namespace

task_dispatcher::task_dispatcher(context& shared) : shared_{shared}
{
    sweep_timer_ = shared_.loop.every(sweep_period, [this] { sweep(); });
}

bool task_dispatcher::is_home_of(const data_centre_id& dc, const server_id& id) const
{
    const auto* record = shared_.state().find_home(dc, id);
    return record != nullptr && record->home == shared_.self() &&
           record->incarnation_id == shared_.own_incarnation;
}

dispatch::server_permission task_dispatcher::permission(const server_id& id) const
{
    const auto known = permission_cache_.find(id);
    if (known != permission_cache_.end()) {
        return known->second;
    }
    return permission_cache_.emplace(id, compute_permission(id)).first->second;
}

dispatch::server_permission task_dispatcher::compute_permission(const server_id& id) const
{
    const auto& state = shared_.state();
    const auto found = state.servers.find(id);
    if (found == state.servers.end()) {
        return {};
    }
    const catalogue::server_record& s = found->second;
    const auto wave = state.find_wave_phase(id);
    const bool in_wave = wave && *wave != catalogue::wave_phase::waiting;
    dispatch::server_permission out;
    out.pool = s.pool;
    out.epoch = s.epoch;
    out.may_start = !s.pool.empty() && !s.moving_to && !in_wave &&
                    shared_.in_service(s.properties.data_centre) &&
                    is_home_of(s.properties.data_centre, id);
    return out;
}

wire::pool_load task_dispatcher::load_of(const pool_id& pool) const
{
    return server_table_.load(pool, shared_.now(),
                              [this](const server_id& id) { return permission(id); });
}

const catalogue::service* task_dispatcher::service_of(const job& j) const
{
    const auto found = shared_.state().doc.services.find(j.work.service);
    return found == shared_.state().doc.services.end() ? nullptr : &found->second;
}

void task_dispatcher::applied(const catalogue::command& cmd)
{
    if (const auto* change = std::get_if<catalogue::set_allotment>(&cmd)) {
        if (change->holder != shared_.self()) {
            return;
        }
    }
    const bool affects_dispatch = !std::holds_alternative<catalogue::begin_claim>(cmd) &&
                                  !std::holds_alternative<catalogue::end_claim>(cmd) &&
                                  !std::holds_alternative<catalogue::no_operation>(cmd);
    if (affects_dispatch) {
        restored();
    }
}

void task_dispatcher::restored()
{
    permission_cache_.clear();
    allotments_.commit_all(shared_.state(), shared_.self(), shared_.own_incarnation);
    server_table_.remove_unowned([this](const server_id& id) {
        const auto found = shared_.state().servers.find(id);
        return found != shared_.state().servers.end() &&
               is_home_of(found->second.properties.data_centre, id);
    });
    dispatch_all();
}

void task_dispatcher::submit(const instance_id& from, wire::work&& work)
{
    const mono_time now = shared_.now();
    job j;
    j.from = from;
    j.arrived = now;
    j.deadline = now + milliseconds{work.remaining_ms};
    j.work = std::move(work);
    const catalogue::service* s = service_of(j);
    if (s == nullptr) {
        refuse(j, error_kind::not_found, "the service is no longer in the catalogue");
        return;
    }
    j.pool = s->pool;
    j.repeatable = s->repeatable;
    if (!shared_.may_serve(*s)) {
        refuse(j, error_kind::not_serving, "the home instance of the server has no serving lease");
        return;
    }
    const wire::pool_load local_load = load_of(j.pool);
    if (local_load.slots == 0) {
        refuse(j, error_kind::no_server,
               "pool '" + j.pool.str() + "' has no server at this home instance");
        return;
    }
    if (!admit_to_queue(j, *s, local_load)) {
        return;
    }
    retry_budget_.add_credit();
    const request_id id = j.work.id;
    const auto insertion = jobs_.emplace(id, std::move(j));
    if (!insertion.second) {
        return;
    }
    enqueue(insertion.first->second);
    dispatch_pool(s->pool);
    const auto current = jobs_.find(id);
    if (current != jobs_.end() && current->second.phase == job_phase::queued) {
        current->second.queue_notice_sent = true;
        shared_.send(from, wire::work_queued{id});
    }
}

bool task_dispatcher::admit_to_queue(const job& j, const catalogue::service& s,
                                     const wire::pool_load& local_load)
{
    job copy;
    copy.work.id = j.work.id;
    copy.from = j.from;
    const auto queue = queues_.find(j.pool);
    if (queue == queues_.end() || queue->second.size() == 0) {
        return true;
    }
    // The service's queue limit applies to the whole pool. Each home gets a share of the limit in
    // proportion to its slots.
    const std::uint32_t total_slots = std::max(local_load.slots, shared_.router.slots(j.pool));
    const double queue_share =
        std::ceil(static_cast<double>(s.queue_limit) * local_load.slots / total_slots);
    if (static_cast<double>(queue->second.waiting(j.work.service)) >= queue_share) {
        refuse(copy, error_kind::queue_full, "the queue of the service is full");
        return false;
    }
    const auto mean = mean_run_ms_.find(j.pool);
    if (mean != mean_run_ms_.end()) {
        const double wait =
            static_cast<double>(queue->second.size()) * mean->second / local_load.slots;
        if (wait > static_cast<double>(j.work.remaining_ms)) {
            refuse(copy, error_kind::too_late,
                   "the expected wait in the queue exceeds the deadline");
            return false;
        }
    }
    return true;
}

void task_dispatcher::enqueue(const job& j)
{
    const catalogue::service* s = service_of(j);
    queues_[j.pool].push({j.work.id, j.work.team, j.work.service,
                          s == nullptr ? catalogue::service_class::normal : s->priority_class,
                          j.deadline});
}

double task_dispatcher::fair_share_score(const pool_id& pool, const team_id& team) const
{
    const auto& teams = shared_.state().doc.teams;
    const auto known = teams.find(team);
    const double share = known == teams.end() ? 1.0 : known->second.share;
    std::uint32_t running_here = 0;
    if (const auto p = running_tasks_.find(pool); p != running_tasks_.end()) {
        if (const auto t = p->second.find(team); t != p->second.end()) {
            running_here = t->second;
        }
    }
    return admission::fair_score(running_here,
                                 shared_.router.running_elsewhere(pool, team, shared_.self()),
                                 shared_.router.homes(pool), share);
}

void task_dispatcher::dispatch_all()
{
    for (auto& [pool, queue] : queues_) {
        if (queue.size() > 0) {
            dispatch_pool(pool);
        }
    }
}

void task_dispatcher::dispatch_pool(const pool_id& pool)
{
    while (start_next(pool)) {
    }
}

bool task_dispatcher::start_next(const pool_id& pool)
{
    const auto queue = queues_.find(pool);
    if (queue == queues_.end() || queue->second.size() == 0) {
        return false;
    }
    const mono_time now = shared_.now();
    const auto allowed = [this](const server_id& id) { return permission(id); };
    const wire::pool_load local_load = server_table_.load(pool, now, allowed);
    if (local_load.free == 0) {
        return false;
    }
    const auto item =
        queue->second.pick([this](const team_id& t) { return allotments_.may_start(t); },
                           [&](const team_id& t) { return fair_share_score(pool, t); });
    if (!item) {
        for (const team_id& team : queue->second.teams()) {
            const auto waiting = static_cast<std::uint32_t>(queue->second.waiting(team));
            blocked_tasks_[team] = std::min(waiting, local_load.free);
            newly_blocked_ = true;
        }
        return false;
    }
    const auto found = jobs_.find(item->id);
    if (found == jobs_.end()) {
        return true;
    }
    job& j = found->second;
    if (!recheck_or_refuse(j)) {
        return true;
    }
    const auto server = server_table_.choose(pool, j.tried_servers, now, allowed);
    if (!server) {
        refuse(j, error_kind::server_refused,
               "no untried server is available at this home instance");
        return true;
    }
    shared_.counters.observe(latency_kind::queue_wait, now - j.arrived);
    reserve_slot(j, *server);
    if (j.queue_notice_sent && !j.repeatable) {
        confirm_start(j);
    } else {
        send_to_server(j);
    }
    return true;
}

bool task_dispatcher::recheck_or_refuse(job& j)
{
    const catalogue::service* s = service_of(j);
    if (s == nullptr || !shared_.may_serve(*s)) {
        refuse(j, error_kind::not_serving,
               "the serving lease expired while the request was queued");
        return false;
    }
    if (!j.work.key.empty() && !shared_.key_is_valid(j.work.key)) {
        refuse(j, error_kind::bad_key, "the key was withdrawn while the request was queued");
        return false;
    }
    if (j.deadline <= shared_.now()) {
        refuse(j, error_kind::too_late, "the deadline passed while the request was queued");
        return false;
    }
    return true;
}

void task_dispatcher::reserve_slot(job& j, const server_id& server)
{
    const catalogue::service* s = service_of(j);
    dispatch::running_task task;
    task.team = j.work.team;
    task.pool = j.pool;
    task.ends_by = shared_.now() + milliseconds{s->max_run_ms};
    server_table_.add_task(server, j.work.id, task);
    allotments_.task_started(j.work.team);
    ++running_tasks_[j.pool][j.work.team];
    j.server = server;
}

void task_dispatcher::release_slot(const job& j)
{
    if (const auto task = server_table_.remove_task(j.server, j.work.id, shared_.now())) {
        release_allotment(*task);
    }
}

void task_dispatcher::release_allotment(const dispatch::ended_task& task)
{
    // The leader can reassign capacity freed above the cap only once it is reported, so a report is
    // due now.
    newly_blocked_ = newly_blocked_ || allotments_.running(task.team) > allotments_.cap(task.team);
    allotments_.task_ended(task.team);
    --running_tasks_[task.pool][task.team];
}

void task_dispatcher::confirm_start(job& j)
{
    j.phase = job_phase::confirming_start;
    j.phase_time = shared_.now();
    if (!shared_.send(j.from, wire::start_confirm_request{j.work.id})) {
        release_slot(j);
        erase_job(j.work.id);
    }
}

void task_dispatcher::received(const wire::start_confirm_reply& answer)
{
    const auto found = jobs_.find(answer.id);
    if (found == jobs_.end() || found->second.phase != job_phase::confirming_start) {
        return;
    }
    job& j = found->second;
    if (!answer.go) {
        const pool_id pool = j.pool;
        release_slot(j);
        erase_job(answer.id);
        dispatch_pool(pool);
        return;
    }
    j.queue_notice_sent = false;
    // The control state may have changed while the confirmation was in transit.
    if (!permission(j.server).may_start) {
        release_slot(j);
        refuse(j, error_kind::no_server,
               "the server was taken out of service before the task started");
        return;
    }
    const job before = j;
    if (!recheck_or_refuse(j)) {
        release_slot(before);
        return;
    }
    send_to_server(j);
}

void task_dispatcher::send_to_server(job& j)
{
    const mono_time now = shared_.now();
    const catalogue::service* s = service_of(j);
    const auto& server = server_table_.all().at(j.server);
    const auto allowed = permission(j.server);
    j.phase = job_phase::running;
    j.phase_time = now;
    http::client_request out;
    out.url = "http://" + server.info.address + "/" + j.work.path;
    out.body = j.work.body;
    out.timeout = milliseconds{s->max_run_ms};
    out.fresh_connection = !j.repeatable;
    out.idempotent = j.repeatable;
    out.headers = {{"Fescue-Request-Id", j.work.id.str()},
                   {"Fescue-Team", j.work.team.str()},
                   {"Fescue-Deadline-Ms",
                    std::to_string(std::max<std::int64_t>(1, remaining_ms(j.deadline, now)))},
                   {"Fescue-Pool", j.pool.str()},
                   {"Fescue-Epoch", std::to_string(allowed.epoch)}};
    if (!j.work.content_type.empty()) {
        out.headers.push_back({"Content-Type", j.work.content_type});
    }
    shared_.counters.count("tasks_started");
    const request_id id = j.work.id;
    shared_.client.send(std::move(out), [this, id](http::client_response&& response) {
        handle_response(id, std::move(response));
    });
}

void task_dispatcher::handle_response(const request_id& id, http::client_response&& response)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    job& j = found->second;
    const pool_id pool = j.pool;
    const mono_time now = shared_.now();
    const bool response_matches =
        response.outcome == http::delivery::answered && response.request_id == id.str();
    if (response_matches && response.status == status_service_unavailable && response.ran == "no") {
        release_slot(j);
        retry_on_another_server(j, retry_reason::server_refused);
    } else if (response_matches) {
        const double took = std::chrono::duration<double, std::milli>(now - j.phase_time).count();
        const auto mean = mean_run_ms_.emplace(pool, took).first;
        mean->second += (took - mean->second) * run_time_ewma_weight;
        shared_.counters.observe(latency_kind::server, now - j.phase_time);
        server_table_.record_outcome(j.server,
                                     response.status >= min_server_error_status
                                         ? dispatch::attempt_outcome::failed
                                         : dispatch::attempt_outcome::answered,
                                     now);
        release_slot(j);
        forward_response(j, std::move(response));
    } else if (response.outcome == http::delivery::not_sent) {
        server_table_.record_outcome(j.server, dispatch::attempt_outcome::failed, now);
        release_slot(j);
        retry_on_another_server(j, retry_reason::not_connected);
    } else {
        shared_.decisions.record("server/" + j.server.str(),
                                 "response to request " + id.str() + " was not forwarded: " +
                                     (response.error_message.empty()
                                          ? "it carries another request id"
                                          : response.error_message));
        server_table_.record_outcome(j.server, dispatch::attempt_outcome::failed, now);
        server_table_.mark_lost(j.server, id, now);
        handle_lost_response(j);
    }
    dispatch_pool(pool);
}

void task_dispatcher::forward_response(job& j, http::client_response&& response)
{
    wire::work_reply r;
    r.id = j.work.id;
    r.may_have_run = true;
    r.status = response.status;
    r.content_type = std::move(response.content_type);
    r.body = std::move(response.body);
    if (j.work.claim_key.empty()) {
        reply(j, std::move(r));
    } else {
        record_claim_then_reply(j, std::move(r));
    }
}

void task_dispatcher::record_claim_then_reply(job& j, wire::work_reply&& r)
{
    catalogue::end_claim end;
    end.id = {j.work.team, j.work.claim_key};
    end.request = j.work.id;
    const bool fits = r.body.size() <= catalogue::max_stored_answer_size;
    end.outcome = fits ? catalogue::claim_outcome::answered : catalogue::claim_outcome::unknown;
    end.status = r.status;
    end.content_type = r.content_type;
    end.body = fits ? r.body : std::string{};
    // The response is committed before it is sent, so that a retry with the claim key finds it.
    shared_.control.propose(end, claim_commit_timeout,
                            [this, r = std::move(r)](const apply_outcome& /*outcome*/) mutable {
                                const auto found = jobs_.find(r.id);
                                if (found != jobs_.end()) {
                                    reply(found->second, std::move(r));
                                }
                            });
}

void task_dispatcher::retry_on_another_server(job& j, retry_reason reason)
{
    j.tried_servers.insert(j.server);
    const auto allowed = [this](const server_id& id) { return permission(id); };
    const bool another =
        server_table_.choose(j.pool, j.tried_servers, shared_.now(), allowed).has_value();
    if (j.replied || j.deadline <= shared_.now() || j.tried_servers.size() >= max_attempts ||
        !another || !retry_budget_.try_spend()) {
        refuse(j, error_kind::server_refused,
               fmt::format("{} servers were tried", j.tried_servers.size()));
        return;
    }
    shared_.counters.retried(reason);
    j.phase = job_phase::waiting_to_retry;
    j.phase_time = shared_.now() + jittered_backoff();
}

void task_dispatcher::handle_lost_response(job& j)
{
    j.may_have_run = true;
    if (j.repeatable && !j.replied) {
        retry_on_another_server(j, retry_reason::answer_lost);
        return;
    }
    if (!j.work.claim_key.empty()) {
        catalogue::end_claim end;
        end.id = {j.work.team, j.work.claim_key};
        end.request = j.work.id;
        end.outcome = catalogue::claim_outcome::unknown;
        shared_.control.propose(end, claim_commit_timeout, nullptr);
    }
    refuse(j, error_kind::outcome_unknown, "the server's response was lost");
}

void task_dispatcher::refuse(job& j, error_kind kind, const std::string& detail)
{
    wire::work_reply r;
    r.id = j.work.id;
    r.refused = true;
    r.kind = kind;
    r.detail = detail;
    r.may_have_run = j.may_have_run;
    reply(j, std::move(r));
}

void task_dispatcher::reply(job& j, wire::work_reply&& r)
{
    const request_id id = j.work.id;
    if (!j.replied) {
        shared_.send(j.from, std::move(r));
    }
    erase_job(id);
}

void task_dispatcher::erase_job(const request_id& id)
{
    jobs_.erase(id);
}

void task_dispatcher::sweep()
{
    const mono_time now = shared_.now();
    for (const dispatch::ended_task& task : server_table_.expire(now)) {
        release_allotment(task);
    }
    sweep_queues(now);
    sweep_jobs(now);
    dispatch_all();
}

void task_dispatcher::sweep_queues(mono_time now)
{
    for (auto& [pool, queue] : queues_) {
        if (queue.size() == 0) {
            continue;
        }
        const bool no_slots = load_of(pool).slots == 0;
        const auto removed = no_slots ? queue.remove_if([](const auto& /*item*/) { return true; })
                                      : queue.remove_expired(now);
        for (const admission::waiting_item& item : removed) {
            const auto found = jobs_.find(item.id);
            if (found == jobs_.end()) {
                continue;
            }
            if (no_slots) {
                refuse(found->second, error_kind::no_server,
                       "the pool has no server left at this home instance");
            } else if (!allotments_.may_start(item.team)) {
                refuse(found->second, error_kind::at_limit,
                       fmt::format(
                           "team '{}' is at its limit with {} tasks running at this home instance",
                           item.team.str(), allotments_.running(item.team)));
            } else {
                refuse(found->second, error_kind::too_late,
                       "the deadline passed while the request was queued");
            }
        }
    }
}

void task_dispatcher::sweep_jobs(mono_time now)
{
    std::vector<request_id> unconfirmed;
    for (auto& [id, j] : jobs_) {
        if (j.phase == job_phase::confirming_start &&
            now - j.phase_time > start_confirmation_timeout) {
            unconfirmed.push_back(id);
        }
        if (j.phase == job_phase::waiting_to_retry && now >= j.phase_time) {
            j.phase = job_phase::queued;
            enqueue(j);
        }
        if (j.phase == job_phase::running && !j.replied && now >= j.deadline) {
            // The task keeps running and occupies its slot; only the caller gets an error.
            wire::work_reply r;
            r.id = id;
            r.refused = true;
            r.kind = error_kind::outcome_unknown;
            r.detail = "the deadline passed while the task was running";
            r.may_have_run = true;
            shared_.send(j.from, std::move(r));
            j.replied = true;
            j.may_have_run = true;
        }
    }
    for (const request_id& id : unconfirmed) {
        release_slot(jobs_.at(id));
        erase_job(id);
    }
}

void task_dispatcher::handle_announcement(const wire::announcement& info)
{
    for (const dispatch::ended_task& task :
         server_table_.record_announcement(info, shared_.now())) {
        release_allotment(task);
    }
    dispatch_all();
}

void task_dispatcher::received(const wire::release_request& request)
{
    allotments_.release(request.team, request.epoch, request.keep);
    newly_blocked_ = true;
}

void task_dispatcher::release_unused_allotments()
{
    for (const wire::allotment_usage& use : allotments_.uses()) {
        allotments_.release(use.team, use.epoch, use.running);
    }
}

bool task_dispatcher::consume_newly_blocked() noexcept
{
    return std::exchange(newly_blocked_, false);
}

wire::load_report task_dispatcher::load() const
{
    wire::load_report out;
    out.accepting = !shared_.draining && shared_.serving() != membership::serving::not_serving;
    for (const auto& [pool, about] : shared_.state().doc.pools) {
        wire::pool_load l = load_of(pool);
        const auto queue = queues_.find(pool);
        l.queued = queue == queues_.end() ? 0 : static_cast<std::uint32_t>(queue->second.size());
        if (l.slots > 0 || l.queued > 0) {
            out.pools.push_back(l);
        }
    }
    for (const auto& [pool, teams] : running_tasks_) {
        for (const auto& [team, count] : teams) {
            if (count > 0) {
                out.teams.push_back({pool, team, count});
            }
        }
    }
    return out;
}

void task_dispatcher::fill_report(wire::instance_report& report) const
{
    std::map<team_id, std::uint32_t> blocked;
    std::swap(blocked, blocked_tasks_);
    report.allotments = allotments_.uses();
    for (auto& [team, waiting] : blocked) {
        const auto same = [&team = team](const wire::allotment_usage& u) { return u.team == team; };
        auto use = std::ranges::find_if(report.allotments, same);
        if (use == report.allotments.end()) {
            report.allotments.push_back({team, 0, 0, 0, 0});
            use = std::prev(report.allotments.end());
        }
        use->waiting = waiting;
    }
    const mono_time now = shared_.now();
    for (const auto& [id, s] : server_table_.all()) {
        wire::server_usage use;
        use.id = id;
        use.incarnation_id = s.info.incarnation_id;
        use.running = s.occupied();
        use.leaving = s.info.leaving;
        use.alive = server_table_.alive(id, now);
        use.on_probation = s.on_probation();
        use.epoch = permission(id).epoch;
        report.servers.push_back(use);
    }
    for (const auto& [pool, about] : shared_.state().doc.pools) {
        wire::pool_demand d;
        d.pool = pool;
        const wire::pool_load l = load_of(pool);
        d.running = l.slots - l.free;
        const auto queue = queues_.find(pool);
        d.queued = queue == queues_.end() ? 0 : static_cast<std::uint32_t>(queue->second.size());
        report.demand.push_back(d);
    }
}

} // namespace fescue::node
