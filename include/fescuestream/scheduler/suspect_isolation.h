#pragma once

/**
 * @file
 * Decides on which servers tasks run that are suspected of crashing servers.
 *
 * Load pattern: a few tasks crash each server that starts them, and with it the runs of other jobs.
 * All of these are suspects, and most are innocent. Suspects of a single crash share servers in
 * small groups, so that the innocent ones among them are cleared soon; suspects of several crashes
 * run apart from other jobs, so that a further crash convicts the right one. Tasks of the same job
 * are tried together. If there are more jobs with suspects than servers, the groups grow, so that
 * the time to clear all of them does not; only jobs that one more crash may convict remain alone.
 * In a busy pool, servers are kept free of other runs for suspects. They leave other tasks half of
 * the pool, unless these need less.
 */

#include "fescuestream/scheduler/placement.h"

#include <cstddef>
#include <limits>
#include <span>

namespace fescue::scheduler {

/** Number of jobs whose suspects of a single crash may share a server. */
inline constexpr std::size_t suspects_per_server = 4;

/** Number of jobs with suspects that wait for a server of a pool. */
struct waiting_suspects {
    std::size_t of_one_crash{0};
    std::size_t of_several_crashes{0};
    /** Those of several crashes that may be convicted by one more. */
    std::size_t to_isolate{0};
    /** Number of servers that other tasks need; at most the rest is reserved beyond half of the
     * pool. */
    std::size_t servers_for_others{std::numeric_limits<std::size_t>::max()};
};

/** Number of jobs whose suspects may share a server. */
struct suspect_group_sizes {
    std::size_t of_one_crash{suspects_per_server};
    std::size_t of_several_crashes{1};
};

/** A long-running task is not suspected after a single loss: it must restart at once, and idle
 * servers, which are not polled, may have crashed unnoticed.
 * @return how strongly a task is suspected. @param losses number of its runs that were lost with
 * a server. */
suspicion suspicion_of(std::size_t losses, bool long_running) noexcept;

/** Reserves servers for the waiting suspects: servers that run nothing or only suspects, and then
 * those with the fewest runs, which become free as their runs end.
 * @return the number of further servers that the suspects need. */
std::size_t reserve_servers(std::span<server_candidate> servers, const waiting_suspects& waiting);

/** @return the sizes of groups with which all waiting suspects fit on the reserved servers. */
suspect_group_sizes group_sizes(std::span<const server_candidate> servers,
                                const waiting_suspects& waiting);

} // namespace fescue::scheduler
