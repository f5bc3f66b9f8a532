#include "home.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace fescue::node {

namespace {

constexpr milliseconds sweep_period{20};
/** An instance that does not answer whether queued work may start has lost it. */
constexpr milliseconds ask_patience{1000};
constexpr milliseconds claim_patience{700};
constexpr milliseconds least_backoff{5};
constexpr milliseconds most_backoff{40};
constexpr std::size_t most_attempts = 4;
/** Weight of the newest task in the mean run time. */
constexpr double mean_weight = 0.05;
constexpr int first_server_error = 500;
constexpr int unavailable = 503;

std::int64_t left_ms(mono_time deadline, mono_time now)
{
    return std::chrono::duration_cast<milliseconds>(deadline - now).count();
}

milliseconds jittered_backoff()
{
    static std::minstd_rand random{std::random_device{}()};
    std::uniform_int_distribution<milliseconds::rep> spread{least_backoff.count(),
                                                            most_backoff.count()};
    return milliseconds{spread(random)};
}

} // namespace

home::home(context& shared) : shared_{shared}
{
    sweeper_ = shared_.loop.every(sweep_period, [this] { sweep(); });
}

// ---- what the control state says

bool home::is_home_of(const data_centre_id& dc, const server_id& id) const
{
    const auto* record = shared_.state().home_of(dc, id);
    return record != nullptr && record->home == shared_.self() && record->life == shared_.life;
}

dispatch::server_permission home::permission(const server_id& id) const
{
    const auto known = permissions_.find(id);
    if (known != permissions_.end()) {
        return known->second;
    }
    return permissions_.emplace(id, read_permission(id)).first->second;
}

dispatch::server_permission home::read_permission(const server_id& id) const
{
    const auto& state = shared_.state();
    const auto found = state.servers.find(id);
    if (found == state.servers.end()) {
        return {};
    }
    const catalogue::server_record& s = found->second;
    const auto wave = state.phase_of(id);
    const bool in_wave = wave && *wave != catalogue::wave_phase::waiting;
    dispatch::server_permission out;
    out.pool = s.pool;
    out.epoch = s.epoch;
    out.may_start = !s.pool.empty() && !s.moving_to && !in_wave &&
                    shared_.in_service(s.about.data_centre) && is_home_of(s.about.data_centre, id);
    return out;
}

wire::pool_load home::load_of(const pool_id& pool) const
{
    return table_.load(pool, shared_.now(), [this](const server_id& id) { return permission(id); });
}

const catalogue::service* home::service_of(const job& j) const
{
    const auto found = shared_.state().doc.services.find(j.w.service);
    return found == shared_.state().doc.services.end() ? nullptr : &found->second;
}

void home::applied(const catalogue::command& cmd)
{
    if (const auto* change = std::get_if<catalogue::set_allotment>(&cmd)) {
        if (change->holder != shared_.self()) {
            return;
        }
    }
    const bool matters = !std::holds_alternative<catalogue::begin_claim>(cmd) &&
                         !std::holds_alternative<catalogue::end_claim>(cmd) &&
                         !std::holds_alternative<catalogue::no_operation>(cmd);
    if (matters) {
        restored();
    }
}

void home::restored()
{
    permissions_.clear();
    ledger_.commit_all(shared_.state(), shared_.self(), shared_.life);
    table_.keep_only([this](const server_id& id) {
        const auto found = shared_.state().servers.find(id);
        return found != shared_.state().servers.end() &&
               is_home_of(found->second.about.data_centre, id);
    });
    pump_all();
}

// ---- work in

