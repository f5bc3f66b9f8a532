#include "ingress.h"

#include "answers.h"

#include <fmt/format.h>

#include <charconv>

namespace fescue::node {

namespace {

constexpr milliseconds sweep_period{20};
/** A home answers at the deadline; this long after it, it will not. */
constexpr milliseconds answer_grace{150};
constexpr milliseconds claim_patience{1500};
constexpr std::uint32_t most_attempts = 4;
constexpr std::int64_t longest_timeout_ms = 3'600'000;
constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::string_view requests_part = "requests";

struct request_path {
    service_id service;
    std::string rest;
};

/** Reads "/v1/services/{service}/requests[/{path}]". */
std::optional<request_path> parse_path(std::string_view path)
{
    if (!path.starts_with(services_prefix)) {
        return std::nullopt;
    }
    path.remove_prefix(services_prefix.size());
    const auto slash = path.find('/');
    if (slash == std::string_view::npos || slash == 0) {
        return std::nullopt;
    }
    request_path out;
    out.service = service_id{std::string{path.substr(0, slash)}};
    path.remove_prefix(slash + 1);
    if (!path.starts_with(requests_part)) {
        return std::nullopt;
    }
    path.remove_prefix(requests_part.size());
    if (!path.empty() && path.front() != '/') {
        return std::nullopt;
    }
    out.rest = path.empty() ? std::string{} : std::string{path.substr(1)};
    return out;
}

/** Decoded text goes into a URL again, so what is not plain is encoded. */
std::string encode_path(const std::string& path)
{
    constexpr std::string_view plain = "-_.~/!$&'()*+,;=:@";
    std::string out;
    for (const char c : path) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || plain.find(c) != std::string_view::npos) {
            out += c;
        } else {
            out += fmt::format("%{:02X}", byte);
        }
    }
    return out;
}

result<milliseconds> timeout_of(const http::request& in, const catalogue::service& s)
{
    if (!in.timeout_ms) {
        return milliseconds{s.timeout_ms};
    }
    std::int64_t asked = 0;
    const char* last = in.timeout_ms->data() + in.timeout_ms->size();
    const auto [end, fault] = std::from_chars(in.timeout_ms->data(), last, asked);
    if (fault != std::errc{} || end != last || asked < 1 || asked > longest_timeout_ms) {
        return error{error_kind::bad_request,
                     "Request-Timeout-Ms must be a whole number from 1 to 3600000"};
    }
    return milliseconds{asked};
}

} // namespace

ingress::ingress(context& shared) : shared_{shared}
{
    sweeper_ = shared_.loop.every(sweep_period, [this] { sweep(); });
}

request_id ingress::new_request_id()
{
    return request_id{
        fmt::format("{}-{:x}-{}", shared_.self().str(), shared_.life, next_request_++)};
}

result<ingress::accepted> ingress::check(const http::request& in) const
{
    const auto path = parse_path(in.path);
    if (!path) {
        return error{error_kind::not_found, "POST /v1/services/{service}/requests[/{path}]"};
    }
    if (in.method != "POST") {
        return error{error_kind::bad_request, "requests are sent by POST"};
    }
    if (shared_.serving() == membership::serving::none) {
        // Its state may be old, so it can't even tell a withdrawn key from a good one.
        return error{error_kind::not_serving, ""};
    }
    accepted out;
    const auto& doc = shared_.state().doc;
    const auto service = doc.services.find(path->service);
    const auto bearer = in.bearer();
    const auto key = bearer ? admission::find_key(shared_.state(), *bearer) : std::nullopt;
    const bool stands = key && shared_.key_stands(key->id);
    const bool key_needed = service == doc.services.end() || !service->second.open;
    if ((key_needed || in.authorization) && !stands) {
        return error{error_kind::bad_key, bearer ? "" : "Authorization: Bearer KEY is missing"};
    }
    if (service == doc.services.end()) {
        return error{error_kind::not_found, "there is no service '" + path->service.str() + "'"};
    }
    out.id = path->service;
    out.service = &service->second;
    out.path = encode_path(path->rest);
    out.team = stands ? key->team : service->second.owner;
    out.key = stands ? key->id : key_id{};
    const auto timeout = timeout_of(in, service->second);
    if (!ok(timeout)) {
        return error_of(timeout);
    }
    out.timeout = value(timeout);
    if (!doc.teams.contains(out.team)) {
        return error{error_kind::bad_key, "the key's team is not in the catalogue"};
    }
    if (!shared_.may_serve(service->second)) {
        return error{error_kind::not_serving, ""};
    }
    return out;
}

