#include "fescuestream/scheduler/arrival_rate.h"

#include <numeric>

namespace fescue::scheduler {

namespace {

/** Time over which work is summed: short against a burst of seconds. */
constexpr milliseconds window{800};
/** Fewer jobs than this in the window are no rate. */
constexpr std::size_t least_jobs = 3;
constexpr double milli = 1000.0;

} // namespace

void arrival_rate::arrived(const pool_id& pool, double core_ms, mono_time now)
{
    pools_[pool].push_back({now, core_ms});
}

std::int64_t arrival_rate::cpu_milli(const pool_id& pool, mono_time now)
{
    const auto known = pools_.find(pool);
    if (known == pools_.end()) {
        return 0;
    }
    std::deque<arrival>& recent = known->second;
    while (!recent.empty() && now - recent.front().at > window) {
        recent.pop_front();
    }
    if (recent.size() < least_jobs) {
        return 0;
    }
    const double work =
        std::accumulate(recent.begin(), recent.end(), 0.0,
                        [](double sum, const arrival& a) { return sum + a.core_ms; });
    return static_cast<std::int64_t>(work / static_cast<double>(window.count()) * milli);
}

} // namespace fescue::scheduler
