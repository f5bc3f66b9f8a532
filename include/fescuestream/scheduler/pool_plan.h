#pragma once

/**
 * @file
 * Decides which machines move between pools.
 *
 * Load pattern: queues burst in turn to several times their mean demand for some seconds, beyond
 * the capacity of their pool, while the other pools idle. A move takes one to two seconds and has a
 * fixed price; a machine in a pool is billed by time. Idle machines are therefore moved as soon as
 * work arrives faster than a pool can process it, before a backlog builds up. Machines that are
 * powered off in the standby pool are used first, and excess machines return to standby once they
 * have been idle for as long as a move costs.
 *
 * Load pattern: several pools burst at once and need more machines than there are. Work that can
 * still meet its deadline has precedence over work that can't, and the pool with the largest
 * relative shortage gets the next machine, so that none starves.
 *
 * CPU alone does not show whether a pool can run its long-running tasks: a step may limit its tasks
 * per server or require a label. Tasks that no server of their pool can take are therefore part of
 * the demand, and machines that could run them move to the pool even if it has free CPU.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/jobs/model.h"

#include <map>
#include <string>
#include <vector>

namespace fescue::scheduler {

/** What a server offers to tasks. */
struct server_offer {
    jobs::resources capacity;
    std::vector<std::string> labels;
};

/** Waiting tasks of a long-running step that no server of their pool can take. */
struct unplaced_tasks {
    /** Label that the server must have; empty allows any server. */
    std::string label;
    /** Capacity that one task takes. */
    jobs::resources need;
    /** Maximum number of the step's tasks on one server; 0 means no limit. */
    std::uint32_t max_per_server{0};
    std::size_t tasks{0};
};

/** A pool's demand and capacity. */
struct pool_need {
    pool_id pool;
    /** The pool's machines are powered off and cost nothing. */
    bool standby{false};
    /** Millicores of tasks that are running or could start if there were capacity. */
    std::int64_t demand_cpu{0};
    /** Millicores of the pool's servers, including servers being moved to it. */
    std::int64_t capacity_cpu{0};
    /** Millicores needed to keep up with work at the current arrival rate. */
    std::int64_t arrival_cpu{0};
    /** Machines of the pool before any moves. */
    std::size_t own_machines{0};
    std::size_t machines{0};
    std::vector<unplaced_tasks> unplaced;
    /** Servers that are being moved to the pool. */
    std::vector<server_offer> arriving;
    /** Part of demand_cpu that belongs to jobs which can't meet their deadlines any more. */
    std::int64_t late_cpu{0};
};

/** A machine that may be moved. */
struct movable_machine {
    std::string id;
    pool_id pool;
    server_offer offer;
    /** No task is running on it. */
    bool idle{true};
};

struct pool_move {
    std::string machine;
    pool_id from;
    pool_id to;
    std::string reason;
};

/** @return target capacity of the pool in millicores. */
std::int64_t target_cpu(const pool_need& need, double headroom) noexcept;

struct pool_policy {
    /** Time without a shortage and without tasks after which a machine returns to standby: the
     * cost of a move, expressed as machine time in a pool. The platform's prices for the two have
     * a similar ratio. */
    milliseconds break_even_time{2500};
    /** Target capacity as a multiple of demand; only capacity above it is lent. */
    double headroom{1.15};
    /** Fraction of its own machines that a pool keeps even if idle; they absorb the start of a
     * burst while further machines are being moved. */
    double min_machines_fraction{0.5};
};

class pool_planner {
public:
    explicit pool_planner(pool_policy policy = {}) : policy_{policy} {}

    /**
     * @param machines machines that are up, not in maintenance and not being moved.
     * @param max_moves number of moves that the machine service accepts at present.
     */
    std::vector<pool_move> plan(const std::vector<pool_need>& pools,
                                const std::vector<movable_machine>& machines, std::size_t max_moves,
                                mono_time now);

private:
    struct idle_record {
        pool_id pool;
        mono_time since{};
    };
    /** Records since when machines have been idle. @return the idle machines, those that are
     * powered off first, then the longest idle. */
    std::vector<movable_machine> rank_idle_machines(const std::vector<pool_need>& pools,
                                                    const std::vector<movable_machine>& machines,
                                                    mono_time now);
    void return_idle_to_standby(const std::vector<pool_need>& pools,
                                const std::vector<movable_machine>& idle_machines,
                                std::vector<pool_move>& out, mono_time now);

    pool_policy policy_;
    std::map<std::string, idle_record> idle_records_;
    /** Last time at which each pool was short of capacity. */
    std::map<pool_id, mono_time> last_shortage_;
};

} // namespace fescue::scheduler
