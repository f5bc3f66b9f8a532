#pragma once

/**
 * @file
 * Remembers the searches for a server that failed in a scheduling round.
 *
 * Load pattern: hundreds of jobs wait at the head of a full pool, most of them with a few different
 * needs, while a server has room for a smaller job behind them. Searching all servers for each of
 * them takes too long for a round, and ending the round after some of them starves the smaller job.
 * During a round the free capacity only shrinks, so a search fails if one for a smaller need with
 * the same or fewer constraints has failed.
 */

#include "fescuestream/scheduler/placement.h"

#include <string>
#include <vector>

namespace fescue::scheduler {

/** Searches for tasks that are not suspected of crashing servers, in one pool. */
class failed_searches {
public:
    /** Records that no server was found. Has no effect if tasks of the step are on servers and the
     * step limits its tasks per server: that limit may be the reason. */
    void add(const jobs::step_spec& step, const placement_hints& hints);
    /** @return whether a failed search shows that this one would fail as well. */
    bool rule_out(const jobs::step_spec& step, const placement_hints& hints) const;

private:
    struct search {
        std::string label;
        jobs::resources need;
        bool may_use_draining{false};
        bool may_share_server{false};
    };
    std::vector<search> searches_;
};

} // namespace fescue::scheduler
