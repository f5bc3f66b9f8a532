#pragma once

/**
 * @file
 * Decides how many tasks a scheduling round starts, and divides them among the pools.
 *
 * Load pattern: one pool has a burst of hundreds of tasks while the others have a few each, and the
 * number of starts per round is limited. Equal shares leave most of a round unused, and FIFO lets
 * the burst delay the other pools. Starts are therefore divided by max-min fairness: every pool
 * gets up to an equal share, and unused shares go to the other pools.
 */

#include <cstddef>
#include <span>
#include <vector>

namespace fescue::scheduler {

/**
 * @param max_starts maximum number of starts in the round.
 * @param wanted number of starts that each pool could use.
 * @param first index of the pool that is first in turn and gets the rounding remainder.
 * @return number of starts for each pool, in the order of @p wanted.
 */
std::vector<std::size_t> share_starts(std::size_t max_starts, std::span<const std::size_t> wanted,
                                      std::size_t first);

/**
 * Returns how many tasks may be started now.
 *
 * Load pattern: a burst of short tasks on some 300 servers starts 3,000 tasks a second, and each
 * start order takes up to 0.2 s to be answered during the burst. Waiting tasks can still be
 * reordered or postponed, started ones can't. The number of unanswered orders is therefore bounded,
 * but high enough that the servers' free resources, not this bound, limit the start rate.
 *
 * @param unanswered_orders start orders that are not answered yet.
 */
std::size_t starts_allowed(std::size_t unanswered_orders) noexcept;

} // namespace fescue::scheduler
