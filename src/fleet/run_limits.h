#pragma once

/**
 * @file
 * Times and bounds by which the run driver works.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/settings/job_service.h"

#include <algorithm>

namespace fescue::fleet {

/** Lease on runs, in milliseconds. It has to outlast an election, reading the servers' lists and
 * one retry; the shorter it is, the sooner work that was lost behind a cut runs elsewhere. */
inline constexpr std::int64_t run_lease_ms = 3600;
/** Longest that a look waits for an end, in milliseconds; the lease is renewed that often. */
inline constexpr std::int64_t look_wait_ms = 700;
/** Pause between two looks at a server while work runs, so that several ends come with one look:
 * it grows with the servers that run something, since all looks share this instance's processor. */
inline constexpr milliseconds least_look_pause{20};
inline constexpr milliseconds most_look_pause{250};
inline constexpr std::int64_t look_pause_us_a_server = 1000;
/** Pause after a look or an order that got no answer. */
inline constexpr milliseconds retry_pause{150};
/** With fewer busy servers the way through another scheduler costs more than it saves. */
inline constexpr std::size_t busy_for_relays = 64;
/** So long after its start a lasting task is looked at until it is at full work, for as long the
 * next task of its step can't be moved; the users' tasks take about a second. */
inline constexpr milliseconds start_up_watch{3000};
/** What a look showed is believed for so long: looks wait up to look_wait_ms for an answer. */
inline constexpr milliseconds believed_for{1500};
/** Pauses grow to so many of the above. */
inline constexpr std::uint32_t most_retry_pauses = 4;
/** Pause between two tries to stop a run. */
inline constexpr milliseconds stop_pause{300};
/** An order without an answer may be carried out this much later; from the platform's pages. */
inline constexpr milliseconds late_order{12'500};
/** A leader before this one may have renewed leases until it gave up and its orders arrived. */
inline constexpr milliseconds inherited_margin{2500};
/** No new work on a server that has just refused some. */
inline constexpr milliseconds refusal_pause{400};
/** What a server that said that it ends still needs to be gone. */
inline constexpr milliseconds leaving_margin{300};
/** Servers that report no more are forgotten when nothing of theirs is left. */
inline constexpr milliseconds forgotten_after{10'000};

inline std::int64_t lease_for(const settings::job_bounds& bounds)
{
    return std::min(run_lease_ms, bounds.longest_lease_ms);
}

} // namespace fescue::fleet
