#include "api.h"

#include "answers.h"
#include "views.h"

#include "fescuestream/admission/caller_key.h"
#include "fescuestream/base/log.h"
#include "fescuestream/dispatch/server_table.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace fescue::node {

namespace {

using nlohmann::json;

constexpr milliseconds call_patience{4000};
constexpr milliseconds commit_patience{3500};
/** How long an order's answer waits for the order to be in force everywhere. */
constexpr milliseconds spread_patience{500};
constexpr std::int64_t most_count = 1'000'000'000;
constexpr std::int64_t most_slots = 100'000;
/** Instances named to a server, its own data centre's first. */
constexpr std::ptrdiff_t most_entries = 8;

bool starts(const std::string& path, std::string_view prefix)
{
    return path.starts_with(prefix);
}

std::string after(const std::string& path, std::string_view prefix)
{
    return path.substr(prefix.size());
}

http::response order_refusal(const error& e)
{
    return refusal(e.kind, e.detail);
}

std::optional<log_index> parse_version(std::string text)
{
    std::erase(text, '"');
    log_index out = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (text.empty() || fault != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return out;
}

json to_json(const std::vector<instance_id>& ids)
{
    json out = json::array();
    for (const instance_id& id : ids) {
        out.push_back(id.str());
    }
    return out;
}

result<wire::announcement> parse_announcement(const std::string& id, const std::string& body)
{
    fescue::json::faults faults;
    const auto parsed = fescue::json::parse(body, faults);
    wire::announcement out;
    if (!parsed) {
        return error{error_kind::bad_request, fescue::json::to_text(faults)};
    }
    fescue::json::object_reader reader{*parsed, "", faults};
    const auto count = [&](const char* field, std::int64_t most, std::int64_t fallback) {
        return static_cast<std::uint32_t>(reader.number(field, {0, most}, fallback));
    };
    out.id = server_id{id};
    out.address = reader.text("address");
    out.data_centre = data_centre_id{reader.name("data_centre")};
    out.rack = rack_id{reader.name("rack", "")};
    out.life = static_cast<incarnation>(reader.number("incarnation", {0, INT64_MAX}));
    out.slots = count("slots", most_slots, 8);
    out.connections = count("connections", most_slots, 64);
    out.processors = count("processors", most_count, 0);
    out.memory_mb = count("memory_mb", most_count, 0);
    out.accelerators = count("accelerators", most_count, 0);
    for (const std::string& running : reader.texts("running")) {
        out.running.emplace_back(running);
    }
    out.leaving = reader.flag("leaving", false);
    reader.finish();
    if (!out.address.empty() && !ok(http::parse_endpoint(out.address))) {
        faults.push_back({"address", "must be IP:PORT"});
    }
    if (!fescue::json::is_name(id)) {
        faults.push_back({"id", "is not a name"});
    }
    if (!faults.empty()) {
        return error{error_kind::bad_request, fescue::json::to_text(faults)};
    }
    return out;
}

} // namespace

api::api(context& shared, leader& lead, api_events events)
    : shared_{shared}, leader_{lead}, events_{std::move(events)}
{
}

std::string api::issuing_secret() const
{
    const std::string& secret = shared_.settings.cluster_secret;
    if (!secret.empty()) {
        return secret;
    }
    // Loopback only: settings refuse any other address without a cluster secret.
    return std::to_string(shared_.control.replica().voters().cluster);
}

// ---- who calls

bool api::is_operator(const http::request& in) const
{
    const std::string& token = shared_.settings.operator_token;
    const auto given = in.bearer();
    return token.empty() || (given && admission::same_secret(*given, token));
}

bool api::is_server(const http::request& in) const
{
    const std::string& token = shared_.settings.server_token;
    const auto given = in.bearer();
    return token.empty() || (given && admission::same_secret(*given, token));
}

void api::take(http::exchange_id exchange, http::request&& in)
{
    const auto respond = [this, exchange](http::response&& r) {
        control_->respond(exchange, std::move(r));
    };
    if (in.path == "/healthz") {
        respond(json_answer(200, R"({"alive":true})"));
        return;
    }
    if (in.path == "/metrics" && in.method == "GET") {
        respond({200, "text/plain; version=0.0.4", shared_.counters.render(), {}});
        return;
    }
    if (starts(in.path, "/v1/servers/") && in.method == "POST") {
        take_announcement(exchange, in);
        return;
    }
    const bool platform = starts(in.path, "/v1/maintenance");
    const bool server_token_set = !shared_.settings.server_token.empty();
    if (!is_operator(in) && !(platform && server_token_set && is_server(in))) {
        respond(refusal(error_kind::not_permitted, "Authorization: Bearer TOKEN"));
        return;
    }
    if (in.path == "/v1/form" && in.method == "POST") {
        take_form(exchange);
        return;
    }
    wire::control_call call;
    call.method = std::move(in.method);
    call.path = std::move(in.path);
    call.body = std::move(in.body);
    call.idempotency_key = in.idempotency_key.value_or("");
    call.if_match = in.if_match.value_or("");
    if (platform && call.idempotency_key.empty()) {
        call.idempotency_key = "platform-" + admission::new_key_id().str();
    }
    constexpr std::string_view explain_request = "/v1/explain/request/";
    if (starts(call.path, explain_request)) {
        // The instance that took the request has its records; its name starts the id.
        std::string id = after(call.path, explain_request);
        id = id.substr(0, id.rfind('-'));
        hand_to(instance_id{id.substr(0, id.rfind('-'))}, std::move(call), respond);
        return;
    }
    constexpr std::string_view explain_any = "/v1/explain/";
    const bool elsewhere = !shared_.control.replica().is_leader();
    if (starts(call.path, explain_any) && elsewhere) {
        // The leader has its own decisions, this instance those about its requests.
        const std::string subject = after(call.path, explain_any);
        hand_on(std::move(call), [this, respond, subject](http::response&& r) {
            r.body = merge_explained(r.body, shared_.decisions, subject);
            respond(std::move(r));
        });
        return;
    }
    hand_on(std::move(call), respond);
}

// ---- to the leader

void api::hand_on(wire::control_call&& call, responder respond)
{
    call.number = next_call_++;
    waiting_call w{std::move(call), std::move(respond), {}, shared_.now() + call_patience};
    calls_.emplace(w.call.number, std::move(w));
    tick();
}

void api::hand_to(const instance_id& to, wire::control_call&& call, responder respond)
{
    if (to == shared_.self() || !shared_.state().members.contains(to)) {
        handle(call, std::move(respond));
        return;
    }
    call.number = next_call_++;
    const auto number = call.number;
    shared_.send(to, call);
    calls_.emplace(number, waiting_call{std::move(call), std::move(respond), to,
                                        shared_.now() + call_patience});
}

void api::tick()
{
    const mono_time now = shared_.now();
    const auto& replica = shared_.control.replica();
    std::vector<std::uint64_t> here;
    std::vector<std::uint64_t> over;
    for (auto& [number, w] : calls_) {
        const bool for_leader = !starts(w.call.path, "/v1/explain/request/");
        if (now >= w.give_up) {
            over.push_back(number);
        } else if (for_leader && replica.settled()) {
            here.push_back(number);
        } else if (for_leader && !replica.leader().empty() && w.sent_to != replica.leader() &&
                   replica.leader() != shared_.self()) {
            auto copy = w.call;
            if (shared_.send(replica.leader(), std::move(copy))) {
                w.sent_to = replica.leader();
            }
        }
    }
    for (const std::uint64_t number : here) {
        auto node = calls_.extract(number);
        handle(node.mapped().call, std::move(node.mapped().respond));
    }
    for (const std::uint64_t number : over) {
        const auto node = calls_.extract(number);
        no_leader(node.mapped());
    }
    for (auto order = orders_.begin(); order != orders_.end();) {
        const spread how = leader_.spread_of(order->outcome.version);
        if (how.in_force || now >= order->give_up) {
            respond_order(*order, how);
            order = orders_.erase(order);
        } else {
            ++order;
        }
    }
    propose_local_restrictions();
}

void api::received(const instance_id& from, wire::control_call&& call)
{
    const auto number = call.number;
    const auto respond = [this, from, number](http::response&& r) {
        shared_.send(from, wire::control_reply{number, r.status, r.content_type, r.body});
    };
    const bool is_read = starts(call.path, "/v1/explain/request/");
    if (is_read || shared_.control.replica().settled()) {
        handle(call, respond);
    }
    // A former leader says nothing: the caller's instance sends it to the next one.
}

void api::received(const wire::control_reply& reply)
{
    auto node = calls_.extract(reply.number);
    if (!node.empty()) {
        node.mapped().respond({reply.status, reply.content_type, reply.body, {}});
    }
}

// ---- cut off from the leader

void api::no_leader(const waiting_call& call)
{
    if (restrict_here(call.call)) {
        log::warning("restricted_here", {{"path", call.call.path}});
        local_.push_back(call.call);
        const json body{{"committed", false},
                        {"in_force", false},
                        {"in_force_here", true},
                        {"waiting_for", json::array()}};
        call.respond(json_answer(202, body.dump()));
        return;
    }
    call.respond(refusal(error_kind::no_leader, "", call.call.method != "GET"));
}

bool api::restrict_here(const wire::control_call& call)
{
    constexpr std::string_view keys = "/v1/keys/";
    constexpr std::string_view places = "/v1/data-centres/";
    if (call.method == "DELETE" && starts(call.path, keys)) {
        const key_id id{after(call.path, keys)};
        if (!shared_.state().keys.contains(id)) {
            return false;
        }
        shared_.restrictions.withdrawn_keys.insert(id);
    } else if (call.method == "POST" && starts(call.path, places) && call.path.ends_with("/out")) {
        const std::string rest = after(call.path, places);
        shared_.restrictions.out_of_service.insert(data_centre_id{rest.substr(0, rest.find('/'))});
    } else {
        return false;
    }
    events_.restrictions_changed();
    return true;
}

void api::propose_local_restrictions()
{
    const auto& replica = shared_.control.replica();
    if (local_.empty() || replica.leader().empty()) {
        return;
    }
    auto calls = std::move(local_);
    local_.clear();
    for (wire::control_call& call : calls) {
        auto again = call;
        hand_on(std::move(call), [this, again](http::response&& r) {
            const bool settled =
                r.status < 500 && r.body.find("in_force_here") == std::string::npos;
            if (settled) {
                constexpr std::string_view keys = "/v1/keys/";
                if (starts(again.path, keys)) {
                    shared_.restrictions.withdrawn_keys.erase(key_id{after(again.path, keys)});
                } else {
                    shared_.restrictions.out_of_service.clear();
                }
                events_.restrictions_changed();
            }
        });
    }
}

// ---- announcements and forming

void api::take_announcement(http::exchange_id exchange, const http::request& in)
{
    if (!is_server(in)) {
        control_->respond(exchange,
                          refusal(error_kind::not_permitted, "Authorization: Bearer TOKEN"));
        return;
    }
    const auto info = parse_announcement(after(in.path, "/v1/servers/"), in.body);
    if (!ok(info)) {
        control_->respond(exchange, refusal(error_of(info).kind, error_of(info).detail));
        return;
    }
    events_.announced(value(info));
    control_->respond(exchange, json_answer(200, announcement_answer(value(info))));
}

std::string api::announcement_answer(const wire::announcement& info) const
{
    json out{{"pool", ""}, {"epoch", 0}, {"lease_ms", dispatch::server_lease.count()}};
    const auto& state = shared_.state();
    const auto known = state.servers.find(info.id);
    if (known != state.servers.end()) {
        out["pool"] = known->second.pool.str();
        out["epoch"] = known->second.epoch;
    }
    json near = json::array();
    json far = json::array();
    for (const auto& [id, m] : state.members) {
        if (m.life != 0 && !m.control_address.empty()) {
            (m.data_centre == info.data_centre ? near : far).push_back(m.control_address);
        }
    }
    near.insert(near.end(), far.begin(), far.end());
    if (std::ssize(near) > most_entries) {
        near.erase(near.begin() + most_entries, near.end());
    }
    out["entries"] = near;
    return out.dump();
}

void api::take_form(http::exchange_id exchange)
{
    if (const auto fault = events_.form()) {
        control_->respond(exchange, order_refusal(*fault));
        return;
    }
    control_->respond(exchange, json_answer(200, R"({"formed":true})"));
}

// ---- on the leader

void api::handle(const wire::control_call& call, responder respond)
{
    const bool is_get = call.method == "GET";
    if (is_get) {
        handle_read(call, respond);
        return;
    }
    if (call.idempotency_key.empty()) {
        respond(refusal(error_kind::bad_request, "an order needs an Idempotency-Key"));
    } else if (call.method == "PUT" && call.path == "/v1/catalogue") {
        put_catalogue(call, std::move(respond));
    } else if (call.method == "POST" && call.path == "/v1/keys") {
        give_key(call, std::move(respond));
    } else if (call.method == "DELETE" && starts(call.path, "/v1/keys/")) {
        withdraw_key(call, std::move(respond));
    } else if (call.method == "POST" && starts(call.path, "/v1/data-centres/")) {
        set_data_centre(call, std::move(respond));
    } else if (call.method == "POST" && call.path == "/v1/maintenance") {
        start_wave(call, std::move(respond));
    } else {
        respond(refusal(error_kind::not_found, call.method + " " + call.path));
    }
}

void api::handle_read(const wire::control_call& call, const responder& respond)
{
    const auto& state = shared_.state();
    constexpr std::string_view orders = "/v1/orders/";
    constexpr std::string_view waves = "/v1/maintenance/";
    constexpr std::string_view explain = "/v1/explain/";
    if (call.path == "/v1/catalogue") {
        respond(
            json_answer(200, fmt::format(R"({{"version":{},"catalogue":{}}})",
                                         state.catalogue_version, catalogue::to_json(state.doc))));
    } else if (call.path == "/v1/status") {
        respond(json_answer(200, status_json(shared_, leader_)));
    } else if (starts(call.path, orders)) {
        const auto version = parse_version(after(call.path, orders));
        const spread how = version ? leader_.spread_of(*version) : spread{};
        if (!version || !how.committed) {
            respond(refusal(error_kind::not_found, "no order has that version"));
            return;
        }
        const json body{{"version", *version},
                        {"committed", true},
                        {"in_force", how.in_force},
                        {"waiting_for", to_json(how.waiting_for)}};
        respond(json_answer(200, body.dump()));
    } else if (starts(call.path, waves)) {
        const wave_id id{after(call.path, waves)};
        const auto found = state.waves.find(id);
        if (found == state.waves.end()) {
            respond(refusal(error_kind::not_found, "no wave has that id"));
            return;
        }
        respond(json_answer(200, wave_json(id, found->second)));
    } else if (starts(call.path, explain)) {
        respond(json_answer(200, explain_json(shared_.decisions, after(call.path, explain))));
    } else {
        respond(refusal(error_kind::not_found, call.method + " " + call.path));
    }
}

void api::order(const wire::control_call& call, catalogue::order_action action, std::string made_as,
                responder respond)
{
    catalogue::order cmd;
    cmd.id = order_id{call.idempotency_key};
    cmd.fingerprint = catalogue::stable_hash(call.method + "\n" + call.path + "\n" + call.if_match +
                                             "\n" + call.body);
    cmd.action = std::move(action);
    const mono_time since = shared_.now();
    shared_.control.propose(
        cmd, commit_patience,
        [this, made_as = std::move(made_as), since, respond](const apply_outcome& outcome) {
            ordered(outcome, made_as, since, respond);
        });
}

void api::ordered(const apply_outcome& outcome, const std::string& made_as, mono_time since,
                  const responder& respond)
{
    if (!ok(outcome)) {
        respond(order_refusal(error_of(outcome)));
        return;
    }
    const auto& out = value(outcome);
    if (out.refused) {
        respond(order_refusal(*out.refused));
        return;
    }
    shared_.counters.observe(latency_kind::order_commit, shared_.now() - since);
    shared_.counters.count("orders");
    orders_.push_back({out, respond, made_as, shared_.now() + spread_patience});
    shared_.loop.soon([this] { tick(); });
}

void api::respond_order(const waiting_order& order, const spread& how) const
{
    json body{{"version", order.outcome.version},
              {"committed", true},
              {"in_force", how.in_force},
              {"waiting_for", to_json(how.waiting_for)}};
    if (!order.made_as.empty()) {
        body["id"] = order.outcome.id;
    }
    if (order.made_as == "key") {
        const key_id id{order.outcome.id};
        const std::string text = admission::key_text(issuing_secret(), id);
        const auto kept = shared_.state().keys.find(id);
        if (kept != shared_.state().keys.end() && kept->second.hash != admission::hash_of(text)) {
            order.respond(refusal(error_kind::conflict,
                                  "the key was given under another cluster secret and can't "
                                  "be shown again; withdraw it and give another"));
            return;
        }
        body["key"] = text;
    }
    order.respond(json_answer(how.in_force ? 200 : 202, body.dump()));
}

void api::put_catalogue(const wire::control_call& call, responder respond)
{
    const auto version = parse_version(call.if_match);
    auto parsed = catalogue::parse(call.body);
    if (const auto* faults = std::get_if<fescue::json::faults>(&parsed)) {
        json list = json::array();
        for (const auto& f : *faults) {
            list.push_back({{"path", f.path}, {"what", f.what}});
        }
        http::response r = refusal(error_kind::bad_catalogue, fescue::json::to_text(*faults));
        json body = json::parse(r.body);
        body["faults"] = list;
        r.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
        respond(std::move(r));
        return;
    }
    if (!version) {
        respond(refusal(error_kind::bad_request, "If-Match must be the catalogue's version"));
        return;
    }
    order(call, catalogue::put_catalogue{*version, std::get<catalogue::document>(parsed)}, "",
          std::move(respond));
}

void api::give_key(const wire::control_call& call, responder respond)
{
    fescue::json::faults faults;
    const auto parsed = fescue::json::parse(call.body, faults);
    std::string team;
    if (parsed) {
        fescue::json::object_reader reader{*parsed, "", faults};
        team = reader.name("team");
        reader.finish();
    }
    if (!faults.empty()) {
        respond(refusal(error_kind::bad_request, fescue::json::to_text(faults)));
        return;
    }
    const key_id id = admission::new_key_id();
    const auto hash = admission::hash_of(admission::key_text(issuing_secret(), id));
    order(call, catalogue::give_key{id, team_id{team}, hash}, "key", std::move(respond));
}

void api::withdraw_key(const wire::control_call& call, responder respond)
{
    order(call, catalogue::withdraw_key{key_id{after(call.path, "/v1/keys/")}}, "",
          std::move(respond));
}

void api::set_data_centre(const wire::control_call& call, responder respond)
{
    const std::string rest = after(call.path, "/v1/data-centres/");
    const auto slash = rest.find('/');
    const std::string id = rest.substr(0, slash);
    const std::string what = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (!fescue::json::is_name(id) || (what != "in" && what != "out")) {
        respond(refusal(error_kind::not_found, "POST /v1/data-centres/{id}/out or /in"));
        return;
    }
    const data_centre_id dc{id};
    const auto& state = shared_.state();
    const bool known =
        state.doc.data_centres.contains(dc) ||
        std::ranges::any_of(state.members,
                            [&](const auto& m) { return m.second.data_centre == dc; }) ||
        std::ranges::any_of(state.servers,
                            [&](const auto& s) { return s.second.about.data_centre == dc; });
    if (!known) {
        respond(refusal(error_kind::not_found, "there is no data centre '" + id + "'"));
        return;
    }
    order(call, catalogue::set_data_centre{dc, what == "in"}, "", std::move(respond));
}

void api::start_wave(const wire::control_call& call, responder respond)
{
    fescue::json::faults faults;
    const auto parsed = fescue::json::parse(call.body, faults);
    catalogue::start_wave wave;
    if (parsed) {
        fescue::json::object_reader reader{*parsed, "", faults};
        const std::string rack = reader.text("rack", "");
        const std::string dc = reader.text("data_centre", "");
        const std::string action = reader.text("action", "reboot");
        const std::int64_t deadline_s = reader.number("deadline_s", {0, most_count}, 0);
        const auto named = reader.texts("servers");
        reader.finish();
        if (action != "reboot" && action != "drain") {
            faults.push_back({"action", "must be reboot or drain"});
        }
        wave.action =
            action == "drain" ? catalogue::wave_action::drain : catalogue::wave_action::reboot;
        wave.deadline = deadline_s == 0 ? 0 : wall_now() + deadline_s * 1000;
        for (const std::string& name : named) {
            if (!shared_.state().servers.contains(server_id{name})) {
                faults.push_back({"servers", "there is no server '" + name + "'"});
            }
            wave.servers.emplace_back(name);
        }
        for (const auto& [id, s] : shared_.state().servers) {
            const bool in_rack = !rack.empty() && s.about.rack.str() == rack &&
                                 (dc.empty() || s.about.data_centre.str() == dc);
            const bool in_place = rack.empty() && !dc.empty() && s.about.data_centre.str() == dc;
            if (in_rack || in_place) {
                wave.servers.push_back(id);
            }
        }
        if (wave.servers.empty()) {
            faults.push_back({"servers", "no server is named by servers, rack or data_centre"});
        }
    }
    if (!faults.empty()) {
        respond(refusal(error_kind::bad_request, fescue::json::to_text(faults)));
        return;
    }
    wave.id = wave_id{"w-" + admission::new_key_id().str()};
    order(call, std::move(wave), "wave", std::move(respond));
}

} // namespace fescue::node
