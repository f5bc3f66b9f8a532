#pragma once

/**
 * @file
 * Assigns waiting tasks to servers: collects the startable tasks and the free capacity, calls the
 * scheduler library for the placement, and proposes the resulting starts to the replicated log.
 */

#include "core_context.h"
#include "run_driver.h"
#include "waiting_tasks.h"

#include "fescuestream/scheduler/arrival_rate.h"
#include "fescuestream/scheduler/job_order.h"
#include "fescuestream/scheduler/placement.h"
#include "fescuestream/scheduler/pool_plan.h"
#include "fescuestream/scheduler/reservations.h"
#include "fescuestream/scheduler/run_times.h"
#include "fescuestream/scheduler/search_rotation.h"
#include "fescuestream/scheduler/server_health.h"
#include "fescuestream/scheduler/start_limits.h"
#include "fescuestream/scheduler/suspect_isolation.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace fescue::fleet {

/** Waiting work and capacity of a pool; CPU amounts are in thousandths of a core. */
struct pool_load {
    /** Remaining work of the waiting jobs that are not long-running, in core-milliseconds. */
    double backlog_core_ms{0};
    /** Capacity of the servers that accept new runs. */
    std::int64_t capacity_cpu{0};
    std::int64_t free_cpu{0};
    /** CPU that long-running tasks hold or wait for, within the caps of their accounts. */
    std::int64_t long_running_cpu{0};
    /** CPU that the tasks which may start now would take, within the caps of their accounts. */
    std::int64_t startable_cpu{0};
    /** CPU that the startable and the running tasks take of waiting jobs that can't meet their
     * deadlines any more. */
    std::int64_t late_cpu{0};
    std::size_t servers{0};
    /** Long-running tasks for which no server of the pool was found. */
    std::vector<scheduler::unplaced_tasks> unplaced;
    /** CPU needed to keep up with the present arrival rate. */
    std::int64_t arrival_cpu{0};
};

class dispatcher {
public:
    dispatcher(core_context& shared, run_driver& driver);

    void on_leadership_gained();
    void on_applied(const jobs::command& cmd);
    /** Requests a round: a task may have become startable. */
    void request_round() { round_due_ = true; }
    /** Runs a scheduling round if one was requested or the longest interval has passed. */
    void run_if_due();

    const std::map<pool_id, pool_load>& loads() const noexcept { return loads_; }
    const scheduler::run_times& times() const noexcept { return times_; }

private:
    struct scheduling_round;
    struct pool_searches;

