#include "leader_controller.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescue::node {

namespace {

constexpr milliseconds planning_period{100};
constexpr milliseconds allotment_period{50};
/** Minimum time between two allotment updates; waiting tasks and changed allotments trigger one
 * before allotment_period has passed. */
constexpr milliseconds min_allotment_interval{3};
constexpr milliseconds report_ttl{1500};
/** An unrouted announcement older than this does not show the current state. */
constexpr milliseconds unrouted_announcement_ttl{2500};
/** Waiting time after which a former home's lease on a server has expired, so that another instance
 * may take over. */
constexpr milliseconds home_lease_expiry_wait{3500};
/** A server that was not reported alive for this long is removed from the control state. */
constexpr milliseconds server_removal_timeout{600'000};
constexpr std::size_t max_voters = 5;
/** An instance at most this many log entries behind counts as caught up and may become a voter. */
constexpr log_index max_caught_up_lag = 64;

} // namespace

leader_controller::leader_controller(context& shared) : shared_{shared} {}

void leader_controller::propose(const catalogue::command& cmd)
{
    shared_.control.propose_here(cmd);
}

void leader_controller::hello_received(const wire::hello& who)
{
    hellos_[who.from] = who;
}

void leader_controller::disconnected(const instance_id& id)
{
    hellos_.erase(id);
    reports_.erase(id);
}

void leader_controller::received(const instance_id& from, const wire::instance_report& report)
{
    const mono_time now = shared_.now();
    reports_[from] = {report, now};
    for (const wire::server_usage& use : report.servers) {
        server_reports_[use.id] = {use, now};
    }
    for (const wire::announcement& info : report.unrouted_announcements) {
        const auto added =
            unrouted_announcements_.emplace(info.id, unrouted_announcement{info, now, now}).first;
        unrouted_announcement& s = added->second;
        if (now - s.last > unrouted_announcement_ttl) {
            s.first = now;
        }
        s.info = info;
        s.last = now;
    }
    const auto has_waiting_tasks = [](const wire::allotment_usage& u) { return u.waiting > 0; };
    if (std::ranges::any_of(report.allotments, has_waiting_tasks)) {
        allotments_due_ = true;
    }
}

void leader_controller::applied(const catalogue::command& cmd)
{
    if (std::holds_alternative<catalogue::set_allotment>(cmd)) {
        allotments_due_ = true;
    }
}

void leader_controller::tick()
{
    const auto& replica = shared_.control.replica();
    const mono_time now = shared_.now();
    if (!replica.settled()) {
        leading_ = false;
        return;
    }
    if (!leading_) {
        leading_ = true;
        leading_since_ = now;
        proposed_epochs_.clear();
        orphan_since_.clear();
        last_alive_.clear();
        planner_ = planner::engine{};
    }
    if (now - last_planning_round_ >= planning_period) {
        last_planning_round_ = now;
        run_planning_round();
    }
    const auto since = now - last_allotment_update_;
    if (since >= allotment_period || (allotments_due_ && since >= min_allotment_interval)) {
        last_allotment_update_ = now;
        allotments_due_ = false;
        update_allotments();
    }
}

void leader_controller::run_planning_round()
{
    update_membership();
    update_voters();
    register_servers();
    assign_homes();
    update_pools();
    reclaim_orphaned_allotments();
}

bool leader_controller::has_fresh_report(const instance_id& id) const
{
    const auto found = reports_.find(id);
    return found != reports_.end() && shared_.now() - found->second.at < report_ttl;
}

void leader_controller::update_membership()
{
    const auto& state = shared_.state();
    for (const auto& [id, who] : hellos_) {
        const auto known = state.members.find(id);
        if (known == state.members.end() || known->second.incarnation_id != who.incarnation_id) {
            propose(catalogue::register_instance{id, who.data_centre, who.incarnation_id,
                                                 who.disk != 0, who.callers_address,
                                                 who.control_address});
        }
    }
    for (const auto& [id, m] : state.members) {
        const bool is_gone = m.incarnation_id != 0 && !hellos_.contains(id) &&
                             authority_lapsed(id) &&
                             shared_.now() - leading_since_ > home_lease_expiry_wait;
        if (is_gone) {
            log::info("instance_removed", {{"instance", id.str()}});
            propose(catalogue::register_instance{id, m.data_centre, 0, m.has_disk,
                                                 m.callers_address, m.control_address});
        }
    }
}

bool leader_controller::unheard_by_neighbour(const instance_id& id) const
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
        const auto& not_heard = r.report.not_heard;
        if (neighbour && has_fresh_report(other) &&
            std::ranges::find(not_heard, id) != not_heard.end()) {
            return true;
        }
    }
    return false;
}

