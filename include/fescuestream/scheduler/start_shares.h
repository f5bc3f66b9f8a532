#pragma once

/**
 * @file
 * How many tasks a round starts, and how these are shared out among the pools.
 *
 * Load pattern: one pool has a burst of hundreds of tasks while the others have a few each, and a
 * round can start only so many. Equal shares leave most of a round unused; first come, first served
 * lets the burst hold up the few. So every pool gets up to an equal share, and what some leave goes
 * to the others.
 */

#include <cstddef>
#include <span>
#include <vector>

namespace fescue::scheduler {

/**
 * @param most starts that the round can make.
 * @param wanted starts that each pool could make.
 * @param first position that is served first; the last start or two go there.
 * @return starts for each pool, in the order of wanted.
 */
std::vector<std::size_t> share_starts(std::size_t most, std::span<const std::size_t> wanted,
                                      std::size_t first);

/**
 * How many tasks may be started now.
 *
 * Load pattern: a burst of short tasks on some 300 servers starts 3,000 a second, and each order
 * takes up to 0.2 s to be answered while it lasts. What waits to be started can still be put in
 * another order or be left for later, what is under way can't; so its number is bounded, but not
 * so low that the bound, and no longer the room on servers, decides how much is started.
 *
 * @param under_way orders without an answer yet.
 */
std::size_t starts_allowed(std::size_t under_way) noexcept;

} // namespace fescue::scheduler
