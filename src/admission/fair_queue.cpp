#include "fescuestream/admission/fair_queue.h"

#include <algorithm>

namespace fescue::admission {

void fair_queue::push(waiting_item item)
{
    ++by_service_[item.service];
    ++size_;
    auto& lane = teams_[item.team][static_cast<std::size_t>(item.cls)];
    lane.push_back(std::move(item));
}

std::optional<waiting_item> fair_queue::pick(const std::function<bool(const team_id&)>& may_start,
                                             const score_function& score)
{
    lanes* best = nullptr;
    double best_score = 0;
    for (auto& [team, waiting] : teams_) {
        const bool any =
            std::ranges::any_of(waiting, [](const auto& lane) { return !lane.empty(); });
        if (!any || !may_start(team)) {
            continue;
        }
        const double s = score(team);
        if (best == nullptr || s < best_score) {
            best = &waiting;
            best_score = s;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    auto lane = std::ranges::find_if(*best, [](const auto& l) { return !l.empty(); });
    waiting_item item = std::move(lane->front());
    lane->pop_front();
    left(item);
    return item;
}

std::vector<waiting_item> fair_queue::take_expired(mono_time now)
{
    return take_if([now](const waiting_item& item) { return item.deadline <= now; });
}

std::vector<waiting_item> fair_queue::take_if(const std::function<bool(const waiting_item&)>& gone)
{
    std::vector<waiting_item> out;
    for (auto& [team, waiting] : teams_) {
        for (auto& lane : waiting) {
            for (const waiting_item& item : lane) {
                if (gone(item)) {
                    out.push_back(item);
                }
            }
            std::erase_if(lane, gone);
        }
    }
    for (const waiting_item& item : out) {
        left(item);
    }
    return out;
}

void fair_queue::left(const waiting_item& item)
{
    --size_;
    const auto service = by_service_.find(item.service);
    if (--service->second == 0) {
        by_service_.erase(service);
    }
}

std::size_t fair_queue::waiting(const service_id& service) const
{
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? 0 : found->second;
}

std::size_t fair_queue::waiting(const team_id& team) const
{
    const auto found = teams_.find(team);
    if (found == teams_.end()) {
        return 0;
    }
    std::size_t sum = 0;
    for (const auto& lane : found->second) {
        sum += lane.size();
    }
    return sum;
}

std::vector<team_id> fair_queue::teams() const
{
    std::vector<team_id> out;
    for (const auto& [team, waiting] : teams_) {
        if (std::ranges::any_of(waiting, [](const auto& lane) { return !lane.empty(); })) {
            out.push_back(team);
        }
    }
    return out;
}

double fair_score(std::uint32_t running_here, std::uint32_t running_elsewhere, std::uint32_t homes,
                  double share) noexcept
{
    const double weight = homes == 0 ? 1.0 : 1.0 / homes;
    // Half a slot more makes the rounding fair: without it a small share gains from each whole
    // slot.
    return (running_here + running_elsewhere * weight + 0.5) / share;
}

} // namespace fescue::admission
