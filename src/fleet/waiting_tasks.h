#pragma once

/**
 * @file
 * Long-running tasks that wait for a server: since when, and what excludes the servers of their
 * pool.
 */

#include "server_view.h"

#include "fescuestream/jobs/state.h"

#include <cstddef>
#include <map>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fescue::fleet {

/** A server and why it gets no new runs; the reason is empty if it may get some. */
struct server_availability {
    const server_view* server{nullptr};
    std::string_view exclusion;
};

/** Tasks of a step that are looked at one by one. A small document may describe a hundred thousand
 * tasks; looking at all of them in each round would keep the leader from serving anyone. */
inline constexpr std::size_t max_recorded_tasks_per_step = 512;

class waiting_tasks {
public:
    void clear() { waiting_since_.clear(); }
    std::size_t size() const noexcept { return waiting_since_.size(); }
    /** Records the first waiting tasks of a step. @param first the step's first task. */
    void record_step(const jobs::task_id& first, std::span<const jobs::task> tasks, mono_time now);
    /** Records that a task waits now; later calls for the same task have no effect. */
    void record_waiting(const jobs::task_id& task, mono_time now);
    void record_start(const jobs::task_id& task) { waiting_since_.erase(task); }
    /** @return how long the task has been waiting; 0 if it is not recorded as waiting. */
    milliseconds waiting_time(const jobs::task_id& task, mono_time now) const;
    /** Forgets the tasks that wait no longer, such as those of cancelled jobs. */
    void remove_obsolete(const jobs::state& state);
    /** Logs the task that has been waiting longest, if it has been waiting for longer than a move
     * takes, and for each reason the number of servers of its pool that are excluded by it. */
    void log_longest(const jobs::state& state,
                     const std::map<pool_id, std::vector<server_availability>>& servers,
                     mono_time now) const;

private:
    std::unordered_map<jobs::task_id, mono_time> waiting_since_;
};

} // namespace fescue::fleet
