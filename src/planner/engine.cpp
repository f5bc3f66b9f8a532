#include "fescuestream/planner/engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace fescue::planner {

namespace {

constexpr double default_slots_per_server = 8;

template <class Map, class Key>
void add_to_count(Map& map, const Key& key, int delta)
{
    auto& n = map[key];
    n = static_cast<std::uint32_t>(static_cast<int>(n) + delta);
    if (n == 0) {
        map.erase(key);
    }
}

template <class Map, class Key>
std::uint32_t count_or_zero(const Map& map, const Key& key)
{
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second;
}

template <class Map>
std::vector<std::uint32_t> counts_of(const Map& map)
{
    std::vector<std::uint32_t> out;
    for (const auto& [key, n] : map) {
        out.push_back(n);
    }
    return out;
}

} // namespace

policy without_hysteresis() noexcept
{
    policy p;
    p.large_shortage_delay = milliseconds{0};
    p.small_shortage_delay = milliseconds{0};
    p.headroom = 1;
    p.prefer_latest_surplus = false;
    p.donor_surplus_delay = milliseconds{0};
    p.return_to_spare_delay = milliseconds{0};
    p.demand_decay_time = milliseconds{0};
    return p;
}

std::uint32_t servers_to_survive(std::uint32_t target_servers,
                                 const std::vector<std::uint32_t>& domains)
{
    if (domains.empty()) {
        return 0;
    }
    const std::uint32_t largest = *std::ranges::max_element(domains);
    // Finds the smallest cap per domain: the loss of one domain costs at most that many servers.
    for (std::uint32_t max_per_domain = 0; max_per_domain <= largest; ++max_per_domain) {
        std::uint32_t selected = 0;
        for (const std::uint32_t size : domains) {
            selected += std::min(size, max_per_domain);
        }
        if (selected >= target_servers + max_per_domain) {
            return target_servers + max_per_domain;
        }
    }
    return 0;
}

void engine::configure(const std::map<pool_id, pool_rule>& pools)
{
    const bool same = std::ranges::equal(
        pools, pools_, [](const auto& a, const auto& b) { return a.first == b.first; });
    if (!same) {
        // The counters are kept per pool, so a different set of pools rebuilds them.
        const auto old_servers = std::move(servers_);
        const auto old_losses = std::move(loss_times_);
        const auto old_waves = std::move(waves_);
        std::map<pool_id, pool_state> old_pools = std::move(pools_);
        *this = engine{policy_};
        for (const auto& [id, rule] : pools) {
            pools_[id].demand_peak = old_pools[id].demand_peak;
            pools_[id].demand_updated_at = old_pools[id].demand_updated_at;
        }
        for (const auto& [id, view] : old_servers) {
            upsert(view, mono_time{});
        }
        loss_times_ = old_losses;
        waves_ = old_waves;
    }
    for (const auto& [id, rule] : pools) {
        pools_[id].rule = rule;
    }
}

bool engine::is_usable(const server_view& s) noexcept
{
    const bool in_maintenance = s.phase && *s.phase != catalogue::wave_phase::waiting;
    return s.alive && !s.moving_to && !in_maintenance;
}

void engine::update_counts(const server_view& s, int sign)
{
    if (s.alive) {
        alive_ = static_cast<std::uint32_t>(static_cast<int>(alive_) + sign);
        alive_slots_ += static_cast<std::uint64_t>(static_cast<std::int64_t>(s.slots) * sign);
        add_to_count(alive_by_data_centre_, s.data_centre, sign);
        add_to_count(alive_by_rack_, std::pair{s.data_centre, s.rack}, sign);
    }
    if (s.moving_to) {
        if (const auto to = pools_.find(*s.moving_to); to != pools_.end()) {
            to->second.incoming =
                static_cast<std::uint32_t>(static_cast<int>(to->second.incoming) + sign);
        }
    }
    const auto pool = pools_.find(s.pool);
    if (pool == pools_.end()) {
        return;
    }
    pool_state& p = pool->second;
    if (sign > 0) {
        p.members.insert(s.id);
    } else {
        p.members.erase(s.id);
    }
    if (is_usable(s)) {
        p.usable = static_cast<std::uint32_t>(static_cast<int>(p.usable) + sign);
        add_to_count(p.usable_by_data_centre, s.data_centre, sign);
        add_to_count(p.usable_by_rack, std::pair{s.data_centre, s.rack}, sign);
    }
}

void engine::record_loss(const server_view* before, const server_view& after, mono_time now)
{
    const bool planned = after.phase && *after.phase != catalogue::wave_phase::waiting;
    if (before != nullptr && before->alive && !after.alive && !planned) {
        loss_times_.push_back(now);
    }
    while (!loss_times_.empty() && now - loss_times_.front() > policy_.storm_window) {
        loss_times_.pop_front();
    }
}

