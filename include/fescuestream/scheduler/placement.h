#pragma once

/**
 * @file
 * Selects the server on which a task starts.
 *
 * Load pattern: bursts of short tasks in one pool after another, beside a few long-running
 * ("long-running") tasks. Tasks are bin-packed: long-running tasks together, but spread where the
 * step limits its tasks per server, and short tasks first beside long-running ones and then on the
 * fullest server with capacity. A pool then has idle servers as soon as its burst ends, which can
 * move to the next burst or be maintained; a trickle of tasks spread over all servers would prevent
 * that. During a maintenance wave, long-running tasks avoid servers that are still to be
 * maintained; otherwise they would have to move again, and the moves of a step run one after the
 * other. Tasks that are suspected of crashing servers run on reserved servers, or where they affect
 * the fewest other runs. A server that is being drained takes a long-running task only if the task
 * has waited for another one in vain: if all servers of a pool are being drained, its steps wait
 * for each other.
 */

#include "fescuestream/jobs/server_report.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace fescue::scheduler {

/** A server that is considered for a task. */
struct server_candidate {
    /** The server's own report; must outlive this entry. */
    const jobs::server_report* server{nullptr};
    jobs::resources free;
    /** Number of long-running tasks on the server. */
    std::uint32_t long_running_tasks{0};
    /** Whether a long-running task serves requests under a latency limit; best-effort tasks disturb
     * it. */
    bool latency_limited{false};
    /** Consecutive failures on the server; 0 if healthy. */
    std::uint32_t consecutive_failures{0};
    /** The server gets only one trial task at a time. */
    bool is_on_trial{false};
    /** A trial task is on the server. Long-running tasks at full work are no trial: they do not
     * end. */
    bool has_trial_task{false};
    /** The server's machine is due for maintenance. */
    bool maintenance_due{false};
    /** The server is being drained and takes only tasks that find no other server. */
    bool draining{false};
    /** Number of runs on the server, and of those that are suspected of crashing servers. */
    std::size_t runs{0};
    std::size_t suspects{0};
    /** Jobs of these suspects. */
    std::vector<jobs::job_id> suspect_jobs;
    /** One of them is suspected of several crashes: no other job is started beside it. */
    bool isolates_suspect{false};
    /** The server is reserved for suspects. */
    bool reserved{false};
};

/** How strongly a task is suspected of crashing servers. */
enum class suspicion : std::uint8_t { none, one_crash, several_crashes };

class reservations;

/** Placement inputs besides the step's own constraints. */
struct placement_hints {
    /** Number of the step's tasks per server, to enforce max_per_server. */
    const std::vector<std::pair<server_id, std::uint32_t>>* step_on_server{nullptr};
    /** Rack of the step's other tasks; empty if there are none. */
    rack_id step_rack;
    /** Server on which the task has just failed; other servers are preferred. */
    server_id avoid;
    /** The task has waited so long that it may start on a server that is being drained. */
    bool may_use_draining{false};
    /** How strongly the task is suspected of crashing servers. */
    suspicion suspected{suspicion::none};
    /** Job of the task; its suspects may share a server. */
    std::optional<jobs::job_id> job;
    /** Number of jobs whose suspects may share a server with this one. 0 selects the smallest
     * groups: suspects_per_server after one crash, 1 after several. */
    std::size_t max_suspect_jobs{0};
    /** The task has waited so long that the reservation of servers does not apply to it. */
    bool may_share_server{false};
    /** Capacity that is reserved for more urgent tasks; may be null. */
    const reservations* reserved{nullptr};
    /** By when the task has ended in most cases, if it starts now. Used with reservations. */
    milliseconds run_time{0};
    mono_time now{};

    /** @return whether a task that is no suspect may use with these hints every server that it may
     * use with the other ones. */
    bool allow_all_of(const placement_hints& other) const noexcept
    {
        return may_use_draining >= other.may_use_draining &&
               may_share_server >= other.may_share_server;
    }
};

/** @return whether the server may run the step, regardless of free resources. */
bool is_eligible(const server_candidate& c, const jobs::step_spec& step,
                 const placement_hints& hints);
/** @return the index of the best server with enough free resources, if any. */
std::optional<std::size_t> choose(std::span<const server_candidate> servers,
                                  const jobs::step_spec& step, const placement_hints& hints);

} // namespace fescue::scheduler
