#include "fescuestream/scheduler/pool_plan.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace fescue::scheduler {

namespace {

const pool_need* find(const std::vector<pool_need>& pools, const pool_id& id)
{
    const auto found = std::ranges::find(pools, id, &pool_need::pool);
    return found == pools.end() ? nullptr : &*found;
}

} // namespace

std::int64_t wanted_cpu(const pool_need& need, double headroom) noexcept
{
    const auto demand = std::max(need.demand_cpu, need.arriving_cpu);
    return static_cast<std::int64_t>(static_cast<double>(demand) * headroom);
}

std::vector<pool_move> pool_planner::plan(const std::vector<pool_need>& pools,
                                          const std::vector<movable_machine>& machines,
                                          mono_time now)
{
    std::set<std::string> seen;
    std::vector<movable_machine> free;
    for (const movable_machine& m : machines) {
        if (!m.idle) {
            continue;
        }
        seen.insert(m.id);
        const auto [at, fresh] = idle_.try_emplace(m.id, idle_since{m.pool, now});
        if (!fresh && at->second.pool != m.pool) {
            at->second = {m.pool, now};
        }
        free.push_back(m);
    }
    std::erase_if(idle_, [&](const auto& i) { return !seen.contains(i.first); });
    for (const pool_need& p : pools) {
        if (wanted_cpu(p, policy_.headroom) > p.capacity_cpu) {
            short_at_[p.pool] = now;
        }
    }
    std::vector<pool_move> out;
    lend(pools, free, out);
    std::erase_if(free, [&](const movable_machine& m) {
        return std::ranges::any_of(out, [&](const pool_move& o) { return o.machine == m.id; });
    });
    give_back(pools, free, out, now);
    return out;
}

void pool_planner::lend(const std::vector<pool_need>& pools, std::vector<movable_machine>& free,
                        std::vector<pool_move>& out)
{
    std::map<pool_id, std::int64_t> spare;
    for (const pool_need& p : pools) {
        spare[p.pool] = p.capacity_cpu - wanted_cpu(p, policy_.headroom);
    }
    // Machines that are off first, then those that have idled longest.
    struct ranked {
        bool on{false};
        mono_time idle_since{};
        movable_machine machine;
    };
    std::vector<ranked> order;
    order.reserve(free.size());
    for (movable_machine& m : free) {
        const pool_need* p = find(pools, m.pool);
        order.push_back({p == nullptr || !p->standby, idle_.at(m.id).at, std::move(m)});
    }
    std::ranges::sort(order, [](const ranked& a, const ranked& b) {
        return std::tie(a.on, a.idle_since, a.machine.id) <
               std::tie(b.on, b.idle_since, b.machine.id);
    });
    free.clear();
    for (ranked& r : order) {
        free.push_back(std::move(r.machine));
    }
    for (const pool_need& p : pools) {
        if (p.standby) {
            continue;
        }
        std::int64_t missing = -spare[p.pool];
        std::size_t moved = 0;
        for (auto at = free.begin();
             at != free.end() && missing > 0 && moved < policy_.most_moves;) {
            const pool_need* from = find(pools, at->pool);
            const bool may_give = from != nullptr && from->pool != p.pool &&
                                  (from->standby || spare[at->pool] >= at->cpu);
            if (!may_give) {
                ++at;
                continue;
            }
            spare[at->pool] -= at->cpu;
            missing -= at->cpu;
            ++moved;
            out.push_back({at->id, at->pool, p.pool, "short_of_room"});
            at = free.erase(at);
        }
    }
}

void pool_planner::give_back(const std::vector<pool_need>& pools,
                             std::vector<movable_machine>& free, std::vector<pool_move>& out,
                             mono_time now)
{
    const auto standby = std::ranges::find_if(pools, &pool_need::standby);
    if (standby == pools.end()) {
        return;
    }
    for (const pool_need& p : pools) {
        const auto last_short = short_at_.find(p.pool);
        const bool calm =
            last_short == short_at_.end() || now - last_short->second >= policy_.move_worth;
        const auto kept = static_cast<std::size_t>(
            std::ceil(static_cast<double>(p.own_machines) * policy_.kept_part));
        if (p.standby || p.machines <= kept || !calm) {
            continue;
        }
        std::size_t borrowed = p.machines - kept;
        for (const movable_machine& m : free) {
            const bool idle_long =
                m.pool == p.pool && now - idle_.at(m.id).at >= policy_.move_worth;
            if (idle_long && borrowed > 0) {
                --borrowed;
                out.push_back({m.id, m.pool, standby->pool, "idle"});
            }
        }
    }
}

} // namespace fescue::scheduler
