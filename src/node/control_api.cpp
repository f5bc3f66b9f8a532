#include "control_api.h"

#include "control_views.h"
#include "responses.h"

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

constexpr milliseconds leader_call_timeout{4000};
constexpr milliseconds commit_timeout{3500};
/** How long the response to an order waits until the order is in force on every instance. */
constexpr milliseconds propagation_timeout{500};
constexpr std::int64_t max_count = 1'000'000'000;
constexpr std::int64_t max_slots = 100'000;
/** Maximum number of instance addresses sent to a server; its data centre's come first. */
constexpr std::ptrdiff_t max_entry_addresses = 8;

bool has_prefix(const std::string& path, std::string_view prefix)
{
    return path.starts_with(prefix);
}

std::string without_prefix(const std::string& path, std::string_view prefix)
{
    return path.substr(prefix.size());
}

http::response error_response_for(const error& e)
{
    return error_response(e.kind, e.detail);
}

std::optional<log_index> parse_version(std::string text)
{
    std::erase(text, '"');
    log_index out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (text.empty() || ec != std::errc{} || end != text.data() + text.size()) {
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
    fescue::json::field_errors field_errors;
    const auto parsed = fescue::json::parse(body, field_errors);
    wire::announcement out;
    if (!parsed) {
        return error{error_kind::bad_request, fescue::json::to_text(field_errors)};
    }
    fescue::json::object_reader reader{*parsed, "", field_errors};
    const auto count = [&](const char* field, std::int64_t most, std::int64_t fallback) {
        return static_cast<std::uint32_t>(reader.number(field, {0, most}, fallback));
    };
    out.id = server_id{id};
    out.address = reader.text("address");
    out.data_centre = data_centre_id{reader.name("data_centre")};
    out.rack = rack_id{reader.name("rack", "")};
    out.incarnation_id = static_cast<incarnation>(reader.number("incarnation", {0, INT64_MAX}));
    out.slots = count("slots", max_slots, 8);
    out.connections = count("connections", max_slots, 64);
    out.processors = count("processors", max_count, 0);
    out.memory_mb = count("memory_mb", max_count, 0);
    out.accelerators = count("accelerators", max_count, 0);
    for (const std::string& running : reader.texts("running")) {
        out.running.emplace_back(running);
    }
    out.leaving = reader.flag("leaving", false);
    reader.finish();
    if (!out.address.empty() && !ok(http::parse_endpoint(out.address))) {
        field_errors.push_back({"address", "must be IP:PORT"});
    }
    if (!fescue::json::is_name(id)) {
        field_errors.push_back({"id", "is not a name"});
    }
    if (!field_errors.empty()) {
        return error{error_kind::bad_request, fescue::json::to_text(field_errors)};
    }
    return out;
}

} // namespace

control_api::control_api(context& shared, leader_controller& controller, control_api_events events)
    : shared_{shared}, controller_{controller}, events_{std::move(events)}
{
}

std::string control_api::key_derivation_secret() const
{
    const std::string& secret = shared_.settings.cluster_secret;
    if (!secret.empty()) {
        return secret;
    }
    // Without a cluster secret, the settings accept loopback addresses only.
    return std::to_string(shared_.control.replica().voters().cluster);
}

bool control_api::has_operator_token(const http::request& in) const
{
    const std::string& token = shared_.settings.operator_token;
    const auto given = in.bearer();
    return token.empty() || (given && admission::equal_in_constant_time(*given, token));
}

bool control_api::has_server_token(const http::request& in) const
{
    const std::string& token = shared_.settings.server_token;
    const auto given = in.bearer();
    return token.empty() || (given && admission::equal_in_constant_time(*given, token));
}

