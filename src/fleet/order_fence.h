#pragma once

/**
 * @file
 * Keeps an operator's order that was delayed from undoing one that was accepted after it.
 * Does no I/O.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/wire/message.h"

namespace fescue::fleet {

/** An order takes effect within this time after it was received, or its sender gets 503. Below the
 * second after which operators' clients try another instance. */
inline constexpr milliseconds max_order_age{950};

/** The leader's record of the orders that it has accepted in its current term. */
class order_fence {
public:
    /** @return a stamp for an order that was received before it was requested. */
    wire::order_stamp issue(std::uint64_t call_id, term_number term, mono_time now) const noexcept
    {
        return {call_id, term, term == term_ ? accepted_ : 0, to_ms(now)};
    }

    /** @return whether no order has been accepted since the stamp was issued, and the sender of
     * this one can't have got 503 yet. */
    bool admits(const wire::forwarded_order& order, term_number term, mono_time now) const noexcept
    {
        const wire::order_stamp& stamp = order.stamp;
        const std::int64_t now_ms = to_ms(now);
        const bool is_current =
            stamp.term == term && stamp.accepted_orders == (term == term_ ? accepted_ : 0);
        // Ranges first: another instance sent the numbers.
        const bool in_range = stamp.issued_at_ms >= 0 && stamp.issued_at_ms <= now_ms &&
                              order.age_at_stamp_ms >= 0 &&
                              order.age_at_stamp_ms < max_order_age.count();
        return is_current && in_range &&
               order.age_at_stamp_ms + (now_ms - stamp.issued_at_ms) < max_order_age.count();
    }

    void record_accepted(term_number term) noexcept
    {
        accepted_ = term == term_ ? accepted_ + 1 : 1;
        term_ = term;
    }

private:
    static std::int64_t to_ms(mono_time at) noexcept
    {
        return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
    }

    term_number term_{0};
    std::uint64_t accepted_{0};
};

} // namespace fescue::fleet
