#include "dispatcher.h"
#include "scheduling_round.h"
#include "scope_timer.h"
#include "start_gate.h"

#include "fescuestream/base/log.h"

#include <algorithm>
#include <cmath>

namespace fescue::fleet {

namespace {

using jobs::task_id;
using scheduler::queued_job;
using scheduler::server_candidate;

/** A long-running task that has waited this long may start on a server that is being drained. The
 * platform tolerates a wait of 3 s. */
constexpr milliseconds max_wait_for_drain{2000};
/** A long-running task that has waited this long needs another machine in its pool. Obstacles that
 * pass sooner, such as the wait after a refused start, are not worth a move. */
constexpr milliseconds max_wait_before_move{1000};

std::size_t count_waiting(std::span<const jobs::task> tasks)
{
    return static_cast<std::size_t>(
        std::ranges::count(tasks, jobs::task_phase::waiting, &jobs::task::phase));
}

} // namespace

bool dispatcher::has_room_in_cap(const scheduling_round& round, const team_id& account,
                                 const jobs::resources& need) const
{
    const auto& in_use = context_.state().in_use;
    jobs::resources sum = need;
    if (const auto used = in_use.find(account); used != in_use.end()) {
        sum += used->second;
    }
    if (const auto added = round.added_usage.find(account); added != round.added_usage.end()) {
        sum += added->second;
    }
    return is_within_cap(context_.state(), account, sum);
}

std::int64_t dispatcher::claim_within_cap(scheduling_round& round, const team_id& account,
                                          const jobs::resources& need, std::int64_t tasks) const
{
    const jobs::resources* cap = find_cap(context_.state(), account);
    if (cap == nullptr) {
        return tasks;
    }
    const auto& in_use = context_.state().in_use;
    jobs::resources& claimed = round.claimed_usage[account];
    jobs::resources used = claimed;
    if (const auto running = in_use.find(account); running != in_use.end()) {
        used += running->second;
    }
    const auto limit = [&](std::int64_t amount, std::int64_t available, std::int64_t task_need) {
        if (available > 0 && task_need > 0) {
            tasks = std::min(tasks, std::max<std::int64_t>(0, available - amount) / task_need);
        }
    };
    limit(used.cpu_milli, cap->cpu_milli, need.cpu_milli);
    limit(used.memory_mb, cap->memory_mb, need.memory_mb);
    limit(used.accelerators, cap->accelerators, need.accelerators);
    claimed += {need.cpu_milli * tasks, need.memory_mb * tasks, need.accelerators * tasks};
    return tasks;
}

void dispatcher::pool_searches::begin_round()
{
    plain.begin_round();
    of_one_crash.begin_round();
    of_several_crashes.begin_round();
}

void dispatcher::pool_searches::end_round()
{
    plain.end_round();
    of_one_crash.end_round();
    of_several_crashes.end_round();
}

void dispatcher::start_tasks(scheduling_round& round, const pool_id& pool)
{
    const scope_timer timing{"start_tasks"};
    auto& servers = round.servers[pool];
    pool_searches& searches = searches_[pool];
    searches.begin_round();
    round.searches = &searches;
    round.failed_searches = {};
    round.reservations = {};
    for (const queued_job& s : round.waiting.at(pool)) {
        round.job = &s;
        if (round.batch.runs.size() >= round.max_starts || searches.plain.is_exhausted()) {
            return;
        }
        if (!searches.plain.may_search(s.job)) {
            continue;
        }
        const std::size_t before = round.batch.runs.size();
        start_job(round, s.job, servers);
        if (round.batch.runs.size() > before) {
            searches.plain.record_start();
        }
    }
    searches.end_round();
}

void dispatcher::start_job(scheduling_round& round, const jobs::job_id& id,
                           std::vector<server_candidate>& servers)
{
    const jobs::job& j = context_.state().jobs.at(id);
    for (const auto& [number, o] : j.occurrences) {
        for (std::uint32_t i = 0; i < o.steps.size(); ++i) {
            if (o.steps[i].running + o.steps[i].done < o.steps[i].tasks.size() &&
                j.may_start(o, i) && has_room_in_cap(round, j.account, j.spec.steps[i].need)) {
                start_step(round, id, j, number, i, servers);
            }
        }
    }
}

void dispatcher::record_unplaced_tasks(const scheduling_round& round, const task_id& first,
                                       const jobs::step_spec& spec,
                                       const std::vector<jobs::task>& tasks)
{
    scheduler::unplaced_tasks unplaced{spec.label, spec.required_capacity(), spec.max_per_server};
    std::size_t waiting = 0;
    for (task_id task = first; task.index < tasks.size() && waiting < max_recorded_tasks_per_step;
         ++task.index) {
        if (tasks[task.index].phase != jobs::task_phase::waiting) {
            continue;
        }
        ++waiting;
        if (waiting_tasks_.waiting_time(task, round.now) >= max_wait_before_move) {
            ++unplaced.tasks;
        }
    }
    if (unplaced.tasks > 0) {
        const jobs::job& j = context_.state().jobs.at(first.job);
        loads_[context_.state().current_terms(j).pool].unplaced.push_back(std::move(unplaced));
    }
}

std::optional<std::size_t> dispatcher::find_server(scheduling_round& round,
                                                   std::span<const server_candidate> servers,
                                                   const jobs::step_spec& spec,
                                                   const scheduler::placement_hints& hints,
                                                   bool is_gang_begun)
{
    const bool suspected = hints.suspected != scheduler::suspicion::none;
    if (!suspected && round.failed_searches.rule_out(spec, hints)) {
        return std::nullopt;
    }
    const auto chosen = scheduler::choose(servers, spec, hints);
    if (chosen || suspected) {
        return chosen;
    }
    round.searches->plain.record_failure();
    if (!round.reservations.empty()) {
        // Other tasks may use the reserved servers if they are shorter.
        scheduler::placement_hints unreserved = hints;
        unreserved.reserved = nullptr;
        if (scheduler::choose(servers, spec, unreserved)) {
            return std::nullopt;
        }
    }
    // The members placed so far give their servers back if the gang can't be completed.
    if (!is_gang_begun) {
        // Mostly it makes no difference how long the task has waited; then jobs can be ruled out
        // without a look at each of their tasks.
        scheduler::placement_hints widest = hints;
        widest.may_use_draining = true;
        widest.may_share_server = true;
        const bool any = scheduler::choose(servers, spec, widest).has_value();
        round.failed_searches.add(spec, any ? hints : widest);
    }
    return std::nullopt;
}

void dispatcher::set_task_hints(const scheduling_round& round, const task_id& task,
                                const jobs::step_spec& spec, const jobs::crash_record* record,
                                scheduler::placement_hints& hints) const
{
    const auto failed = last_failed_server_.find(task);
    hints.avoid = failed == last_failed_server_.end() ? server_id{} : failed->second;
    hints.may_use_draining = waiting_tasks_.waiting_time(task, round.now) >= max_wait_for_drain;
    hints.suspected = scheduler::suspicion::none;
    if (record != nullptr) {
        const jobs::job& j = context_.state().jobs.at(task.job);
        set_suspicion(round, context_.state().current_terms(j).pool, *record, spec, hints);
    }
    const bool is_suspect = hints.suspected != scheduler::suspicion::none;
    hints.may_share_server = may_share_server(task, spec, record, is_suspect, round.now);
}

std::vector<scheduler::expected_end> dispatcher::expected_ends(const server_id& server,
                                                               mono_time now) const
{
    std::vector<scheduler::expected_end> out;
    const auto view = driver_.servers().find(server);
    if (view == driver_.servers().end()) {
        return out;
    }
    for (const auto& [task, run] : view->second.runs) {
        const auto started = started_runs_.find(task);
        // The runs that an earlier leader started, and long-running tasks, are not expected to end.
        if (run.long_running || started == started_runs_.end() ||
            started->second.attempt != run.attempt) {
            continue;
        }
        out.push_back(
            {scheduler::predict_end(started->second.started_at, started->second.expected_time, now),
             run.allocated});
    }
    return out;
}

void dispatcher::reserve_for_tasks(scheduling_round& round, const jobs::step_spec& spec,
                                   const scheduler::placement_hints& hints, std::size_t tasks,
                                   std::span<const server_candidate> servers)
{
    const bool in_time = scheduler::urgency_of(*round.job) <= scheduler::urgency::on_time;
    if (!context_.settings.scheduling.reserve_capacity || !in_time || spec.long_running ||
        spec.gang || hints.suspected != scheduler::suspicion::none || servers.empty() ||
        !scheduler::reservations::is_large(spec.required_capacity(),
                                           servers.front().server->capacity)) {
        return;
    }
    const milliseconds slack{
        std::llround(round.job->time_to_deadline_ms - round.job->critical_path_ms)};
    const auto ends = [&](std::size_t server) {
        return expected_ends(servers[server].server->id, round.now);
    };
    for (std::size_t i = 0; i < tasks && !round.reservations.is_full(); ++i) {
        if (round.reservations.reserve(servers, ends, spec, hints, slack, round.now) == nullptr) {
            return;
        }
        ++round_stats_.reservations;
    }
}

void dispatcher::record_placement(scheduling_round& round, std::size_t server, const task_id& task,
                                  const jobs::step_spec& spec,
                                  const scheduler::placement_hints& hints, server_candidate& c)
{
    c.free -= spec.required_capacity();
    round.reservations.record_placement(server, spec.required_capacity(), hints.run_time,
                                        round.now);
    waiting_tasks_.record_start(task);
    waiting_suspects_.record_start(task);
    record_suspect_start(c, hints);
    ++c.runs;
    c.long_running_tasks += spec.long_running ? 1 : 0;
    c.has_trial_task = true;
    c.latency_limited = c.latency_limited || spec.latency_limit_ms > 0;
}

void dispatcher::end_exhausted_job(const jobs::job_id& id)
{
    const jobs::fail_exhausted_job cmd{id, wall_now()};
    if (context_.all_commands_known && context_.log.propose_here(cmd)) {
        log::info("job_exhausted", {{"job", id.text()}, {"version", context_.state().doc.version}});
    }
}

void dispatcher::start_step(scheduling_round& round, const jobs::job_id& id, const jobs::job& j,
                            std::uint32_t occurrence, std::uint32_t step,
                            std::vector<server_candidate>& servers)
{
    const jobs::step_spec& spec = j.spec.steps[step];
    const auto& tasks = j.occurrences.at(occurrence).steps[step].tasks;
    if (spec.gang && j.occurrences.at(occurrence).steps[step].running > 0) {
        return;
    }
    const bool has_suspects = has_crash_records(id);
    // The tasks of such a step all have the same hints.
    const bool tasks_are_alike = !spec.long_running && !has_suspects;
    scheduler::placement_hints hints;
    hints.may_use_draining = hints.may_share_server = !tasks_are_alike;
    if (!has_suspects && round.failed_searches.rule_out(spec, hints)) {
        if (spec.long_running) {
            record_unplaced_tasks(round, {id, occurrence, step, 0}, spec, tasks);
        }
        reserve_for_tasks(round, spec, hints, count_waiting(tasks), servers);
        return;
    }
    std::vector<std::pair<server_id, std::uint32_t>> tasks_by_server;
    hints.step_on_server = &tasks_by_server;
    hints.job = id;
    if (!round.reservations.empty()) {
        hints.reserved = &round.reservations;
        hints.now = round.now;
        hints.run_time =
            spec.long_running
                ? scheduler::unlimited_run_time
                : milliseconds{std::llround(times_.upper_bound_ms(j.queue, spec.estimate_ms))};
    }
    std::array<bool, 2> unplaced_suspects{};
    const auto count_placement = [&](const server_id& server) {
        const auto known =
            std::ranges::find(tasks_by_server, server, [](const auto& p) { return p.first; });
        if (known == tasks_by_server.end()) {
            tasks_by_server.emplace_back(server, 1);
        } else {
            ++known->second;
        }
    };
    for (const jobs::task& t : tasks) {
        if (t.phase == jobs::task_phase::running) {
            count_placement(t.server);
            const auto view = driver_.servers().find(t.server);
            if (view != driver_.servers().end()) {
                hints.step_rack = view->second.report.rack;
            }
        }
    }
    const std::size_t starts_before = round.batch.runs.size();
    const auto servers_before = spec.gang ? servers : std::vector<server_candidate>{};
    const jobs::resources usage_before = round.added_usage[j.account];
    const auto undo_gang = [&] {
        round.batch.runs.resize(starts_before);
        servers = servers_before;
        round.added_usage[j.account] = usage_before;
    };
    std::uint32_t gang_attempt = 0;
    for (const jobs::task& t : tasks) {
        gang_attempt = std::max(gang_attempt, t.attempt + 1);
    }
    // The hints of the last failed search; later tasks may have waited long enough for others.
    std::optional<scheduler::placement_hints> failed_hints;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].phase != jobs::task_phase::waiting) {
            continue;
        }
        if (!has_room_in_cap(round, j.account, spec.need)) {
            if (spec.gang) {
                undo_gang();
            }
            return;
        }
        if (context_.state().has_used_attempts(j, spec, tasks[i])) {
            end_exhausted_job(id);
            if (spec.gang) {
                undo_gang();
            }
            return;
        }
        const task_id task{id, occurrence, step, i};
        const jobs::crash_record* record = find_crash_record(task);
        set_task_hints(round, task, spec, record, hints);
        const bool is_suspect = hints.suspected != scheduler::suspicion::none;
        bool& unplaced = unplaced_suspects[is_suspect && record->losses().size() > 1 ? 1 : 0];
        const bool may_start = record == nullptr || record->may_start();
        if (!spec.gang && !may_start) {
            continue;
        }
        if (!spec.gang && is_suspect &&
            (unplaced || !round.searches->of_suspect(*record).may_search(id))) {
            continue;
        }
        if (!is_suspect && failed_hints && failed_hints->allow_all_of(hints)) {
            continue;
        }
        const bool is_gang_begun = spec.gang && round.batch.runs.size() > starts_before;
        const auto chosen =
            may_start ? find_server(round, servers, spec, hints, is_gang_begun) : std::nullopt;
        if (!chosen) {
            if (is_suspect && may_start) {
                round.searches->of_suspect(*record).record_failure();
                unplaced = true;
            } else if (may_start) {
                if (spec.long_running && !failed_hints) {
                    record_unplaced_tasks(round, task, spec, tasks);
                }
                failed_hints = hints;
                reserve_for_tasks(round, spec, hints, count_waiting(std::span{tasks}.subspan(i)),
                                  servers);
            }
            if (spec.gang) {
                undo_gang();
                return;
            }
            if (tasks_are_alike) {
                return;
            }
            continue;
        }
        server_candidate& c = servers[*chosen];
        record_placement(round, *chosen, task, spec, hints, c);
        round.added_usage[j.account] += spec.need;
        count_placement(c.server->id);
        hints.step_rack = c.server->rack;
        const std::uint32_t attempt = spec.gang ? gang_attempt : tasks[i].attempt + 1;
        round.batch.runs.push_back({{task, attempt}, c.server->id, c.server->incarnation_id});
    }
}

} // namespace fescue::fleet