bool leader_controller::servers_announced_elsewhere(const instance_id& id) const
{
    const mono_time now = shared_.now();
    for (const auto& [server, s] : unrouted_announcements_) {
        const auto* record = shared_.state().find_home(s.info.data_centre, server);
        if (record != nullptr && record->home == id && now - s.last < unrouted_announcement_ttl &&
            s.last - s.first > home_lease_expiry_wait) {
            return true;
        }
    }
    return false;
}

bool leader_controller::authority_lapsed(const instance_id& id) const
{
    if (id == shared_.self()) {
        return false;
    }
    const auto known = shared_.state().members.find(id);
    if (known == shared_.state().members.end() || known->second.incarnation_id == 0) {
        return true;
    }
    const auto who = hellos_.find(id);
    if (who != hellos_.end() && who->second.incarnation_id != known->second.incarnation_id) {
        // The connected process has another incarnation, so the recorded one has ended.
        return true;
    }
    if (shared_.control.replica().may_hold_lease(id, shared_.now())) {
        return false;
    }
    // An instance that is partitioned together with its whole data centre may keep serving without
    // the leader's lease. It is not partitioned this way if a neighbour that receives no heartbeats
    // from it reports here, or if announcements of one of its servers arrive here.
    return unheard_by_neighbour(id) || servers_announced_elsewhere(id);
}

order_propagation leader_controller::propagation_of(log_index version) const
{
    order_propagation out;
    const auto& replica = shared_.control.replica();
    out.committed = version <= replica.applied();
    for (const auto& [id, m] : shared_.state().members) {
        if (id == shared_.self() || m.incarnation_id == 0) {
            continue;
        }
        const auto p = replica.peers().find(id);
        const bool has = p != replica.peers().end() && p->second.applied >= version;
        if (!has && !authority_lapsed(id)) {
            out.waiting_for.push_back(id);
        }
    }
    out.in_force = out.committed && out.waiting_for.empty();
    return out;
}

std::vector<consensus::voter> leader_controller::target_voters() const
{
    const auto& replica = shared_.control.replica();
    std::vector<std::pair<data_centre_id, consensus::voter>> eligible;
    for (const auto& [id, who] : hellos_) {
        const auto p = replica.peers().find(id);
        const bool self = id == shared_.self();
        const bool caught_up =
            self || (p != replica.peers().end() && p->second.disk == who.disk &&
                     p->second.match + max_caught_up_lag >= replica.last_index());
        if (who.disk != 0 && caught_up) {
            eligible.emplace_back(who.data_centre, consensus::voter{id, who.disk});
        }
    }
    // Picks from the data centre with the fewest picked voters; ties go to current voters, then to
    // the lowest id.
    std::vector<consensus::voter> out;
    std::map<data_centre_id, int> picked_per_data_centre;
    const auto& present = replica.voters();
    while (out.size() < max_voters && !eligible.empty()) {
        const auto next = std::ranges::min_element(eligible, {}, [&](const auto& a) {
            const auto t = picked_per_data_centre.find(a.first);
            return std::tuple{t == picked_per_data_centre.end() ? 0 : t->second,
                              !present.contains(a.second), a.second};
        });
        ++picked_per_data_centre[next->first];
        out.push_back(next->second);
        eligible.erase(next);
    }
    return out;
}