void ingress::take(http::exchange_id exchange, http::request&& in)
{
    const auto checked = check(in);
    if (!ok(checked)) {
        shared_.counters.refused(error_of(checked).kind);
        callers_->respond(exchange, refusal(error_of(checked).kind, error_of(checked).detail));
        return;
    }
    const accepted& a = value(checked);
    pending p;
    p.exchange = exchange;
    p.pool = a.service->pool;
    p.repeatable = a.service->repeatable;
    p.arrived = shared_.now();
    p.deadline = p.arrived + a.timeout;
    p.w.id = new_request_id();
    p.w.team = a.team;
    p.w.key = a.key;
    p.w.service = a.id;
    p.w.path = a.path;
    p.w.content_type = std::move(in.content_type);
    p.w.body = std::move(in.body);
    const request_id id = p.w.id;
    const bool claims = !p.repeatable && in.idempotency_key && !in.idempotency_key->empty();
    std::uint64_t fingerprint = 0;
    if (claims) {
        p.w.claim_key = *in.idempotency_key;
        fingerprint = catalogue::stable_hash(a.id.str() + "\n" + a.path + "\n" + p.w.body);
    }
    budget_.earn();
    shared_.counters.count("requests");
    pending_.emplace(id, std::move(p));
    if (claims) {
        claim_then_route(id, fingerprint);
    } else {
        route(id);
    }
}

// ---- claims

void ingress::claim_then_route(request_id id, std::uint64_t fingerprint)
{
    const pending& p = pending_.at(id);
    const auto& service = shared_.state().doc.services.at(p.w.service);
    catalogue::begin_claim claim;
    claim.id = {p.w.team, p.w.claim_key};
    claim.request = id;
    claim.fingerprint = fingerprint;
    claim.now = wall_now();
    const auto left = std::chrono::duration_cast<milliseconds>(p.deadline - shared_.now());
    claim.over_at = claim.now + left.count() + service.max_run_ms;
    const auto patience = std::min(claim_patience, left);
    shared_.control.propose(claim, patience, [this, id, fingerprint](const apply_outcome& outcome) {
        claimed(id, fingerprint, outcome);
    });
}

void ingress::claimed(const request_id& id, std::uint64_t fingerprint, const apply_outcome& outcome)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    const bool recorded = ok(outcome) && !value(outcome).refused && value(outcome).found;
    if (!recorded) {
        // An earlier attempt with the key may have run; without the log nobody can tell.
        const auto known =
            shared_.state().claims.find({found->second.w.team, found->second.w.claim_key});
        const bool maybe = known != shared_.state().claims.end();
        found->second.ever_may_have_run = maybe;
        found->second.w.claim_key.clear();
        refuse(id, error_kind::claim_failed, "");
        return;
    }
    const auto& out = value(outcome);
    if (out.claim_is_ours) {
        route(id);
        return;
    }
    const catalogue::claim& first = *out.found;
    found->second.w.claim_key.clear();
    if (first.fingerprint != fingerprint) {
        refuse(id, error_kind::key_reused, "");
    } else if (first.outcome == catalogue::claim_outcome::answered) {
        finish(id, {first.status, first.content_type, first.body, {}});
    } else if (first.outcome == catalogue::claim_outcome::running && wall_now() <= first.over_at) {
        refuse(id, error_kind::in_progress, "");
    } else {
        refuse(id, error_kind::outcome_unknown, "an earlier attempt's answer was lost");
    }
}

void ingress::free_claim(const pending& p)
{
    catalogue::end_claim end;
    end.id = {p.w.team, p.w.claim_key};
    end.request = p.w.id;
    const bool unknown = p.may_have_run || p.ever_may_have_run;
    end.outcome = unknown ? catalogue::claim_outcome::unknown : catalogue::claim_outcome::not_run;
    shared_.control.propose(end, claim_patience, nullptr);
}

// ---- routing

void ingress::route(const request_id& id)
{
    pending& p = pending_.at(id);
    const mono_time now = shared_.now();
    p.may_have_run = false;
    if (now >= p.deadline) {
        refuse(id, error_kind::too_late, "");
        return;
    }
    while (const auto home = shared_.router.choose(p.pool, shared_.self(), p.avoid, now)) {
        p.w.left_ms = std::chrono::duration_cast<milliseconds>(p.deadline - now).count();
        p.home = *home;
        // From the moment it leaves, the home may start it.
        p.may_have_run = true;
        shared_.router.sent(*home, p.pool);
        ++p.attempts;
        if (shared_.send(*home, p.w)) {
            return;
        }
        p.may_have_run = false;
        shared_.router.forget(*home);
    }
    park(id, p);
}

void ingress::park(const request_id& id, pending& p)
{
    const auto service = shared_.state().doc.services.find(p.w.service);
    const std::size_t room =
        service == shared_.state().doc.services.end() ? 0 : service->second.queue_limit;
    if (parked_ >= room) {
        refuse(id, error_kind::queue_full, "no backend server takes work now");
        return;
    }
    p.home = instance_id{};
    p.parked = true;
    ++parked_;
}

void ingress::look_again()
{
    if (parked_ == 0) {
        return;
    }
    std::vector<request_id> waiting;
    for (auto& [id, p] : pending_) {
        if (p.parked) {
            p.avoid.clear();
            if (shared_.router.choose(p.pool, shared_.self(), p.avoid, shared_.now())) {
                waiting.push_back(id);
            }
        }
    }
    for (const request_id& id : waiting) {
        const auto found = pending_.find(id);
        if (found != pending_.end() && found->second.parked) {
            found->second.parked = false;
            --parked_;
            route(id);
        }
    }
}

