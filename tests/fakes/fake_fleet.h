#pragma once

/**
 * @file
 * Servers that do what a planner says, with the delays of real ones: draining takes as long as
 * their tasks, a reboot takes a while. Time goes in steps of a tenth of a second.
 */

#include "fescuestream/planner/engine.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace fescue::fakes {

inline constexpr milliseconds step_time{100};

class fake_fleet {
public:
    fake_fleet(int size, int places, planner::policy rules = {}) : engine{rules}
    {
        for (int i = 0; i < size; ++i) {
            planner::server_view s;
            s.id = server_id{"s" + std::to_string(i)};
            // Four to a rack, racks dealt out over the data centres.
            const int rack = i / 4;
            s.data_centre = data_centre_id{"dc-" + std::to_string(1 + rack % places)};
            s.rack = rack_id{"r" + std::to_string(rack)};
            s.slots = 8;
            s.alive = true;
            s.epoch = 1;
            servers[s.id] = s;
        }
    }

    void step()
    {
        now += step_time;
        std::map<pool_id, planner::pool_rule> rules;
        for (const auto& [id, r] : pools) {
            rules[id] = r;
        }
        engine.configure(rules);
        for (auto& [id, s] : servers) {
            if (reboot_until_.contains(id) && now >= reboot_until_[id]) {
                reboot_until_.erase(id);
                s.alive = true;
                s.restarted = true;
            }
            s.drained = drain_until_.contains(id) && now >= drain_until_[id];
            engine.upsert(s, now);
        }
        run_demand();
        for (auto& [id, open] : waves) {
            engine.set_wave(id, open);
        }
        for (const planner::decision& d : engine.step(now)) {
            carry_out(d);
        }
        for (const auto& [id, rule] : pools) {
            worst_away[id] = std::max(worst_away[id], planned_away(id));
        }
    }

    void run(double seconds)
    {
        for (const auto end = now + milliseconds{static_cast<int>(seconds * 1000)}; now < end;) {
            step();
        }
    }

    int usable(const pool_id& pool) const
    {
        return static_cast<int>(std::ranges::count_if(servers, [&](const auto& entry) {
            const auto& s = entry.second;
            const bool stopped = s.phase && *s.phase != catalogue::wave_phase::waiting;
            return s.pool == pool && s.alive && !s.moving_to && !stopped;
        }));
    }

    /** @return servers of a pool away while a planned stop takes part in it; else 0. */
    int planned_away(const pool_id& pool) const
    {
        int away = 0;
        int planned = 0;
        for (const auto& [id, s] : servers) {
            const bool stopped = s.phase && *s.phase != catalogue::wave_phase::waiting;
            away += s.pool == pool && (!s.alive || stopped) ? 1 : 0;
            planned += s.pool == pool && stopped ? 1 : 0;
        }
        return planned == 0 ? 0 : away;
    }

    std::vector<server_id> members(const std::function<bool(const planner::server_view&)>& chosen)
    {
        std::vector<server_id> out;
        for (const auto& [id, s] : servers) {
            if (chosen(s)) {
                out.push_back(id);
            }
        }
        return out;
    }

    void start_wave(const wave_id& id, const std::vector<server_id>& chosen)
    {
        for (const server_id& s : chosen) {
            servers[s].phase = catalogue::wave_phase::waiting;
            waves[id].insert(s);
        }
    }

    planner::engine engine;
    mono_time now{std::chrono::hours{1}};
    std::map<server_id, planner::server_view> servers;
    std::map<pool_id, planner::pool_rule> pools;
    std::map<pool_id, double> demand;
    std::map<wave_id, std::set<server_id>> waves;
    std::map<pool_id, int> worst_away;
    milliseconds drain_time{1500};
    milliseconds reboot_time{5000};
    int moves{0};
    /** Slot-seconds asked for and not there. */
    double refused{0};
    double asked{0};
    /** Two decisions that would put one server into two pools, or move it while it worked. */
    int broken_moves{0};

private:
    void run_demand()
    {
        for (const auto& [pool, slots] : demand) {
            engine.demand(pool, slots, now);
            const double there = usable(pool) * 8.0;
            const double seconds = std::chrono::duration<double>(step_time).count();
            refused += std::max(0.0, slots - there) * seconds;
            asked += slots * seconds;
        }
    }

    void carry_out(const planner::decision& d)
    {
        auto& s = servers[d.server];
        if (d.epoch != s.epoch) {
            return;
        }
        ++s.epoch;
        if (d.what == planner::action::drain) {
            ++moves;
            s.moving_to = d.to;
            drain_until_[d.server] = now + drain_time;
        } else if (d.what == planner::action::assign) {
            broken_moves += !s.pool.empty() && (s.moving_to != d.to || !s.drained) ? 1 : 0;
            s.pool = d.to;
            s.moving_to.reset();
            drain_until_.erase(d.server);
        } else {
            step_wave(s, d);
        }
    }

    void step_wave(planner::server_view& s, const planner::decision& d)
    {
        s.phase = d.phase;
        if (d.phase == catalogue::wave_phase::draining) {
            drain_until_[s.id] = now + drain_time;
        } else if (d.phase == catalogue::wave_phase::may_stop) {
            broken_moves += s.alive && !s.drained ? 1 : 0;
            drain_until_.erase(s.id);
            s.alive = false;
            s.restarted = false;
            reboot_until_[s.id] = now + reboot_time;
        } else if (d.phase == catalogue::wave_phase::back) {
            s.phase.reset();
            waves[d.wave].erase(s.id);
        }
    }

    std::map<server_id, mono_time> drain_until_;
    std::map<server_id, mono_time> reboot_until_;
};

} // namespace fescue::fakes