void leader_controller::update_voters()
{
    auto& replica = shared_.control.replica();
    const consensus::configuration present = replica.voters();
    const auto wanted = target_voters();
    const auto propose_change = [&](consensus::configuration next, const char* what,
                                    const consensus::voter& who) {
        if (replica.propose_configuration(next)) {
            log::info("voters_changed", {{what, who.id.str()}, {"voters", next.voters.size()}});
        }
    };
    for (const consensus::voter& v : present.voters) {
        const auto who = hellos_.find(v.id);
        if (who != hellos_.end() && who->second.disk != v.disk) {
            // The voter's disk was lost, and with it the votes and log entries that it had
            // confirmed.
            consensus::configuration next = present;
            std::erase(next.voters, v);
            propose_change(next, "disk_lost", v);
            return;
        }
    }
    for (const consensus::voter& v : wanted) {
        if (!present.contains(v) && present.voters.size() < max_voters) {
            consensus::configuration next = present;
            next.voters.push_back(v);
            propose_change(next, "added", v);
            return;
        }
    }
}

void leader_controller::register_servers()
{
    const mono_time now = shared_.now();
    std::erase_if(unrouted_announcements_, [now](const auto& s) {
        return now - s.second.last > unrouted_announcement_ttl * 2;
    });
    for (const auto& [id, s] : unrouted_announcements_) {
        if (!shared_.state_matches(s.info)) {
            propose(server_info_from(s.info));
        }
    }
}

