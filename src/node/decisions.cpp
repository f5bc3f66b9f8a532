#include "decisions.h"

namespace fescue::node {

void decision_log::note(const std::string& subject, std::string text)
{
    auto found = records_.find(subject);
    if (found == records_.end()) {
        if (records_.size() >= most_subjects) {
            records_.erase(ages_.front());
            ages_.pop_front();
        }
        ages_.push_back(subject);
        found = records_.emplace(subject, record{{}, std::prev(ages_.end())}).first;
    } else {
        ages_.splice(ages_.end(), ages_, found->second.age);
    }
    auto& last = found->second.last;
    last.push_back({wall_now(), std::move(text)});
    if (last.size() > kept_each) {
        last.pop_front();
    }
}

std::vector<decision> decision_log::about(const std::string& subject) const
{
    const auto found = records_.find(subject);
    if (found == records_.end()) {
        return {};
    }
    return {found->second.last.begin(), found->second.last.end()};
}

} // namespace fescue::node