void control_api::handle_request(http::exchange_id exchange, http::request&& in)
{
    const auto respond = [this, exchange](http::response&& r) {
        control_server_->respond(exchange, std::move(r));
    };
    if (in.path == "/healthz") {
        respond(json_response(200, R"({"alive":true})"));
        return;
    }
    if (in.path == "/metrics" && in.method == "GET") {
        respond({200, "text/plain; version=0.0.4", shared_.counters.render(), {}});
        return;
    }
    if (has_prefix(in.path, "/v1/servers/") && in.method == "POST") {
        handle_announcement(exchange, in);
        return;
    }
    const bool is_maintenance_call = has_prefix(in.path, "/v1/maintenance");
    const bool server_token_set = !shared_.settings.server_token.empty();
    if (!has_operator_token(in) &&
        !(is_maintenance_call && server_token_set && has_server_token(in))) {
        respond(error_response(error_kind::not_permitted, "Authorization: Bearer TOKEN"));
        return;
    }
    if (in.path == "/v1/form" && in.method == "POST") {
        handle_form(exchange);
        return;
    }
    wire::control_call call;
    call.method = std::move(in.method);
    call.path = std::move(in.path);
    call.body = std::move(in.body);
    call.idempotency_key = in.idempotency_key.value_or("");
    call.if_match = in.if_match.value_or("");
    if (is_maintenance_call && call.idempotency_key.empty()) {
        call.idempotency_key = "platform-" + admission::new_key_id().str();
    }
    constexpr std::string_view explain_request_prefix = "/v1/explain/request/";
    if (has_prefix(call.path, explain_request_prefix)) {
        // Decisions about a request are kept by the instance that accepted it; the request id
        // starts with the id of that instance.
        std::string id = without_prefix(call.path, explain_request_prefix);
        id = id.substr(0, id.rfind('-'));
        forward_to(instance_id{id.substr(0, id.rfind('-'))}, std::move(call), respond);
        return;
    }
    constexpr std::string_view explain_prefix = "/v1/explain/";
    const bool is_follower = !shared_.control.replica().is_leader();
    if (has_prefix(call.path, explain_prefix) && is_follower) {
        // The leader has its own decisions, this instance those about requests that it accepted.
        const std::string subject = without_prefix(call.path, explain_prefix);
        forward_to_leader(std::move(call), [this, respond, subject](http::response&& r) {
            r.body = merge_explanations(r.body, shared_.decisions, subject);
            respond(std::move(r));
        });
        return;
    }
    forward_to_leader(std::move(call), respond);
}

void control_api::forward_to_leader(wire::control_call&& call, responder respond)
{
    call.call_id = next_call_++;
    pending_call pending{
        std::move(call), std::move(respond), {}, shared_.now() + leader_call_timeout};
    pending_calls_.emplace(pending.call.call_id, std::move(pending));
    tick();
}

void control_api::forward_to(const instance_id& to, wire::control_call&& call, responder respond)
{
    if (to == shared_.self() || !shared_.state().members.contains(to)) {
        handle(call, std::move(respond));
        return;
    }
    call.call_id = next_call_++;
    const auto number = call.call_id;
    shared_.send(to, call);
    pending_calls_.emplace(number, pending_call{std::move(call), std::move(respond), to,
                                                shared_.now() + leader_call_timeout});
}

void control_api::tick()
{
    const mono_time now = shared_.now();
    const auto& replica = shared_.control.replica();
    std::vector<std::uint64_t> for_this_leader;
    std::vector<std::uint64_t> expired;
    for (auto& [number, pending] : pending_calls_) {
        const bool for_leader = !has_prefix(pending.call.path, "/v1/explain/request/");
        if (now >= pending.expires_at) {
            expired.push_back(number);
        } else if (for_leader && replica.settled()) {
            for_this_leader.push_back(number);
        } else if (for_leader && !replica.leader().empty() && pending.sent_to != replica.leader() &&
                   replica.leader() != shared_.self()) {
            auto copy = pending.call;
            if (shared_.send(replica.leader(), std::move(copy))) {
                pending.sent_to = replica.leader();
            }
        }
    }
    for (const std::uint64_t number : for_this_leader) {
        auto node = pending_calls_.extract(number);
        handle(node.mapped().call, std::move(node.mapped().respond));
    }
    for (const std::uint64_t number : expired) {
        const auto node = pending_calls_.extract(number);
        handle_leader_timeout(node.mapped());
    }
    for (auto order = pending_orders_.begin(); order != pending_orders_.end();) {
        const order_propagation progress = controller_.propagation_of(order->outcome.version);
        if (progress.in_force || now >= order->expires_at) {
            respond_to_order(*order, progress);
            order = pending_orders_.erase(order);
        } else {
            ++order;
        }
    }
    forward_deferred_restrictions();
}

