#include "fescuestream/scheduler/arrival_rate.h"

#include <numeric>

namespace fescue::scheduler {

namespace {

/** Time over which work is summed; short compared to bursts, which last seconds. */
constexpr milliseconds rate_window{800};
/** Minimum number of jobs in the window for an estimate. */
constexpr std::size_t min_jobs = 3;
constexpr double millicores_per_core = 1000.0;

} // namespace

void arrival_rate::record_arrival(const pool_id& pool, double core_ms, mono_time now)
{
    arrivals_by_pool_[pool].push_back({now, core_ms});
}

std::int64_t arrival_rate::cpu_milli(const pool_id& pool, mono_time now)
{
    const auto known = arrivals_by_pool_.find(pool);
    if (known == arrivals_by_pool_.end()) {
        return 0;
    }
    std::deque<arrival>& recent = known->second;
    while (!recent.empty() && now - recent.front().at > rate_window) {
        recent.pop_front();
    }
    if (recent.size() < min_jobs) {
        return 0;
    }
    const double work =
        std::accumulate(recent.begin(), recent.end(), 0.0,
                        [](double sum, const arrival& a) { return sum + a.core_ms; });
    return static_cast<std::int64_t>(work / static_cast<double>(rate_window.count()) *
                                     millicores_per_core);
}

} // namespace fescue::scheduler
