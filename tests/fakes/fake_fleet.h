#pragma once

/**
 * @file
 * Simulates a fleet that executes the planner's decisions with the delays of real servers: a drain
 * lasts drain_time and a reboot lasts reboot_time. Simulated time advances in steps of step_time.
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
    fake_fleet(int size, int data_centres, planner::policy rules = {}) : engine{rules}
    {
        for (int i = 0; i < size; ++i) {
            planner::server_view s;
            s.id = server_id{"s" + std::to_string(i)};
            // Four servers per rack; racks are assigned round-robin to the data centres.
            const int rack = i / 4;
            s.data_centre = data_centre_id{"dc-" + std::to_string(1 + rack % data_centres)};
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
        for (const auto& [id, rule] : pools) {
            rules[id] = rule;
        }
        engine.configure(rules);
        for (auto& [id, s] : servers) {
            if (rebooted_at_.contains(id) && now >= rebooted_at_[id]) {
                rebooted_at_.erase(id);
                s.alive = true;
                s.restarted = true;
            }
            s.drained = drained_at_.contains(id) && now >= drained_at_[id];
            engine.upsert(s, now);
        }
        apply_demand();
        for (auto& [id, open_servers] : open_wave_servers) {
            engine.set_wave(id, open_servers);
        }
        for (const planner::decision& d : engine.step(now)) {
            apply_decision(d);
        }
        for (const auto& [id, rule] : pools) {
            max_unavailable[id] = std::max(max_unavailable[id], max_unavailable_in_wave(id));
        }
    }

    void run(double seconds)
    {
        for (const auto end = now + milliseconds{static_cast<int>(seconds * 1000)}; now < end;) {
            step();
        }
    }

    int usable_servers(const pool_id& pool) const
    {
        return static_cast<int>(std::ranges::count_if(servers, [&](const auto& entry) {
            const auto& s = entry.second;
            const bool stopped = s.phase && *s.phase != catalogue::wave_phase::waiting;
            return s.pool == pool && s.alive && !s.moving_to && !stopped;
        }));
    }

    /** @return unavailable servers of the pool if at least one is stopped by a wave, else 0. */
    int max_unavailable_in_wave(const pool_id& pool) const
    {
        int unavailable = 0;
        int planned_stops = 0;
        for (const auto& [id, s] : servers) {
            const bool stopped = s.phase && *s.phase != catalogue::wave_phase::waiting;
            unavailable += s.pool == pool && (!s.alive || stopped) ? 1 : 0;
            planned_stops += s.pool == pool && stopped ? 1 : 0;
        }
        return planned_stops == 0 ? 0 : unavailable;
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
            open_wave_servers[id].insert(s);
        }
    }

    planner::engine engine;
    mono_time now{std::chrono::hours{1}};
    std::map<server_id, planner::server_view> servers;
    std::map<pool_id, planner::pool_rule> pools;
    std::map<pool_id, double> demand;
    std::map<wave_id, std::set<server_id>> open_wave_servers;
    std::map<pool_id, int> max_unavailable;
    milliseconds drain_time{1500};
    milliseconds reboot_time{5000};
    int moves{0};
    /** Slot-seconds of demand that exceeded the usable capacity. */
    double refused_slot_seconds{0};
    /** Slot-seconds of demand in total. */
    double requested_slot_seconds{0};
    /** Decisions that assign a server to two pools or act on it before it was drained. */
    int invalid_decisions{0};

private:
    void apply_demand()
    {
        for (const auto& [pool, slots] : demand) {
            engine.demand(pool, slots, now);
            const double capacity_slots = usable_servers(pool) * 8.0;
            const double seconds = std::chrono::duration<double>(step_time).count();
            refused_slot_seconds += std::max(0.0, slots - capacity_slots) * seconds;
            requested_slot_seconds += slots * seconds;
        }
    }

    void apply_decision(const planner::decision& d)
    {
        auto& s = servers[d.server];
        if (d.epoch != s.epoch) {
            return;
        }
        ++s.epoch;
        if (d.what == planner::action::drain) {
            ++moves;
            s.moving_to = d.to;
            drained_at_[d.server] = now + drain_time;
        } else if (d.what == planner::action::assign) {
            invalid_decisions += !s.pool.empty() && (s.moving_to != d.to || !s.drained) ? 1 : 0;
            s.pool = d.to;
            s.moving_to.reset();
            drained_at_.erase(d.server);
        } else {
            apply_wave_phase(s, d);
        }
    }

    void apply_wave_phase(planner::server_view& s, const planner::decision& d)
    {
        s.phase = d.phase;
        if (d.phase == catalogue::wave_phase::draining) {
            drained_at_[s.id] = now + drain_time;
        } else if (d.phase == catalogue::wave_phase::may_stop) {
            invalid_decisions += s.alive && !s.drained ? 1 : 0;
            drained_at_.erase(s.id);
            s.alive = false;
            s.restarted = false;
            rebooted_at_[s.id] = now + reboot_time;
        } else if (d.phase == catalogue::wave_phase::back) {
            s.phase.reset();
            open_wave_servers[d.wave].erase(s.id);
        }
    }

    std::map<server_id, mono_time> drained_at_;
    std::map<server_id, mono_time> rebooted_at_;
};

} // namespace fescue::fakes
