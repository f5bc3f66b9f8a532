#include "fescuestream/planner/engine.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace fescue::planner {

namespace {

constexpr double default_slots = 8;

template <class Map, class Key>
void add(Map& map, const Key& key, int by)
{
    auto& n = map[key];
    n = static_cast<std::uint32_t>(static_cast<int>(n) + by);
    if (n == 0) {
        map.erase(key);
    }
}

template <class Map, class Key>
std::uint32_t at_or_zero(const Map& map, const Key& key)
{
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second;
}

template <class Map>
std::vector<std::uint32_t> sizes_of(const Map& map)
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
    p.grow_hold = milliseconds{0};
    p.small_hold = milliseconds{0};
    p.headroom = 1;
    p.lend_latest = false;
    p.lend_hold = milliseconds{0};
    p.return_hold = milliseconds{0};
    p.demand_decay = milliseconds{0};
    return p;
}

std::uint32_t servers_to_survive(std::uint32_t wanted, const std::vector<std::uint32_t>& domains)
{
    if (domains.empty()) {
        return 0;
    }
    const std::uint32_t largest = *std::ranges::max_element(domains);
    // The fewer servers the fullest domain holds, the fewer are lost with it.
    for (std::uint32_t most = 0; most <= largest; ++most) {
        std::uint32_t drawn = 0;
        for (const std::uint32_t size : domains) {
            drawn += std::min(size, most);
        }
        if (drawn >= wanted + most) {
            return wanted + most;
        }
    }
    return 0;
}

// ---- what is known

void engine::configure(const std::map<pool_id, pool_rule>& pools)
{
    const bool same = std::ranges::equal(
        pools, pools_, [](const auto& a, const auto& b) { return a.first == b.first; });
    if (!same) {
        // Servers are counted by pool, so another set of pools counts them anew.
        const auto kept = std::move(servers_);
        const auto losses = std::move(losses_);
        const auto waves = std::move(waves_);
        std::map<pool_id, pool_state> before = std::move(pools_);
        *this = engine{policy_};
        for (const auto& [id, rule] : pools) {
            pools_[id].demand = before[id].demand;
            pools_[id].demand_at = before[id].demand_at;
        }
        for (const auto& [id, view] : kept) {
            upsert(view, mono_time{});
        }
        losses_ = losses;
        waves_ = waves;
    }
    for (const auto& [id, rule] : pools) {
        pools_[id].rule = rule;
    }
}

bool engine::usable(const server_view& s) noexcept
{
    const bool in_maintenance = s.phase && *s.phase != catalogue::wave_phase::waiting;
    return s.alive && !s.moving_to && !in_maintenance;
}

void engine::count(const server_view& s, int by)
{
    if (s.alive) {
        alive_ = static_cast<std::uint32_t>(static_cast<int>(alive_) + by);
        alive_slots_ += static_cast<std::uint64_t>(static_cast<std::int64_t>(s.slots) * by);
        add(alive_by_place_, s.data_centre, by);
        add(alive_by_rack_, std::pair{s.data_centre, s.rack}, by);
    }
    if (s.moving_to) {
        if (const auto to = pools_.find(*s.moving_to); to != pools_.end()) {
            to->second.incoming =
                static_cast<std::uint32_t>(static_cast<int>(to->second.incoming) + by);
        }
    }
    const auto pool = pools_.find(s.pool);
    if (pool == pools_.end()) {
        return;
    }
    pool_state& p = pool->second;
    if (by > 0) {
        p.members.insert(s.id);
    } else {
        p.members.erase(s.id);
    }
    if (usable(s)) {
        p.usable = static_cast<std::uint32_t>(static_cast<int>(p.usable) + by);
        add(p.places, s.data_centre, by);
        add(p.spread, std::pair{s.data_centre, s.rack}, by);
    }
}

void engine::note_loss(const server_view* before, const server_view& after, mono_time now)
{
    const bool planned = after.phase && *after.phase != catalogue::wave_phase::waiting;
    if (before != nullptr && before->alive && !after.alive && !planned) {
        losses_.push_back(now);
    }
    while (!losses_.empty() && now - losses_.front() > policy_.storm_window) {
        losses_.pop_front();
    }
}

void engine::upsert(const server_view& view, mono_time now)
{
    const auto found = servers_.find(view.id);
    if (found != servers_.end()) {
        if (found->second == view) {
            return;
        }
        note_loss(&found->second, view, now);
        count(found->second, -1);
        found->second = view;
    } else {
        servers_.emplace(view.id, view);
    }
    count(view, 1);
    const auto keep = [&](std::set<server_id>& set, bool in) {
        if (in) {
            set.insert(view.id);
        } else {
            set.erase(view.id);
        }
    };
    keep(unplaced_, !pools_.contains(view.pool));
    keep(moving_, view.moving_to.has_value());
    keep(in_wave_, view.phase && *view.phase != catalogue::wave_phase::waiting);
}