void ingress::route_again(const request_id& id, retry_reason reason)
{
    pending& p = pending_.at(id);
    shared_.counters.retried(reason);
    p.avoid.insert(p.home);
    route(id);
}

void ingress::received(const instance_id& from, const wire::work_queued& m)
{
    const auto found = pending_.find(m.id);
    if (found != pending_.end() && found->second.home == from && !found->second.repeatable) {
        found->second.may_have_run = false;
    }
}

void ingress::received(const instance_id& from, const wire::start_ask& m)
{
    const auto found = pending_.find(m.id);
    const bool go = found != pending_.end() && found->second.home == from &&
                    shared_.now() < found->second.deadline;
    if (go) {
        found->second.may_have_run = true;
    }
    shared_.send(from, wire::start_answer{m.id, go});
}

void ingress::received(const instance_id& from, wire::work_reply&& m)
{
    const auto found = pending_.find(m.id);
    if (found == pending_.end() || found->second.home != from) {
        return;
    }
    pending& p = found->second;
    if (!m.refused) {
        p.w.claim_key.clear();
        finish(m.id, {m.status, std::move(m.content_type), std::move(m.body), {}});
        return;
    }
    p.may_have_run = m.may_have_run;
    const bool elsewhere = m.kind == error_kind::no_server || m.kind == error_kind::not_serving ||
                           m.kind == error_kind::server_refused || m.kind == error_kind::queue_full;
    if (!m.may_have_run && elsewhere && p.attempts < most_attempts) {
        p.avoid.insert(from);
        const bool another =
            shared_.router.choose(p.pool, shared_.self(), p.avoid, shared_.now()).has_value();
        const bool wait = m.kind == error_kind::no_server;
        if (another || wait) {
            route_again(m.id, retry_reason::home_refused);
            return;
        }
    }
    refuse(m.id, m.kind, m.detail);
}

std::vector<request_id> ingress::requests_at(const instance_id& home) const
{
    std::vector<request_id> out;
    for (const auto& [id, p] : pending_) {
        if (p.home == home) {
            out.push_back(id);
        }
    }
    return out;
}

void ingress::home_silent(const instance_id& home)
{
    for (const request_id& id : requests_at(home)) {
        pending& p = pending_.at(id);
        const bool again = p.repeatable && p.attempts < most_attempts && budget_.spend();
        // Work that may have run and may not be repeated waits: its answer may still come.
        if (!p.may_have_run || again) {
            p.ever_may_have_run = p.ever_may_have_run || p.may_have_run;
            route_again(id, retry_reason::home_lost);
        }
    }
}

void ingress::home_lost(const instance_id& home)
{
    shared_.router.forget(home);
    for (const request_id& id : requests_at(home)) {
        pending& p = pending_.at(id);
        if (!p.may_have_run) {
            route_again(id, retry_reason::home_lost);
        } else if (p.repeatable && p.attempts < most_attempts && budget_.spend()) {
            p.ever_may_have_run = true;
            route_again(id, retry_reason::home_lost);
        } else {
            refuse(id, error_kind::outcome_unknown, "the connection to the server's home was lost");
        }
    }
}

// ---- answers

void ingress::finish(const request_id& id, http::response&& answer)
{
    auto node = pending_.extract(id);
    const pending& p = node.mapped();
    if (p.parked) {
        --parked_;
    }
    shared_.counters.observe(latency_kind::request, shared_.now() - p.arrived);
    answer.headers.push_back({"Fescue-Request-Id", id.str()});
    callers_->respond(p.exchange, std::move(answer));
}

void ingress::refuse(const request_id& id, error_kind kind, const std::string& detail)
{
    const pending& p = pending_.at(id);
    const bool maybe = p.may_have_run || p.ever_may_have_run;
    if (!p.w.claim_key.empty()) {
        free_claim(p);
    }
    shared_.counters.refused(kind);
    const std::string text = fmt::format("refused as {}: {}", name_of(kind), detail);
    shared_.decisions.note("request/" + id.str(), text);
    shared_.decisions.note("team/" + p.w.team.str(), "request " + id.str() + " " + text);
    finish(id, refusal(kind, detail, maybe));
}

void ingress::sweep()
{
    const mono_time now = shared_.now();
    std::vector<request_id> over;
    for (const auto& [id, p] : pending_) {
        const bool given_up = !p.home.empty() && now >= p.deadline + answer_grace;
        if (given_up || (p.parked && now >= p.deadline)) {
            over.push_back(id);
        }
    }
    for (const request_id& id : over) {
        const pending& p = pending_.at(id);
        if (p.parked) {
            refuse(id, error_kind::no_server, "none came before the deadline");
        } else if (p.may_have_run) {
            refuse(id, error_kind::outcome_unknown, "the server's home did not answer in time");
        } else {
            refuse(id, error_kind::too_late, "the deadline passed in the queue");
        }
    }
    look_again();
}

} // namespace fescue::node
