#include "dispatcher.h"

#include "run_timing.h"
#include "scheduling_round.h"
#include "scope_timer.h"

#include "fescuestream/base/log.h"

#include <algorithm>
#include <cmath>

namespace fescue::fleet {

namespace {

using scheduler::queued_job;
using scheduler::server_candidate;

/** Minimum time between two rounds, so that one round handles several run ends and new jobs. */
constexpr milliseconds min_round_interval{8};
/** Maximum time between two rounds; some conditions for a start change with time alone. */
constexpr milliseconds max_round_interval{100};
constexpr milliseconds stats_log_interval{1000};
constexpr double milli_per_core = 1000.0;
constexpr double percent = 100.0;
/** A batch of starts not applied within this time is assumed lost in a change of leader. */
constexpr milliseconds batch_timeout{3000};

bool has_trial_task(const server_view& view)
{
    return std::ranges::any_of(view.runs, [](const auto& entry) {
        return !entry.second.long_running || !entry.second.ready_since;
    });
}

} // namespace

dispatcher::dispatcher(core_context& shared, run_driver& driver) : context_{shared}, driver_{driver}
{
}

void dispatcher::on_leadership_gained()
{
    batch_in_flight_ = false;
    started_runs_.clear();
    waiting_tasks_.clear();
    waiting_suspects_.clear();
    last_failed_server_.clear();
    searches_.clear();
    round_due_ = true;
}

void dispatcher::on_applied(const jobs::command& cmd)
{
    if (std::holds_alternative<jobs::start_runs>(cmd)) {
        batch_in_flight_ = false;
        const auto commit_time =
            std::chrono::duration_cast<milliseconds>(context_.now() - last_round_);
        round_stats_.max_commit_time = std::max(round_stats_.max_commit_time, commit_time);
        for (const jobs::start_run& start : std::get<jobs::start_runs>(cmd).runs) {
            record_run_start(start);
        }
    } else if (const auto* ends = std::get_if<jobs::end_runs>(&cmd)) {
        record_run_ends(*ends);
    } else if (const auto* job = std::get_if<jobs::submit_job>(&cmd)) {
        record_arrival(*job);
    }
    round_due_ = true;
}

void dispatcher::record_arrival(const jobs::submit_job& cmd)
{
    if (cmd.spec.has_long_running_steps() || cmd.spec.schedule.times > 0) {
        return;
    }
    double core_ms = 0;
    for (const jobs::step_spec& step : cmd.spec.steps) {
        core_ms += times_.expected_ms(cmd.queue, step.estimate_ms) * step.tasks *
                   static_cast<double>(step.required_capacity().cpu_milli) / milli_per_core;
    }
    arrivals_.record_arrival(cmd.terms.pool, core_ms, context_.now());
}

void dispatcher::record_run_start(const jobs::start_run& start)
{
    const auto* spec = context_.state().find_step_spec(start.run.task);
    double expected_ms = 0;
    if (spec != nullptr && !spec->long_running) {
        const auto& queue = context_.state().jobs.at(start.run.task.job).queue;
        expected_ms = times_.expected_ms(queue, spec->estimate_ms);
    }
    started_runs_[start.run.task] = {start.run.attempt, start.server, context_.now(),
                                     milliseconds{std::llround(expected_ms)}};
}

void dispatcher::record_run_ends(const jobs::end_runs& cmd)
{
    const mono_time now = context_.now();
    for (const jobs::end_run& e : cmd.ends) {
        const auto started = started_runs_.find(e.run.task);
        if (started == started_runs_.end() || started->second.attempt != e.run.attempt) {
            continue;
        }
        const started_run run = started->second;
        started_runs_.erase(started);
        const auto* spec = context_.state().find_step_spec(e.run.task);
        if (e.outcome == jobs::run_outcome::done) {
            health_.record_success(run.server);
            last_failed_server_.erase(e.run.task);
            if (spec != nullptr && !spec->long_running) {
                const auto& queue = context_.state().jobs.at(e.run.task.job).queue;
                const double run_time_ms =
                    std::chrono::duration<double, std::milli>(now - run.started_at).count();
                times_.record(queue, spec->estimate_ms, run_time_ms);
            }
        } else if (e.outcome == jobs::run_outcome::failed) {
            health_.record_failure(run.server, now);
            last_failed_server_[e.run.task] = run.server;
        }
    }
}

void dispatcher::run_if_due()
{
    if (!driver_.leading() || !context_.has_leader_lease()) {
        return;
    }
    const auto since = context_.now() - last_round_;
    if (batch_in_flight_ && since > batch_timeout) {
        batch_in_flight_ = false;
    }
    if (batch_in_flight_ || since < min_round_interval ||
        (!round_due_ && since < max_round_interval)) {
        return;
    }
    run_round();
}

void dispatcher::run_round()
{
    round_due_ = false;
    last_round_ = context_.now();
    start_occurrences();
    scheduling_round round;
    round.now = context_.now();
    round.wall = wall_now();
    round.max_starts = scheduler::starts_allowed(driver_.outstanding_orders());
    gather_suspects(round);
    gather_servers(round);
    gather_jobs(round);
    reserve_servers(round);
    for (const auto& [id, pool] : context_.state().doc.pools) {
        loads_[id].arrival_cpu = arrivals_.cpu_milli(id, round.now);
    }
    start_tasks_by_pool(round);
    ++round_stats_.rounds;
    round_stats_.starts += round.batch.runs.size();
    round_stats_.bounded +=
        !round.batch.runs.empty() && round.batch.runs.size() >= round.max_starts ? 1 : 0;
    round_stats_.max_outstanding_orders =
        std::max(round_stats_.max_outstanding_orders, driver_.outstanding_orders());
    log_round_stats(round);
    if (round.batch.runs.empty()) {
        return;
    }
    batch_in_flight_ = context_.log.propose_here(round.batch);
}

void dispatcher::start_tasks_by_pool(scheduling_round& round)
{
    std::vector<std::size_t> wanted;
    for (auto& [pool, jobs] : round.waiting) {
        scheduler::sort_by_urgency(jobs);
        wanted.push_back(round.waiting_tasks.at(pool));
    }
    if (wanted.empty()) {
        return;
    }
    const auto shares = scheduler::share_starts(round.max_starts, wanted, first_pool_++);
    std::size_t i = 0;
    round.max_starts = 0;
    for (const auto& [pool, jobs] : round.waiting) {
        // Starts that the previous pools did not use are available to this one.
        round.max_starts += shares[i++];
        start_tasks(round, pool);
    }
}

void dispatcher::log_round_stats(const scheduling_round& round)
{
    if (last_round_ - stats_logged_ < stats_log_interval) {
        return;
    }
    stats_logged_ = last_round_;
    waiting_tasks_.remove_obsolete(context_.state());
    waiting_suspects_.remove_obsolete(context_.state());
    waiting_tasks_.log_longest(context_.state(), round.availability, round.now);
    log::info("scheduling_rounds", {{"rounds", round_stats_.rounds},
                                    {"starts", round_stats_.starts},
                                    {"bounded", round_stats_.bounded},
                                    {"reservations", round_stats_.reservations},
                                    {"max_outstanding_orders", round_stats_.max_outstanding_orders},
                                    {"max_commit_ms", round_stats_.max_commit_time.count()},
                                    {"load_percent", std::lround(driver_.load() * percent)}});
    round_stats_ = {};
    for (const auto& [pool, load] : loads_) {
        if (load.startable_cpu > 0 || load.free_cpu < load.capacity_cpu) {
            log::info("pool_load",
                      {{"pool", pool.str()},
                       {"servers", load.servers},
                       {"cpu_milli", load.capacity_cpu},
                       {"free_cpu_milli", load.free_cpu},
                       {"wanted_cpu_milli", load.startable_cpu},
                       {"late_cpu_milli", load.late_cpu},
                       {"arriving_cpu_milli", load.arrival_cpu},
                       {"lasting_cpu_milli", load.long_running_cpu},
                       {"backlog_core_ms", static_cast<std::int64_t>(load.backlog_core_ms)}});
        }
    }
}

void dispatcher::start_occurrences()
{
    const wall_ms now = wall_now();
    for (const jobs::job_id& id : context_.state().recurring_jobs) {
        const jobs::job& j = context_.state().jobs.at(id);
        const auto& schedule = j.spec.schedule;
        const wall_ms due = schedule.first_at + schedule.interval_ms * j.occurrences_opened;
        if (now < due) {
            continue;
        }
        if (!context_.stored_jobs.admit_occurrence(id, context_.state(), context_.now())) {
            context_.counters.count("occurrences_postponed");
        } else {
            context_.log.propose_here(jobs::start_occurrence{id, j.occurrences_opened});
        }
    }
}

void dispatcher::gather_servers(scheduling_round& round)
{
    const scope_timer timing{"gather_servers"};
    loads_.clear();
    const auto& state = context_.state();
    for (const auto& [id, view] : driver_.servers()) {
        start_obstacle obstacle =
            find_server_obstacle(view, state, context_.settings.bounds, round.now);
        const bool may_get_runs =
            obstacle == start_obstacle::none || obstacle == start_obstacle::capacity_unconfirmed;
        const start_obstacle of_placement = find_placement_obstacle(view, round.now);
        if (may_get_runs && of_placement != start_obstacle::none) {
            obstacle = of_placement;
        }
        const bool capacity_unconfirmed = obstacle == start_obstacle::capacity_unconfirmed;
        std::string_view reason = name_of(obstacle);
        if (reason.empty() && health_.is_backed_off(id, round.now)) {
            reason = "backed_off";
        }
        round.availability[view.report.pool].push_back(
            {&view, reason.empty() && view.draining ? "draining" : reason});
        if ((reason.empty() || capacity_unconfirmed) && !view.draining) {
            pool_load& load = loads_[view.report.pool];
            load.capacity_cpu += view.report.capacity.cpu_milli;
            load.free_cpu += view.free().cpu_milli;
            ++load.servers;
        }
        if (!reason.empty()) {
            continue;
        }
        server_candidate c;
        c.server = &view.report;
        c.free = view.free();
        c.long_running_tasks = view.long_running_count;
        c.latency_limited = view.latency_limited_count > 0;
        c.consecutive_failures = health_.consecutive_failures(id);
        c.is_on_trial = health_.is_on_trial(id);
        c.has_trial_task = c.is_on_trial && has_trial_task(view);
        if (c.has_trial_task) {
            round.availability[view.report.pool].back().exclusion = "on_trial";
        }
        c.maintenance_due = view.maintenance_due;
        c.draining = view.draining;
        c.runs = view.runs.size();
        if (const auto held = round.suspects.find(id); held != round.suspects.end()) {
            c.suspects = held->second.runs;
            c.suspect_jobs = held->second.jobs;
        }
        round.servers[view.report.pool].push_back(std::move(c));
    }
}

void dispatcher::gather_jobs(scheduling_round& round)
{
    const scope_timer timing{"gather_jobs"};
    const auto& state = context_.state();
    for (const jobs::job_id& id : state.active_jobs) {
        const jobs::job& j = state.jobs.at(id);
        if (has_ended(j.phase)) {
            continue;
        }
        const pool_id& pool = state.current_terms(j).pool;
        pool_load& load = loads_[pool];
        bool waits = false;
        std::int64_t job_cpu = 0;
        for (const auto& [number, o] : j.occurrences) {
            for (std::size_t i = 0; i < o.steps.size(); ++i) {
                const auto& st = o.steps[i];
                const jobs::step_spec& spec = j.spec.steps[i];
                const std::int64_t task_cpu = spec.required_capacity().cpu_milli;
                const auto waiting =
                    static_cast<std::int64_t>(st.tasks.size() - st.done - st.running);
                std::int64_t over_cap = 0;
                if (waiting > 0 && j.may_start(o, i)) {
                    waits = true;
                    round.waiting_tasks[pool] += static_cast<std::size_t>(waiting);
                    if (spec.long_running) {
                        waiting_tasks_.record_step({id, number, static_cast<std::uint32_t>(i), 0},
                                                   st.tasks, last_round_);
                    }
                    const std::int64_t startable =
                        claim_within_cap(round, j.account, spec.need, waiting);
                    over_cap = waiting - startable;
                    load.startable_cpu += startable * task_cpu;
                    job_cpu += startable * task_cpu;
                }
                if (spec.long_running) {
                    load.long_running_cpu +=
                        (static_cast<std::int64_t>(st.tasks.size()) - over_cap) * task_cpu;
                }
                job_cpu += static_cast<std::int64_t>(st.running) * task_cpu;
            }
        }
        if (waits) {
            const queued_job s = make_queued_job(id, j);
            load.backlog_core_ms += s.long_running ? 0 : s.remaining_core_ms;
            const scheduler::urgency urgency = scheduler::urgency_of(s);
            load.late_cpu += urgency >= scheduler::urgency::late ? job_cpu : 0;
            round.waiting[pool].push_back(s);
        }
    }
}

queued_job dispatcher::make_queued_job(const jobs::job_id& id, const jobs::job& j) const
{
    queued_job s;
    s.job = id;
    const jobs::queue_terms& terms = context_.state().current_terms(j);
    s.priority = terms.priority;
    s.long_running = j.spec.has_long_running_steps();
    s.started = j.phase == jobs::job_phase::in_progress;
    std::vector<double> whole;
    std::vector<double> left;
    for (std::size_t i = 0; i < j.spec.steps.size(); ++i) {
        const jobs::step_spec& spec = j.spec.steps[i];
        const double expected = times_.expected_ms(j.queue, spec.estimate_ms);
        std::uint64_t open = 0;
        for (const auto& [number, o] : j.occurrences) {
            open += o.steps[i].tasks.size() - o.steps[i].done;
        }
        whole.push_back(expected);
        left.push_back(open > 0 ? expected : 0);
        s.remaining_core_ms += static_cast<double>(open) * expected *
                               static_cast<double>(spec.need.cpu_milli) / 1000.0;
    }
    const double chain = scheduler::compute_critical_path_ms(j.spec.steps, whole);
    s.critical_path_ms = scheduler::compute_critical_path_ms(j.spec.steps, left);
    const auto age = static_cast<double>(wall_now() - j.accepted_at);
    const double time_limit = terms.slack_factor * chain + static_cast<double>(terms.slack_ms);
    s.time_to_deadline_ms = time_limit - age;
    if (j.spec.schedule.times == 0) {
        s.time_to_expiry_ms = scheduler::max_lateness_factor * time_limit - age;
    }
    return s;
}

} // namespace fescue::fleet