void home::submit(const instance_id& from, wire::work&& w)
{
    const mono_time now = shared_.now();
    job j;
    j.from = from;
    j.arrived = now;
    j.deadline = now + milliseconds{w.left_ms};
    j.w = std::move(w);
    const catalogue::service* s = service_of(j);
    if (s == nullptr) {
        refuse(j, error_kind::not_found, "the service has gone");
        return;
    }
    j.pool = s->pool;
    j.repeatable = s->repeatable;
    if (!shared_.may_serve(*s)) {
        refuse(j, error_kind::not_serving, "the server's home has no serving lease");
        return;
    }
    const wire::pool_load here = load_of(j.pool);
    if (here.slots == 0) {
        refuse(j, error_kind::no_server, "no server of pool '" + j.pool.str() + "' is here");
        return;
    }
    if (!can_wait(j, *s, here)) {
        return;
    }
    budget_.earn();
    const request_id id = j.w.id;
    const auto placed = jobs_.emplace(id, std::move(j));
    if (!placed.second) {
        return;
    }
    enqueue(placed.first->second);
    pump(s->pool);
    const auto still = jobs_.find(id);
    if (still != jobs_.end() && still->second.at == phase::queued) {
        still->second.told_queued = true;
        shared_.send(from, wire::work_queued{id});
    }
}

bool home::can_wait(const job& j, const catalogue::service& s, const wire::pool_load& here)
{
    job copy;
    copy.w.id = j.w.id;
    copy.from = j.from;
    const auto queue = queues_.find(j.pool);
    if (queue == queues_.end() || queue->second.size() == 0) {
        return true;
    }
    // Each home bounds its part of the queue, so that the parts add up to the whole.
    const std::uint32_t all = std::max(here.slots, shared_.router.slots(j.pool));
    const double part = std::ceil(static_cast<double>(s.queue_limit) * here.slots / all);
    if (static_cast<double>(queue->second.waiting(j.w.service)) >= part) {
        refuse(copy, error_kind::queue_full, "the queue of the service is full");
        return false;
    }
    const auto mean = mean_run_ms_.find(j.pool);
    if (mean != mean_run_ms_.end()) {
        const double wait = static_cast<double>(queue->second.size()) * mean->second / here.slots;
        if (wait > static_cast<double>(j.w.left_ms)) {
            refuse(copy, error_kind::too_late, "the queue is longer than the deadline");
            return false;
        }
    }
    return true;
}

void home::enqueue(const job& j)
{
    const catalogue::service* s = service_of(j);
    queues_[j.pool].push({j.w.id, j.w.team, j.w.service,
                          s == nullptr ? catalogue::service_class::normal : s->cls, j.deadline});
}

// ---- choice

double home::score(const pool_id& pool, const team_id& team) const
{
    const auto& teams = shared_.state().doc.teams;
    const auto known = teams.find(team);
    const double share = known == teams.end() ? 1.0 : known->second.share;
    std::uint32_t here = 0;
    if (const auto p = running_.find(pool); p != running_.end()) {
        if (const auto t = p->second.find(team); t != p->second.end()) {
            here = t->second;
        }
    }
    return admission::fair_score(here, shared_.router.running_elsewhere(pool, team, shared_.self()),
                                 shared_.router.homes(pool), share);
}

void home::pump_all()
{
    for (auto& [pool, queue] : queues_) {
        if (queue.size() > 0) {
            pump(pool);
        }
    }
}

void home::pump(const pool_id& pool)
{
    while (start_next(pool)) {
    }
}

bool home::start_next(const pool_id& pool)
{
    const auto queue = queues_.find(pool);
    if (queue == queues_.end() || queue->second.size() == 0) {
        return false;
    }
    const mono_time now = shared_.now();
    const auto allowed = [this](const server_id& id) { return permission(id); };
    const wire::pool_load here = table_.load(pool, now, allowed);
    if (here.free == 0) {
        return false;
    }
    const auto item = queue->second.pick([this](const team_id& t) { return ledger_.may_start(t); },
                                         [&](const team_id& t) { return score(pool, t); });
    if (!item) {
        for (const team_id& team : queue->second.teams()) {
            const auto waiting = static_cast<std::uint32_t>(queue->second.waiting(team));
            blocked_[team] = std::min(waiting, here.free);
            newly_blocked_ = true;
        }
        return false;
    }
    const auto found = jobs_.find(item->id);
    if (found == jobs_.end()) {
        return true;
    }
    job& j = found->second;
    if (!still_permitted(j)) {
        return true;
    }
    const auto server = table_.choose(pool, j.tried, now, allowed);
    if (!server) {
        refuse(j, error_kind::server_refused, "every other server here was tried");
        return true;
    }
    shared_.counters.observe(latency_kind::queue_wait, now - j.arrived);
    reserve(j, *server);
    if (j.told_queued && !j.repeatable) {
        ask(j);
    } else {
        run(j);
    }
    return true;
}

