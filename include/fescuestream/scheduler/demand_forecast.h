#pragma once

/**
 * @file
 * Forecasts the CPU demand of a pool for the time at which machines that are ordered now arrive.
 *
 * Load pattern: a queue's demand rises to a multiple of its pool's capacity within a few seconds,
 * stays there for some seconds, and drops again, while a machine takes a second or two to arrive.
 * The demand at present is too low a target during the rise. The arrival rate shows the rise
 * earlier, but it is summed over few jobs whose run times are inaccurate estimates, so it can
 * exceed what the jobs use by a factor of three. The forecast therefore extrapolates both the
 * demand and the arrival rate, and takes the lower one, but no less than the demand at present.
 */

#include "fescuestream/base/ids.h"

#include <cstdint>
#include <deque>
#include <map>

namespace fescue::scheduler {

/** CPU amounts of one pool at one time, in millicores. */
struct pool_demand {
    /** Running tasks, and waiting tasks that could start now. */
    std::int64_t demand_cpu{0};
    /** Rate at which work of jobs that are not long-running arrives. */
    std::int64_t arrival_cpu{0};
    /** Running and waiting long-running tasks; part of demand_cpu. */
    std::int64_t long_running_cpu{0};
};

class demand_forecast {
public:
    /** @param lead_time time from an order for a machine until it takes tasks. */
    explicit demand_forecast(milliseconds lead_time) : lead_time_{lead_time} {}

    /** Records the pool's demand now. @return the expected demand after the lead time, in
     * millicores. Calls for a pool must be in order of time. */
    std::int64_t expected_cpu(const pool_id& pool, const pool_demand& now_seen, mono_time now);

private:
    struct sample {
        mono_time at{};
        pool_demand seen;
    };
    milliseconds lead_time_;
    std::map<pool_id, std::deque<sample>> history_;
};

} // namespace fescue::scheduler
