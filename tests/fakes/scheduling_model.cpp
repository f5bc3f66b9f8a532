#include "fakes/scheduling_model_parts.h"

#include "fleet/run_timing.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace fescue::fakes {

using namespace std::chrono_literals;

namespace {

constexpr mono_time model_start{std::chrono::seconds{1000}};
constexpr milliseconds tick_period{10};
constexpr milliseconds fault_time{30'000};
/** Time without faults after which every task must run or be done. */
constexpr milliseconds recovery_time{20'000};
/** Time after the last fault in which late orders still arrive. */
constexpr milliseconds settling_time{15'000};
/** The platform counts a long-running task as lost if, from 6 s after its last run, it does not run
 * for 3 s. */
constexpr milliseconds max_idle_time{9000};
/** An earlier document may be in force for this long after a later one has been applied. */
constexpr milliseconds document_apply_time{2000};
/** Allowed excess over a cap, beside one task. */
constexpr double cap_overage = 0.1;
constexpr std::int64_t task_cpu_milli = 1000;
constexpr std::int64_t caps_cpu_milli[] = {1000, 3000, 8000, 0};
const team_id capped_account{"capped"};
const jobs::queue_id queue_name{"q"};
const pool_id pool_without_servers{"empty"};
constexpr double late_order_rates[] = {0.05, 0.2, 0.5};

jobs::queue_terms make_terms()
{
    jobs::queue_terms terms;
    terms.max_failed_runs = 1000;
    return terms;
}

} // namespace

scheduling_model::scheduling_model(std::uint64_t seed, const model_faults& faults)
    : random_{seed}, faults_{faults},
      late_order_rate_{late_order_rates[seed % 3]}, loop_{manual_clock{model_start}},
      log_{loop_,
           instance_id{"log"},
           1,
           replication::any_store{store::memory_store{}},
           {},
           {[](const instance_id&, const wire::message&) { return false; },
            [this](const jobs::command& cmd, const jobs::outcome&) { on_applied(cmd); }, [] {},
            [](const error&) {}},
           {},
           // The single member elects itself this long after it resigned.
           consensus::timing{20ms, 20ms, 100ms}}
{
    limits_.max_stop_time = 900ms;
    server_events_.plan_run = [this](const jobs::run_id& run) {
        const bool fails = chance(0.1);
        if (!is_long_running(run.task)) {
            return run_plan{between(100ms, 3000ms),
                            fails ? jobs::run_outcome::failed : jobs::run_outcome::done};
        }
        return fails && faulty() ? run_plan{between(500ms, 8000ms), jobs::run_outcome::failed}
                                 : run_plan{};
    };
    server_events_.choose_stop_time = [this] { return between(0ms, limits_.max_stop_time); };
    server_events_.run_started = [this](const fake_server& server, const jobs::run_id& run) {
        on_run_started(server, run);
    };
    server_events_.run_ended = [this](const fake_server& server, const fleet::ended_run& end,
                                      mono_time at) {
        record(fmt::format("attempt {} ended as {} at {:.3f}", end.run.attempt,
                           jobs::name_of(end.outcome),
                           std::chrono::duration<double>(at - model_start).count()),
               server.id(), end.run.task);
        if (end.outcome == jobs::run_outcome::done) {
            done_runs_.emplace(end.run, false);
        }
    };
    server_events_.end_acknowledged = [this](const fleet::ended_run& end) {
        const auto done = done_runs_.find(end.run);
        if (end.outcome == jobs::run_outcome::done && done != done_runs_.end() && done->second) {
            report_violation("started again after an end as done that was acknowledged",
                             end.run.task);
        }
    };
    for (std::size_t i = 0; i < scheduler_count; ++i) {
        schedulers_.push_back(std::make_unique<scheduler>(*this, i));
    }
    for (std::size_t i = 0; i < machine_count; ++i) {
        machines_.push_back(std::make_unique<machine>());
        machines_.back()->address = fmt::format("10.0.0.{}:80", i);
        boot(*machines_.back(), false);
    }
}

scheduling_model::~scheduling_model() = default;

bool scheduling_model::chance(double probability)
{
    return std::uniform_real_distribution<double>{0, 1}(random_) < probability;
}

bool scheduling_model::happens_within(milliseconds mean_interval)
{
    return chance(static_cast<double>(tick_period.count()) /
                  static_cast<double>(mean_interval.count()));
}

milliseconds scheduling_model::between(milliseconds shortest, milliseconds longest)
{
    return milliseconds{std::uniform_int_distribution<milliseconds::rep>{shortest.count(),
                                                                         longest.count()}(random_)};
}

std::size_t scheduling_model::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>{0, count - 1}(random_);
}

void scheduling_model::record(std::string text, const server_id& server,
                              std::optional<jobs::task_id> task)
{
    static const bool print = std::getenv("FESCUE_TRACE") != nullptr;
    if (print) {
        fmt::print("{:.3f} {} {} {}\n",
                   std::chrono::duration<double>(loop_.now() - model_start).count(), server.str(),
                   task ? task->text() : "", text);
    }
    trace_.push_back({loop_.now(), task, server, std::move(text)});
}

void scheduling_model::report_violation(std::string kind, const jobs::task_id& task)
{
    record(kind, {}, task);
    if (!violation_) {
        violation_ = {loop_.now(), std::move(kind), task};
    }
}

void scheduling_model::call_after(milliseconds delay, std::function<void()> callback)
{
    const std::uint64_t number = next_call_++;
    pending_calls_[number] = loop_.after(delay, [this, number, callback = std::move(callback)] {
        pending_calls_.erase(number);
        callback();
    });
}

std::optional<model_violation> scheduling_model::run()
{
    log_.replica().form(7, loop_.now());
    loop_.advance(100ms);
    jobs::document doc;
    doc.version = 1;
    doc.pools.emplace(pool_id{}, jobs::job_pool{});
    if (faults_.caps || faults_.routes) {
        doc.pools.emplace(pool_without_servers, jobs::job_pool{});
        doc.accounts.emplace(capped_account, jobs::account{});
        jobs::queue q;
        q.id = queue_name;
        q.terms = make_terms();
        doc.queues.emplace(queue_name, q);
    }
    log_.propose_here(jobs::put_document{doc});
    for (std::uint64_t i = 0; i < long_running_jobs; ++i) {
        submit(true);
    }
    let_lead();
    // The servers report before the faults begin.
    faults_end_ = loop_.now();
    const auto ticker = loop_.every(tick_period, [this] { tick(); });
    loop_.advance(2000ms);
    faults_end_ = loop_.now() + fault_time;
    const mono_time end = faults_end_ + settling_time + recovery_time;
    bool restored = false;
    while (loop_.now() < end && !violation_) {
        loop_.advance(tick_period);
        // There may be no leader at first.
        if (!restored && !faulty()) {
            restored = restore_document();
        }
        const bool recovered = loop_.now() >= faults_end_ + recovery_time;
        if (const auto idle = recovered ? find_idle_task() : std::nullopt) {
            report_violation("does not run although there were no faults", *idle);
        }
        if (loop_.now() >= faults_end_ + recovery_time && !faults_.late_orders) {
            break;
        }
    }
    return violation_;
}

void scheduling_model::submit(bool long_running)
{
    jobs::job_spec spec;
    spec.steps.resize(1);
    spec.steps[0].need = {task_cpu_milli, 1000, 0};
    spec.steps[0].long_running = long_running;
    const jobs::job_id id{++next_job_};
    const team_id account = faults_.caps && is_capped(id) ? capped_account : team_id{};
    log_.propose_here(jobs::submit_job{id, queue_name, make_terms(), account, spec, 1});
}

bool scheduling_model::change_document(const std::function<void(jobs::document&)>& change)
{
    jobs::document doc = log_.state().doc;
    change(doc);
    ++doc.version;
    return log_.propose_here(jobs::put_document{doc});
}

void scheduling_model::change_cap()
{
    const std::int64_t cap = caps_cpu_milli[pick(std::size(caps_cpu_milli))];
    record(fmt::format("the cap becomes {}", cap));
    change_document(
        [&](jobs::document& doc) { doc.accounts.at(capped_account).cap.cpu_milli = cap; });
}

void scheduling_model::change_route()
{
    const pool_id pool = chance(0.5) ? pool_id{} : pool_without_servers;
    record(fmt::format("the queue's pool becomes '{}'", pool.str()));
    change_document([&](jobs::document& doc) { doc.queues.at(queue_name).terms.pool = pool; });
}

bool scheduling_model::restore_document()
{
    if (!faults_.caps && !faults_.routes) {
        return true;
    }
    return change_document([](jobs::document& doc) {
        doc.accounts.at(capped_account).cap = {};
        doc.queues.at(queue_name).terms.pool = pool_id{};
    });
}

bool scheduling_model::has_room_in_cap(std::int64_t added_cpu) const
{
    const auto account = log_.state().doc.accounts.find(capped_account);
    const auto in_use = log_.state().in_use.find(capped_account);
    const std::int64_t cap =
        account == log_.state().doc.accounts.end() ? 0 : account->second.cap.cpu_milli;
    const std::int64_t used = in_use == log_.state().in_use.end() ? 0 : in_use->second.cpu_milli;
    return cap == 0 || used + added_cpu + task_cpu_milli <= cap;
}

void scheduling_model::check_documents(const jobs::run_id& run)
{
    // Those in force when the order was sent or since, and those that may have been.
    const mono_time since = std::min(executed_start_sent_at_, loop_.now() - document_apply_time);
    std::int64_t highest_cap = 0;
    bool has_no_cap = false;
    bool is_routed = false;
    for (std::size_t i = 0; i < documents_.size(); ++i) {
        const bool ended_before = i + 1 < documents_.size() && documents_[i + 1].first < since;
        if (ended_before) {
            continue;
        }
        const jobs::document& doc = documents_[i].second;
        const auto account = doc.accounts.find(capped_account);
        const std::int64_t cap = account == doc.accounts.end() ? 0 : account->second.cap.cpu_milli;
        has_no_cap = has_no_cap || cap == 0;
        highest_cap = std::max(highest_cap, cap);
        const auto queue = doc.queues.find(queue_name);
        is_routed = is_routed || queue == doc.queues.end() || queue->second.terms.pool.empty();
    }
    if (!is_routed) {
        report_violation("started in a pool that no document sends it to", run.task);
    }
    if (!is_capped(run.task.job) || has_no_cap) {
        return;
    }
    std::int64_t used = 0;
    for (std::uint64_t number = 1; number <= next_job_; ++number) {
        const jobs::task_id task{jobs::job_id{number}, 0, 0, 0};
        for (const auto& m : machines_) {
            const bool counts = is_capped(task.job) && m->server;
            used += counts ? static_cast<std::int64_t>(m->server->active_attempts(task).size()) *
                                 task_cpu_milli
                           : 0;
        }
    }
    const double allowed =
        static_cast<double>(highest_cap) * (1 + cap_overage) + static_cast<double>(task_cpu_milli);
    if (static_cast<double>(used) > allowed) {
        report_violation(
            fmt::format("brings its account to {} with a cap of {}", used, highest_cap), run.task);
    }
}

std::optional<jobs::task_id> scheduling_model::find_idle_task() const
{
    for (std::uint64_t number = 1; number <= next_job_; ++number) {
        const jobs::task_id task{jobs::job_id{number}, 0, 0, 0};
        const auto job = log_.state().jobs.find(task.job);
        if (job == log_.state().jobs.end() || has_ended(job->second.phase)) {
            continue;
        }
        const bool active = std::ranges::any_of(machines_, [&](const auto& m) {
            return m->server && !m->server->active_attempts(task).empty();
        });
        if (!active && log_.state().find(task)->phase == jobs::task_phase::waiting) {
            return task;
        }
        const bool expected_for_long =
            is_long_running(task) || loop_.now() >= faults_end_ + recovery_time + 5s;
        if (!active && expected_for_long) {
            return task;
        }
    }
    return std::nullopt;
}

void scheduling_model::tick()
{
    settle_servers();
    answer_polls();
    if (faults_.relapses || faults_.early_relapses) {
        check_idle_times();
    }
    if (faulty()) {
        inject_server_faults();
        if (faults_.leader_changes && happens_within(5000ms)) {
            change_leader();
        }
        if (faults_.stopped_leaders && happens_within(6000ms)) {
            stop_leader();
        }
        if (faults_.caps && happens_within(3000ms)) {
            change_cap();
        }
        if (faults_.routes && happens_within(4000ms)) {
            change_route();
        }
        if (loop_.now() >= next_submission_) {
            next_submission_ = loop_.now() + between(50ms, 500ms);
            submit(false);
        }
    }
    for (const auto& m : machines_) {
        if (m->server && loop_.now() >= m->next_report) {
            m->next_report = loop_.now() + between(500ms, 1500ms);
            send_report(*m);
        }
    }
    tick_schedulers();
}

void scheduling_model::check_idle_times()
{
    for (std::uint64_t number = 1; number <= long_running_jobs; ++number) {
        const jobs::task_id task{jobs::job_id{number}, 0, 0, 0};
        const bool active = std::ranges::any_of(machines_, [&](const auto& m) {
            return m->server && !m->server->active_attempts(task).empty();
        });
        const auto job = log_.state().jobs.find(task.job);
        // A job whose servers crash again and again may be given up.
        const bool ended = job == log_.state().jobs.end() || has_ended(job->second.phase);
        mono_time& since = last_active_.try_emplace(task, loop_.now()).first->second;
        if (active || ended) {
            since = loop_.now();
        } else if (loop_.now() - since > max_idle_time) {
            report_violation("has no run for longer than the platform allows", task);
        }
    }
}

void scheduling_model::tick_schedulers()
{
    for (const auto& s : schedulers_) {
        if (s->stopped) {
            continue;
        }
        s->order_relay.tick();
        s->driver.tick();
        for (const auto& ended : s->driver.take_ended_servers()) {
            for (const auto& other : schedulers_) {
                if (other != s) {
                    deliver(*other,
                            [to = other.get(), ended] { to->driver.on_server_ended(ended); });
                }
            }
        }
        if (s->driver.leading()) {
            start_waiting_tasks(*s);
        }
    }
}

scheduling_model::scheduler* scheduling_model::leader()
{
    const auto found = std::ranges::find_if(
        schedulers_, [](const auto& s) { return !s->stopped && s->driver.leading(); });
    return found == schedulers_.end() ? nullptr : found->get();
}

void scheduling_model::deliver(scheduler& to, std::function<void()> callback)
{
    call_after(between(1ms, 30ms), [&to, callback = std::move(callback)] {
        if (to.stopped) {
            to.backlog.push_back(callback);
        } else {
            callback();
        }
    });
}

void scheduling_model::change_leader()
{
    scheduler* old = leader();
    if (old == nullptr || leader_change_pending_ || old->holds_calls) {
        return;
    }
    record(old->id + " stops leading");
    log_.replica().resign(loop_.now());
    old->driver.on_leadership_lost();
    leader_change_pending_ = true;
    call_after(between(300ms, 1500ms), [this] { let_lead(); });
}

void scheduling_model::stop_leader()
{
    scheduler* old = leader();
    if (old == nullptr || leader_change_pending_ || old->holds_calls) {
        return;
    }
    old->holds_calls = true;
    leader_change_pending_ = true;
    call_after(between(10ms, 60ms), [this, old] {
        record(fmt::format("{} is stopped", old->id));
        old->stopped = true;
        log_.replica().resign(loop_.now());
        call_after(between(1000ms, 2500ms), [this] { let_lead(); });
        call_after(between(1500ms, 9000ms), [this, old] {
            record(
                fmt::format("{} goes on, {} orders of it leave", old->id, old->held_calls.size()));
            old->stopped = false;
            old->holds_calls = false;
            if (old->driver.leading()) {
                old->driver.on_leadership_lost();
            }
            for (const auto& callback : std::exchange(old->backlog, {})) {
                callback();
            }
            for (const call& order : std::exchange(old->held_calls, {})) {
                send(order);
            }
        });
    });
}

void scheduling_model::let_lead()
{
    std::vector<scheduler*> candidates;
    for (const auto& s : schedulers_) {
        if (!s->stopped) {
            candidates.push_back(s.get());
        }
    }
    if (candidates.empty()) {
        call_after(500ms, [this] { let_lead(); });
        return;
    }
    scheduler& next = *candidates[pick(candidates.size())];
    leader_change_pending_ = false;
    next.driver.on_leadership_gained();
    record(fmt::format("{} leads in term {}", next.id, log_.replica().term()));
}

void scheduling_model::on_applied(const jobs::command& cmd)
{
    if (std::holds_alternative<jobs::put_document>(cmd)) {
        documents_.emplace_back(loop_.now(), log_.state().doc);
    }
    if (const auto* starts = std::get_if<jobs::start_runs>(&cmd)) {
        for (const jobs::start_run& start : starts->runs) {
            // A start that reaches no server begins another wait.
            last_active_[start.run.task] = loop_.now();
            record(fmt::format("log: start of attempt {} in life {}", start.run.attempt,
                               start.incarnation_id),
                   start.server, start.run.task);
        }
    } else if (const auto* ends = std::get_if<jobs::end_runs>(&cmd)) {
        for (const jobs::end_run& end : ends->ends) {
            record(fmt::format("log: attempt {} has ended as {}", end.run.attempt,
                               jobs::name_of(end.outcome)),
                   {}, end.run.task);
            const auto job = log_.state().jobs.find(end.run.task.job);
            if (job != log_.state().jobs.end() && job->second.phase == jobs::job_phase::completed) {
                done_tasks_.insert(end.run.task);
            }
        }
    }
    for (const auto& s : schedulers_) {
        if (s->stopped) {
            s->backlog.push_back([to = s.get(), cmd] { to->driver.on_applied(cmd); });
        } else {
            s->driver.on_applied(cmd);
        }
    }
}

void scheduling_model::start_waiting_tasks(scheduler& from)
{
    // The conditions of fleet::dispatcher.
    constexpr milliseconds report_timeout{4500};
    const mono_time now = loop_.now();
    std::vector<const fleet::server_view*> candidates;
    for (const auto& [id, view] : from.driver.servers()) {
        const bool excluded = view.has_shut_down || view.report.leaving || view.unresponsive() ||
                              now - view.last_report_at >= report_timeout || view.cordoned ||
                              !view.may_renew_lease() || now < view.refused_until ||
                              view.capacity_outdated || view.unknown_runs > 0 ||
                              !view.clock.lower_bound(now) || !(view.fenced || view.runs.empty()) ||
                              !jobs::resources{1000, 1000, 0}.fits(view.free());
        if (!excluded) {
            candidates.push_back(&view);
        }
    }
    if (candidates.empty() || !from.context.has_leader_lease()) {
        return;
    }
    jobs::start_runs batch;
    std::int64_t added_cpu = 0;
    for (const jobs::job_id& id : log_.state().active_jobs) {
        const jobs::task_id task{id, 0, 0, 0};
        const jobs::job& job = log_.state().jobs.at(id);
        const bool is_limited = job.account == capped_account;
        if (!log_.state().current_terms(job).pool.empty() ||
            (is_limited && !has_room_in_cap(added_cpu))) {
            continue;
        }
        const jobs::task* t = log_.state().find(task);
        if (t != nullptr && t->phase == jobs::task_phase::waiting &&
            !has_ended(log_.state().jobs.at(id).phase)) {
            const fleet::server_view& view = *candidates[pick(candidates.size())];
            batch.runs.push_back(
                {{task, t->attempt + 1}, view.report.id, view.report.incarnation_id});
            added_cpu += is_limited ? task_cpu_milli : 0;
        }
    }
    if (!batch.runs.empty()) {
        log_.propose_here(batch);
    }
}

void scheduling_model::on_run_started(const fake_server& server, const jobs::run_id& run)
{
    ++starts_;
    last_active_[run.task] = loop_.now();
    record(fmt::format("attempt {} runs in life {} (clock {} ms)", run.attempt,
                       server.incarnation_id(), server.clock_ms(loop_.now())),
           server.id(), run.task);
    settle_servers();
    std::size_t active = 0;
    for (const auto& m : machines_) {
        active += m->server ? m->server->active_attempts(run.task).size() : 0;
    }
    if (active > 1) {
        report_violation("runs twice at the same time", run.task);
    }
    if (faults_.caps || faults_.routes) {
        check_documents(run);
    }
    if (done_tasks_.contains(run.task)) {
        report_violation("started after the log recorded its end as done", run.task);
    }
    for (auto done = done_runs_.lower_bound({run.task, 0});
         done != done_runs_.end() && done->first.task == run.task; ++done) {
        done->second = true;
    }
}

std::string scheduling_model::trace(const model_violation& violation) const
{
    std::set<server_id> servers;
    for (const trace_event& e : trace_) {
        if (e.task == violation.task) {
            servers.insert(e.server);
        }
    }
    std::string out;
    for (const trace_event& e : trace_) {
        const bool concerns_task = e.task && *e.task == violation.task;
        const bool concerns_server = !e.task && (e.server.empty() || servers.contains(e.server));
        if (concerns_task || concerns_server) {
            out += fmt::format("{:8.3f} {:5} {}\n",
                               std::chrono::duration<double>(e.at - model_start).count(),
                               e.server.str(), e.text);
        }
    }
    return out;
}

} // namespace fescue::fakes