bool home::still_permitted(job& j)
{
    const catalogue::service* s = service_of(j);
    if (s == nullptr || !shared_.may_serve(*s)) {
        refuse(j, error_kind::not_serving, "the serving lease ended while the work waited");
        return false;
    }
    if (!j.w.key.empty() && !shared_.key_stands(j.w.key)) {
        refuse(j, error_kind::bad_key, "the key was withdrawn while the work waited");
        return false;
    }
    if (j.deadline <= shared_.now()) {
        refuse(j, error_kind::too_late, "the deadline passed while the work waited");
        return false;
    }
    return true;
}

void home::reserve(job& j, const server_id& server)
{
    const catalogue::service* s = service_of(j);
    dispatch::running_task task;
    task.team = j.w.team;
    task.pool = j.pool;
    task.over_at = shared_.now() + milliseconds{s->max_run_ms};
    table_.started(server, j.w.id, task);
    ledger_.started(j.w.team);
    ++running_[j.pool][j.w.team];
    j.server = server;
}

void home::unreserve(const job& j)
{
    if (const auto task = table_.ended(j.server, j.w.id, shared_.now())) {
        release(*task);
    }
}

void home::release(const dispatch::ended_task& task)
{
    // What ends above the cap is free for others only once the leader knows.
    newly_blocked_ = newly_blocked_ || ledger_.running(task.team) > ledger_.cap(task.team);
    ledger_.ended(task.team);
    --running_[task.pool][task.team];
}

// ---- start

void home::ask(job& j)
{
    j.at = phase::asking;
    j.step_started = shared_.now();
    if (!shared_.send(j.from, wire::start_ask{j.w.id})) {
        unreserve(j);
        forget(j.w.id);
    }
}

void home::received(const wire::start_answer& answer)
{
    const auto found = jobs_.find(answer.id);
    if (found == jobs_.end() || found->second.at != phase::asking) {
        return;
    }
    job& j = found->second;
    if (!answer.go) {
        const pool_id pool = j.pool;
        unreserve(j);
        forget(answer.id);
        pump(pool);
        return;
    }
    j.told_queued = false;
    // The state may have changed while the answer was under way.
    if (!permission(j.server).may_start) {
        unreserve(j);
        refuse(j, error_kind::no_server, "the server was taken out before the start");
        return;
    }
    const job before = j;
    if (!still_permitted(j)) {
        unreserve(before);
        return;
    }
    run(j);
}

void home::run(job& j)
{
    const mono_time now = shared_.now();
    const catalogue::service* s = service_of(j);
    const auto& server = table_.all().at(j.server);
    const auto allowed = permission(j.server);
    j.at = phase::running;
    j.step_started = now;
    http::client_request out;
    out.url = "http://" + server.info.address + "/" + j.w.path;
    out.body = j.w.body;
    out.timeout = milliseconds{s->max_run_ms};
    out.fresh_connection = !j.repeatable;
    out.headers = {
        {"Fescue-Request-Id", j.w.id.str()},
        {"Fescue-Team", j.w.team.str()},
        {"Fescue-Deadline-Ms", std::to_string(std::max<std::int64_t>(1, left_ms(j.deadline, now)))},
        {"Fescue-Pool", j.pool.str()},
        {"Fescue-Epoch", std::to_string(allowed.epoch)}};
    if (!j.w.content_type.empty()) {
        out.headers.push_back({"Content-Type", j.w.content_type});
    }
    shared_.counters.count("tasks_started");
    const request_id id = j.w.id;
    shared_.client.send(std::move(out), [this, id](http::client_response&& response) {
        answered(id, std::move(response));
    });
}

// ---- answers

