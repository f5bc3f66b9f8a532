#pragma once

/**
 * @file
 * Decides on which servers tasks run that are suspected of crashing servers.
 *
 * Load pattern: a few tasks crash each server that starts them, and with it the runs of other jobs.
 * All of these are suspects, and most are innocent. Suspects of a single crash share servers in
 * small groups, so that the innocent ones among them are cleared soon; suspects of several crashes
 * have a server to themselves, so that a further crash convicts the right task. In a busy pool,
 * servers are kept free of other runs for them. They leave other tasks half of the pool,
 * unless it has a single server.
 */

#include "fescuestream/scheduler/placement.h"

#include <cstddef>
#include <span>

namespace fescue::scheduler {

/** Number of suspects of a single crash that may share a server. */
inline constexpr std::size_t suspects_per_server = 4;

/** Suspected tasks of a pool that wait for a server. */
struct waiting_suspects {
    std::size_t of_one_crash{0};
    std::size_t of_several_crashes{0};
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

} // namespace fescue::scheduler
