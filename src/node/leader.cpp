#include "leader.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescue::node {

namespace {

constexpr milliseconds round_period{100};
constexpr milliseconds allotment_period{50};
/** Least time between two allotment rounds that demand asks for. */
constexpr milliseconds allotment_pause{3};
constexpr milliseconds report_lease{1500};
/** Strays older than this say nothing about now. */
constexpr milliseconds stray_lease{2500};
/** A server's home must have lost its lease on the server before another takes over. */
constexpr milliseconds stray_proof{3500};
/** A server not heard by anyone for this long is forgotten. */
constexpr milliseconds forget_server_after{600'000};
constexpr std::size_t most_voters = 5;
/** A learner counts as caught up within this many entries. */
constexpr log_index caught_up_within = 64;

} // namespace

leader::leader(context& shared) : shared_{shared} {}

void leader::propose(const catalogue::command& cmd)
{
    shared_.control.propose_here(cmd);
}

// ---- what comes in

void leader::greeted(const wire::hello& who)
{
    greeted_[who.from] = who;
}

void leader::disconnected(const instance_id& id)
{
    greeted_.erase(id);
    reports_.erase(id);
}

void leader::received(const instance_id& from, const wire::instance_report& report)
{
    const mono_time now = shared_.now();
    reports_[from] = {report, now};
    for (const wire::server_use& use : report.servers) {
        uses_[use.id] = {use, now};
    }
    for (const wire::announcement& info : report.strays) {
        const auto added = strays_.emplace(info.id, stray{info, now, now}).first;
        stray& s = added->second;
        if (now - s.last > stray_lease) {
            s.first = now;
        }
        s.info = info;
        s.last = now;
    }
    const auto hungry = [](const wire::allotment_use& u) { return u.waiting > 0; };
    if (std::ranges::any_of(report.allotments, hungry)) {
        allotments_due_ = true;
    }
}

void leader::applied(const catalogue::command& cmd)
{
    if (std::holds_alternative<catalogue::set_allotment>(cmd)) {
        allotments_due_ = true;
    }
}

void leader::tick()
{
    const auto& replica = shared_.control.replica();
    const mono_time now = shared_.now();
    if (!replica.settled()) {
        led_ = false;
        return;
    }
    if (!led_) {
        led_ = true;
        led_since_ = now;
        proposed_.clear();
        orphan_since_.clear();
        last_alive_.clear();
        planner_ = planner::engine{};
    }
    if (now - last_round_ >= round_period) {
        last_round_ = now;
        round();
    }
    const auto since = now - last_allotment_round_;
    if (since >= allotment_period || (allotments_due_ && since >= allotment_pause)) {
        last_allotment_round_ = now;
        allotments_due_ = false;
        allotment_round();
    }
}

void leader::round()
{
    plan_members();
    plan_voters();
    plan_servers();
    plan_homes();
    plan_pools();
    plan_orphans();
}

// ---- instances

bool leader::reports_now(const instance_id& id) const
{
    const auto found = reports_.find(id);
    return found != reports_.end() && shared_.now() - found->second.at < report_lease;
}

void leader::plan_members()
{
    const auto& state = shared_.state();
    for (const auto& [id, who] : greeted_) {
        const auto known = state.members.find(id);
        if (known == state.members.end() || known->second.life != who.life) {
            propose(catalogue::instance_joined{id, who.data_centre, who.life, who.disk != 0,
                                               who.callers_address, who.control_address});
        }
    }
    for (const auto& [id, m] : state.members) {
        const bool gone = m.life != 0 && !greeted_.contains(id) && lapsed(id) &&
                          shared_.now() - led_since_ > stray_proof;
        if (gone) {
            log::info("instance_gone", {{"instance", id.str()}});
            propose(catalogue::instance_joined{id, m.data_centre, 0, m.has_disk, m.callers_address,
                                               m.control_address});
        }
    }
}

bool leader::neighbour_misses(const instance_id& id) const
{
    const auto& members = shared_.state().members;
    const auto self = members.find(id);
    if (self == members.end()) {
        return false;
    }
    for (const auto& [other, r] : reports_) {
        const auto known = members.find(other);
        const bool neighbour = other != id && known != members.end() &&
                               known->second.data_centre == self->second.data_centre;
        const auto& missed = r.report.not_heard;
        if (neighbour && reports_now(other) && std::ranges::find(missed, id) != missed.end()) {
            return true;
        }
    }
    return false;
}

bool leader::servers_went_elsewhere(const instance_id& id) const
{
    const mono_time now = shared_.now();
    for (const auto& [server, s] : strays_) {
        const auto* record = shared_.state().home_of(s.info.data_centre, server);
        if (record != nullptr && record->home == id && now - s.last < stray_lease &&
            s.last - s.first > stray_proof) {
            return true;
        }
    }
    return false;
}

bool leader::lapsed(const instance_id& id) const
{
    if (id == shared_.self()) {
        return false;
    }
    const auto known = shared_.state().members.find(id);
    if (known == shared_.state().members.end() || known->second.life == 0) {
        return true;
    }
    const auto who = greeted_.find(id);
    if (who != greeted_.end() && who->second.life != known->second.life) {
        // The incarnation that the state knows has ended: another one answers.
        return true;
    }
    if (shared_.control.replica().may_hold_lease(id, shared_.now())) {
        return false;
    }
    // Cut off with its whole data centre it may go on serving; a neighbour or a server on this
    // side shows that it is not.
    return neighbour_misses(id) || servers_went_elsewhere(id);
}

spread leader::spread_of(log_index version) const
{
    spread out;
    const auto& replica = shared_.control.replica();
    out.committed = version <= replica.applied();
    for (const auto& [id, m] : shared_.state().members) {
        if (id == shared_.self() || m.life == 0) {
            continue;
        }
        const auto p = replica.peers().find(id);
        const bool has = p != replica.peers().end() && p->second.applied >= version;
        if (!has && !lapsed(id)) {
            out.waiting_for.push_back(id);
        }
    }
    out.in_force = out.committed && out.waiting_for.empty();
    return out;
}

// ---- voters

std::vector<consensus::voter> leader::wanted_voters() const
{
    const auto& replica = shared_.control.replica();
    std::vector<std::pair<data_centre_id, consensus::voter>> able;
    for (const auto& [id, who] : greeted_) {
        const auto p = replica.peers().find(id);
        const bool self = id == shared_.self();
        const bool caught_up = self || (p != replica.peers().end() && p->second.disk == who.disk &&
                                        p->second.match + caught_up_within >= replica.last_index());
        if (who.disk != 0 && caught_up) {
            able.emplace_back(who.data_centre, consensus::voter{id, who.disk});
        }
    }
    // One a data centre first, then the seconds; present voters before others.
    std::vector<consensus::voter> out;
    std::map<data_centre_id, int> taken;
    const auto& present = replica.voters();
    while (out.size() < most_voters && !able.empty()) {
        const auto next = std::ranges::min_element(able, {}, [&](const auto& a) {
            const auto t = taken.find(a.first);
            return std::tuple{t == taken.end() ? 0 : t->second, !present.contains(a.second),
                              a.second};
        });
        ++taken[next->first];
        out.push_back(next->second);
        able.erase(next);
    }
    return out;
}

void leader::plan_voters()
{
    auto& replica = shared_.control.replica();
    const consensus::configuration present = replica.voters();
    const auto wanted = wanted_voters();
    const auto propose_change = [&](consensus::configuration next, const char* what,
                                    const consensus::voter& who) {
        if (replica.propose_configuration(next)) {
            log::info("voters_changed", {{what, who.id.str()}, {"voters", next.voters.size()}});
        }
    };
    for (const consensus::voter& v : present.voters) {
        const auto who = greeted_.find(v.id);
        if (who != greeted_.end() && who->second.disk != v.disk) {
            // Its disk was lost, and with it every promise that the old voter gave.
            consensus::configuration next = present;
            std::erase(next.voters, v);
            propose_change(next, "disk_lost", v);
            return;
        }
    }
    for (const consensus::voter& v : wanted) {
        if (!present.contains(v) && present.voters.size() < most_voters) {
            consensus::configuration next = present;
            next.voters.push_back(v);
            propose_change(next, "added", v);
            return;
        }
    }
}

// ---- servers and homes

void leader::plan_servers()
{
    const mono_time now = shared_.now();
    std::erase_if(strays_, [now](const auto& s) { return now - s.second.last > stray_lease * 2; });
    for (const auto& [id, s] : strays_) {
        if (!shared_.knows(s.info)) {
            propose(seen_of(s.info));
        }
    }
}

std::vector<instance_id> leader::candidates(const data_centre_id& dc) const
{
    std::vector<instance_id> local;
    std::vector<instance_id> any;
    for (const auto& [id, m] : shared_.state().members) {
        const auto who = greeted_.find(id);
        const bool usable = m.life != 0 && who != greeted_.end() && who->second.life == m.life &&
                            reports_now(id) && !reports_.at(id).report.draining;
        if (!usable) {
            continue;
        }
        any.push_back(id);
        if (m.data_centre == dc) {
            local.push_back(id);
        }
    }
    return local.empty() ? any : local;
}

bool leader::home_is_usable(const catalogue::home_record& record) const
{
    const auto known = shared_.state().members.find(record.home);
    return known != shared_.state().members.end() && known->second.life == record.life;
}

void leader::plan_homes()
{
    std::set<data_centre_id> places;
    for (const auto& [id, s] : shared_.state().servers) {
        places.insert(s.about.data_centre);
    }
    catalogue::set_homes out;
    for (const data_centre_id& dc : places) {
        plan_homes_of(dc, out.changes);
    }
    if (!out.changes.empty()) {
        propose(out);
    }
}

void leader::plan_homes_of(const data_centre_id& dc, std::vector<catalogue::set_home>& out)
{
    const auto& state = shared_.state();
    const auto able = candidates(dc);
    if (able.empty()) {
        return;
    }
    const auto known = state.homes.find(dc);
    const std::vector<catalogue::home_record> records =
        known != state.homes.end()
            ? known->second
            : std::vector<catalogue::home_record>(catalogue::shards_per_data_centre);
    std::map<instance_id, std::uint32_t> load;
    for (const instance_id& id : able) {
        load[id] = 0;
    }
    for (const auto& r : records) {
        if (load.contains(r.home)) {
            ++load[r.home];
        }
    }
    const auto most = static_cast<std::uint32_t>((records.size() + able.size() - 1) / able.size());
    for (std::uint32_t shard = 0; shard < records.size(); ++shard) {
        const auto& r = records[shard];
        const bool vacant = r.home.empty() || !home_is_usable(r) || lapsed(r.home);
        if (vacant && vacant_for_sure(dc, shard, r)) {
            const auto next =
                std::ranges::min_element(load, {}, [](const auto& entry) { return entry.second; });
            ++next->second;
            out.push_back({dc, shard, next->first, state.members.at(next->first).life, r.epoch});
            continue;
        }
        const bool surplus = !vacant && (!load.contains(r.home) || load[r.home] > most);
        if (surplus && reports_now(r.home)) {
            // Released first; the next round finds it vacant and gives it out.
            if (load.contains(r.home)) {
                --load[r.home];
            }
            released_[{dc, shard}] = {r.home, shared_.control.replica().last_index() + 1};
            out.push_back({dc, shard, instance_id{}, 0, r.epoch});
        }
    }
}

bool leader::vacant_for_sure(const data_centre_id& dc, std::uint32_t shard,
                             const catalogue::home_record& record)
{
    const auto& replica = shared_.control.replica();
    if (!record.home.empty()) {
        return true;
    }
    const auto before = released_.find({dc, shard});
    if (before == released_.end()) {
        // Never had a home, or another leader released it: wait until any lease is over.
        return record.epoch == 0 || shared_.now() - led_since_ > stray_proof;
    }
    const instance_id& old = before->second.first;
    const auto p = replica.peers().find(old);
    const bool knows = old == shared_.self() ||
                       (p != replica.peers().end() && p->second.applied >= before->second.second);
    return knows || lapsed(old);
}

// ---- pools

planner::server_view leader::view_of(const catalogue::server_record& record) const
{
    const server_id& id = record.about.id;
    planner::server_view view;
    view.id = id;
    view.data_centre = record.about.data_centre;
    view.rack = record.about.rack;
    view.pool = record.pool;
    view.epoch = record.epoch;
    view.moving_to = record.moving_to;
    view.slots = record.about.slots;
    view.phase = shared_.state().phase_of(id);
    const auto known = uses_.find(id);
    if (known == uses_.end() || shared_.now() - known->second.at > report_lease) {
        return view;
    }
    const wire::server_use& use = known->second.use;
    view.running = use.running;
    view.alive = use.alive && !use.leaving && shared_.in_service(record.about.data_centre);
    view.drained = use.running == 0 && use.epoch == record.epoch;
    for (const auto& [wave, w] : shared_.state().waves) {
        const auto told = w.servers.find(id);
        if (told != w.servers.end() && told->second.phase == catalogue::wave_phase::may_stop) {
            view.restarted = use.life != told->second.life;
        }
    }
    return view;
}

void leader::feed_planner()
{
    const auto& state = shared_.state();
    const mono_time now = shared_.now();
    std::map<pool_id, planner::pool_rule> rules;
    for (const auto& [id, p] : state.doc.pools) {
        rules[id] = {p.least_servers, p.availability_budget, p.spare};
    }
    planner_.configure(rules);
    for (const auto& [id, record] : state.servers) {
        planner_.upsert(view_of(record), now);
    }
    std::map<pool_id, double> demand;
    for (const auto& [id, r] : reports_) {
        if (reports_now(id)) {
            for (const wire::pool_demand& d : r.report.demand) {
                demand[d.pool] += d.running + d.queued;
            }
        }
    }
    for (const auto& [pool, slots] : demand) {
        planner_.demand(pool, slots, now);
    }
    for (const auto& [id, w] : state.waves) {
        std::set<server_id> open;
        for (const auto& [server, s] : w.servers) {
            if (s.phase != catalogue::wave_phase::back) {
                open.insert(server);
            }
        }
        if (open.empty()) {
            planner_.end_wave(id);
        } else {
            planner_.set_wave(id, open);
        }
    }
}

void leader::act_on(const planner::decision& d)
{
    using catalogue::move_step;
    const std::string subject = "server/" + d.server.str();
    if (d.what == planner::action::wave_step) {
        const auto known = uses_.find(d.server);
        const auto phase = shared_.state().phase_of(d.server);
        const incarnation life = known == uses_.end() ? 0 : known->second.use.life;
        propose(catalogue::step_wave{
            d.wave, d.server, phase.value_or(catalogue::wave_phase::waiting), d.phase, life});
        shared_.decisions.note(subject, "maintenance: " + d.reason);
        return;
    }
    const bool drain = d.what == planner::action::drain;
    propose(catalogue::move_server{d.server, drain ? move_step::drain : move_step::assign, d.epoch,
                                   d.to});
    const std::string text =
        (drain ? "drains for pool '" : "joins pool '") + d.to.str() + "': " + d.reason;
    shared_.decisions.note(subject, text);
    shared_.decisions.note("pool/" + d.to.str(), "server " + d.server.str() + " " + text);
    shared_.counters.count(drain ? "moves" : "assignments");
}

void leader::forget_silent_servers()
{
    const mono_time now = shared_.now();
    for (const auto& [id, record] : shared_.state().servers) {
        const auto since = last_alive_.emplace(id, now).first;
        const auto known = uses_.find(id);
        if (known != uses_.end() && known->second.use.alive &&
            now - known->second.at < report_lease) {
            since->second = now;
        }
        if (now - since->second > forget_server_after && !shared_.state().phase_of(id)) {
            propose(catalogue::forget_server{id, record.epoch});
            planner_.erase(id);
        }
    }
}

void leader::plan_pools()
{
    forget_silent_servers();
    if (shared_.state().doc.pools.empty()) {
        return;
    }
    feed_planner();
    for (const planner::decision& d : planner_.step(shared_.now())) {
        act_on(d);
    }
}

// ---- allotments

void leader::allotment_round()
{
    std::map<instance_id, admission::holder_view> holders;
    for (const auto& [id, r] : reports_) {
        if (!reports_now(id)) {
            continue;
        }
        admission::holder_view view;
        view.life = r.report.life;
        view.is_home = !r.report.servers.empty() && !r.report.draining;
        for (const wire::allotment_use& use : r.report.allotments) {
            view.uses[use.team] = use;
        }
        holders.emplace(id, std::move(view));
    }
    const auto plan = admission::plan_allotments(shared_.state(), holders);
    for (const catalogue::set_allotment& change : plan.changes) {
        const auto key = std::pair{change.team, change.holder};
        const auto before = proposed_.find(key);
        if (before != proposed_.end() && before->second == change.expected_epoch + 1) {
            continue;
        }
        proposed_[key] = change.expected_epoch + 1;
        propose(change);
    }
    for (const admission::give_back& ask : plan.asks) {
        shared_.send(ask.holder, ask.ask);
    }
}

milliseconds leader::longest_run() const
{
    std::int64_t longest = 0;
    for (const auto& [id, s] : shared_.state().doc.services) {
        longest = std::max(longest, s.max_run_ms);
    }
    return milliseconds{longest};
}

void leader::plan_orphans()
{
    const mono_time now = shared_.now();
    std::set<std::pair<instance_id, incarnation>> ended;
    for (const catalogue::orphan& o : shared_.state().orphans) {
        ended.insert({o.holder, o.life});
    }
    for (const auto& who : ended) {
        const auto since = orphan_since_.emplace(who, now).first->second;
        if (now - since > longest_run() + shared_.control.replica().intervals().lease) {
            propose(catalogue::reclaim_allotments{who.first, who.second});
            orphan_since_[who] = now;
        }
    }
}

// ---- for answers

std::optional<wire::server_use> leader::use_of(const server_id& id) const
{
    const auto known = uses_.find(id);
    const bool alive = known != uses_.end() && known->second.use.alive &&
                       shared_.now() - known->second.at < report_lease;
    return alive ? std::optional{known->second.use} : std::nullopt;
}

std::uint32_t leader::running_of(const team_id& team) const
{
    std::uint32_t sum = 0;
    for (const auto& [from, r] : reports_) {
        for (const wire::allotment_use& use : r.report.allotments) {
            sum += use.team == team ? use.running : 0;
        }
    }
    return sum;
}

} // namespace fescue::node