void engine::erase(const server_id& id)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    count(found->second, -1);
    servers_.erase(found);
    unplaced_.erase(id);
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
    const double passed = std::chrono::duration<double>(now - p.demand_at).count();
    const double decay = std::chrono::duration<double>(policy_.demand_decay).count();
    const double kept = decay <= 0 ? 0 : std::exp(-passed / decay);
    p.demand = std::max(slots, slots + (p.demand - slots) * kept);
    p.demand_at = now;
    p.recent.emplace_back(now, slots);
    // One reading from before the window stays: it says how the window began.
    while (p.recent.size() > 1 && now - p.recent[1].first >= policy_.small_hold) {
        p.recent.pop_front();
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

// ---- what is wanted

double engine::slots_per_server() const
{
    return alive_ == 0 ? default_slots : static_cast<double>(alive_slots_) / alive_;
}

std::uint32_t engine::wanted_of(const pool_state& p) const
{
    const auto for_demand =
        static_cast<std::uint32_t>(std::ceil(p.demand * policy_.headroom / slots_per_server()));
    return std::max(p.rule.least_servers, for_demand);
}

std::uint32_t engine::wanted(const pool_id& pool) const
{
    const auto found = pools_.find(pool);
    return found == pools_.end() ? 0 : wanted_of(found->second);
}

std::int64_t engine::surplus(const pool_state& p) const
{
    return static_cast<std::int64_t>(p.usable) + p.incoming - wanted_of(p);
}

std::uint32_t engine::lasting_want(const pool_state& p, milliseconds hold) const
{
    double lasting = p.recent.empty() ? 0 : p.recent.back().second;
    for (auto at = p.recent.rbegin(); at != p.recent.rend(); ++at) {
        // Older readings than the hold matter only as what the window began with.
        const bool before_window =
            at != p.recent.rbegin() && p.demand_at - std::prev(at)->first >= hold;
        if (before_window) {
            break;
        }
        lasting = std::min(lasting, at->second);
    }
    return std::max(p.rule.least_servers,
                    static_cast<std::uint32_t>(std::ceil(lasting / slots_per_server())));
}

std::int64_t engine::shortage(const pool_state& p) const
{
    const std::int64_t have = std::int64_t{p.usable} + p.incoming;
    const std::int64_t at_once = lasting_want(p, policy_.grow_hold) - have;
    const bool large =
        static_cast<double>(at_once) >= policy_.large_part * static_cast<double>(have);
    return large ? at_once : lasting_want(p, policy_.small_hold) - have;
}

std::uint32_t engine::away(const pool_id& pool) const
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

buffer_view engine::buffers() const
{
    buffer_view out;
    for (const auto& [id, p] : pools_) {
        out.wanted += wanted_of(p);
    }
    out.alive = alive_;
    out.needed_for_data_centre = servers_to_survive(out.wanted, sizes_of(alive_by_place_));
    out.needed_for_rack = servers_to_survive(out.wanted, sizes_of(alive_by_rack_));
    if (out.needed_for_data_centre == 0) {
        // Not even the whole fleet would survive it: say what is missing as one server too few.
        out.needed_for_data_centre = std::max(out.wanted, alive_ + 1);
    }
    return out;
}

bool engine::in_storm(mono_time now) const
{
    const auto recent = std::ranges::count_if(
        losses_, [&](mono_time at) { return now - at <= policy_.storm_window; });
    const double part = policy_.storm_part * static_cast<double>(servers_.size());
    return static_cast<double>(recent) >= std::max<double>(policy_.storm_losses, part);
}

// ---- decisions

std::vector<decision> engine::step(mono_time now)
{
    std::vector<decision> out;
    for (auto& [id, p] : pools_) {
        follow(p, now);
    }
    finish_moves(out);
    place_new(out);
    grow_pools(out, now);
    return_spares(out, now);
    step_waves(out, now);
    return out;
}

void engine::follow(pool_state& p, mono_time now)
{
    if (surplus(p) <= 0) {
        p.over_since.reset();
    } else if (!p.over_since) {
        p.over_since = now;
    }
}

bool engine::held(const std::optional<mono_time>& since, milliseconds hold, mono_time now) const
{
    return since && now - *since >= hold;
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
                           fmt::format("it is drained, so it leaves pool '{}' for '{}'",
                                       s.pool.str(), s.moving_to->str())});
        }
    }
}

