#include "fescuestream/scheduler/run_times.h"

#include <algorithm>

namespace fescue::scheduler {

namespace {

/** Weight of a new end against all before it. */
constexpr double new_weight = 0.05;
/** One end moves the factor no further than this, so that an outlier does not rule. */
constexpr double largest_factor = 4;
/** For tasks without an estimate. */
constexpr double unknown_ms = 1000;

} // namespace

void run_times::learn(const jobs::queue_id& queue, std::int64_t estimate_ms, double took_ms)
{
    if (estimate_ms <= 0) {
        return;
    }
    const double factor = std::min(took_ms / static_cast<double>(estimate_ms), largest_factor);
    const auto [known, fresh] = factors_.emplace(queue, factor);
    if (!fresh) {
        known->second += (factor - known->second) * new_weight;
    }
}

double run_times::expect(const jobs::queue_id& queue, std::int64_t estimate_ms) const
{
    if (estimate_ms <= 0) {
        return unknown_ms;
    }
    const auto known = factors_.find(queue);
    return static_cast<double>(estimate_ms) * (known == factors_.end() ? 1.0 : known->second);
}

double longest_chain_ms(const std::vector<jobs::step_spec>& steps,
                        const std::vector<double>& step_ms)
{
    std::vector<double> ends(steps.size(), 0);
    double longest = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        double begin = 0;
        for (const std::uint32_t before : steps[i].after) {
            begin = std::max(begin, ends[before]);
        }
        ends[i] = begin + step_ms[i];
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

} // namespace fescue::scheduler
