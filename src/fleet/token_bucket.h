#pragma once

/**
 * @file
 * Limits the rate of calls to a service.
 */

#include "fescuestream/base/ids.h"

#include <algorithm>
#include <cstddef>

namespace fescue::fleet {

/**
 * A token bucket. Its capacity is the tokens of one second and at least one token, so that a
 * service that accepts less than one call a second is called at all.
 */
class token_bucket {
public:
    explicit token_bucket(double rate_per_s) noexcept : rate_per_s_{rate_per_s}, tokens_{capacity()}
    {
    }

    /** @return the number of calls that may be made now. */
    std::size_t available(mono_time now) noexcept
    {
        refill(now);
        return static_cast<std::size_t>(tokens_);
    }

    /** Takes a token. @return whether one was available, so that a call may be made now. */
    bool try_acquire(mono_time now) noexcept
    {
        refill(now);
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    void refill(mono_time now) noexcept
    {
        const std::chrono::duration<double> elapsed = now - last_refill_;
        tokens_ = std::min(capacity(), tokens_ + std::max(0.0, elapsed.count()) * rate_per_s_);
        last_refill_ = now;
    }
    double capacity() const noexcept { return std::max(1.0, rate_per_s_); }

    double rate_per_s_;
    double tokens_;
    mono_time last_refill_{};
};

} // namespace fescue::fleet
