#pragma once

/**
 * @file
 * Logs slow parts of an event loop iteration. The loop has one thread, so a slow part delays
 * everything else.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/base/log.h"

namespace fescue {

/** Logs the duration of its enclosing scope if it reaches a threshold. */
class scope_timer {
public:
    explicit scope_timer(const char* part) noexcept : part_{part}, started_{mono_clock::now()} {}
    scope_timer(const scope_timer&) = delete;
    scope_timer& operator=(const scope_timer&) = delete;
    ~scope_timer()
    {
        const auto elapsed = mono_clock::now() - started_;
        if (elapsed >= log_threshold) {
            log::info("slow_part",
                      {{"part", part_},
                       {"took_ms", std::chrono::duration_cast<milliseconds>(elapsed).count()}});
        }
    }

private:
    /** One tenth of the heartbeat interval of the replicated log. */
    static constexpr milliseconds log_threshold{20};
    const char* part_;
    mono_time started_;
};

} // namespace fescue
