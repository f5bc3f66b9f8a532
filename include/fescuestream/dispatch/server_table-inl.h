#pragma once

#include "fescuestream/dispatch/server_table.h"

#include <algorithm>

namespace fescue::dispatch {

namespace internal {

/** @return slots that new work may use on this server; a server on probation offers one trial. */
inline std::uint32_t usable_slots(const homed_server& s, mono_time now) noexcept
{
    const std::uint32_t limit = std::min(s.info.slots, s.info.connections);
    if (!s.on_probation()) {
        return limit;
    }
    return now >= s.probation_until ? std::min<std::uint32_t>(1, limit) : 0;
}

inline bool takes_work(const homed_server& s, mono_time now) noexcept
{
    return !s.info.leaving && now - s.heard < server_lease;
}

} // namespace internal

template <class Permission>
std::optional<server_id> server_table::choose(const pool_id& pool, const std::set<server_id>& avoid,
                                              mono_time now, Permission&& permission) const
{
    const homed_server* best = nullptr;
    double best_load = 0;
    for (const auto& [id, s] : servers_) {
        const std::uint32_t usable = internal::usable_slots(s, now);
        if (s.occupied() >= usable || !internal::takes_work(s, now) || avoid.contains(id)) {
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
        if (!p.may_start || p.pool != pool || !internal::takes_work(s, now)) {
            continue;
        }
        const std::uint32_t usable = internal::usable_slots(s, now);
        out.slots += usable;
        out.free += usable - std::min(usable, s.occupied());
    }
    return out;
}

} // namespace fescue::dispatch