    void run_round();
    void start_tasks_by_pool(scheduling_round& round);
    void log_round_stats(const scheduling_round& round);
    void start_occurrences();
    void gather_servers(scheduling_round& round);
    void gather_jobs(scheduling_round& round);
    scheduler::queued_job make_queued_job(const jobs::job_id& id, const jobs::job& j) const;
    void start_tasks(scheduling_round& round, const pool_id& pool);
    void start_job(scheduling_round& round, const jobs::job_id& id,
                   std::vector<scheduler::server_candidate>& servers);
    void start_step(scheduling_round& round, const jobs::job_id& id, const jobs::job& j,
                    std::uint32_t occurrence, std::uint32_t step,
                    std::vector<scheduler::server_candidate>& servers);
    /** Ends a job of which a task has failed as often as a later configuration allows. */
    void end_exhausted_job(const jobs::job_id& id);
    /** @return a server for the task, unless the failed searches of the round rule one out.
     * @param is_gang_begun whether other members of the task's gang have been placed in the round.
     */
    static std::optional<std::size_t>
    find_server(scheduling_round& round, std::span<const scheduler::server_candidate> servers,
                const jobs::step_spec& spec, const scheduler::placement_hints& hints,
                bool is_gang_begun);
    /** Sets the hints that differ between the tasks of a step. @param record may be null. */
    void set_task_hints(const scheduling_round& round, const jobs::task_id& task,
                        const jobs::step_spec& spec, const jobs::crash_record* record,
                        scheduler::placement_hints& hints) const;
    /** Counts the task as a run of the server. @param server its index. */
    void record_placement(scheduling_round& round, std::size_t server, const jobs::task_id& task,
                          const jobs::step_spec& spec, const scheduler::placement_hints& hints,
                          scheduler::server_candidate& c);
    /** Records the step's tasks from this index on that have waited for a server in vain. */
    /** Reserves servers for tasks of the step that found none, if they are large and the job can
     * still be in time. */
    void reserve_for_tasks(scheduling_round& round, const jobs::step_spec& spec,
                           const scheduler::placement_hints& hints, std::size_t tasks,
                           std::span<const scheduler::server_candidate> servers);
    /** @return the expected ends of the runs on the server. */
    std::vector<scheduler::expected_end> expected_ends(const server_id& server,
                                                       mono_time now) const;
    void record_unplaced_tasks(const scheduling_round& round, const jobs::task_id& first,
                               const jobs::step_spec& spec, const std::vector<jobs::task>& tasks);
    /** @return the task's record, or nullptr if no run of it was lost. */
    const jobs::crash_record* find_crash_record(const jobs::task_id& task) const;
    /** Collects the crashes whose cause is known. */
    void gather_explained_crashes(scheduling_round& round) const;
    /** @return how strongly the task is suspected, apart from crashes whose cause is known. */
    static scheduler::suspicion suspicion_of(const scheduling_round& round,
                                             const jobs::crash_record& record,
                                             const jobs::step_spec& spec);
    /** Collects the tasks that are suspected of crashing servers. */
    void gather_suspects(scheduling_round& round);
    /** Reserves servers for the suspects that wait. */
    void reserve_servers(scheduling_round& round);
    /** @return the number of servers that other tasks than suspects need. */
    std::size_t servers_for_others(const scheduling_round& round, const pool_id& pool) const;
    static void set_suspicion(const scheduling_round& round, const pool_id& pool,
                              const jobs::crash_record& record, const jobs::step_spec& spec,
                              scheduler::placement_hints& hints);
    static void record_suspect_start(scheduler::server_candidate& c,
                                     const scheduler::placement_hints& hints);
    /** @return whether the task has waited so long that reservations do not apply to it. */
    bool may_share_server(const jobs::task_id& task, const jobs::step_spec& spec,
                          const jobs::crash_record* record, bool suspected, mono_time now) const;
    /** @return whether the account stays within its cap with one more task beside its running ones
     * and the starts of the round. */
    bool has_room_in_cap(const scheduling_round& round, const team_id& account,
                         const jobs::resources& need) const;
    /** Counts up to @p tasks waiting tasks as demand, as far as the account's cap allows them
     * beside its running tasks and the demand counted before. @return their number. */
    std::int64_t claim_within_cap(scheduling_round& round, const team_id& account,
                                  const jobs::resources& need, std::int64_t tasks) const;
    bool has_crash_records(const jobs::job_id& job) const;
    void record_run_start(const jobs::start_run& start);
    void record_run_ends(const jobs::end_runs& cmd);
    void record_arrival(const jobs::submit_job& cmd);

    core_context& context_;
    run_driver& driver_;
    scheduler::run_times times_;
    scheduler::server_health health_;
    std::map<pool_id, pool_load> loads_;
    /** A committed start; the run time and the health of the server are derived from its end. */
    struct started_run {
        std::uint32_t attempt{0};
        server_id server;
        mono_time started_at{};
        milliseconds expected_time{0};
    };
    std::unordered_map<jobs::task_id, started_run> started_runs_;
    /** Server of each task's last failed run; placement prefers others. */
    std::unordered_map<jobs::task_id, server_id> last_failed_server_;
    scheduler::arrival_rate arrivals_;
    /** Totals of the rounds since the last log line. */
    struct round_stats {
        std::size_t rounds{0};
        std::size_t starts{0};
        /** Rounds that reached the limit on starts. */
        std::size_t bounded{0};
        std::size_t reservations{0};
        std::size_t max_outstanding_orders{0};
        /** Longest time from the start of a round until its starts were committed and applied. */
        milliseconds max_commit_time{0};
    };
    round_stats round_stats_;
    waiting_tasks waiting_tasks_;
    /** Suspected tasks that wait for a server; long-running ones are in both. */
    waiting_tasks waiting_suspects_;
    /** The searches for servers of one pool. */
    struct pool_searches {
        static constexpr std::size_t max_failures = 24;
        static constexpr std::size_t max_suspect_failures = 32;

        void begin_round();
        void end_round();
        scheduler::search_rotation& of_suspect(const jobs::crash_record& record)
        {
            return record.losses().size() > 1 ? of_several_crashes : of_one_crash;
        }

        scheduler::search_rotation plain{max_failures};
        /** Suspects of one crash, and of several: they need different servers. */
        scheduler::search_rotation of_one_crash{max_suspect_failures};
        scheduler::search_rotation of_several_crashes{max_suspect_failures};
    };
    std::map<pool_id, pool_searches> searches_;
    /** Rotates the pool that is served first when the starts of a round are shared out. */
    std::size_t first_pool_{0};
    bool round_due_{false};
    /** A batch of starts has been proposed and not applied yet; the next round waits for it. */
    bool batch_in_flight_{false};
    mono_time last_round_{};
    mono_time stats_logged_{};
};

} // namespace fescue::fleet