void home::answered(const request_id& id, http::client_response&& response)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    job& j = found->second;
    const pool_id pool = j.pool;
    const mono_time now = shared_.now();
    const bool ours = response.how == http::delivery::answered && response.request_id == id.str();
    if (ours && response.status == unavailable && response.ran == "no") {
        unreserve(j);
        retry_elsewhere(j, retry_reason::server_refused);
    } else if (ours) {
        const double took = std::chrono::duration<double, std::milli>(now - j.step_started).count();
        const auto mean = mean_run_ms_.emplace(pool, took).first;
        mean->second += (took - mean->second) * mean_weight;
        shared_.counters.observe(latency_kind::server, now - j.step_started);
        table_.note(j.server,
                    response.status >= first_server_error ? dispatch::attempt_outcome::failed
                                                          : dispatch::attempt_outcome::answered,
                    now);
        unreserve(j);
        pass_on(j, std::move(response));
    } else if (response.how == http::delivery::not_sent) {
        table_.note(j.server, dispatch::attempt_outcome::failed, now);
        unreserve(j);
        retry_elsewhere(j, retry_reason::not_connected);
    } else {
        shared_.decisions.note(
            "server/" + j.server.str(),
            "its answer to request " + id.str() + " was not passed on: " +
                (response.fault.empty() ? "it names another request" : response.fault));
        table_.note(j.server, dispatch::attempt_outcome::failed, now);
        table_.lost(j.server, id, now);
        lost(j);
    }
    pump(pool);
}

void home::pass_on(job& j, http::client_response&& response)
{
    wire::work_reply r;
    r.id = j.w.id;
    r.may_have_run = true;
    r.status = response.status;
    r.content_type = std::move(response.content_type);
    r.body = std::move(response.body);
    if (j.w.claim_key.empty()) {
        reply(j, std::move(r));
    } else {
        reply_after_claim(j, std::move(r));
    }
}

void home::reply_after_claim(job& j, wire::work_reply&& r)
{
    catalogue::end_claim end;
    end.id = {j.w.team, j.w.claim_key};
    end.request = j.w.id;
    const bool fits = r.body.size() <= catalogue::largest_kept_answer;
    end.outcome = fits ? catalogue::claim_outcome::answered : catalogue::claim_outcome::unknown;
    end.status = r.status;
    end.content_type = r.content_type;
    end.body = fits ? r.body : std::string{};
    // The answer is kept before it is given, so that a resend finds it.
    shared_.control.propose(end, claim_patience,
                            [this, r = std::move(r)](const apply_outcome& /*kept*/) mutable {
                                const auto found = jobs_.find(r.id);
                                if (found != jobs_.end()) {
                                    reply(found->second, std::move(r));
                                }
                            });
}

void home::retry_elsewhere(job& j, retry_reason reason)
{
    j.tried.insert(j.server);
    const auto allowed = [this](const server_id& id) { return permission(id); };
    const bool another = table_.choose(j.pool, j.tried, shared_.now(), allowed).has_value();
    if (j.answered || j.deadline <= shared_.now() || j.tried.size() >= most_attempts || !another ||
        !budget_.spend()) {
        refuse(j, error_kind::server_refused, fmt::format("{} servers were tried", j.tried.size()));
        return;
    }
    shared_.counters.retried(reason);
    j.at = phase::waiting_to_retry;
    j.step_started = shared_.now() + jittered_backoff();
}

void home::lost(job& j)
{
    j.may_have_run = true;
    if (j.repeatable && !j.answered) {
        retry_elsewhere(j, retry_reason::answer_lost);
        return;
    }
    if (!j.w.claim_key.empty()) {
        catalogue::end_claim end;
        end.id = {j.w.team, j.w.claim_key};
        end.request = j.w.id;
        end.outcome = catalogue::claim_outcome::unknown;
        shared_.control.propose(end, claim_patience, nullptr);
    }
    refuse(j, error_kind::outcome_unknown, "the server's answer was lost");
}

void home::refuse(job& j, error_kind kind, const std::string& detail)
{
    wire::work_reply r;
    r.id = j.w.id;
    r.refused = true;
    r.kind = kind;
    r.detail = detail;
    r.may_have_run = j.may_have_run;
    reply(j, std::move(r));
}

void home::reply(job& j, wire::work_reply&& r)
{
    const request_id id = j.w.id;
    if (!j.answered) {
        shared_.send(j.from, std::move(r));
    }
    forget(id);
}

void home::forget(const request_id& id)
{
    jobs_.erase(id);
}

// ---- time

