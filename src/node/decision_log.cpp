#include "decision_log.h"

namespace fescue::node {

void decision_log::record(const std::string& subject, std::string text)
{
    auto found = histories_.find(subject);
    if (found == histories_.end()) {
        if (histories_.size() >= max_subjects) {
            histories_.erase(lru_order_.front());
            lru_order_.pop_front();
        }
        lru_order_.push_back(subject);
        found = histories_.emplace(subject, subject_history{{}, std::prev(lru_order_.end())}).first;
    } else {
        lru_order_.splice(lru_order_.end(), lru_order_, found->second.lru_position);
    }
    auto& recent = found->second.decisions;
    recent.push_back({wall_now(), std::move(text)});
    if (recent.size() > max_decisions_per_subject) {
        recent.pop_front();
    }
}

std::vector<decision> decision_log::about(const std::string& subject) const
{
    const auto found = histories_.find(subject);
    if (found == histories_.end()) {
        return {};
    }
    return {found->second.decisions.begin(), found->second.decisions.end()};
}

} // namespace fescue::node
