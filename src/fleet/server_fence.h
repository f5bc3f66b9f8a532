#pragma once

/**
 * @file
 * Fencing tokens of the orders to backend servers: a server refuses an order whose token is lower
 * than the highest that it has seen. Does no I/O.
 */

#include "fescuestream/base/ids.h"

#include <algorithm>

namespace fescue::fleet {

/** Issues the fencing tokens of one leader: they rise within a term and from term to term. */
class fencing_token_source {
public:
    /** Starts a term, or continues the current one. */
    void begin_term(term_number term) noexcept
    {
        if (term != term_) {
            term_ = term;
            issued_ = 0;
        }
    }
    /** @return a token that is higher than all that were issued before. */
    term_number issue() noexcept
    {
        issued_ = std::min(issued_ + 1, max_issued);
        return (term_ << issued_bits) | issued_;
    }

private:
    static constexpr unsigned issued_bits = 24;
    static constexpr term_number max_issued = (term_number{1} << issued_bits) - 1;

    term_number term_{0};
    term_number issued_{0};
};

/** The leader's knowledge of one server's fence. */
class server_fence {
public:
    server_fence() = default;
    /** The server has confirmed nothing. */
    explicit server_fence(term_number token) noexcept : token_{token} {}

    /** Sets the token of the next orders. The server refuses all orders with a lower one once it
     * has confirmed it. */
    void raise(term_number token) noexcept { token_ = token; }
    /** Records that the server's current incarnation has accepted an order with this token. */
    void confirm(term_number token) noexcept { confirmed_ = std::max(confirmed_, token); }

    /** @return the token of the next order. */
    term_number token() const noexcept { return token_; }
    /** @return whether the server has confirmed the token of the next order. */
    bool is_confirmed() const noexcept { return confirmed_ >= token_; }
    /** @return whether the server's current incarnation certainly refuses orders with the token. */
    bool refuses(term_number token) const noexcept { return token < confirmed_; }

private:
    term_number token_{0};
    term_number confirmed_{0};
};

} // namespace fescue::fleet
