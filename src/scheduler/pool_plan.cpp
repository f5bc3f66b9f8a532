#include "fescuestream/scheduler/pool_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>
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

/** Which part of the demand machines are moved for. */
enum class demand_part : std::uint8_t { on_time, all };

/** Assigns machines to pools that are short of capacity. */
class shortage_cover {
public:
    shortage_cover(const std::vector<pool_need>& pools, double headroom, std::size_t max_moves)
        : headroom_{headroom}, moves_left_{max_moves}
    {
        for (const pool_need& p : pools) {
            pool_state s{&p, p.capacity_cpu, p.unplaced};
            for (const server_offer& server : p.arriving) {
                place_tasks(s.unplaced, server);
            }
            pools_.push_back(std::move(s));
        }
    }

    /** Moves machines to the pools with a shortage, in the order of @p machines, and removes the
     * moved ones from it. */
    void move(std::vector<movable_machine>& machines, demand_part part, std::vector<pool_move>& out)
    {
        std::vector<bool> taken(machines.size(), false);
        for (pool_state& p : pools_) {
            p.next_machine = 0;
            p.exhausted = false;
        }
        while (pool_state* to = moves_left_ > 0 ? find_neediest(part) : nullptr) {
            const auto chosen = find_machine(machines, taken, *to, part);
            if (!chosen) {
                to->exhausted = true;
                continue;
            }
            const movable_machine& m = machines[*chosen];
            const std::int64_t cpu = m.offer.capacity.cpu_milli;
            const char* reason = missing(*to, part) > 0 ? "short_of_room" : "short_of_servers";
            out.push_back({m.id, m.pool, to->need->pool, reason});
            find(m.pool)->capacity_cpu -= cpu;
            to->capacity_cpu += cpu;
            taken[*chosen] = true;
            --moves_left_;
        }
        std::size_t at = 0;
        std::erase_if(machines, [&](const movable_machine& /*m*/) { return taken[at++]; });
    }

private:
    struct pool_state {
        const pool_need* need{nullptr};
        std::int64_t capacity_cpu{0};
        std::vector<unplaced_tasks> unplaced;
        /** The machines before this one can't be moved to the pool. */
        std::size_t next_machine{0};
        bool exhausted{false};
    };

    std::int64_t target(const pool_state& p, demand_part part) const
    {
        pool_need need = *p.need;
        need.demand_cpu -= part == demand_part::on_time ? need.late_cpu : 0;
        return target_cpu(need, headroom_);
    }
    std::int64_t missing(const pool_state& p, demand_part part) const
    {
        return target(p, part) - p.capacity_cpu;
    }
    static bool has_unplaced(const pool_state& p)
    {
        return std::ranges::any_of(p.unplaced, [](const auto& w) { return w.tasks > 0; });
    }
    pool_state* find(const pool_id& id)
    {
        const auto found =
            std::ranges::find_if(pools_, [&](const pool_state& p) { return p.need->pool == id; });
        return found == pools_.end() ? nullptr : &*found;
    }

    /** @return the pool with the largest shortage relative to its target, or nullptr. */
    pool_state* find_neediest(demand_part part)
    {
        pool_state* out = nullptr;
        double largest = 0;
        for (pool_state& p : pools_) {
            if (p.need->standby || p.exhausted) {
                continue;
            }
            const std::int64_t cpu = missing(p, part);
            double shortage =
                cpu > 0 ? static_cast<double>(cpu) / static_cast<double>(target(p, part)) : 0;
            if (has_unplaced(p)) {
                shortage = 1;
            }
            if (shortage > largest) {
                largest = shortage;
                out = &p;
            }
        }
        return out;
    }

    std::optional<std::size_t> find_machine(const std::vector<movable_machine>& machines,
                                            const std::vector<bool>& taken, pool_state& to,
                                            demand_part part)
    {
        const bool short_of_cpu = missing(to, part) > 0;
        for (std::size_t& i = to.next_machine; i < machines.size(); ++i) {
            const movable_machine& m = machines[i];
            const pool_state* from = find(m.pool);
            const std::int64_t cpu = m.offer.capacity.cpu_milli;
            const bool can_move = !taken[i] && from != nullptr && from != &to && cpu > 0 &&
                                  (from->need->standby || missing(*from, part) + cpu <= 0);
            const bool adds_server = can_move && place_tasks(to.unplaced, m.offer);
            if (can_move && (short_of_cpu || adds_server)) {
                return i++;
            }
        }
        return std::nullopt;
    }

    double headroom_;
    std::size_t moves_left_;
    std::vector<pool_state> pools_;
};

} // namespace

std::int64_t target_cpu(const pool_need& need, double headroom) noexcept
{
    const auto demand = std::max(need.demand_cpu, need.arrival_cpu);
    return static_cast<std::int64_t>(static_cast<double>(demand) * headroom);
}

std::vector<pool_move> pool_planner::plan(const std::vector<pool_need>& pools,
                                          const std::vector<movable_machine>& machines,
                                          std::size_t max_moves, mono_time now)
{
    std::vector<movable_machine> idle_machines = rank_idle_machines(pools, machines, now);
    for (const pool_need& p : pools) {
        if (target_cpu(p, policy_.headroom) > p.capacity_cpu || !p.unplaced.empty()) {
            last_shortage_[p.pool] = now;
        }
    }
    std::vector<pool_move> out;
    shortage_cover cover{pools, policy_.headroom, max_moves};
    cover.move(idle_machines, demand_part::on_time, out);
    cover.move(idle_machines, demand_part::all, out);
    return_idle_to_standby(pools, idle_machines, out, now);
    return out;
}

std::vector<movable_machine>
pool_planner::rank_idle_machines(const std::vector<pool_need>& pools,
                                 const std::vector<movable_machine>& machines, mono_time now)
{
    struct ranked {
        bool powered_on{false};
        mono_time idle_since{};
        movable_machine machine;
    };
    std::set<std::string> idle_ids;
    std::vector<ranked> order;
    for (const movable_machine& m : machines) {
        if (!m.idle) {
            continue;
        }
        idle_ids.insert(m.id);
        const auto [record, inserted] = idle_records_.try_emplace(m.id, idle_record{m.pool, now});
        if (!inserted && record->second.pool != m.pool) {
            record->second = {m.pool, now};
        }
        const pool_need* p = find_pool(pools, m.pool);
        order.push_back({p == nullptr || !p->standby, record->second.since, m});
    }
    std::erase_if(idle_records_, [&](const auto& i) { return !idle_ids.contains(i.first); });
    std::ranges::sort(order, [](const ranked& a, const ranked& b) {
        return std::tie(a.powered_on, a.idle_since, a.machine.id) <
               std::tie(b.powered_on, b.idle_since, b.machine.id);
    });
    std::vector<movable_machine> out;
    out.reserve(order.size());
    for (ranked& r : order) {
        out.push_back(std::move(r.machine));
    }
    return out;
}

void pool_planner::return_idle_to_standby(const std::vector<pool_need>& pools,
                                          const std::vector<movable_machine>& idle_machines,
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
