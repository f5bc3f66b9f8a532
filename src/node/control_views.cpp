#include "control_views.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace fescue::node {

namespace {

using nlohmann::json;

const char* name_of(catalogue::wave_phase phase)
{
    constexpr std::array<const char*, 4> names{"waiting", "draining", "may_stop", "back"};
    return names[static_cast<std::size_t>(phase)];
}

json decisions_json(const decision_log& decisions, const std::string& subject)
{
    json out = json::array();
    for (const decision& d : decisions.about(subject)) {
        out.push_back({{"at_ms", d.at}, {"text", d.text}});
    }
    return out;
}

json instances_json(const context& shared, const leader_controller& controller)
{
    const auto& state = shared.state();
    const auto& replica = shared.control.replica();
    const auto& voters = replica.voters().voters;
    json out = json::array();
    for (const auto& [id, m] : state.members) {
        const auto p = replica.peers().find(id);
        const bool self = id == shared.self();
        const log_index peer_applied = p == replica.peers().end() ? 0 : p->second.applied;
        const auto has_this_id = [&id = id](const consensus::voter& v) { return v.id == id; };
        out.push_back(
            {{"id", id.str()},
             {"data_centre", m.data_centre.str()},
             {"reachable", self || (m.incarnation_id != 0 && !controller.authority_lapsed(id))},
             {"voter", std::ranges::any_of(voters, has_this_id)},
             {"applied", self ? state.applied : peer_applied}});
    }
    return out;
}

json teams_json(const context& shared, const leader_controller& controller)
{
    const auto& state = shared.state();
    json out = json::array();
    for (const auto& [id, t] : state.doc.teams) {
        json caps = json::object();
        if (const auto a = state.allotments.find(id); a != state.allotments.end()) {
            for (const auto& [holder, allotment] : a->second) {
                caps[holder.str()] = allotment.cap;
            }
        }
        out.push_back({{"id", id.str()},
                       {"share", t.share},
                       {"upper_limit", t.upper_limit},
                       {"running", controller.running_tasks_of(id)},
                       {"counted", state.counted(id)},
                       {"allotments", caps}});
    }
    return out;
}

json servers_json(const context& shared, const leader_controller& controller)
{
    const auto& state = shared.state();
    json out = json::array();
    for (const auto& [id, s] : state.servers) {
        const auto use = controller.usage_of(id);
        const auto* home = state.find_home(s.properties.data_centre, id);
        json entry{{"id", id.str()},
                   {"pool", s.pool.str()},
                   {"epoch", s.epoch},
                   {"data_centre", s.properties.data_centre.str()},
                   {"rack", s.properties.rack.str()},
                   {"home", home == nullptr ? "" : home->home.str()},
                   {"alive", use.has_value()},
                   {"running", use ? use->running : 0},
                   {"leaving", use && use->leaving},
                   {"on_probation", use && use->on_probation}};
        if (s.moving_to) {
            entry["moving_to"] = s.moving_to->str();
        }
        out.push_back(std::move(entry));
    }
    return out;
}

/** Totals over the servers of one pool. */
struct pool_totals {
    std::uint32_t servers{0};
    std::uint32_t alive{0};
    std::uint32_t slots{0};
    std::uint32_t running{0};
};

json pools_json(const context& shared, const leader_controller& controller)
{
    const auto& state = shared.state();
    std::map<pool_id, pool_totals> totals_by_pool;
    for (const auto& [id, s] : state.servers) {
        pool_totals& totals = totals_by_pool[s.pool];
        ++totals.servers;
        if (const auto use = controller.usage_of(id)) {
            ++totals.alive;
            totals.slots += s.properties.slots;
            totals.running += use->running;
        }
    }
    json out = json::array();
    for (const auto& [id, p] : state.doc.pools) {
        const pool_totals& totals = totals_by_pool[id];
        out.push_back({{"id", id.str()},
                       {"servers", totals.servers},
                       {"alive", totals.alive},
                       {"slots", totals.slots},
                       {"running", totals.running},
                       {"spare", p.spare},
                       {"least_servers", p.min_servers},
                       {"availability_budget", p.availability_budget},
                       {"wanted", controller.pool_planner().target_servers(id)},
                       {"away", controller.pool_planner().unavailable_servers(id)}});
    }
    return out;
}

json spare_capacity_json(const context& shared, const leader_controller& controller)
{
    const planner::spare_capacity b = controller.pool_planner().current_spare_capacity();
    return {{"wanted", b.target_servers},
            {"alive", b.alive},
            {"needed_to_survive_a_data_centre", b.needed_for_data_centre},
            {"needed_to_survive_a_rack", b.needed_for_rack},
            {"price", b.servers_beyond_demand()},
            {"covered", b.is_sufficient()},
            {"storm", controller.pool_planner().in_storm(shared.now())}};
}

} // namespace

std::string wave_json(const wave_id& id, const catalogue::wave& w)
{
    json servers = json::object();
    std::array<std::size_t, 4> counts{};
    for (const auto& [server, s] : w.servers) {
        servers[server.str()] = name_of(s.phase);
        ++counts[static_cast<std::size_t>(s.phase)];
    }
    const json body{{"id", id.str()},
                    {"action", w.action == catalogue::wave_action::reboot ? "reboot" : "drain"},
                    {"servers", servers},
                    {"waiting", counts[0]},
                    {"draining", counts[1]},
                    {"may_stop", counts[2]},
                    {"back", counts[3]},
                    {"done", counts[3] == w.servers.size()}};
    return body.dump();
}

std::string merge_explanations(const std::string& remote_body, const decision_log& decisions,
                               const std::string& subject)
{
    json body = json::parse(remote_body, nullptr, false);
    if (body.is_discarded() || !body.contains("decisions")) {
        return remote_body;
    }
    auto list = body["decisions"].get<std::vector<json>>();
    const auto local_decisions = decisions_json(decisions, subject);
    list.insert(list.end(), local_decisions.begin(), local_decisions.end());
    std::ranges::stable_sort(list, {}, [](const json& d) { return d.at("at_ms").get<wall_ms>(); });
    body["decisions"] = list;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string explain_json(const decision_log& decisions, const std::string& subject)
{
    return json{{"subject", subject}, {"decisions", decisions_json(decisions, subject)}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

std::string status_json(const context& shared, const leader_controller& controller)
{
    const auto& state = shared.state();
    const auto& replica = shared.control.replica();
    json waves = json::array();
    for (const auto& [id, w] : state.waves) {
        waves.push_back(json::parse(wave_json(id, w)));
    }
    json data_centres = json::array();
    for (const auto& [id, d] : state.doc.data_centres) {
        data_centres.push_back({{"id", id.str()}, {"in_service", d.in_service}});
    }
    const json out{{"leader", replica.leader().str()},
                   {"term", replica.term()},
                   {"version", state.applied},
                   {"catalogue_version", state.catalogue_version},
                   {"instances", instances_json(shared, controller)},
                   {"teams", teams_json(shared, controller)},
                   {"pools", pools_json(shared, controller)},
                   {"servers", servers_json(shared, controller)},
                   {"buffers", spare_capacity_json(shared, controller)},
                   {"waves", waves},
                   {"data_centres", data_centres}};
    return out.dump();
}

} // namespace fescue::node
