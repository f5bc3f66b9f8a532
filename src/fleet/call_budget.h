#pragma once

/**
 * @file
 * Keeps calls to a service within the rate that it accepts.
 */

#include "fescuestream/base/ids.h"

#include <algorithm>

namespace fescue::fleet {

/**
 * A token bucket. What is saved up in a calm time is one second's worth, and one call at least, so
 * that a service that accepts less than one a second is called at all.
 */
class call_budget {
public:
    explicit call_budget(double per_s) noexcept : per_s_{per_s}, saved_{most_saved()} {}

    /** @return whether a call may be made now; it then counts. */
    bool take(mono_time now) noexcept
    {
        const std::chrono::duration<double> passed = now - last_;
        saved_ = std::min(most_saved(), saved_ + std::max(0.0, passed.count()) * per_s_);
        last_ = now;
        if (saved_ < 1) {
            return false;
        }
        saved_ -= 1;
        return true;
    }

private:
    double most_saved() const noexcept { return std::max(1.0, per_s_); }

    double per_s_;
    double saved_;
    mono_time last_{};
};

} // namespace fescue::fleet
