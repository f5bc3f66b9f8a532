#include "fescuestream/scheduler/pool_plan.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace fescue::scheduler {

namespace {

const pool_need* find_pool(const std::vector<pool_need>& pools, const pool_id& id)
{
    const auto found = std::ranges::find(pools, id, &pool_need::pool);
    return found == pools.end() ? nullptr : &*found;
}

/** Places as many tasks as possible on one more server, and subtracts them.
 * @return whether any task was placed. */
bool place_tasks(std::vector<unplaced_tasks>& waiting, const server_offer& server)
{
    bool placed = false;
    jobs::resources free = server.capacity;
    for (unplaced_tasks& w : waiting) {
        if (!w.label.empty() && std::ranges::find(server.labels, w.label) == server.labels.end()) {
            continue;
        }
        for (std::uint32_t n = 0; w.tasks > 0 && w.need.fits(free); ++n) {
            if (w.max_per_server > 0 && n == w.max_per_server) {
                break;
            }
            free -= w.need;
            --w.tasks;
            placed = true;
        }
    }
    return placed;
}

} // namespace

std::int64_t target_cpu(const pool_need& need, double headroom) noexcept
{
    const auto demand = std::max(need.demand_cpu, need.arrival_cpu);
    return static_cast<std::int64_t>(static_cast<double>(demand) * headroom);
}

std::vector<pool_move> pool_planner::plan(const std::vector<pool_need>& pools,
                                          const std::vector<movable_machine>& machines,
                                          mono_time now)
{
    std::set<std::string> idle_ids;
    std::vector<movable_machine> idle_machines;
    for (const movable_machine& m : machines) {
        if (!m.idle) {
            continue;
        }
        idle_ids.insert(m.id);
        const auto [record, inserted] = idle_records_.try_emplace(m.id, idle_record{m.pool, now});
        if (!inserted && record->second.pool != m.pool) {
            record->second = {m.pool, now};
        }
        idle_machines.push_back(m);
    }
    std::erase_if(idle_records_, [&](const auto& i) { return !idle_ids.contains(i.first); });
    for (const pool_need& p : pools) {
        if (target_cpu(p, policy_.headroom) > p.capacity_cpu || !p.unplaced.empty()) {
            last_shortage_[p.pool] = now;
        }
    }
    std::vector<pool_move> out;
    cover_shortages(pools, idle_machines, out);
    std::erase_if(idle_machines, [&](const movable_machine& m) {
        return std::ranges::any_of(out, [&](const pool_move& o) { return o.machine == m.id; });
    });
    return_idle_to_standby(pools, idle_machines, out, now);
    return out;
}

void pool_planner::cover_shortages(const std::vector<pool_need>& pools,
                                   std::vector<movable_machine>& idle_machines,
                                   std::vector<pool_move>& out)
{
    std::map<pool_id, std::int64_t> surplus;
    for (const pool_need& p : pools) {
        surplus[p.pool] = p.capacity_cpu - target_cpu(p, policy_.headroom);
    }
    // Machines that are powered off first, then the longest idle.
    struct ranked {
        bool powered_on{false};
        mono_time idle_since{};
        movable_machine machine;
    };
    std::vector<ranked> order;
    order.reserve(idle_machines.size());
    for (movable_machine& m : idle_machines) {
        const pool_need* p = find_pool(pools, m.pool);
        order.push_back({p == nullptr || !p->standby, idle_records_.at(m.id).since, std::move(m)});
    }
    std::ranges::sort(order, [](const ranked& a, const ranked& b) {
        return std::tie(a.powered_on, a.idle_since, a.machine.id) <
               std::tie(b.powered_on, b.idle_since, b.machine.id);
    });
    idle_machines.clear();
    for (ranked& r : order) {
        idle_machines.push_back(std::move(r.machine));
    }
    for (const pool_need& p : pools) {
        if (p.standby) {
            continue;
        }
        std::int64_t missing = -surplus[p.pool];
        std::vector<unplaced_tasks> unplaced = p.unplaced;
        for (const server_offer& server : p.arriving) {
            place_tasks(unplaced, server);
        }
        std::size_t moves = 0;
        for (auto at = idle_machines.begin();
             at != idle_machines.end() && moves < policy_.max_moves_per_pool;) {
            const pool_need* from = find_pool(pools, at->pool);
            const std::int64_t cpu = at->offer.capacity.cpu_milli;
            const bool can_move = from != nullptr && from->pool != p.pool && cpu > 0 &&
                                  (from->standby || surplus[at->pool] >= cpu);
            const bool adds_server = can_move && place_tasks(unplaced, at->offer);
            if (!can_move || (missing <= 0 && !adds_server)) {
                ++at;
                continue;
            }
            out.push_back(
                {at->id, at->pool, p.pool, missing > 0 ? "short_of_room" : "short_of_servers"});
            surplus[at->pool] -= cpu;
            missing -= cpu;
            ++moves;
            at = idle_machines.erase(at);
        }
    }
}

void pool_planner::return_idle_to_standby(const std::vector<pool_need>& pools,
                                          std::vector<movable_machine>& idle_machines,
                                          std::vector<pool_move>& out, mono_time now)
{
    const auto standby = std::ranges::find_if(pools, &pool_need::standby);
    if (standby == pools.end()) {
        return;
    }
    for (const pool_need& p : pools) {
        const auto last_shortage = last_shortage_.find(p.pool);
        const bool no_recent_shortage = last_shortage == last_shortage_.end() ||
                                        now - last_shortage->second >= policy_.break_even_time;
        const auto min_machines = static_cast<std::size_t>(
            std::ceil(static_cast<double>(p.own_machines) * policy_.min_machines_fraction));
        if (p.standby || p.machines <= min_machines || !no_recent_shortage) {
            continue;
        }
        std::size_t excess = p.machines - min_machines;
        for (const movable_machine& m : idle_machines) {
            const bool idle_long =
                m.pool == p.pool && now - idle_records_.at(m.id).since >= policy_.break_even_time;
            if (idle_long && excess > 0) {
                --excess;
                out.push_back({m.id, m.pool, standby->pool, "idle"});
            }
        }
    }
}

} // namespace fescue::scheduler