void engine::upsert(const server_view& view, mono_time now)
{
    const auto found = servers_.find(view.id);
    if (found != servers_.end()) {
        if (found->second == view) {
            return;
        }
        record_loss(&found->second, view, now);
        update_counts(found->second, -1);
        found->second = view;
    } else {
        servers_.emplace(view.id, view);
    }
    update_counts(view, 1);
    const auto update_membership = [&](std::set<server_id>& set, bool is_member) {
        if (is_member) {
            set.insert(view.id);
        } else {
            set.erase(view.id);
        }
    };
    update_membership(unassigned_, !pools_.contains(view.pool));
    update_membership(moving_, view.moving_to.has_value());
    update_membership(in_wave_, view.phase && *view.phase != catalogue::wave_phase::waiting);
}

void engine::erase(const server_id& id)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    update_counts(found->second, -1);
    servers_.erase(found);
    unassigned_.erase(id);
    moving_.erase(id);
    in_wave_.erase(id);
}

void engine::demand(const pool_id& pool, double slots, mono_time now)
{
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
        return;
    }
    pool_state& p = found->second;
    const double elapsed = std::chrono::duration<double>(now - p.demand_updated_at).count();
    const double decay_time = std::chrono::duration<double>(policy_.demand_decay_time).count();
    const double decay_factor = decay_time <= 0 ? 0 : std::exp(-elapsed / decay_time);
    p.demand_peak = std::max(slots, slots + (p.demand_peak - slots) * decay_factor);
    p.demand_updated_at = now;
    p.recent_demand.emplace_back(now, slots);
    // Keeps one sample from before the window, which holds the demand at the window's start.
    while (p.recent_demand.size() > 1 &&
           now - p.recent_demand[1].first >= policy_.small_shortage_delay) {
        p.recent_demand.pop_front();
    }
}

void engine::set_wave(const wave_id& id, const std::set<server_id>& waiting)
{
    waves_[id] = waiting;
}

void engine::end_wave(const wave_id& id)
{
    waves_.erase(id);
}

double engine::slots_per_server() const
{
    return alive_ == 0 ? default_slots_per_server : static_cast<double>(alive_slots_) / alive_;
}

std::uint32_t engine::target_servers(const pool_state& p) const
{
    const auto for_demand = static_cast<std::uint32_t>(
        std::ceil(p.demand_peak * policy_.headroom / slots_per_server()));
    return std::max(p.rule.min_servers, for_demand);
}

std::uint32_t engine::target_servers(const pool_id& pool) const
{
    const auto found = pools_.find(pool);
    return found == pools_.end() ? 0 : target_servers(found->second);
}

std::int64_t engine::surplus(const pool_state& p) const
{
    return static_cast<std::int64_t>(p.usable) + p.incoming - target_servers(p);
}

std::uint32_t engine::sustained_target(const pool_state& p, milliseconds delay) const
{
    double sustained_demand = p.recent_demand.empty() ? 0 : p.recent_demand.back().second;
    for (auto at = p.recent_demand.rbegin(); at != p.recent_demand.rend(); ++at) {
        // Of the samples older than the delay, only the latest counts: it was in force when the
        // window began.
        const bool before_window =
            at != p.recent_demand.rbegin() && p.demand_updated_at - std::prev(at)->first >= delay;
        if (before_window) {
            break;
        }
        sustained_demand = std::min(sustained_demand, at->second);
    }
    return std::max(p.rule.min_servers,
                    static_cast<std::uint32_t>(std::ceil(sustained_demand / slots_per_server())));
}

std::int64_t engine::shortage(const pool_state& p) const
{
    const std::int64_t available = std::int64_t{p.usable} + p.incoming;
    const std::int64_t prompt_shortage =
        sustained_target(p, policy_.large_shortage_delay) - available;
    const bool large = static_cast<double>(prompt_shortage) >=
                       policy_.large_shortage_fraction * static_cast<double>(available);
    return large ? prompt_shortage : sustained_target(p, policy_.small_shortage_delay) - available;
}

std::uint32_t engine::unavailable_servers(const pool_id& pool) const
{
    const auto found = pools_.find(pool);
    if (found == pools_.end()) {
        return 0;
    }
    std::uint32_t moving = 0;
    for (const server_id& id : moving_) {
        const server_view& s = servers_.at(id);
        moving += s.pool == pool && s.alive ? 1 : 0;
    }
    return static_cast<std::uint32_t>(found->second.members.size()) - found->second.usable - moving;
}

