#include "fescuestream/scheduler/suspect_isolation.h"

#include <algorithm>
#include <vector>

namespace fescue::scheduler {

namespace {

/** Part of a pool's servers that may be reserved for suspects. */
constexpr std::size_t reserved_servers_divisor = 2;
/** Number of servers that suspects may claim in a small pool, where most run long-running tasks. */
constexpr std::size_t min_servers_for_suspects = 2;

} // namespace

suspicion suspicion_of(std::size_t losses, bool long_running) noexcept
{
    if (losses == 0 || (long_running && losses == 1)) {
        return suspicion::none;
    }
    return losses == 1 ? suspicion::one_crash : suspicion::several_crashes;
}

std::size_t reserve_servers(std::span<server_candidate> servers, const waiting_suspects& waiting)
{
    const std::size_t limit =
        std::max({std::size_t{1}, servers.size() / reserved_servers_divisor,
                  servers.size() - std::min(servers.size(), waiting.servers_for_others)});
    const std::size_t needed =
        waiting.of_several_crashes +
        (waiting.of_one_crash + suspects_per_server - 1) / suspects_per_server;
    std::size_t reserved = 0;
    std::vector<server_candidate*> others;
    for (server_candidate& c : servers) {
        const bool holds_suspects = c.runs > 0 && c.suspects == c.runs;
        c.reserved = holds_suspects;
        reserved += holds_suspects ? 1 : 0;
        // A long-running task does not end, so its server does not become free.
        if (!holds_suspects && !c.draining && c.long_running_tasks == 0) {
            others.push_back(&c);
        }
    }
    const std::size_t wanted = reserved >= limit ? 0 : std::min(needed, limit - reserved);
    const std::size_t count = std::min(wanted, others.size());
    std::ranges::partial_sort(others, others.begin() + static_cast<std::ptrdiff_t>(count), {},
                              &server_candidate::runs);
    for (std::size_t i = 0; i < count; ++i) {
        others[i]->reserved = true;
    }
    const std::size_t wanted_in_all = std::max(limit, min_servers_for_suspects);
    return reserved + count >= wanted_in_all
               ? 0
               : std::min(needed - count, wanted_in_all - reserved - count);
}

suspect_group_sizes group_sizes(std::span<const server_candidate> servers,
                                const waiting_suspects& waiting)
{
    const auto reserved = static_cast<std::size_t>(
        std::ranges::count_if(servers, [](const server_candidate& c) { return c.reserved; }));
    suspect_group_sizes sizes;
    if (reserved > 0) {
        const auto size_for = [&](std::size_t jobs) { return (jobs + reserved - 1) / reserved; };
        const std::size_t sharing =
            waiting.of_several_crashes - std::min(waiting.of_several_crashes, waiting.to_isolate);
        sizes.of_one_crash = std::max(sizes.of_one_crash, size_for(waiting.of_one_crash));
        sizes.of_several_crashes = std::max(sizes.of_several_crashes, size_for(sharing));
    }
    return sizes;
}

} // namespace fescue::scheduler
