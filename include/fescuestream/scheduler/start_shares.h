#pragma once

/**
 * @file
 * How the starts of one round are shared out among the pools.
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

} // namespace fescue::scheduler
