#pragma once

/**
 * @file
 * Bounds the number of failed searches for a server in a scheduling round.
 *
 * Load pattern: more jobs wait without a fitting server than a round has time to search for. If
 * each round stopped after the same ones, a job behind them that has a server would never start.
 * After a number of failures a round therefore searches only for jobs that the rounds before it
 * have not come to, until all jobs have had their turn.
 */

#include "fescuestream/jobs/model.h"

#include <cstddef>
#include <optional>
#include <set>

namespace fescue::scheduler {

class search_rotation {
public:
    /** @param max_failures number of failures after which jobs take turns; a round ends after twice
     * as many. */
    explicit search_rotation(std::size_t max_failures) : max_failures_{max_failures} {}

    void begin_round();
    /** @return whether to search for the job in this round. Jobs are passed in order of urgency. */
    bool may_search(const jobs::job_id& job);
    void record_failure() noexcept { ++failures_; }
    /** A start is progress, so that the round may have as many failures again. */
    void record_start() noexcept { failures_ = 0; }
    /** @return whether the round has had all its failures. */
    bool is_exhausted() const noexcept { return failures_ >= 2 * max_failures_; }
    /** Called at the end of a round that no other limit has cut short. */
    void end_round();

private:
    std::size_t max_failures_;
    std::size_t failures_{0};
    /** Jobs that had their turn. */
    std::set<jobs::job_id> searched_;
    /** The job in turn; it may need several searches. */
    std::optional<jobs::job_id> current_;
};

} // namespace fescue::scheduler
