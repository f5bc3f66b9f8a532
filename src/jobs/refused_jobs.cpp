#include "fescuestream/jobs/refused_jobs.h"

namespace fescue::jobs {

std::size_t refused_jobs::count(const ids_by_account& ids)
{
    std::size_t total = 0;
    for (const auto& [account, of_account] : ids) {
        total += of_account.size();
    }
    return total;
}

std::size_t refused_jobs::count(const ids_by_account& ids, const team_id& account)
{
    const auto found = ids.find(account);
    return found == ids.end() ? 0 : found->second.size();
}

bool refused_jobs::has_room(const team_id& account) const
{
    return size_ < max_ids && count(recent_, account) + count(older_, account) < max_ids - size_;
}

void refused_jobs::add(const team_id& account, const job_id& id)
{
    size_ += recent_[account].insert(id).second ? 1 : 0;
}

bool refused_jobs::contains(const team_id& account, const job_id& id) const
{
    const auto holds = [&](const ids_by_account& ids) {
        const auto found = ids.find(account);
        return found != ids.end() && found->second.contains(id);
    };
    return holds(recent_) || holds(older_);
}

void refused_jobs::rotate(std::uint64_t number)
{
    if (number != rotations_ + 1) {
        return;
    }
    rotations_ = number;
    size_ -= count(older_);
    older_ = std::move(recent_);
    recent_.clear();
    if (size_ == 0) {
        // Snapshots omit an empty object.
        rotations_ = 0;
    }
}

} // namespace fescue::jobs
