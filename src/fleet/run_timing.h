#pragma once

/**
 * @file
 * Timeouts, intervals and limits of the run driver.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/settings/job_service.h"

#include <algorithm>

namespace fescue::fleet {

/** Lease on runs, in milliseconds. It must outlast an election, polling the servers and one retry;
 * a shorter lease restarts runs sooner that were lost behind a network partition. */
inline constexpr std::int64_t run_lease_ms = 3600;
/** Longest time that a server holds a poll open until a run ends, in milliseconds. Each poll renews
 * the lease, so the lease is renewed about this often. */
inline constexpr std::int64_t max_poll_wait_ms = 700;
inline constexpr milliseconds load_measuring_period{1000};
/** Delay after an unanswered poll, multiplied by the number of consecutive failures. */
inline constexpr milliseconds retry_delay{150};
/** With fewer busy servers, relaying through another scheduler costs more than it saves. */
inline constexpr std::size_t default_min_busy_servers_for_relays = 64;
/** Time after the start of a long-running task in which its server is polled without waiting until
 * the task is at full work: until then no other task of its step can be moved. Users' tasks reach
 * it within about one second. */
inline constexpr milliseconds startup_poll_window{3000};
/** How long the result of a poll counts as current; a poll is held open for up to
 * max_poll_wait_ms. */
inline constexpr milliseconds poll_result_validity{1500};
/** Upper bound on the multiplier of retry_delay. */
inline constexpr std::uint32_t max_retry_delay_factor = 4;
/** Copies of a start that are sent to a server that answers polls, before the start is given up. */
inline constexpr std::uint32_t max_starts = 6;
/** Interval between two attempts to stop a run. */
inline constexpr milliseconds stop_retry_interval{300};
/** An unanswered order may be executed up to this much later, according to the platform's
 * documentation. */
inline constexpr milliseconds max_order_delay{12'500};
/** Allowance for leases that the previous leader renewed until it stepped down and its last orders
 * arrived. */
inline constexpr milliseconds inherited_lease_margin{2500};
/** Time without new runs for a server that has not accepted a start. */
inline constexpr milliseconds refusal_backoff{400};
/** How much sooner than announced a server's shutdown notice may arrive: the announcement takes
 * time to reach the leader. */
inline constexpr milliseconds shutdown_notice_tolerance{500};
/** Time allowed from a server's shutdown notice until its process has ended. */
inline constexpr milliseconds shutdown_margin{300};
/** A long-running task that has been at full work for this long is not suspected if its server
 * crashes: a task that crashes its servers does so soon after its start. A suspect has its server
 * to itself for as long. */
inline constexpr milliseconds trial_run_time{10'000};
/** Time in which a crashed server is expected to report again; the platform restarts it within some
 * seconds. A lost run whose server stays away longer does not count as a crash. */
inline constexpr milliseconds max_restart_time{20'000};
/** Servers whose last answered polls were sent within this time of each other may have been lost
 * together: a server with runs is polled at least this often. */
inline constexpr milliseconds max_loss_interval{1000};
/** Interval between two checks of the lost runs. */
inline constexpr milliseconds loss_check_interval{200};
/** A server without runs is removed after this time without a report. */
inline constexpr milliseconds forget_after{10'000};

/** A start is sent to a server that does not enforce its capacity only if the server's last report
 * is younger than this. The platform allows for the contact time and one report period until a
 * smaller capacity counts; a report takes up to a second until it has been forwarded to the leader,
 * and the start order is on its way for up to a tenth of a second. */
inline milliseconds max_capacity_age(const settings::job_bounds& bounds)
{
    constexpr milliseconds max_transit_time{1100};
    return milliseconds{bounds.contact_ms + bounds.report_period_ms} - max_transit_time;
}

inline std::int64_t effective_run_lease_ms(const settings::job_bounds& bounds)
{
    return std::min(run_lease_ms, bounds.max_lease_ms);
}

} // namespace fescue::fleet
