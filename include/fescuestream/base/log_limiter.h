#pragma once

/**
 * @file
 * Bounds the number of log lines about input that other machines repeat.
 */

#include "fescuestream/base/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fescue::log {

/** Admits one event for each key and period, and counts the others. */
class limiter {
public:
    /** @return how many events with this key, including this one, the line stands for; 0: the event
     * is only counted. */
    std::uint64_t admit(std::string_view key, mono_time now);

private:
    struct entry {
        mono_time logged_at{};
        std::uint64_t withheld{0};
    };
    std::map<std::string, entry, std::less<>> entries_;
};

} // namespace fescue::log