spare_capacity engine::current_spare_capacity() const
{
    spare_capacity out;
    for (const auto& [id, p] : pools_) {
        out.target_servers += target_servers(p);
    }
    out.alive = alive_;
    out.needed_for_data_centre =
        servers_to_survive(out.target_servers, counts_of(alive_by_data_centre_));
    out.needed_for_rack = servers_to_survive(out.target_servers, counts_of(alive_by_rack_));
    if (out.needed_for_data_centre == 0) {
        // Even the whole fleet does not suffice; reports a need of at least one server more than
        // is alive.
        out.needed_for_data_centre = std::max(out.target_servers, alive_ + 1);
    }
    return out;
}

bool engine::in_storm(mono_time now) const
{
    const auto recent_losses = std::ranges::count_if(
        loss_times_, [&](mono_time at) { return now - at <= policy_.storm_window; });
    const double min_losses = policy_.storm_loss_fraction * static_cast<double>(servers_.size());
    return static_cast<double>(recent_losses) >=
           std::max<double>(policy_.storm_min_losses, min_losses);
}

std::vector<decision> engine::step(mono_time now)
{
    std::vector<decision> out;
    for (auto& [id, p] : pools_) {
        update_surplus_timer(p, now);
    }
    finish_moves(out);
    place_unassigned(out);
    grow_pools(out, now);
    return_surplus_to_spare(out, now);
    advance_waves(out, now);
    return out;
}

void engine::update_surplus_timer(pool_state& p, mono_time now)
{
    if (surplus(p) <= 0) {
        p.surplus_since.reset();
    } else if (!p.surplus_since) {
        p.surplus_since = now;
    }
}

bool engine::has_lasted(const std::optional<mono_time>& start, milliseconds delay,
                        mono_time now) const
{
    return start && now - *start >= delay;
}

void engine::finish_moves(std::vector<decision>& out)
{
    for (const server_id& id : moving_) {
        const server_view& s = servers_.at(id);
        if (s.drained && pools_.contains(*s.moving_to)) {
            out.push_back({action::assign,
                           id,
                           s.epoch,
                           s.pool,
                           *s.moving_to,
                           {},
                           {},
                           fmt::format("drained in pool '{}' and reassigned to '{}'", s.pool.str(),
                                       s.moving_to->str())});
        }
    }
}

void engine::place_unassigned(std::vector<decision>& out)
{
    std::map<pool_id, std::int64_t> newly_placed;
    for (const server_id& id : unassigned_) {
        const server_view& s = servers_.at(id);
        if (!s.alive || pools_.empty()) {
            continue;
        }
        // Selects the pool with the largest shortage, or the spare pool if there is none; prefers
        // pools with fewer servers in this data centre.
        const auto rank = [&](const auto& entry) {
            const std::int64_t excess = surplus(entry.second) + newly_placed[entry.first];
            const auto in_data_centre =
                count_or_zero(entry.second.usable_by_data_centre, s.data_centre);
            return std::tuple{excess >= 0 && !entry.second.rule.spare, excess >= 0 ? 0 : excess,
                              in_data_centre};
        };
        const auto receiver = std::ranges::min_element(pools_, {}, rank);
        ++newly_placed[receiver->first];
        out.push_back({action::assign,
                       id,
                       s.epoch,
                       s.pool,
                       receiver->first,
                       {},
                       {},
                       fmt::format("server has no pool; pool '{}' needs {} servers and has {}",
                                   receiver->first.str(), target_servers(receiver->second),
                                   receiver->second.usable)});
    }
}

