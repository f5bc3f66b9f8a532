#pragma once

/**
 * @file
 * Which machines change their pool.
 *
 * Load pattern: the queues' demand rises by turns to several times its mean for some seconds, more
 * than a pool holds, while the others idle. A move takes a second or two and has a price, and a
 * machine in a pool has a price for each moment. So machines go at once to where work arrives
 * faster than the pool can do it, before a backlog has built up, from where nothing runs on them;
 * machines off in the standby pool come first, and borrowed ones go back when they have been idle
 * for as long as a move costs.
 */

#include "fescuestream/base/ids.h"

#include <map>
#include <string>
#include <vector>

namespace fescue::scheduler {

/** A pool's demand and what it holds. */
struct pool_need {
    pool_id pool;
    /** Its machines are off and cost nothing. */
    bool standby{false};
    /** Thousandths of a core that run now or could start at once if there were room. */
    std::int64_t demand_cpu{0};
    /** Thousandths of a core of its servers, those on their way included. */
    std::int64_t capacity_cpu{0};
    /** Thousandths of a core that the work which arrives now takes, if it goes on like this. */
    std::int64_t arriving_cpu{0};
    /** Machines that the pool had before any were lent or borrowed. */
    std::size_t own_machines{0};
    std::size_t machines{0};
};

/** A machine that could be moved. */
struct movable_machine {
    std::string id;
    pool_id pool;
    std::int64_t cpu{0};
    /** Nothing runs on it. */
    bool idle{true};
};

struct pool_move {
    std::string machine;
    pool_id from;
    pool_id to;
    std::string why;
};

/** @return thousandths of a core that the pool should have. */
std::int64_t wanted_cpu(const pool_need& need, double headroom) noexcept;

struct pool_policy {
    /** A move is worth about this much time of a machine in a pool; the platform's prices of both
     * are alike in their ratio. */
    milliseconds move_worth{2500};
    /** Room that a pool keeps beyond its demand before it lends, and aims at when it borrows. */
    double headroom{1.15};
    /** Share of its own machines that a pool keeps however idle they are: the beginning of a burst
     * finds them, while others take the time of a move to come. */
    double kept_part{0.5};
    /** Most machines that one pool gets in one round. */
    std::size_t most_moves{16};
};

class pool_planner {
public:
    explicit pool_planner(pool_policy policy = {}) : policy_{policy} {}

    /** @param machines those that are up, not in maintenance, and on their pool. */
    std::vector<pool_move> plan(const std::vector<pool_need>& pools,
                                const std::vector<movable_machine>& machines, mono_time now);

private:
    struct idle_since {
        pool_id pool;
        mono_time at{};
    };
    void lend(const std::vector<pool_need>& pools, std::vector<movable_machine>& free,
              std::vector<pool_move>& out);
    void give_back(const std::vector<pool_need>& pools, std::vector<movable_machine>& free,
                   std::vector<pool_move>& out, mono_time now);

    pool_policy policy_;
    std::map<std::string, idle_since> idle_;
    /** Last time that each pool was short of room. */
    std::map<pool_id, mono_time> short_at_;
};

} // namespace fescue::scheduler