void home::sweep()
{
    const mono_time now = shared_.now();
    for (const dispatch::ended_task& task : table_.expire(now)) {
        release(task);
    }
    sweep_queues(now);
    sweep_jobs(now);
    pump_all();
}

void home::sweep_queues(mono_time now)
{
    for (auto& [pool, queue] : queues_) {
        if (queue.size() == 0) {
            continue;
        }
        const bool no_slots = load_of(pool).slots == 0;
        const auto gone = no_slots ? queue.take_if([](const auto& /*item*/) { return true; })
                                   : queue.take_expired(now);
        for (const admission::waiting_item& item : gone) {
            const auto found = jobs_.find(item.id);
            if (found == jobs_.end()) {
                continue;
            }
            if (no_slots) {
                refuse(found->second, error_kind::no_server, "the pool's servers here are gone");
            } else if (!ledger_.may_start(item.team)) {
                refuse(found->second, error_kind::at_limit,
                       fmt::format("team '{}' had {} running here and may have no more",
                                   item.team.str(), ledger_.running(item.team)));
            } else {
                refuse(found->second, error_kind::too_late, "the deadline passed in the queue");
            }
        }
    }
}

void home::sweep_jobs(mono_time now)
{
    std::vector<request_id> silent;
    for (auto& [id, j] : jobs_) {
        if (j.at == phase::asking && now - j.step_started > ask_patience) {
            silent.push_back(id);
        }
        if (j.at == phase::waiting_to_retry && now >= j.step_started) {
            j.at = phase::queued;
            enqueue(j);
        }
        if (j.at == phase::running && !j.answered && now >= j.deadline) {
            // The task goes on and keeps its place; only the caller is told.
            wire::work_reply r;
            r.id = id;
            r.refused = true;
            r.kind = error_kind::outcome_unknown;
            r.detail = "the deadline passed while the task ran";
            r.may_have_run = true;
            shared_.send(j.from, std::move(r));
            j.answered = true;
            j.may_have_run = true;
        }
    }
    for (const request_id& id : silent) {
        unreserve(jobs_.at(id));
        forget(id);
    }
}

// ---- servers

void home::announce(const wire::announcement& info)
{
    for (const dispatch::ended_task& task : table_.announce(info, shared_.now())) {
        release(task);
    }
    pump_all();
}

void home::received(const wire::release_ask& ask)
{
    ledger_.release(ask.team, ask.epoch, ask.keep);
    newly_blocked_ = true;
}

void home::give_back_all()
{
    for (const wire::allotment_use& use : ledger_.uses()) {
        ledger_.release(use.team, use.epoch, use.running);
    }
}

bool home::take_blocked() noexcept
{
    return std::exchange(newly_blocked_, false);
}

wire::load_report home::load() const
{
    wire::load_report out;
    out.accepting = !shared_.draining && shared_.serving() != membership::serving::none;
    for (const auto& [pool, about] : shared_.state().doc.pools) {
        wire::pool_load l = load_of(pool);
        const auto queue = queues_.find(pool);
        l.queued = queue == queues_.end() ? 0 : static_cast<std::uint32_t>(queue->second.size());
        if (l.slots > 0 || l.queued > 0) {
            out.pools.push_back(l);
        }
    }
    for (const auto& [pool, teams] : running_) {
        for (const auto& [team, count] : teams) {
            if (count > 0) {
                out.teams.push_back({pool, team, count});
            }
        }
    }
    return out;
}

void home::fill(wire::instance_report& report) const
{
    std::map<team_id, std::uint32_t> blocked;
    std::swap(blocked, blocked_);
    report.allotments = ledger_.uses();
    for (auto& [team, waiting] : blocked) {
        const auto same = [&team = team](const wire::allotment_use& u) { return u.team == team; };
        auto use = std::ranges::find_if(report.allotments, same);
        if (use == report.allotments.end()) {
            report.allotments.push_back({team, 0, 0, 0, 0});
            use = std::prev(report.allotments.end());
        }
        use->waiting = waiting;
    }
    const mono_time now = shared_.now();
    for (const auto& [id, s] : table_.all()) {
        wire::server_use use;
        use.id = id;
        use.life = s.info.life;
        use.running = s.occupied();
        use.leaving = s.info.leaving;
        use.alive = table_.alive(id, now);
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
