#pragma once

/**
 * @file
 * Decides whether a start may be sent to a server. Every start passes find_obstacle() at the moment
 * it is sent, whichever way it comes: right after it was recorded, again after it got no answer, or
 * from an earlier leader that may not have sent it. Its only caller for that is
 * run_driver::order_start(). The dispatcher uses the same functions to choose servers, so that it
 * chooses none that is refused afterwards.
 *
 * Load pattern: configurations, caps, evacuations and drains that change while starts are being
 * recorded or wait for an answer. No I/O; the time is an argument.
 */

#include "server_view.h"

#include "fescuestream/jobs/state.h"
#include "fescuestream/settings/job_service.h"

#include <cstdint>
#include <string_view>

namespace fescue::fleet {

enum class start_obstacle : std::uint8_t {
    none,
    // Of the leader and the task.
    no_leader_lease,
    job_over,
    step_blocked,
    attempts_used,
    copies_used,
    over_cap,
    // Of the server.
    server_changed,
    leaving,
    no_answer,
    cordoned,
    draining,
    leases_frozen,
    unknown_runs,
    out_of_service,
    capacity_unconfirmed,
    // Of the task on this server.
    wrong_pool,
    label_missing,
    runs_the_step,
    no_capacity,
    // Reasons to choose another server, which do not stop a start that is recorded for this one.
    no_report,
    refused_a_start,
    capacity_outdated,
    not_polled,
};

/** Name for the log. */
std::string_view name_of(start_obstacle o) noexcept;

/** A start and the state at the moment at which it is to be sent. */
struct start_check {
    const jobs::state& state;
    const settings::job_bounds& bounds;
    const server_view& server;
    /** Recorded as running on the server. */
    jobs::task_id task;
    /** Copies of the start that were sent before. */
    std::uint32_t copies{0};
    bool has_leader_lease{true};
    /** The task may start on a server that is being drained: it found no other one. */
    bool may_use_draining{false};
    mono_time now{};
};

/** @return the first obstacle to a recorded start, or none. */
start_obstacle find_obstacle(const start_check& c);

/** @return the first obstacle to any start on the server, except that it is being drained. */
start_obstacle find_server_obstacle(const server_view& server, const jobs::state& state,
                                    const settings::job_bounds& bounds, mono_time now);

/** @return why the server is not chosen for new starts although it might execute them. */
start_obstacle find_placement_obstacle(const server_view& server, mono_time now);

/** @return the first obstacle to the task on this server, apart from those of the server itself. */
start_obstacle find_step_obstacle(const server_view& server, const jobs::task_id& task,
                                  const jobs::step_spec& spec);

/** @return whether the obstacle may be gone when the server is polled next, so that a start that
 * was sent before is not withdrawn. */
bool clears_with_next_poll(start_obstacle o) noexcept;

/** @return the account's cap, or nullptr if it has none. */
const jobs::resources* find_cap(const jobs::state& state, const team_id& account);

/** @return whether the account stays within its cap with this in use. */
bool is_within_cap(const jobs::state& state, const team_id& account, const jobs::resources& in_use);

/** @return what the account's recorded runs need, except this task's. */
jobs::resources usage_of_others(const jobs::state& state, const jobs::task_id& task);

} // namespace fescue::fleet
