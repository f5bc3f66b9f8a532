#pragma once

/**
 * @file
 * Which server a task starts on.
 *
 * Load pattern: bursts of short tasks in one pool after another, beside few tasks that last. Work
 * is packed: lasting tasks together, apart from each other where the step asks for it, and short
 * ones first beside them and then on the fullest server that has room. So a pool whose burst is
 * over has idle servers at once, and these can be moved to the next burst or maintained; a trickle
 * that is spread over all servers keeps each of them from that. While maintenance goes round the
 * servers, a lasting task that had to leave one keeps off those that are still to come, or it would
 * have to move again, and each move of a step waits for the one before.
 */

#include "fescuestream/jobs/server_report.h"

#include <optional>
#include <span>
#include <vector>

namespace fescue::scheduler {

/** A server that may take work. */
struct candidate {
    /** What it says of itself; outlives the candidate. */
    const jobs::server_report* server{nullptr};
    jobs::resources free;
    /** Lasting tasks on it. */
    std::uint32_t lasting_tasks{0};
    /** Whether one of them must answer within a limit; fillers disturb it. */
    bool serves{false};
    /** 0: sound; higher: it did worse than its peers of late. */
    std::uint32_t demerits{0};
    /** It gets single trial tasks only. */
    bool on_trial{false};
    /** Its machine will be maintained soon. */
    bool maintenance_due{false};
};

/** What matters besides the step's own wishes. */
struct placement_hints {
    /** Tasks of the step by server, for most_per_server. */
    const std::vector<std::pair<server_id, std::uint32_t>>* step_on_server{nullptr};
    /** Rack that the step's other tasks use; empty: none do yet. */
    rack_id step_rack;
    /** A server on which the task has just failed; others are preferred. */
    server_id avoid;
};

/** @return whether the server may run the step at all, room aside. */
bool may_run(const candidate& c, const jobs::step_spec& step, const placement_hints& hints);
/** @return the position of the best server with room, or nothing. */
std::optional<std::size_t> choose(std::span<const candidate> servers, const jobs::step_spec& step,
                                  const placement_hints& hints);

} // namespace fescue::scheduler
