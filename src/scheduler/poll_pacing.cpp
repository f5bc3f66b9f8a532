#include "fescuestream/scheduler/poll_pacing.h"

#include <algorithm>
#include <cmath>

namespace fescue::scheduler {

namespace {

/** Processor time that a poll takes, including its part of the transfer. */
constexpr double poll_cost_ms = 0.05;
/** Fraction of the process's time that polls may take. */
constexpr double polling_share = 0.5;
/** A server ends a few runs a second, so most polls at a shorter interval would collect nothing. */
constexpr milliseconds min_interval{20};
/** A server's lease is renewed by polls, so this bounds the time between two renewals. */
constexpr milliseconds max_interval{500};

} // namespace

milliseconds poll_interval(std::size_t busy_servers) noexcept
{
    const double interval_ms = static_cast<double>(busy_servers) * poll_cost_ms / polling_share;
    return std::clamp(milliseconds{std::lround(interval_ms)}, min_interval, max_interval);
}

} // namespace fescue::scheduler
