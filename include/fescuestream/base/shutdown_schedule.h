#pragma once

/**
 * @file
 * Times of a graceful shutdown.
 */

#include "fescuestream/base/ids.h"

namespace fescue {

class shutdown_schedule {
public:
    /** Starts the shutdown. @param grace time after which the process is killed. */
    void begin(mono_time now, milliseconds grace) noexcept
    {
        began_at_ = now;
        grace_ = grace;
        has_begun_ = true;
    }
    /** Makes the answers due at once, after a failure; keeps an earlier time of exit. */
    void hasten(mono_time now) noexcept
    {
        if (!has_begun_) {
            begin(now, final_answer_margin);
        } else if (!is_answer_due(now)) {
            grace_ = std::chrono::duration_cast<milliseconds>(elapsed(now)) + final_answer_margin;
        }
    }
    bool has_begun() const noexcept { return has_begun_; }
    mono_time::duration elapsed(mono_time now) const noexcept { return now - began_at_; }
    /** @return whether every open request must now be answered, with an error if need be. */
    bool is_answer_due(mono_time now) const noexcept
    {
        return has_begun_ && elapsed(now) >= grace_ - final_answer_margin;
    }
    /** @return whether the process must now exit, so that it is not killed. */
    bool is_exit_due(mono_time now) const noexcept
    {
        return has_begun_ && elapsed(now) >= grace_ - exit_margin;
    }

private:
    /** The difference of the two margins is the time in which the last responses are written. */
    static constexpr milliseconds final_answer_margin{700};
    static constexpr milliseconds exit_margin{200};

    mono_time began_at_{};
    milliseconds grace_{0};
    bool has_begun_{false};
};

} // namespace fescue
