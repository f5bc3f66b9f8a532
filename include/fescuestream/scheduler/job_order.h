#pragma once

/**
 * @file
 * Orders the waiting jobs of a pool.
 *
 * Load pattern: for some seconds a queue demands several times the capacity of its pool. FIFO makes
 * every job late, and starting all jobs partially finishes none in time. Jobs in progress are
 * therefore finished first, followed by jobs that can still meet their deadline, least slack first;
 * jobs that can't meet it come next. Jobs whose result would come too late to be of any use come
 * last, so that they take no capacity from jobs that are merely late.
 */

#include "fescuestream/jobs/model.h"

#include <limits>
#include <vector>

namespace fescue::scheduler {

/** Callers have no use for a result that takes longer than this multiple of the time from a job's
 * acceptance to its deadline, according to the platform's documentation. */
inline constexpr double max_lateness_factor = 3;

/** A job with tasks that wait for servers. */
struct queued_job {
    jobs::job_id job;
    /** Lower values come first. */
    std::int32_t priority{0};
    /** The job's tasks run until it is cancelled, so any time without them is an outage. */
    bool long_running{false};
    bool started{false};
    /** Time until the job's deadline in milliseconds; negative if it has passed. */
    double time_to_deadline_ms{0};
    /** Time until the job's result is of no use any more, in milliseconds. */
    double time_to_expiry_ms{std::numeric_limits<double>::infinity()};
    /** Length of the critical path of the remaining work, in milliseconds. */
    double critical_path_ms{0};
    /** Total remaining work in core-milliseconds. */
    double remaining_core_ms{0};
};

enum class urgency : std::uint8_t { long_running, started, on_time, late, expired };

/** @return the urgency class of a job; lower classes get servers first. */
urgency urgency_of(const queued_job& s) noexcept;
/** Sorts jobs, the most urgent first. */
void sort_by_urgency(std::vector<queued_job>& jobs);

} // namespace fescue::scheduler
