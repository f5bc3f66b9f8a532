#include "views.h"

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

json decisions_about(const decision_log& decisions, const std::string& subject)
{
    json out = json::array();
    for (const decision& d : decisions.about(subject)) {
        out.push_back({{"at_ms", d.at}, {"text", d.text}});
    }
    return out;
}

json instances_of(const context& shared, const leader& lead)
{
    const auto& state = shared.state();
    const auto& replica = shared.control.replica();
    const auto& voters = replica.voters().voters;
    json out = json::array();
    for (const auto& [id, m] : state.members) {
        const auto p = replica.peers().find(id);
        const bool self = id == shared.self();
        const log_index peer_applied = p == replica.peers().end() ? 0 : p->second.applied;
        const auto is_this = [&id = id](const consensus::voter& v) { return v.id == id; };
        out.push_back({{"id", id.str()},
                       {"data_centre", m.data_centre.str()},
                       {"reachable", self || (m.life != 0 && !lead.lapsed(id))},
                       {"voter", std::ranges::any_of(voters, is_this)},
                       {"applied", self ? state.applied : peer_applied}});
    }
    return out;
}

json teams_of(const context& shared, const leader& lead)
{
    const auto& state = shared.state();
    json out = json::array();
    for (const auto& [id, t] : state.doc.teams) {
        json held = json::object();
        if (const auto a = state.allotments.find(id); a != state.allotments.end()) {
            for (const auto& [holder, allotment] : a->second) {
                held[holder.str()] = allotment.cap;
            }
        }
        out.push_back({{"id", id.str()},
                       {"share", t.share},
                       {"upper_limit", t.upper_limit},
                       {"running", lead.running_of(id)},
                       {"counted", state.counted(id)},
                       {"allotments", held}});
    }
    return out;
}

json servers_of(const context& shared, const leader& lead)
{
    const auto& state = shared.state();
    json out = json::array();
    for (const auto& [id, s] : state.servers) {
        const auto use = lead.use_of(id);
        const auto* home = state.home_of(s.about.data_centre, id);
        json entry{{"id", id.str()},
                   {"pool", s.pool.str()},
                   {"epoch", s.epoch},
                   {"data_centre", s.about.data_centre.str()},
                   {"rack", s.about.rack.str()},
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

/** What the servers of one pool come to. */
struct pool_sum {
    std::uint32_t servers{0};
    std::uint32_t alive{0};
    std::uint32_t slots{0};
    std::uint32_t running{0};
};

json pools_of(const context& shared, const leader& lead)
{
    const auto& state = shared.state();
    std::map<pool_id, pool_sum> sums;
    for (const auto& [id, s] : state.servers) {
        pool_sum& sum = sums[s.pool];
        ++sum.servers;
        if (const auto use = lead.use_of(id)) {
            ++sum.alive;
            sum.slots += s.about.slots;
            sum.running += use->running;
        }
    }
    json out = json::array();
    for (const auto& [id, p] : state.doc.pools) {
        const pool_sum& sum = sums[id];
        out.push_back({{"id", id.str()},
                       {"servers", sum.servers},
                       {"alive", sum.alive},
                       {"slots", sum.slots},
                       {"running", sum.running},
                       {"spare", p.spare},
                       {"least_servers", p.least_servers},
                       {"availability_budget", p.availability_budget},
                       {"wanted", lead.plans().wanted(id)},
                       {"away", lead.plans().away(id)}});
    }
    return out;
}

json buffers_of(const context& shared, const leader& lead)
{
    const planner::buffer_view b = lead.plans().buffers();
    return {{"wanted", b.wanted},
            {"alive", b.alive},
            {"needed_to_survive_a_data_centre", b.needed_for_data_centre},
            {"needed_to_survive_a_rack", b.needed_for_rack},
            {"price", b.price()},
            {"covered", b.covered()},
            {"storm", lead.plans().in_storm(shared.now())}};
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

std::string merge_explained(const std::string& theirs, const decision_log& decisions,
                            const std::string& subject)
{
    json body = json::parse(theirs, nullptr, false);
    if (body.is_discarded() || !body.contains("decisions")) {
        return theirs;
    }
    auto list = body["decisions"].get<std::vector<json>>();
    const auto ours = decisions_about(decisions, subject);
    list.insert(list.end(), ours.begin(), ours.end());
    std::ranges::stable_sort(list, {}, [](const json& d) { return d.at("at_ms").get<wall_ms>(); });
    body["decisions"] = list;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string explain_json(const decision_log& decisions, const std::string& subject)
{
    return json{{"subject", subject}, {"decisions", decisions_about(decisions, subject)}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

std::string status_json(const context& shared, const leader& lead)
{
    const auto& state = shared.state();
    const auto& replica = shared.control.replica();
    json waves = json::array();
    for (const auto& [id, w] : state.waves) {
        waves.push_back(json::parse(wave_json(id, w)));
    }
    json places = json::array();
    for (const auto& [id, d] : state.doc.data_centres) {
        places.push_back({{"id", id.str()}, {"in_service", d.in_service}});
    }
    const json out{{"leader", replica.leader().str()},
                   {"term", replica.term()},
                   {"version", state.applied},
                   {"catalogue_version", state.catalogue_version},
                   {"instances", instances_of(shared, lead)},
                   {"teams", teams_of(shared, lead)},
                   {"pools", pools_of(shared, lead)},
                   {"servers", servers_of(shared, lead)},
                   {"buffers", buffers_of(shared, lead)},
                   {"waves", waves},
                   {"data_centres", places}};
    return out.dump();
}

} // namespace fescue::node
