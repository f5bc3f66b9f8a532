#pragma once

/**
 * @file
 * Decides from the crashes of servers under a task whether the task causes them.
 *
 * Load pattern: a task crashes each server that starts it, together with the runs of other jobs on
 * that server. After one crash all of them are suspects. A suspect is therefore started alone where
 * possible. A crash under a task that ran alone tells it from the others, two of them are taken as
 * proof. The crash of several servers at once, as in the failure of a rack, does not count as such.
 * A task that never runs alone is given up after more crashes, so that the number of crashes is
 * bounded in any case.
 */

#include "fescuestream/jobs/model.h"

#include <cstddef>
#include <vector>

namespace fescue::jobs {

/** Crashes under a task that had its server to itself after which the task is given up. A single
 * one may be a coincidence; the platform allows giving up after two crashes. */
inline constexpr std::size_t max_crashes_alone = 2;
/** Crashes under a task after which it is given up, whatever else its servers ran. The platform
 * allows three crashes and two further starts; one start is left for a crash that no report
 * showed. */
inline constexpr std::size_t max_crashes = 4;

/** A run that ended without a report, because its server crashed or was unreachable. */
struct run_loss {
    std::uint32_t attempt{0};
    server_id server;
    incarnation incarnation_id{0};
    /** The server had no run of another job at that time, and no servers that ran only other jobs
     * were lost together with it. */
    bool alone{false};
    /** The server is known to have crashed; otherwise it has not reported since. */
    bool crashed{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(attempt, server, incarnation_id, alone, crashed);
    }
};

/** The lost runs of a task, one for each server incarnation. */
class crash_record {
public:
    /** Adds a lost run. If the attempt is known, only its crash is recorded. */
    void add(const run_loss& loss);
    /** Records that the server of a lost run crashed. @return whether this was not known. */
    bool confirm(std::uint32_t attempt);
    /** Removes a lost run that is no reason to suspect the task. @return whether it was recorded.
     */
    bool dismiss(std::uint32_t attempt);

    const std::vector<run_loss>& losses() const noexcept { return losses_; }
    bool empty() const noexcept { return losses_.empty(); }
    /** @return the number of servers that crashed under the task. */
    std::size_t crashes() const noexcept;
    /** @return the number of those that had no run of another job. */
    std::size_t crashes_alone() const noexcept;
    /** @return whether the task has caused crashes, so that it must not start again. */
    bool is_culprit() const noexcept;
    /** @return whether the task may start now. It waits while the servers of its lost runs would
     * make it a culprit if all of them turn out to have crashed. */
    bool may_start() const noexcept { return losses_.size() < max_crashes && !is_culprit(); }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(losses_);
    }

private:
    std::vector<run_loss> losses_;
};

} // namespace fescue::jobs
