#include "fescuestream/scheduler/upkeep_plan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace fescue::scheduler {

namespace {

/** Share of the time left in which the wave is to be through; the rest is for what goes wrong. */
constexpr double used_part = 0.6;
/** With less than this many times the needed time left, work is stopped to make room. */
constexpr double hurry_factor = 1.5;

double ms(milliseconds d)
{
    return static_cast<double>(d.count());
}

/** How many machines should be down at once to end in time. */
std::size_t width_of(const upkeep_view& wave)
{
    const double time = std::max(1.0, ms(wave.left) * used_part);
    const double needed = static_cast<double>(wave.machines.size()) * ms(wave.each) / time;
    const auto most = static_cast<double>(wave.most_at_once);
    return static_cast<std::size_t>(std::clamp(std::ceil(needed), 1.0, std::max(1.0, most)));
}

} // namespace

upkeep_decision plan_upkeep(const upkeep_view& wave)
{
    upkeep_decision out;
    const std::size_t width = width_of(wave);
    const double at_full_width = static_cast<double>(wave.machines.size()) * ms(wave.each) /
                                 static_cast<double>(std::max(1U, wave.most_at_once));
    out.hurry = ms(wave.left) < at_full_width * hurry_factor;
    std::size_t down = 0;
    std::size_t emptying = 0;
    std::vector<std::size_t> next;
    for (std::size_t i = 0; i < wave.machines.size(); ++i) {
        const upkeep_candidate& m = wave.machines[i];
        down += m.begun ? 1 : 0;
        emptying += m.withheld && !m.begun ? 1 : 0;
        if (!m.begun && m.ready) {
            next.push_back(i);
        }
    }
    std::ranges::sort(next, [&](std::size_t a, std::size_t b) {
        const auto key = [&](std::size_t i) {
            const upkeep_candidate& m = wave.machines[i];
            return std::tuple{!m.withheld, m.lasting_tasks, m.other_tasks, i};
        };
        return key(a) < key(b);
    });
    for (const std::size_t i : next) {
        const upkeep_candidate& m = wave.machines[i];
        if (m.withheld && m.empty() && down < std::min<std::size_t>(width, wave.most_at_once)) {
            out.begin.push_back(i);
            ++down;
            --emptying;
        } else if (!m.withheld && emptying < width) {
            out.withhold.push_back(i);
            ++emptying;
        }
    }
    return out;
}

} // namespace fescue::scheduler
