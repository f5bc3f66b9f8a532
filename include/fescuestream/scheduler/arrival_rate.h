#pragma once

/**
 * @file
 * Estimates the rate at which work arrives at each pool.
 *
 * Load pattern: a burst begins within a fraction of a second, and moving machines takes longer than
 * a backlog takes to build up. Summing the work that arrived in a short window detects a burst
 * early. Counting every job with the pool's mean job size gives a steadier rate, but machines then
 * arrive later, without any benefit.
 */

#include "fescuestream/base/ids.h"

#include <deque>
#include <map>

namespace fescue::scheduler {

class arrival_rate {
public:
    /** Records the arrival of a job. @param core_ms the job's total work in core-milliseconds. */
    void record_arrival(const pool_id& pool, double core_ms, mono_time now);
    /** @return millicores needed to keep up with arriving work; 0 if there are too few jobs for an
     * estimate. */
    std::int64_t cpu_milli(const pool_id& pool, mono_time now);

private:
    struct arrival {
        mono_time at{};
        double core_ms{0};
    };
    std::map<pool_id, std::deque<arrival>> arrivals_by_pool_;
};

} // namespace fescue::scheduler