std::optional<pool_id> engine::best_donor(const pool_id& receiver, mono_time now) const
{
    const pool_id* best = nullptr;
    std::int64_t best_rank = 0;
    for (const auto& [id, p] : pools_) {
        const std::int64_t excess = surplus(p);
        const bool can_lend = has_lasted(p.surplus_since, policy_.donor_surplus_delay, now);
        if (id == receiver || excess <= 0 || !can_lend || p.usable == 0) {
            continue;
        }
        // Queues burst in turn, so the pool whose burst ended last needs its servers again last.
        const std::int64_t rank = policy_.prefer_latest_surplus
                                      ? (*p.surplus_since - mono_time{}).count()
                                  : p.rule.spare ? INT64_MAX
                                                 : excess;
        if (best == nullptr || rank > best_rank) {
            best = &id;
            best_rank = rank;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{*best};
}

std::optional<server_id> engine::choose_server(const pool_state& from, const pool_state& to) const
{
    const server_view* best = nullptr;
    std::tuple<std::int64_t, std::int64_t, std::uint32_t> best_rank;
    for (const server_id& id : from.members) {
        const server_view& s = servers_.at(id);
        if (!is_usable(s) || s.phase) {
            continue;
        }
        // Balances both pools over data centres, then over racks, and prefers servers with fewer
        // running tasks, which drain sooner.
        const std::pair rack{s.data_centre, s.rack};
        const std::int64_t data_centre_imbalance =
            std::int64_t{count_or_zero(to.usable_by_data_centre, s.data_centre)} -
            count_or_zero(from.usable_by_data_centre, s.data_centre);
        const std::int64_t rack_imbalance = std::int64_t{count_or_zero(to.usable_by_rack, rack)} -
                                            count_or_zero(from.usable_by_rack, rack);
        const std::tuple rank{data_centre_imbalance, rack_imbalance, s.running};
        if (best == nullptr || rank < best_rank) {
            best = &s;
            best_rank = rank;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->id};
}

void engine::start_move(const server_id& id, const pool_id& to, std::string reason,
                        std::vector<decision>& out, mono_time now)
{
    server_view updated = servers_.at(id);
    out.push_back({action::drain, id, updated.epoch, updated.pool, to, {}, {}, std::move(reason)});
    // Updates the counts immediately, so that one step does not move more servers than available.
    updated.moving_to = to;
    upsert(updated, now);
}

void engine::grow_pools(std::vector<decision>& out, mono_time now)
{
    for (auto& [id, p] : pools_) {
        for (std::uint32_t n = 0; n < policy_.max_moves_per_step && shortage(p) > 0; ++n) {
            const auto donor = best_donor(id, now);
            const auto server = donor ? choose_server(pools_.at(*donor), p) : std::nullopt;
            if (!server) {
                break;
            }
            start_move(
                *server, id,
                fmt::format("pool '{}' needs {} servers and has {}; pool '{}' has a surplus of {}",
                            id.str(), sustained_target(p, policy_.large_shortage_delay),
                            p.usable + p.incoming, donor->str(), surplus(pools_.at(*donor))),
                out, now);
        }
    }
}

void engine::return_surplus_to_spare(std::vector<decision>& out, mono_time now)
{
    const auto spare =
        std::ranges::find_if(pools_, [](const auto& p) { return p.second.rule.spare; });
    if (spare == pools_.end()) {
        return;
    }
    for (auto& [id, p] : pools_) {
        if (p.rule.spare || !has_lasted(p.surplus_since, policy_.return_to_spare_delay, now)) {
            continue;
        }
        for (std::uint32_t n = 0; n < policy_.max_moves_per_step && surplus(p) > 0; ++n) {
            const auto server = choose_server(p, spare->second);
            if (!server) {
                break;
            }
            start_move(
                *server, spare->first,
                fmt::format("pool '{}' has exceeded its target of {} servers for the return delay",
                            id.str(), target_servers(p)),
                out, now);
        }
    }
}

void engine::advance_waves(std::vector<decision>& out, mono_time now)
{
    using catalogue::wave_phase;
    std::map<server_id, wave_id> wave_of;
    for (const auto& [wave, servers] : waves_) {
        for (const server_id& id : servers) {
            wave_of.emplace(id, wave);
        }
    }
    const auto advance = [&](const server_view& s, wave_phase to, std::string reason) {
        const auto wave = wave_of.find(s.id);
        if (wave != wave_of.end()) {
            out.push_back({action::wave_step,
                           s.id,
                           s.epoch,
                           s.pool,
                           {},
                           wave->second,
                           to,
                           std::move(reason)});
        }
    };
    for (const server_id& id : in_wave_) {
        const server_view& s = servers_.at(id);
        if (s.phase == wave_phase::draining && (s.drained || !s.alive)) {
            advance(s, wave_phase::may_stop, "server is drained or down");
        } else if (s.phase == wave_phase::may_stop && s.alive && s.restarted) {
            advance(s, wave_phase::back, "server is back under a new incarnation");
        }
    }
    if (in_storm(now)) {
        return;
    }
    std::map<pool_id, std::uint32_t> away_by_pool;
    std::map<pool_id, std::int64_t> taken;
    for (const auto& [id, wave] : wave_of) {
        const auto found = servers_.find(id);
        if (found == servers_.end() || found->second.phase != wave_phase::waiting ||
            found->second.moving_to) {
            continue;
        }
        const server_view& s = found->second;
        const auto pool = pools_.find(s.pool);
        if (pool == pools_.end()) {
            continue;
        }
        auto away_count = away_by_pool.find(s.pool);
        if (away_count == away_by_pool.end()) {
            away_count = away_by_pool.emplace(s.pool, unavailable_servers(s.pool)).first;
        }
        // A server that is already unavailable does not use more of the budget.
        const std::uint32_t newly_away = s.alive ? 1 : 0;
        if (away_count->second + newly_away > pool->second.rule.availability_budget) {
            continue;
        }
        away_count->second += newly_away;
        advance(s, wave_phase::draining,
                fmt::format("{} servers of pool '{}' unavailable; availability budget is {}",
                            away_count->second, s.pool.str(),
                            pool->second.rule.availability_budget));
    }
}

} // namespace fescue::planner
