#pragma once

/**
 * @file
 * In which order waiting jobs get servers.
 *
 * Load pattern: for some seconds a queue asks for several times what its pool holds. Serving by
 * arrival makes every job late; starting all jobs a little finishes none in time. So work that was
 * begun is finished first, then whoever can still make its goal and has the least time to spare,
 * and jobs that can't make it wait behind them.
 */

#include "fescuestream/jobs/model.h"

#include <vector>

namespace fescue::scheduler {

/** A job that waits for servers. */
struct standing {
    jobs::job_id job;
    /** 0 comes first. */
    std::int32_t priority{0};
    /** Its tasks run until it is cancelled; each moment without them is lost. */
    bool lasting{false};
    bool begun{false};
    /** Time until its goal, in milliseconds; negative: it is past. */
    double due_in_ms{0};
    /** Longest chain of work that is left, in milliseconds. */
    double chain_ms{0};
    /** All work that is left, in core-milliseconds. */
    double work_core_ms{0};
};

enum class urgency : std::uint8_t { lasting, begun, in_time, late };

/** @return the class of a job; lower ones get servers first. */
urgency urgency_of(const standing& s) noexcept;
/** Sorts so that the first job gets servers first. */
void sort_by_urgency(std::vector<standing>& jobs);

} // namespace fescue::scheduler
