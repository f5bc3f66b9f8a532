#pragma once

/**
 * @file
 * Logs parts of the loop's round that take long: with one thread, whatever is slow delays all.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/base/log.h"

namespace fescue::fleet {

/** Measures its own scope. */
class slow_log {
public:
    explicit slow_log(const char* part) noexcept : part_{part}, since_{mono_clock::now()} {}
    slow_log(const slow_log&) = delete;
    slow_log& operator=(const slow_log&) = delete;
    ~slow_log()
    {
        const auto took = mono_clock::now() - since_;
        if (took >= worth_telling) {
            log::info("slow_part",
                      {{"part", part_},
                       {"took_ms", std::chrono::duration_cast<milliseconds>(took).count()}});
        }
    }

private:
    /** A tenth of a heartbeat of the log. */
    static constexpr milliseconds worth_telling{20};
    const char* part_;
    mono_time since_;
};

} // namespace fescue::fleet