void engine::place_new(std::vector<decision>& out)
{
    std::map<pool_id, std::int64_t> placed;
    for (const server_id& id : unplaced_) {
        const server_view& s = servers_.at(id);
        if (!s.alive || pools_.empty()) {
            continue;
        }
        // The pool furthest below its want; with none short, the spare pool.
        const auto rank = [&](const auto& entry) {
            const std::int64_t over = surplus(entry.second) + placed[entry.first];
            const auto here = at_or_zero(entry.second.places, s.data_centre);
            return std::tuple{over >= 0 && !entry.second.rule.spare, over >= 0 ? 0 : over, here};
        };
        const auto next = std::ranges::min_element(pools_, {}, rank);
        ++placed[next->first];
        out.push_back(
            {action::assign,
             id,
             s.epoch,
             s.pool,
             next->first,
             {},
             {},
             fmt::format("it has no pool, and '{}' wants {} servers and has {}", next->first.str(),
                         wanted_of(next->second), next->second.usable)});
    }
}

std::optional<pool_id> engine::best_donor(const pool_id& receiver, mono_time now) const
{
    const pool_id* best = nullptr;
    std::int64_t best_rank = 0;
    for (const auto& [id, p] : pools_) {
        const std::int64_t over = surplus(p);
        const bool lends = held(p.over_since, policy_.lend_hold, now);
        if (id == receiver || over <= 0 || !lends || p.usable == 0) {
            continue;
        }
        // Queues burst in turn, so the pool whose burst ended last will need its servers last.
        const std::int64_t rank = policy_.lend_latest ? (*p.over_since - mono_time{}).count()
                                  : p.rule.spare      ? INT64_MAX
                                                      : over;
        if (best == nullptr || rank > best_rank) {
            best = &id;
            best_rank = rank;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{*best};
}

std::optional<server_id> engine::choose(const pool_state& from, const pool_state& to) const
{
    const server_view* best = nullptr;
    std::tuple<std::int64_t, std::int64_t, std::uint32_t> best_rank;
    for (const server_id& id : from.members) {
        const server_view& s = servers_.at(id);
        if (!usable(s) || s.phase) {
            continue;
        }
        // Both pools end up more even over data centres, then racks; idle servers cost least.
        const std::pair rack{s.data_centre, s.rack};
        const std::int64_t places = std::int64_t{at_or_zero(to.places, s.data_centre)} -
                                    at_or_zero(from.places, s.data_centre);
        const std::int64_t racks =
            std::int64_t{at_or_zero(to.spread, rack)} - at_or_zero(from.spread, rack);
        const std::tuple rank{places, racks, s.running};
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
    server_view next = servers_.at(id);
    out.push_back({action::drain, id, next.epoch, next.pool, to, {}, {}, std::move(reason)});
    // Counted at once, so that one step does not take more than is there.
    next.moving_to = to;
    upsert(next, now);
}

void engine::grow_pools(std::vector<decision>& out, mono_time now)
{
    for (auto& [id, p] : pools_) {
        for (std::uint32_t n = 0; n < policy_.most_moves && shortage(p) > 0; ++n) {
            const auto donor = best_donor(id, now);
            const auto server = donor ? choose(pools_.at(*donor), p) : std::nullopt;
            if (!server) {
                break;
            }
            start_move(*server, id,
                       fmt::format("pool '{}' wants {} servers and has {}; '{}' has {} over",
                                   id.str(), lasting_want(p, policy_.grow_hold),
                                   p.usable + p.incoming, donor->str(), surplus(pools_.at(*donor))),
                       out, now);
        }
    }
}

void engine::return_spares(std::vector<decision>& out, mono_time now)
{
    const auto spare =
        std::ranges::find_if(pools_, [](const auto& p) { return p.second.rule.spare; });
    if (spare == pools_.end()) {
        return;
    }
    for (auto& [id, p] : pools_) {
        if (p.rule.spare || !held(p.over_since, policy_.return_hold, now)) {
            continue;
        }
        for (std::uint32_t n = 0; n < policy_.most_moves && surplus(p) > 0; ++n) {
            const auto server = choose(p, spare->second);
            if (!server) {
                break;
            }
            start_move(*server, spare->first,
                       fmt::format("pool '{}' has had more than its {} servers for long", id.str(),
                                   wanted_of(p)),
                       out, now);
        }
    }
}

void engine::step_waves(std::vector<decision>& out, mono_time now)
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
            advance(s, wave_phase::may_stop, "nothing runs on it any more");
        } else if (s.phase == wave_phase::may_stop && s.alive && s.restarted) {
            advance(s, wave_phase::back, "it came back under a new incarnation");
        }
    }
    if (in_storm(now)) {
        return;
    }
    std::map<pool_id, std::uint32_t> away_now;
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
        auto count = away_now.find(s.pool);
        if (count == away_now.end()) {
            count = away_now.emplace(s.pool, away(s.pool)).first;
        }
        // A server that is away already costs the budget nothing more.
        const std::uint32_t more = s.alive ? 1 : 0;
        if (count->second + more > pool->second.rule.availability_budget) {
            continue;
        }
        count->second += more;
        advance(s, wave_phase::draining,
                fmt::format("{} of pool '{}' are away, its budget is {}", count->second,
                            s.pool.str(), pool->second.rule.availability_budget));
    }
}

} // namespace fescue::planner
