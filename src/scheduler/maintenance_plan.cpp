#include "fescuestream/scheduler/maintenance_plan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace fescue::scheduler {

namespace {

/** Fraction of the remaining time to plan for; the rest is a reserve for failures. */
constexpr double planned_time_fraction = 0.6;
/** Tasks are stopped if less than this multiple of the needed time remains. */
constexpr double deadline_risk_factor = 1.5;

double to_ms(milliseconds d)
{
    return static_cast<double>(d.count());
}

/** @return number of machines to take down concurrently to finish in time. */
std::size_t target_concurrency(const maintenance_view& wave)
{
    const double time = std::max(1.0, to_ms(wave.time_left) * planned_time_fraction);
    const double needed =
        static_cast<double>(wave.machines.size()) * to_ms(wave.time_per_machine) / time;
    const auto max_concurrency = static_cast<double>(wave.max_concurrent);
    return static_cast<std::size_t>(
        std::clamp(std::ceil(needed), 1.0, std::max(1.0, max_concurrency)));
}

} // namespace

maintenance_decision plan_maintenance(const maintenance_view& wave)
{
    maintenance_decision out;
    const std::size_t concurrency = target_concurrency(wave);
    const double time_at_max_concurrency = static_cast<double>(wave.machines.size()) *
                                           to_ms(wave.time_per_machine) /
                                           static_cast<double>(std::max(1U, wave.max_concurrent));
    out.deadline_at_risk = to_ms(wave.time_left) < time_at_max_concurrency * deadline_risk_factor;
    std::size_t down = 0;
    std::size_t draining = 0;
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < wave.machines.size(); ++i) {
        const maintenance_candidate& m = wave.machines[i];
        down += m.started ? 1 : 0;
        draining += m.cordoned && !m.started ? 1 : 0;
        if (!m.started && m.ready) {
            candidates.push_back(i);
        }
    }
    std::ranges::sort(candidates, [&](std::size_t a, std::size_t b) {
        const auto key = [&](std::size_t i) {
            const maintenance_candidate& m = wave.machines[i];
            return std::tuple{!m.cordoned, m.long_running_tasks, m.other_tasks, i};
        };
        return key(a) < key(b);
    });
    for (const std::size_t i : candidates) {
        const maintenance_candidate& m = wave.machines[i];
        if (m.cordoned && m.empty() &&
            down < std::min<std::size_t>(concurrency, wave.max_concurrent)) {
            out.start.push_back(i);
            ++down;
            --draining;
        } else if (!m.cordoned && draining < concurrency) {
            out.cordon.push_back(i);
            ++draining;
        }
    }
    return out;
}

} // namespace fescue::scheduler
