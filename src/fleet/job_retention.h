#pragma once

/**
 * @file
 * Decides which ended jobs have been kept long enough. Does no I/O and takes the current time as an
 * argument.
 */

#include "fescuestream/jobs/state.h"

#include <map>
#include <vector>

namespace fescue::fleet {

/** Measures how long each job has been observed to be ended. The time stamps in the log are not
 * compared with a clock: the wall clocks of the leaders that wrote them may differ and step. */
class job_retention {
public:
    explicit job_retention(milliseconds kept) : kept_{kept} {}

    /** Records the jobs that have ended. @return those whose end was first observed at least the
     * retention time ago. */
    std::vector<jobs::job_id> observe(const jobs::state& s, mono_time now);

private:
    struct observed_end {
        /** Distinguishes the ends of two jobs that used the same id. */
        wall_ms ended_at{0};
        mono_time since{};
    };

    milliseconds kept_;
    std::map<jobs::job_id, observed_end> ends_;
};

} // namespace fescue::fleet
