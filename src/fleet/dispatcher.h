#pragma once

/**
 * @file
 * Gives waiting tasks to servers: gathers what waits and what is free, lets the scheduler library
 * decide, and puts the starts into the log.
 */

#include "core_context.h"
#include "run_driver.h"

#include "fescuestream/scheduler/arrival_rate.h"
#include "fescuestream/scheduler/job_order.h"
#include "fescuestream/scheduler/placement.h"
#include "fescuestream/scheduler/run_times.h"
#include "fescuestream/scheduler/server_health.h"
#include "fescuestream/scheduler/start_shares.h"

#include <map>
#include <vector>

namespace fescue::fleet {

/** Work that waits in a pool, and what the pool has. */
struct pool_load {
    /** Work that is left of jobs that wait for room and are not lasting, in core-milliseconds. */
    double backlog_core_ms{0};
    /** Thousandths of a core of the pool's usable servers. */
    std::int64_t capacity_cpu{0};
    std::int64_t free_cpu{0};
    /** Cores that lasting tasks hold or wait for. */
    std::int64_t lasting_cpu{0};
    /** Cores that waiting tasks, whose turn has come, would take at once. */
    std::int64_t wanted_cpu{0};
    std::size_t servers{0};
    /** Thousandths of a core that the work arriving now takes, if it goes on like this. */
    std::int64_t arriving_cpu{0};
};

class dispatcher {
public:
    dispatcher(core_context& shared, run_driver& driver);

    void lead();
    void applied(const jobs::command& cmd);
    /** Something may be startable. */
    void wake() { due_ = true; }
    /** Looks for work to start, if anything changed. */
    void run_if_due();

    const std::map<pool_id, pool_load>& loads() const noexcept { return loads_; }
    const scheduler::run_times& times() const noexcept { return times_; }

private:
    struct round;

    void run();
    void start_by_pools(round& r);
    void log_loads();
    void open_occurrences();
    void gather_servers(round& r);
    void gather_jobs(round& r);
    scheduler::standing standing_of(const jobs::job_id& id, const jobs::job& j) const;
    void start_tasks(round& r, const pool_id& pool);
    void start_job(round& r, const jobs::job_id& id, std::vector<scheduler::candidate>& servers);
    void start_step(round& r, const jobs::job_id& id, const jobs::job& j, std::uint32_t occurrence,
                    std::uint32_t step, std::vector<scheduler::candidate>& servers);
    bool within_cap(const round& r, const team_id& account, const jobs::resources& need) const;
    void learn(const jobs::end_runs& cmd);
    void note_arrival(const jobs::submit_job& cmd);

    core_context& shared_;
    run_driver& driver_;
    scheduler::run_times times_;
    scheduler::server_health health_;
    std::map<pool_id, pool_load> loads_;
    /** When each run was ordered and where, to learn from its end. */
    struct begun_run {
        std::uint32_t attempt{0};
        server_id server;
        mono_time at{};
    };
    std::unordered_map<jobs::task_id, begun_run> begun_;
    std::unordered_map<jobs::task_id, server_id> failed_on_;
    scheduler::arrival_rate arrivals_;
    /** What the rounds since the last log line came to. */
    struct round_sums {
        std::size_t rounds{0};
        std::size_t starts{0};
        /** Rounds that started all that their bound let them. */
        std::size_t bounded{0};
        std::size_t most_under_way{0};
        /** Longest time from a round until its starts were in the log and applied. */
        milliseconds longest_logging{0};
    };
    round_sums sums_;
    std::size_t turn_{0};
    bool due_{false};
    /** Starts are on their way into the log; the next round waits for them. */
    bool batch_under_way_{false};
    mono_time last_run_{};
    mono_time loads_logged_{};
};

} // namespace fescue::fleet
