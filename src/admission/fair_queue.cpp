#include "fescuestream/admission/fair_queue.h"

#include <algorithm>

namespace fescue::admission {

void fair_queue::push(waiting_item item)
{
    ++waiting_by_service_[item.service];
    ++size_;
    auto& queue = teams_[item.team][static_cast<std::size_t>(item.priority_class)];
    queue.push_back(std::move(item));
}

std::optional<waiting_item> fair_queue::pick(const std::function<bool(const team_id&)>& may_start,
                                             const score_function& score)
{
    class_queues* best = nullptr;
    double best_score = 0;
    for (auto& [team, waiting] : teams_) {
        const bool has_waiting =
            std::ranges::any_of(waiting, [](const auto& queue) { return !queue.empty(); });
        if (!has_waiting || !may_start(team)) {
            continue;
        }
        const double team_score = score(team);
        if (best == nullptr || team_score < best_score) {
            best = &waiting;
            best_score = team_score;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    auto queue = std::ranges::find_if(*best, [](const auto& q) { return !q.empty(); });
    waiting_item item = std::move(queue->front());
    queue->pop_front();
    remove_from_counts(item);
    return item;
}

std::vector<waiting_item> fair_queue::remove_expired(mono_time now)
{
    return remove_if([now](const waiting_item& item) { return item.deadline <= now; });
}

std::vector<waiting_item>
fair_queue::remove_if(const std::function<bool(const waiting_item&)>& predicate)
{
    std::vector<waiting_item> out;
    for (auto& [team, waiting] : teams_) {
        for (auto& queue : waiting) {
            for (const waiting_item& item : queue) {
                if (predicate(item)) {
                    out.push_back(item);
                }
            }
            std::erase_if(queue, predicate);
        }
    }
    for (const waiting_item& item : out) {
        remove_from_counts(item);
    }
    return out;
}

void fair_queue::remove_from_counts(const waiting_item& item)
{
    --size_;
    const auto service = waiting_by_service_.find(item.service);
    if (--service->second == 0) {
        waiting_by_service_.erase(service);
    }
}

std::size_t fair_queue::waiting(const service_id& service) const
{
    const auto found = waiting_by_service_.find(service);
    return found == waiting_by_service_.end() ? 0 : found->second;
}

std::size_t fair_queue::waiting(const team_id& team) const
{
    const auto found = teams_.find(team);
    if (found == teams_.end()) {
        return 0;
    }
    std::size_t sum = 0;
    for (const auto& queue : found->second) {
        sum += queue.size();
    }
    return sum;
}

std::vector<team_id> fair_queue::teams() const
{
    std::vector<team_id> out;
    for (const auto& [team, waiting] : teams_) {
        if (std::ranges::any_of(waiting, [](const auto& queue) { return !queue.empty(); })) {
            out.push_back(team);
        }
    }
    return out;
}

double fair_score(std::uint32_t running_here, std::uint32_t running_elsewhere, std::uint32_t homes,
                  double share) noexcept
{
    const double weight = homes == 0 ? 1.0 : 1.0 / homes;
    // Adding half a slot makes the rounding fair, as in the Webster method of apportionment;
    // without it, small shares gain from every whole slot.
    return (running_here + running_elsewhere * weight + 0.5) / share;
}

} // namespace fescue::admission
