#include "job_retention.h"

namespace fescue::fleet {

std::vector<jobs::job_id> job_retention::observe(const jobs::state& s, mono_time now)
{
    std::vector<jobs::job_id> out;
    std::map<jobs::job_id, observed_end> ends;
    for (const auto& [id, j] : s.jobs) {
        if (!has_ended(j.phase) || j.running > 0) {
            continue;
        }
        const auto known = ends_.find(id);
        const bool observed = known != ends_.end() && known->second.ended_at == j.ended_at;
        const mono_time since = observed ? known->second.since : now;
        ends.emplace_hint(ends.end(), id, observed_end{j.ended_at, since});
        if (now - since >= kept_) {
            out.push_back(id);
        }
    }
    ends_ = std::move(ends);
    return out;
}

} // namespace fescue::fleet
