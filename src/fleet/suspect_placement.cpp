#include "dispatcher.h"
#include "run_timing.h"
#include "scheduling_round.h"

#include <algorithm>

namespace fescue::fleet {

namespace {

using scheduler::placement_hints;
using scheduler::server_candidate;

/** A long-running task that has waited this long is started beside other runs. The platform
 * tolerates a wait of 3 s. */
constexpr milliseconds max_long_running_wait{1500};
/** The same for other tasks: time for the runs of a reserved server to end. */
constexpr milliseconds max_suspect_wait{10'000};
/** The same for tasks that one more crash may convict. */
constexpr milliseconds max_isolated_suspect_wait{20'000};

/** @return whether the task may be convicted by one more crash, so that it runs apart from other
 * jobs. */
bool is_near_conviction(const jobs::crash_record& record)
{
    return record.losses().size() + 1 >= jobs::max_crashes;
}

} // namespace

const jobs::crash_record* dispatcher::find_crash_record(const jobs::task_id& task) const
{
    const auto& records = context_.state().crash_records;
    const auto found = records.find(task);
    return found == records.end() ? nullptr : &found->second;
}

bool dispatcher::has_crash_records(const jobs::job_id& job) const
{
    const auto& records = context_.state().crash_records;
    const auto first = records.lower_bound({job, 0, 0, 0});
    return first != records.end() && first->first.job == job;
}

void dispatcher::gather_explained_crashes(scheduling_round& round) const
{
    const auto& records = context_.state().crash_records;
    const auto explain = [&](const jobs::job_id& job) {
        for (auto at = records.lower_bound({job, 0, 0, 0});
             at != records.end() && at->first.job == job; ++at) {
            for (const jobs::run_loss& loss : at->second.losses()) {
                if (loss.crashed) {
                    round.explained_crashes.emplace(loss.server, loss.incarnation_id);
                }
            }
        }
    };
    std::optional<jobs::job_id> explained;
    for (const auto& [id, record] : records) {
        if (record.is_culprit() && explained != id.job) {
            explained = id.job;
            explain(id.job);
        }
    }
}

scheduler::suspicion dispatcher::suspicion_of(const scheduling_round& round,
                                              const jobs::crash_record& record,
                                              const jobs::step_spec& spec)
{
    std::size_t losses = record.losses().size();
    if (!is_near_conviction(record)) {
        losses -= static_cast<std::size_t>(
            std::ranges::count_if(record.losses(), [&](const jobs::run_loss& loss) {
                return loss.crashed &&
                       round.explained_crashes.contains({loss.server, loss.incarnation_id});
            }));
    }
    return scheduler::suspicion_of(losses, spec.long_running);
}

void dispatcher::gather_suspects(scheduling_round& round)
{
    gather_explained_crashes(round);
    const auto& state = context_.state();
    /** The pool's job whose waiting suspects were counted last; records are sorted by job. */
    struct counted_job {
        std::optional<jobs::job_id> of_one_crash;
        std::optional<jobs::job_id> of_several_crashes;
        std::optional<jobs::job_id> to_isolate;
    } counted;
    const auto count = [](std::optional<jobs::job_id>& last, const jobs::job_id& job,
                          std::size_t& jobs) {
        jobs += last == job ? 0 : 1;
        last = job;
    };
    for (const auto& [id, record] : state.crash_records) {
        const jobs::task* t = state.find(id);
        const auto job = state.jobs.find(id.job);
        if (t == nullptr || has_ended(job->second.phase)) {
            continue;
        }
        const auto suspected = suspicion_of(round, record, job->second.spec.steps[id.step]);
        if (suspected == scheduler::suspicion::none) {
            continue;
        }
        const bool several = suspected == scheduler::suspicion::several_crashes;
        if (t->phase == jobs::task_phase::running) {
            const run_view* run = driver_.find_run_view(id);
            if (run != nullptr && round.now - run->ordered_at < trial_run_time) {
                auto& held = round.suspects[t->server];
                ++held.runs;
                if (std::ranges::find(held.jobs, id.job) == held.jobs.end()) {
                    held.jobs.push_back(id.job);
                }
                held.any_to_isolate = held.any_to_isolate || is_near_conviction(record);
                held.any_of_several_crashes = held.any_of_several_crashes || several;
            }
        } else if (t->phase == jobs::task_phase::waiting && record.may_start()) {
            waiting_suspects_.record_waiting(id, round.now);
            const pool_id& pool = state.current_terms(job->second).pool;
            auto& waiting = round.waiting_suspects[pool];
            round.suspect_cpu[pool] +=
                job->second.spec.steps[id.step].required_capacity().cpu_milli;
            if (several) {
                count(counted.of_several_crashes, id.job, waiting.of_several_crashes);
            } else {
                count(counted.of_one_crash, id.job, waiting.of_one_crash);
            }
            if (several && is_near_conviction(record)) {
                count(counted.to_isolate, id.job, waiting.to_isolate);
            }
        }
    }
}

void dispatcher::reserve_servers(scheduling_round& round)
{
    if (context_.state().crash_records.empty()) {
        return;
    }
    for (auto& [pool, servers] : round.servers) {
        pool_load& load = loads_[pool];
        scheduler::waiting_suspects& waiting = round.waiting_suspects[pool];
        waiting.servers_for_others = servers_for_others(round, pool);
        const std::size_t missing = scheduler::reserve_servers(servers, waiting);
        const auto sizes = scheduler::group_sizes(servers, waiting);
        round.group_sizes[pool] = sizes;
        for (server_candidate& c : servers) {
            const auto held = round.suspects.find(c.server->id);
            c.isolates_suspect =
                held != round.suspects.end() &&
                (held->second.any_to_isolate ||
                 (held->second.any_of_several_crashes && sizes.of_several_crashes == 1));
        }
        if (load.servers > 0) {
            // Counts as demand for whole servers, so that the pool gets more machines.
            load.startable_cpu += static_cast<std::int64_t>(missing) * load.capacity_cpu /
                                  static_cast<std::int64_t>(load.servers);
        }
    }
}

std::size_t dispatcher::servers_for_others(const scheduling_round& round, const pool_id& pool) const
{
    const auto& servers = round.servers.at(pool);
    std::size_t others = static_cast<std::size_t>(std::ranges::count_if(
        servers, [](const server_candidate& c) { return c.runs > c.suspects; }));
    const auto load = loads_.find(pool);
    if (load != loads_.end() && load->second.servers > 0 && load->second.capacity_cpu > 0) {
        const auto suspected = round.suspect_cpu.find(pool);
        const std::int64_t waiting_cpu =
            load->second.startable_cpu -
            (suspected == round.suspect_cpu.end() ? 0 : suspected->second);
        const std::int64_t server_cpu =
            load->second.capacity_cpu / static_cast<std::int64_t>(load->second.servers);
        if (waiting_cpu > 0 && server_cpu > 0) {
            others += static_cast<std::size_t>((waiting_cpu + server_cpu - 1) / server_cpu);
        }
    }
    return others;
}

void dispatcher::set_suspicion(const scheduling_round& round, const pool_id& pool,
                               const jobs::crash_record& record, const jobs::step_spec& spec,
                               placement_hints& hints)
{
    hints.suspected = suspicion_of(round, record, spec);
    hints.max_suspect_jobs = 0;
    const auto sizes = round.group_sizes.find(pool);
    if (sizes == round.group_sizes.end()) {
        return;
    }
    if (hints.suspected == scheduler::suspicion::one_crash) {
        hints.max_suspect_jobs = sizes->second.of_one_crash;
    } else if (!is_near_conviction(record)) {
        hints.max_suspect_jobs = sizes->second.of_several_crashes;
    }
}

void dispatcher::record_suspect_start(server_candidate& c, const placement_hints& hints)
{
    if (hints.suspected == scheduler::suspicion::none) {
        return;
    }
    // Keeps tasks that are started in the same round away from a server that was idle.
    c.reserved = c.reserved || c.runs == c.suspects;
    ++c.suspects;
    if (hints.job && std::ranges::find(c.suspect_jobs, *hints.job) == c.suspect_jobs.end()) {
        c.suspect_jobs.push_back(*hints.job);
    }
    c.isolates_suspect =
        c.isolates_suspect ||
        (hints.suspected == scheduler::suspicion::several_crashes && hints.max_suspect_jobs <= 1);
}

bool dispatcher::may_share_server(const jobs::task_id& task, const jobs::step_spec& spec,
                                  const jobs::crash_record* record, bool suspected,
                                  mono_time now) const
{
    const waiting_tasks& waits = suspected ? waiting_suspects_ : waiting_tasks_;
    const bool isolated = suspected && is_near_conviction(*record);
    const milliseconds wait_of_short_task = isolated ? max_isolated_suspect_wait : max_suspect_wait;
    return waits.waiting_time(task, now) >=
           (spec.long_running ? max_long_running_wait : wait_of_short_task);
}

} // namespace fescue::fleet
