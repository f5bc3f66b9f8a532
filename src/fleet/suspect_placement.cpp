#include "dispatcher.h"
#include "run_timing.h"
#include "scheduling_round.h"

namespace fescue::fleet {

namespace {

/** A long-running task that has waited this long is started beside other runs. The platform
 * tolerates a wait of 3 s. */
constexpr milliseconds max_long_running_wait{1500};
/** The same for other tasks: time for the runs of a reserved server to end. */
constexpr milliseconds max_suspect_wait{10'000};
/** Suspects without a fitting server after which a round stops searching a pool for others of the
 * same kind; they need the same servers. */
constexpr std::size_t max_unplaced_suspects = 16;

} // namespace

const jobs::crash_record* dispatcher::find_crash_record(const jobs::task_id& task) const
{
    const auto& records = context_.state().crash_records;
    const auto found = records.find(task);
    return found == records.end() ? nullptr : &found->second;
}

void dispatcher::gather_suspects(scheduling_round& round)
{
    const auto& state = context_.state();
    for (const auto& [id, record] : state.crash_records) {
        const jobs::task* t = state.find(id);
        const auto job = state.jobs.find(id.job);
        if (t == nullptr || has_ended(job->second.phase)) {
            continue;
        }
        const auto suspected = scheduler::suspicion_of(
            record.losses().size(), job->second.spec.steps[id.step].long_running);
        if (suspected == scheduler::suspicion::none) {
            continue;
        }
        const bool several = suspected == scheduler::suspicion::several_crashes;
        if (t->phase == jobs::task_phase::running) {
            const run_view* run = driver_.find_run_view(id);
            if (run != nullptr && round.now - run->ordered_at < trial_run_time) {
                auto& held = round.suspects[t->server];
                ++held.runs;
                held.any_of_several_crashes = held.any_of_several_crashes || several;
            }
        } else if (t->phase == jobs::task_phase::waiting && record.may_start()) {
            waiting_suspects_.record_waiting(id, round.now);
            auto& waiting = round.waiting_suspects[state.current_terms(job->second).pool];
            ++(several ? waiting.of_several_crashes : waiting.of_one_crash);
        }
    }
}

void dispatcher::reserve_servers(scheduling_round& round)
{
    if (context_.state().crash_records.empty()) {
        return;
    }
    for (auto& [pool, servers] : round.servers) {
        const std::size_t missing =
            scheduler::reserve_servers(servers, round.waiting_suspects[pool]);
        pool_load& load = loads_[pool];
        if (load.servers > 0) {
            // Counts as demand for whole servers, so that the pool gets more machines.
            load.startable_cpu += static_cast<std::int64_t>(missing) * load.capacity_cpu /
                                  static_cast<std::int64_t>(load.servers);
        }
    }
}

bool dispatcher::may_try_suspect(const scheduling_round& round, const jobs::crash_record& record)
{
    return record.may_start() &&
           round.unplaced_suspects[record.losses().size() > 1 ? 1 : 0] < max_unplaced_suspects;
}

void dispatcher::record_unplaced_suspect(scheduling_round& round, const jobs::crash_record& record)
{
    ++round.unplaced_suspects[record.losses().size() > 1 ? 1 : 0];
    round.suspect_waits = true;
}

bool dispatcher::may_share_server(const jobs::task_id& task, const jobs::step_spec& spec,
                                  bool suspected, mono_time now) const
{
    const waiting_tasks& waits = suspected ? waiting_suspects_ : waiting_tasks_;
    return waits.waiting_time(task, now) >=
           (spec.long_running ? max_long_running_wait : max_suspect_wait);
}

} // namespace fescue::fleet