void control_api::received(const instance_id& from, wire::control_call&& call)
{
    const auto number = call.call_id;
    const auto respond = [this, from, number](http::response&& r) {
        if (shared_.control.replica().halted()) {
            return;
        }
        shared_.send(from, wire::control_reply{number, r.status, r.content_type, r.body});
    };
    const bool is_read = has_prefix(call.path, "/v1/explain/request/");
    if (is_read || shared_.control.replica().settled()) {
        handle(call, respond);
    }
    // A former leader, or one whose disk failed, does not reply: the sending instance resends the
    // call to the new leader.
}

void control_api::received(const wire::control_reply& reply)
{
    auto node = pending_calls_.extract(reply.call_id);
    if (!node.empty()) {
        node.mapped().respond({reply.status, reply.content_type, reply.body, {}});
    }
}

void control_api::handle_leader_timeout(const pending_call& call)
{
    if (apply_local_restriction(call.call)) {
        log::warning("local_restriction_applied", {{"path", call.call.path}});
        deferred_restrictions_.push_back(call.call);
        const json body{{"committed", false},
                        {"in_force", false},
                        {"in_force_here", true},
                        {"waiting_for", json::array()}};
        call.respond(json_response(202, body.dump()));
        return;
    }
    call.respond(error_response(error_kind::no_leader, "", call.call.method != "GET"));
}

bool control_api::apply_local_restriction(const wire::control_call& call)
{
    constexpr std::string_view keys_prefix = "/v1/keys/";
    constexpr std::string_view data_centres_prefix = "/v1/data-centres/";
    if (call.method == "DELETE" && has_prefix(call.path, keys_prefix)) {
        const key_id id{without_prefix(call.path, keys_prefix)};
        if (!shared_.state().keys.contains(id)) {
            return false;
        }
        shared_.restrictions.withdrawn_keys.insert(id);
    } else if (call.method == "POST" && has_prefix(call.path, data_centres_prefix) &&
               call.path.ends_with("/out")) {
        const std::string rest = without_prefix(call.path, data_centres_prefix);
        shared_.restrictions.out_of_service.insert(data_centre_id{rest.substr(0, rest.find('/'))});
    } else {
        return false;
    }
    events_.restrictions_changed();
    return true;
}

void control_api::forward_deferred_restrictions()
{
    const auto& replica = shared_.control.replica();
    if (deferred_restrictions_.empty() || replica.leader().empty()) {
        return;
    }
    auto calls = std::move(deferred_restrictions_);
    deferred_restrictions_.clear();
    for (wire::control_call& call : calls) {
        auto original_call = call;
        forward_to_leader(std::move(call), [this, original_call](http::response&& r) {
            const bool completed =
                r.status < 500 && r.body.find("in_force_here") == std::string::npos;
            if (completed) {
                constexpr std::string_view keys_prefix = "/v1/keys/";
                if (has_prefix(original_call.path, keys_prefix)) {
                    shared_.restrictions.withdrawn_keys.erase(
                        key_id{without_prefix(original_call.path, keys_prefix)});
                } else {
                    shared_.restrictions.out_of_service.clear();
                }
                events_.restrictions_changed();
            }
        });
    }
}

