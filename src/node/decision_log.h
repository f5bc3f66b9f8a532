#pragma once

/**
 * @file
 * The most recent decisions about each subject, with their reasons. The number of subjects and of
 * decisions per subject is bounded.
 */

#include "fescuestream/base/ids.h"

#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescue::node {

/** One decision, worded for an operator. */
struct decision {
    wall_ms at{0};
    std::string text;
};

class decision_log {
public:
    /** @param subject for example "server/s1", "team/north", "pool/quotes" or "request/ID". */
    void record(const std::string& subject, std::string text);
    std::vector<decision> about(const std::string& subject) const;

private:
    static constexpr std::size_t max_subjects = 4096;
    static constexpr std::size_t max_decisions_per_subject = 32;

    struct subject_history {
        std::deque<decision> decisions;
        std::list<std::string>::iterator lru_position;
    };
    std::unordered_map<std::string, subject_history> histories_;
    /** Subjects in order of their last decision, oldest first. */
    std::list<std::string> lru_order_;
};

} // namespace fescue::node
