#pragma once

/**
 * @file
 * Which machines of a maintenance wave are emptied and go down next.
 *
 * Load pattern: a wave names a good part of the machines and leaves some seconds. Taking as many
 * down at once as the wave allows takes that much room from a burst; taking one at a time ends too
 * late. So as few go at once as end the wave with time to spare, those with the least on them
 * first, and the next ones are emptied while these are down.
 */

#include "fescuestream/base/ids.h"

#include <string>
#include <vector>

namespace fescue::scheduler {

struct upkeep_candidate {
    std::string machine;
    /** The order was put into the log; it may be down. */
    bool begun{false};
    /** It gets no new work. */
    bool withheld{false};
    /** Its server is known and up, or it has none to empty. */
    bool ready{false};
    std::uint32_t lasting_tasks{0};
    std::uint32_t other_tasks{0};

    bool empty() const noexcept { return lasting_tasks == 0 && other_tasks == 0; }
};

struct upkeep_view {
    /** Machines that are not through yet. */
    std::vector<upkeep_candidate> machines;
    std::uint32_t most_at_once{1};
    /** Time until the wave is due; may be negative. */
    milliseconds left{0};
    /** Time that one machine takes, emptied and down. */
    milliseconds each{0};
};

struct upkeep_decision {
    /** Positions in upkeep_view::machines. */
    std::vector<std::size_t> withhold;
    std::vector<std::size_t> begin;
    /** Time runs out: what still runs on withheld machines is to be stopped. */
    bool hurry{false};
};

upkeep_decision plan_upkeep(const upkeep_view& wave);

} // namespace fescue::scheduler
