#include "fescuestream/scheduler/job_order.h"

#include <algorithm>
#include <tuple>

namespace fescue::scheduler {

urgency urgency_of(const queued_job& s) noexcept
{
    if (s.long_running) {
        return urgency::long_running;
    }
    if (s.time_to_expiry_ms < s.critical_path_ms) {
        return urgency::expired;
    }
    if (s.time_to_deadline_ms < s.critical_path_ms) {
        return urgency::late;
    }
    return s.started ? urgency::started : urgency::on_time;
}

void sort_by_urgency(std::vector<queued_job>& jobs)
{
    const auto key = [](const queued_job& s) {
        const urgency u = urgency_of(s);
        const bool late = u == urgency::late || u == urgency::expired;
        // Late jobs: shortest remaining work first, to complete as many as possible.
        const double rank = late ? s.remaining_core_ms : s.time_to_deadline_ms - s.critical_path_ms;
        return std::tuple{u, late && !s.started, s.priority, rank, s.job};
    };
    std::ranges::sort(jobs,
                      [&](const queued_job& a, const queued_job& b) { return key(a) < key(b); });
}

} // namespace fescue::scheduler
