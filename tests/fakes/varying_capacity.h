#pragma once

/**
 * @file
 * CPU capacity of a simulated backend server, which may change while the server runs.
 */

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <random>

namespace fescue::fakes {

class varying_capacity {
public:
    /** @param assumable_ms how long a scheduler may still assume the capacity before a decrease. */
    varying_capacity(std::int64_t full, bool varies, std::int64_t assumable_ms, std::uint64_t seed)
        : full_{full}, varies_{varies}, assumable_ms_{assumable_ms}, random_{seed}, values_{
                                                                                        {0, full}}
    {
    }

    std::int64_t current() const noexcept { return values_.back().capacity; }

    /** Changes the capacity if a change is due. */
    void advance(std::int64_t now_ms)
    {
        if (!varies_ || now_ms < next_change_ms_) {
            return;
        }
        // Now and then a server has no capacity left for new tasks.
        constexpr std::array percentages{100, 100, 75, 50, 25, 0};
        constexpr std::int64_t min_interval_ms = 500;
        constexpr std::int64_t max_interval_ms = 9'000;
        const auto percentage = percentages[random_() % percentages.size()];
        values_.push_back({now_ms, full_ * percentage / 100});
        next_change_ms_ =
            now_ms + std::uniform_int_distribution{min_interval_ms, max_interval_ms}(random_);
        while (values_.size() > 1 && now_ms - values_[1].since_ms > assumable_ms_) {
            values_.pop_front();
        }
    }

    /** @return the largest capacity that a scheduler may assume now. */
    std::int64_t assumable(std::int64_t now_ms) const
    {
        std::int64_t largest = current();
        for (std::size_t i = 0; i + 1 < values_.size(); ++i) {
            if (now_ms - values_[i + 1].since_ms <= assumable_ms_) {
                largest = std::max(largest, values_[i].capacity);
            }
        }
        return largest;
    }

private:
    struct value {
        std::int64_t since_ms{0};
        std::int64_t capacity{0};
    };
    std::int64_t full_;
    bool varies_;
    std::int64_t assumable_ms_;
    std::mt19937_64 random_;
    std::deque<value> values_;
    std::int64_t next_change_ms_{0};
};

} // namespace fescue::fakes