std::vector<instance_id> leader_controller::home_candidates(const data_centre_id& dc) const
{
    std::vector<instance_id> local;
    std::vector<instance_id> any;
    for (const auto& [id, m] : shared_.state().members) {
        const auto who = hellos_.find(id);
        const bool usable = m.incarnation_id != 0 && who != hellos_.end() &&
                            who->second.incarnation_id == m.incarnation_id &&
                            has_fresh_report(id) && !reports_.at(id).report.draining;
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

bool leader_controller::home_is_current(const catalogue::home_record& record) const
{
    const auto known = shared_.state().members.find(record.home);
    return known != shared_.state().members.end() &&
           known->second.incarnation_id == record.incarnation_id;
}

void leader_controller::assign_homes()
{
    std::set<data_centre_id> data_centres;
    for (const auto& [id, s] : shared_.state().servers) {
        data_centres.insert(s.properties.data_centre);
    }
    catalogue::set_homes out;
    for (const data_centre_id& dc : data_centres) {
        assign_homes_in(dc, out.changes);
    }
    if (!out.changes.empty()) {
        propose(out);
    }
}

void leader_controller::assign_homes_in(const data_centre_id& dc,
                                        std::vector<catalogue::set_home>& out)
{
    const auto& state = shared_.state();
    const auto eligible = home_candidates(dc);
    if (eligible.empty()) {
        return;
    }
    const auto known = state.homes.find(dc);
    const std::vector<catalogue::home_record> records =
        known != state.homes.end()
            ? known->second
            : std::vector<catalogue::home_record>(catalogue::shards_per_data_centre);
    std::map<instance_id, std::uint32_t> load;
    for (const instance_id& id : eligible) {
        load[id] = 0;
    }
    for (const auto& r : records) {
        if (load.contains(r.home)) {
            ++load[r.home];
        }
    }
    const auto max_shards_per_home =
        static_cast<std::uint32_t>((records.size() + eligible.size() - 1) / eligible.size());
    for (std::uint32_t shard = 0; shard < records.size(); ++shard) {
        const auto& r = records[shard];
        const bool vacant = r.home.empty() || !home_is_current(r) || authority_lapsed(r.home);
        if (vacant && is_safely_vacant(dc, shard, r)) {
            const auto next =
                std::ranges::min_element(load, {}, [](const auto& entry) { return entry.second; });
            ++next->second;
            out.push_back(
                {dc, shard, next->first, state.members.at(next->first).incarnation_id, r.epoch});
            continue;
        }
        const bool surplus =
            !vacant && (!load.contains(r.home) || load[r.home] > max_shards_per_home);
        if (surplus && has_fresh_report(r.home)) {
            // The shard is released first; a later round finds it vacant and assigns it.
            if (load.contains(r.home)) {
                --load[r.home];
            }
            released_shards_[{dc, shard}] = {r.home, shared_.control.replica().last_index() + 1};
            out.push_back({dc, shard, instance_id{}, 0, r.epoch});
        }
    }
}

bool leader_controller::is_safely_vacant(const data_centre_id& dc, std::uint32_t shard,
                                         const catalogue::home_record& record)
{
    const auto& replica = shared_.control.replica();
    if (!record.home.empty()) {
        return true;
    }
    const auto before = released_shards_.find({dc, shard});
    if (before == released_shards_.end()) {
        // The shard never had a home (epoch 0), or an earlier leader released it. In the second
        // case any lease on it must have expired first.
        return record.epoch == 0 || shared_.now() - leading_since_ > home_lease_expiry_wait;
    }
    const instance_id& old = before->second.first;
    const auto p = replica.peers().find(old);
    const bool has_applied_release =
        old == shared_.self() ||
        (p != replica.peers().end() && p->second.applied >= before->second.second);
    return has_applied_release || authority_lapsed(old);
}

planner::server_view leader_controller::view_of(const catalogue::server_record& record) const
{
    const server_id& id = record.properties.id;
    planner::server_view view;
    view.id = id;
    view.data_centre = record.properties.data_centre;
    view.rack = record.properties.rack;
    view.pool = record.pool;
    view.epoch = record.epoch;
    view.moving_to = record.moving_to;
    view.slots = record.properties.slots;
    view.phase = shared_.state().find_wave_phase(id);
    const auto known = server_reports_.find(id);
    if (known == server_reports_.end() || shared_.now() - known->second.at > report_ttl) {
        return view;
    }
    const wire::server_usage& use = known->second.use;
    view.running = use.running;
    view.alive = use.alive && !use.leaving && shared_.in_service(record.properties.data_centre);
    view.drained = use.running == 0 && use.epoch == record.epoch;
    for (const auto& [wave, w] : shared_.state().waves) {
        const auto recorded = w.servers.find(id);
        if (recorded != w.servers.end() &&
            recorded->second.phase == catalogue::wave_phase::may_stop) {
            view.restarted = use.incarnation_id != recorded->second.incarnation_id;
        }
    }
    return view;
}

void leader_controller::update_planner()
{
    const auto& state = shared_.state();
    const mono_time now = shared_.now();
    std::map<pool_id, planner::pool_rule> rules;
    for (const auto& [id, p] : state.doc.pools) {
        rules[id] = {p.min_servers, p.availability_budget, p.spare};
    }
    planner_.configure(rules);
    for (const auto& [id, record] : state.servers) {
        planner_.upsert(view_of(record), now);
    }
    std::map<pool_id, double> demand;
    for (const auto& [id, r] : reports_) {
        if (has_fresh_report(id)) {
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

void leader_controller::apply_decision(const planner::decision& d)
{
    using catalogue::move_step;
    const std::string subject = "server/" + d.server.str();
    if (d.what == planner::action::wave_step) {
        const auto known = server_reports_.find(d.server);
        const auto phase = shared_.state().find_wave_phase(d.server);
        const incarnation incarnation_id =
            known == server_reports_.end() ? 0 : known->second.use.incarnation_id;
        propose(catalogue::step_wave{d.wave, d.server,
                                     phase.value_or(catalogue::wave_phase::waiting), d.phase,
                                     incarnation_id});
        shared_.decisions.record(subject, "maintenance: " + d.reason);
        return;
    }
    const bool drain = d.what == planner::action::drain;
    propose(catalogue::move_server{d.server, drain ? move_step::drain : move_step::assign, d.epoch,
                                   d.to});
    const std::string text =
        (drain ? "drains for pool '" : "joins pool '") + d.to.str() + "': " + d.reason;
    shared_.decisions.record(subject, text);
    shared_.decisions.record("pool/" + d.to.str(), "server " + d.server.str() + " " + text);
    shared_.counters.count(drain ? "moves" : "assignments");
}

void leader_controller::remove_unresponsive_servers()
{
    const mono_time now = shared_.now();
    for (const auto& [id, record] : shared_.state().servers) {
        const auto since = last_alive_.emplace(id, now).first;
        const auto known = server_reports_.find(id);
        if (known != server_reports_.end() && known->second.use.alive &&
            now - known->second.at < report_ttl) {
            since->second = now;
        }
        if (now - since->second > server_removal_timeout && !shared_.state().find_wave_phase(id)) {
            propose(catalogue::remove_server{id, record.epoch});
            planner_.erase(id);
        }
    }
}

void leader_controller::update_pools()
{
    remove_unresponsive_servers();
    if (shared_.state().doc.pools.empty()) {
        return;
    }
    update_planner();
    for (const planner::decision& d : planner_.step(shared_.now())) {
        apply_decision(d);
    }
}

void leader_controller::update_allotments()
{
    std::map<instance_id, admission::holder_view> holders;
    for (const auto& [id, r] : reports_) {
        if (!has_fresh_report(id)) {
            continue;
        }
        admission::holder_view view;
        view.incarnation_id = r.report.incarnation_id;
        view.is_home = !r.report.servers.empty() && !r.report.draining;
        for (const wire::allotment_usage& use : r.report.allotments) {
            view.uses[use.team] = use;
        }
        holders.emplace(id, std::move(view));
    }
    const auto plan = admission::plan_allotments(shared_.state(), holders);
    for (const catalogue::set_allotment& change : plan.changes) {
        const auto key = std::pair{change.team, change.holder};
        const auto before = proposed_epochs_.find(key);
        if (before != proposed_epochs_.end() && before->second == change.expected_epoch + 1) {
            continue;
        }
        proposed_epochs_[key] = change.expected_epoch + 1;
        propose(change);
    }
    for (const admission::holder_release& ask : plan.release_requests) {
        shared_.send(ask.holder, ask.request);
    }
}

milliseconds leader_controller::max_task_run_time() const
{
    std::int64_t longest = 0;
    for (const auto& [id, s] : shared_.state().doc.services) {
        longest = std::max(longest, s.max_run_ms);
    }
    return milliseconds{longest};
}

void leader_controller::reclaim_orphaned_allotments()
{
    const mono_time now = shared_.now();
    std::set<std::pair<instance_id, incarnation>> ended;
    for (const catalogue::orphaned_allotment& o : shared_.state().orphaned_allotments) {
        ended.insert({o.holder, o.incarnation_id});
    }
    for (const auto& who : ended) {
        const auto since = orphan_since_.emplace(who, now).first->second;
        if (now - since > max_task_run_time() + shared_.control.replica().intervals().lease) {
            propose(catalogue::release_orphaned_allotments{who.first, who.second});
            orphan_since_[who] = now;
        }
    }
}

std::optional<wire::server_usage> leader_controller::usage_of(const server_id& id) const
{
    const auto known = server_reports_.find(id);
    const bool alive = known != server_reports_.end() && known->second.use.alive &&
                       shared_.now() - known->second.at < report_ttl;
    return alive ? std::optional{known->second.use} : std::nullopt;
}

std::uint32_t leader_controller::running_tasks_of(const team_id& team) const
{
    std::uint32_t total = 0;
    for (const auto& [from, r] : reports_) {
        for (const wire::allotment_usage& use : r.report.allotments) {
            total += use.team == team ? use.running : 0;
        }
    }
    return total;
}

} // namespace fescue::node
