#include "fescuestream/dispatch/router.h"

namespace fescue::dispatch {

void router::update(const instance_id& home, const wire::load_report& load, mono_time now)
{
    if (load.unchanged) {
        if (const auto known = homes_.find(home); known != homes_.end()) {
            known->second.reported_at = now;
            known->second.expired = false;
            known->second.sent_since_report.clear();
        }
        return;
    }
    home_load next;
    next.reported_at = now;
    next.accepting = load.accepting;
    for (const wire::pool_load& p : load.pools) {
        next.pools[p.pool] = p;
    }
    for (const wire::team_running& t : load.teams) {
        next.running[t.pool][t.team] = t.running;
    }
    homes_[home] = std::move(next);
}

void router::forget(const instance_id& home)
{
    homes_.erase(home);
}

std::vector<instance_id> router::take_expired_homes(mono_time now)
{
    std::vector<instance_id> out;
    for (auto& [id, h] : homes_) {
        if (!h.expired && now - h.reported_at > load_report_max_age) {
            h.expired = true;
            out.push_back(id);
        }
    }
    return out;
}

void router::record_sent(const instance_id& home, const pool_id& pool)
{
    const auto found = homes_.find(home);
    if (found != homes_.end()) {
        ++found->second.sent_since_report[pool];
    }
}

std::optional<instance_id> router::choose(const pool_id& pool, const instance_id& self,
                                          const std::set<instance_id>& avoid, mono_time now) const
{
    const instance_id* best = nullptr;
    double best_load = 0;
    for (const auto& [id, h] : homes_) {
        const auto p = h.pools.find(pool);
        if (!h.accepting || p == h.pools.end() || p->second.slots == 0 || avoid.contains(id) ||
            now - h.reported_at > load_report_max_age) {
            continue;
        }
        const auto sent_to_pool = h.sent_since_report.find(pool);
        const std::uint32_t sent_count =
            sent_to_pool == h.sent_since_report.end() ? 0 : sent_to_pool->second;
        const std::uint32_t busy = p->second.slots - p->second.free + p->second.queued + sent_count;
        // A load below one means a free slot. Remote homes count one more busy slot, so that an
        // idle remote home is not preferred to this instance.
        const double load = static_cast<double>(busy + (id == self ? 0 : 1)) / p->second.slots;
        if (best == nullptr || load < best_load) {
            best = &id;
            best_load = load;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{*best};
}

std::uint32_t router::running_elsewhere(const pool_id& pool, const team_id& team,
                                        const instance_id& self) const
{
    std::uint32_t sum = 0;
    for (const auto& [id, h] : homes_) {
        const auto teams = h.running.find(pool);
        if (id == self || teams == h.running.end()) {
            continue;
        }
        const auto found = teams->second.find(team);
        sum += found == teams->second.end() ? 0 : found->second;
    }
    return sum;
}

std::uint32_t router::homes(const pool_id& pool) const
{
    std::uint32_t count = 0;
    for (const auto& [id, h] : homes_) {
        const auto p = h.pools.find(pool);
        count += p != h.pools.end() && p->second.slots > 0 ? 1 : 0;
    }
    return count;
}

std::uint32_t router::slots(const pool_id& pool) const
{
    std::uint32_t sum = 0;
    for (const auto& [id, h] : homes_) {
        const auto p = h.pools.find(pool);
        sum += p == h.pools.end() ? 0 : p->second.slots;
    }
    return sum;
}

} // namespace fescue::dispatch
