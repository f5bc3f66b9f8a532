#include "fescuestream/scheduler/run_times.h"

#include <algorithm>

namespace fescue::scheduler {

namespace {

/** Smoothing factor of the exponential moving average. */
constexpr double smoothing_factor = 0.05;
/** Upper bound of a single run's ratio, which limits the effect of outliers. */
constexpr double max_factor = 4;
/** Run time assumed for tasks without an estimate. */
constexpr double default_run_time_ms = 1000;
constexpr double upper_percentile = 0.9;
/** Relative change of the percentile's estimate per run: it follows a change of the load within
 * some dozens of runs. */
constexpr double percentile_step = 0.1;
/** Ratio assumed before the first run has completed: callers' estimates are off by a factor. */
constexpr double initial_upper_factor = 2;

} // namespace

void run_times::record(const jobs::queue_id& queue, std::int64_t estimate_ms, double took_ms)
{
    if (estimate_ms <= 0) {
        return;
    }
    const double factor = std::min(took_ms / static_cast<double>(estimate_ms), max_factor);
    const auto [known, inserted] = factors_.emplace(queue, factor);
    if (!inserted) {
        known->second += (factor - known->second) * smoothing_factor;
    }
    double& upper = upper_factors_.emplace(queue, initial_upper_factor).first->second;
    upper *= 1 + percentile_step * (factor > upper ? upper_percentile : upper_percentile - 1);
}

double run_times::upper_bound_ms(const jobs::queue_id& queue, std::int64_t estimate_ms) const
{
    if (estimate_ms <= 0) {
        return default_run_time_ms * initial_upper_factor;
    }
    const auto known = upper_factors_.find(queue);
    return static_cast<double>(estimate_ms) *
           (known == upper_factors_.end() ? initial_upper_factor : known->second);
}

double run_times::expected_ms(const jobs::queue_id& queue, std::int64_t estimate_ms) const
{
    if (estimate_ms <= 0) {
        return default_run_time_ms;
    }
    const auto known = factors_.find(queue);
    return static_cast<double>(estimate_ms) * (known == factors_.end() ? 1.0 : known->second);
}

double compute_critical_path_ms(const std::vector<jobs::step_spec>& steps,
                                const std::vector<double>& step_ms)
{
    std::vector<double> step_ends(steps.size(), 0);
    double longest = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        double start = 0;
        for (const std::uint32_t dependency : steps[i].depends_on) {
            start = std::max(start, step_ends[dependency]);
        }
        step_ends[i] = start + step_ms[i];
        longest = std::max(longest, step_ends[i]);
    }
    return longest;
}

} // namespace fescue::scheduler
