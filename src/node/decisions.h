#pragma once

/**
 * @file
 * The last decisions about each subject, with their reasons; bounded in subjects and in length.
 */

#include "fescuestream/base/ids.h"

#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescue::node {

/** One decision, as it reads to an operator. */
struct decision {
    wall_ms at{0};
    std::string text;
};

class decision_log {
public:
    /** @param subject "server/s1", "team/north", "pool/quotes", "request/ID". */
    void note(const std::string& subject, std::string text);
    std::vector<decision> about(const std::string& subject) const;

private:
    static constexpr std::size_t most_subjects = 4096;
    static constexpr std::size_t kept_each = 32;

    struct record {
        std::deque<decision> last;
        std::list<std::string>::iterator age;
    };
    std::unordered_map<std::string, record> records_;
    /** Subjects, the longest untouched first. */
    std::list<std::string> ages_;
};

} // namespace fescue::node
