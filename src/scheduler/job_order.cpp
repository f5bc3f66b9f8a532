#include "fescuestream/scheduler/job_order.h"

#include <algorithm>
#include <tuple>

namespace fescue::scheduler {

urgency urgency_of(const standing& s) noexcept
{
    if (s.lasting) {
        return urgency::lasting;
    }
    if (s.due_in_ms < s.chain_ms) {
        return urgency::late;
    }
    return s.begun ? urgency::begun : urgency::on_time;
}

void sort_by_urgency(std::vector<standing>& jobs)
{
    const auto key = [](const standing& s) {
        const urgency u = urgency_of(s);
        const bool late = u == urgency::late;
        // Late jobs: shortest remaining work first, to complete as many as possible.
        const double rank = late ? s.work_core_ms : s.due_in_ms - s.chain_ms;
        return std::tuple{u, late && !s.begun, s.priority, rank, s.job};
    };
    std::ranges::sort(jobs, [&](const standing& a, const standing& b) { return key(a) < key(b); });
}

} // namespace fescue::scheduler