void control_api::handle_announcement(http::exchange_id exchange, const http::request& in)
{
    if (!has_server_token(in)) {
        control_server_->respond(
            exchange, error_response(error_kind::not_permitted, "Authorization: Bearer TOKEN"));
        return;
    }
    const auto info = parse_announcement(without_prefix(in.path, "/v1/servers/"), in.body);
    if (!ok(info)) {
        control_server_->respond(exchange,
                                 error_response(error_of(info).kind, error_of(info).detail));
        return;
    }
    events_.announced(value(info));
    control_server_->respond(exchange, json_response(200, announcement_response(value(info))));
}

std::string control_api::announcement_response(const wire::announcement& info) const
{
    json out{{"pool", ""}, {"epoch", 0}, {"lease_ms", dispatch::server_lease.count()}};
    const auto& state = shared_.state();
    const auto known = state.servers.find(info.id);
    if (known != state.servers.end()) {
        out["pool"] = known->second.pool.str();
        out["epoch"] = known->second.epoch;
    }
    json local_addresses = json::array();
    json remote_addresses = json::array();
    for (const auto& [id, m] : state.members) {
        if (m.incarnation_id != 0 && !m.control_address.empty()) {
            (m.data_centre == info.data_centre ? local_addresses : remote_addresses)
                .push_back(m.control_address);
        }
    }
    local_addresses.insert(local_addresses.end(), remote_addresses.begin(), remote_addresses.end());
    if (std::ssize(local_addresses) > max_entry_addresses) {
        local_addresses.erase(local_addresses.begin() + max_entry_addresses, local_addresses.end());
    }
    out["entries"] = local_addresses;
    return out.dump();
}

void control_api::handle_form(http::exchange_id exchange)
{
    if (const auto err = events_.form()) {
        control_server_->respond(exchange, error_response_for(*err));
        return;
    }
    control_server_->respond(exchange, json_response(200, R"({"formed":true})"));
}

void control_api::handle(const wire::control_call& call, responder respond)
{
    const bool is_get = call.method == "GET";
    if (is_get) {
        handle_read(call, respond);
        return;
    }
    if (call.idempotency_key.empty()) {
        respond(error_response(error_kind::bad_request, "an order requires an Idempotency-Key"));
    } else if (call.method == "PUT" && call.path == "/v1/catalogue") {
        put_catalogue(call, std::move(respond));
    } else if (call.method == "POST" && call.path == "/v1/keys") {
        issue_key(call, std::move(respond));
    } else if (call.method == "DELETE" && has_prefix(call.path, "/v1/keys/")) {
        revoke_key(call, std::move(respond));
    } else if (call.method == "POST" && has_prefix(call.path, "/v1/data-centres/")) {
        set_data_centre(call, std::move(respond));
    } else if (call.method == "POST" && call.path == "/v1/maintenance") {
        start_wave(call, std::move(respond));
    } else {
        respond(error_response(error_kind::not_found, call.method + " " + call.path));
    }
}

void control_api::handle_read(const wire::control_call& call, const responder& respond)
{
    const auto& state = shared_.state();
    constexpr std::string_view orders_prefix = "/v1/orders/";
    constexpr std::string_view waves_prefix = "/v1/maintenance/";
    constexpr std::string_view explain_prefix = "/v1/explain/";
    if (call.path == "/v1/catalogue") {
        respond(json_response(200,
                              fmt::format(R"({{"version":{},"catalogue":{}}})",
                                          state.catalogue_version, catalogue::to_json(state.doc))));
    } else if (call.path == "/v1/status") {
        respond(json_response(200, status_json(shared_, controller_)));
    } else if (has_prefix(call.path, orders_prefix)) {
        const auto version = parse_version(without_prefix(call.path, orders_prefix));
        const order_propagation progress =
            version ? controller_.propagation_of(*version) : order_propagation{};
        if (!version || !progress.committed) {
            respond(error_response(error_kind::not_found, "there is no order with this version"));
            return;
        }
        const json body{{"version", *version},
                        {"committed", true},
                        {"in_force", progress.in_force},
                        {"waiting_for", to_json(progress.waiting_for)}};
        respond(json_response(200, body.dump()));
    } else if (has_prefix(call.path, waves_prefix)) {
        const wave_id id{without_prefix(call.path, waves_prefix)};
        const auto found = state.waves.find(id);
        if (found == state.waves.end()) {
            respond(error_response(error_kind::not_found, "there is no wave with this id"));
            return;
        }
        respond(json_response(200, wave_json(id, found->second)));
    } else if (has_prefix(call.path, explain_prefix)) {
        respond(json_response(
            200, explain_json(shared_.decisions, without_prefix(call.path, explain_prefix))));
    } else {
        respond(error_response(error_kind::not_found, call.method + " " + call.path));
    }
}

