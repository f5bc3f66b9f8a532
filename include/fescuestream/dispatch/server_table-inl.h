#pragma once

#include "fescuestream/dispatch/server_table.h"

#include <algorithm>

namespace fescue::dispatch {

namespace internal {

/** @return the server's slot limit; on probation, one slot for a trial task after the delay. */
inline std::uint32_t usable_slots(const server_entry& s, mono_time now) noexcept
{
    const std::uint32_t limit = std::min(s.info.slots, s.info.connections);
    if (!s.on_probation()) {
        return limit;
    }
    return now >= s.probation_until ? std::min<std::uint32_t>(1, limit) : 0;
}

inline bool accepts_work(const server_entry& s, mono_time now) noexcept
{
    return !s.info.leaving && now - s.last_announced_at < server_lease;
}

} // namespace internal

template <class Permission>
std::optional<server_id> server_table::choose(const pool_id& pool, const std::set<server_id>& avoid,
                                              mono_time now, Permission&& permission) const
{
    const server_entry* best = nullptr;
    double best_load = 0;
    for (const auto& [id, s] : servers_) {
        const std::uint32_t usable = internal::usable_slots(s, now);
        if (s.occupied() >= usable || !internal::accepts_work(s, now) || avoid.contains(id)) {
            continue;
        }
        const server_permission p = permission(id);
        if (!p.may_start || p.pool != pool) {
            continue;
        }
        const double load = static_cast<double>(s.occupied()) / usable;
        if (best == nullptr || load < best_load) {
            best = &s;
            best_load = load;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->info.id};
}

template <class Permission>
wire::pool_load server_table::load(const pool_id& pool, mono_time now,
                                   Permission&& permission) const
{
    wire::pool_load out;
    out.pool = pool;
    for (const auto& [id, s] : servers_) {
        const server_permission p = permission(id);
        if (!p.may_start || p.pool != pool || !internal::accepts_work(s, now)) {
            continue;
        }
        const std::uint32_t usable = internal::usable_slots(s, now);
        out.slots += usable;
        out.free += usable - std::min(usable, s.occupied());
    }
    return out;
}

} // namespace fescue::dispatch
