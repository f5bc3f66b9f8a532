#include "fescuestream/scheduler/demand_forecast.h"

#include <algorithm>

namespace fescue::scheduler {

namespace {

/** Time over which a trend is measured: as long as the window of the arrival rate, whose values
 * within a shorter time are not independent. */
constexpr milliseconds trend_window{800};

/** @return the value after the lead time if it keeps rising as it did since the earlier sample; a
 * falling value is not extrapolated, since the next job may arrive at any time. */
double extrapolate_rise(std::int64_t earlier, std::int64_t latest, milliseconds between,
                        milliseconds lead_time)
{
    const auto rise = static_cast<double>(std::max<std::int64_t>(0, latest - earlier));
    return static_cast<double>(latest) +
           rise * static_cast<double>(lead_time.count()) / static_cast<double>(between.count());
}

} // namespace

std::int64_t demand_forecast::expected_cpu(const pool_id& pool, const pool_demand& now_seen,
                                           mono_time now)
{
    std::deque<sample>& samples = history_[pool];
    samples.push_back({now, now_seen});
    // The oldest sample kept is the latest one that is at least as old as the window.
    while (samples.size() > 1 && now - samples[1].at >= trend_window) {
        samples.pop_front();
    }
    const sample& earlier = samples.front();
    const auto between = std::chrono::duration_cast<milliseconds>(now - earlier.at);
    if (between < trend_window) {
        return now_seen.demand_cpu;
    }
    const double demand =
        extrapolate_rise(earlier.seen.demand_cpu, now_seen.demand_cpu, between, lead_time_);
    const double arrivals =
        extrapolate_rise(earlier.seen.arrival_cpu, now_seen.arrival_cpu, between, lead_time_);
    const double expected =
        std::min(demand, arrivals + static_cast<double>(now_seen.long_running_cpu));
    return std::max(now_seen.demand_cpu, static_cast<std::int64_t>(expected));
}

} // namespace fescue::scheduler