void control_api::propose_order(const wire::control_call& call, catalogue::order_action action,
                                std::string created_resource, responder respond)
{
    catalogue::order cmd;
    cmd.id = order_id{call.idempotency_key};
    cmd.fingerprint = catalogue::stable_hash(call.method + "\n" + call.path + "\n" + call.if_match +
                                             "\n" + call.body);
    cmd.action = std::move(action);
    const mono_time since = shared_.now();
    shared_.control.propose(cmd, commit_timeout,
                            [this, created_resource = std::move(created_resource), since,
                             respond](const apply_outcome& outcome) {
                                handle_order_outcome(outcome, created_resource, since, respond);
                            });
}

void control_api::handle_order_outcome(const apply_outcome& outcome,
                                       const std::string& created_resource, mono_time since,
                                       const responder& respond)
{
    if (!ok(outcome)) {
        respond(error_response_for(error_of(outcome)));
        return;
    }
    const auto& out = value(outcome);
    if (out.refused) {
        respond(error_response_for(*out.refused));
        return;
    }
    shared_.counters.observe(latency_kind::order_commit, shared_.now() - since);
    shared_.counters.count("orders");
    pending_orders_.push_back(
        {out, respond, created_resource, shared_.now() + propagation_timeout});
    shared_.loop.defer([this] { tick(); });
}

void control_api::respond_to_order(const pending_order& order,
                                   const order_propagation& progress) const
{
    json body{{"version", order.outcome.version},
              {"committed", true},
              {"in_force", progress.in_force},
              {"waiting_for", to_json(progress.waiting_for)}};
    if (!order.created_resource.empty()) {
        body["id"] = order.outcome.id;
    }
    if (order.created_resource == "key") {
        const key_id id{order.outcome.id};
        const std::string text = admission::format_key(key_derivation_secret(), id);
        const auto stored = shared_.state().keys.find(id);
        if (stored != shared_.state().keys.end() &&
            stored->second.hash != admission::hash_key(text)) {
            order.respond(error_response(
                error_kind::conflict, "the key was issued under another cluster secret and can't "
                                      "be shown again; withdraw it and issue a new one"));
            return;
        }
        body["key"] = text;
    }
    order.respond(json_response(progress.in_force ? 200 : 202, body.dump()));
}

void control_api::put_catalogue(const wire::control_call& call, responder respond)
{
    const auto version = parse_version(call.if_match);
    auto parsed = catalogue::parse(call.body);
    if (const auto* field_errors = std::get_if<fescue::json::field_errors>(&parsed)) {
        json list = json::array();
        for (const auto& f : *field_errors) {
            list.push_back({{"path", f.path}, {"what", f.what}});
        }
        http::response r =
            error_response(error_kind::bad_catalogue, fescue::json::to_text(*field_errors));
        json body = json::parse(r.body);
        body["faults"] = list;
        r.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
        respond(std::move(r));
        return;
    }
    if (!version) {
        respond(
            error_response(error_kind::bad_request, "If-Match must be the catalogue's version"));
        return;
    }
    propose_order(call, catalogue::put_catalogue{*version, std::get<catalogue::document>(parsed)},
                  "", std::move(respond));
}

