#include "fescuestream/scheduler/start_limits.h"

#include <algorithm>
#include <numeric>

namespace fescue::scheduler {

namespace {

/** Maximum number of unanswered orders: 3,000 a second that take 0.2 s each, as in bursts on
 * the users' larger sites. */
constexpr std::size_t max_unanswered_orders = 600;

} // namespace

std::size_t starts_allowed(std::size_t unanswered_orders) noexcept
{
    return max_unanswered_orders - std::min(max_unanswered_orders, unanswered_orders);
}

std::vector<std::size_t> share_starts(std::size_t max_starts, std::span<const std::size_t> wanted,
                                      std::size_t first)
{
    const std::size_t pools = wanted.size();
    std::vector<std::size_t> order(pools);
    std::iota(order.begin(), order.end(), std::size_t{0});
    // Serves the smallest demand first, so that unused parts of equal shares go to the others.
    std::ranges::sort(order, [&](std::size_t a, std::size_t b) {
        const auto position_in_turn = [&](std::size_t i) {
            return (i + pools - first % pools) % pools;
        };
        return std::pair{wanted[a], position_in_turn(b)} <
               std::pair{wanted[b], position_in_turn(a)};
    });
    std::vector<std::size_t> out(pools, 0);
    std::size_t remaining = max_starts;
    for (std::size_t i = 0; i < pools; ++i) {
        const std::size_t share = remaining / (pools - i);
        out[order[i]] = std::min(wanted[order[i]], share);
        remaining -= out[order[i]];
    }
    return out;
}

} // namespace fescue::scheduler
