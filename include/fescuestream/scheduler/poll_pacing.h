#pragma once

/**
 * @file
 * Decides how often servers are polled.
 *
 * Load pattern: hundreds of servers run tasks of half a second. An end that is collected late
 * delays the next step of its job and leaves the freed capacity unused, but a process that polls
 * more often than it can handle the replies delays all its other work. All polls together
 * therefore take a fixed share of the process's time, whatever the number of servers. The share
 * must not depend on the process's load: in a burst of starts, late ends cost more than late
 * starts.
 */

#include "fescuestream/base/ids.h"

#include <cstddef>

namespace fescue::scheduler {

/**
 * @param busy_servers number of servers that run tasks.
 * @return minimum time from the reply to a poll of a server until the next poll of it.
 */
milliseconds poll_interval(std::size_t busy_servers) noexcept;

} // namespace fescue::scheduler