void control_api::issue_key(const wire::control_call& call, responder respond)
{
    fescue::json::field_errors field_errors;
    const auto parsed = fescue::json::parse(call.body, field_errors);
    std::string team;
    if (parsed) {
        fescue::json::object_reader reader{*parsed, "", field_errors};
        team = reader.name("team");
        reader.finish();
    }
    if (!field_errors.empty()) {
        respond(error_response(error_kind::bad_request, fescue::json::to_text(field_errors)));
        return;
    }
    const key_id id = admission::new_key_id();
    const auto hash = admission::hash_key(admission::format_key(key_derivation_secret(), id));
    propose_order(call, catalogue::issue_key{id, team_id{team}, hash}, "key", std::move(respond));
}

void control_api::revoke_key(const wire::control_call& call, responder respond)
{
    propose_order(call, catalogue::revoke_key{key_id{without_prefix(call.path, "/v1/keys/")}}, "",
                  std::move(respond));
}

void control_api::set_data_centre(const wire::control_call& call, responder respond)
{
    const std::string rest = without_prefix(call.path, "/v1/data-centres/");
    const auto slash = rest.find('/');
    const std::string id = rest.substr(0, slash);
    const std::string what = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (!fescue::json::is_name(id) || (what != "in" && what != "out")) {
        respond(error_response(error_kind::not_found, "POST /v1/data-centres/{id}/out or /in"));
        return;
    }
    const data_centre_id dc{id};
    const auto& state = shared_.state();
    const bool known =
        state.doc.data_centres.contains(dc) ||
        std::ranges::any_of(state.members,
                            [&](const auto& m) { return m.second.data_centre == dc; }) ||
        std::ranges::any_of(state.servers,
                            [&](const auto& s) { return s.second.properties.data_centre == dc; });
    if (!known) {
        respond(error_response(error_kind::not_found, "there is no data centre '" + id + "'"));
        return;
    }
    propose_order(call, catalogue::set_data_centre{dc, what == "in"}, "", std::move(respond));
}

void control_api::start_wave(const wire::control_call& call, responder respond)
{
    fescue::json::field_errors field_errors;
    const auto parsed = fescue::json::parse(call.body, field_errors);
    catalogue::start_wave wave;
    if (parsed) {
        fescue::json::object_reader reader{*parsed, "", field_errors};
        const std::string rack = reader.text("rack", "");
        const std::string dc = reader.text("data_centre", "");
        const std::string action = reader.text("action", "reboot");
        const std::int64_t deadline_s = reader.number("deadline_s", {0, max_count}, 0);
        const auto named = reader.texts("servers");
        reader.finish();
        if (action != "reboot" && action != "drain") {
            field_errors.push_back({"action", "must be reboot or drain"});
        }
        wave.action =
            action == "drain" ? catalogue::wave_action::drain : catalogue::wave_action::reboot;
        wave.deadline = deadline_s == 0 ? 0 : wall_now() + deadline_s * 1000;
        for (const std::string& name : named) {
            if (!shared_.state().servers.contains(server_id{name})) {
                field_errors.push_back({"servers", "there is no server '" + name + "'"});
            }
            wave.servers.emplace_back(name);
        }
        for (const auto& [id, s] : shared_.state().servers) {
            const bool in_rack = !rack.empty() && s.properties.rack.str() == rack &&
                                 (dc.empty() || s.properties.data_centre.str() == dc);
            const bool in_data_centre =
                rack.empty() && !dc.empty() && s.properties.data_centre.str() == dc;
            if (in_rack || in_data_centre) {
                wave.servers.push_back(id);
            }
        }
        if (wave.servers.empty()) {
            field_errors.push_back({"servers", "servers, rack and data_centre select no server"});
        }
    }
    if (!field_errors.empty()) {
        respond(error_response(error_kind::bad_request, fescue::json::to_text(field_errors)));
        return;
    }
    wave.id = wave_id{"w-" + admission::new_key_id().str()};
    propose_order(call, std::move(wave), "wave", std::move(respond));
}

} // namespace fescue::node
