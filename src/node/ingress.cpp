#include "ingress.h"

#include "responses.h"

#include <fmt/format.h>

#include <charconv>

namespace fescue::node {

namespace {

constexpr milliseconds sweep_period{20};
/** A home replies at the deadline at the latest; no reply is expected this long after it. */
constexpr milliseconds reply_grace_period{150};
constexpr milliseconds claim_commit_timeout{1500};
constexpr std::uint32_t max_attempts = 4;
constexpr std::int64_t max_timeout_ms = 3'600'000;
constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::string_view requests_segment = "requests";

struct request_path {
    service_id service;
    std::string rest;
};

/** Parses "/v1/services/{service}/requests[/{path}]". */
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
    if (!path.starts_with(requests_segment)) {
        return std::nullopt;
    }
    path.remove_prefix(requests_segment.size());
    if (!path.empty() && path.front() != '/') {
        return std::nullopt;
    }
    out.rest = path.empty() ? std::string{} : std::string{path.substr(1)};
    return out;
}

/** Percent-encodes a decoded path for use in a URL. */
std::string encode_path(const std::string& path)
{
    constexpr std::string_view unescaped = "-_.~/!$&'()*+,;=:@";
    std::string out;
    for (const char c : path) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || unescaped.find(c) != std::string_view::npos) {
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
    std::int64_t requested = 0;
    const char* last = in.timeout_ms->data() + in.timeout_ms->size();
    const auto [end, ec] = std::from_chars(in.timeout_ms->data(), last, requested);
    if (ec != std::errc{} || end != last || requested < 1 || requested > max_timeout_ms) {
        return error{error_kind::bad_request,
                     "Request-Timeout-Ms must be a whole number from 1 to 3600000"};
    }
    return milliseconds{requested};
}

} // namespace

ingress::ingress(context& shared) : shared_{shared}
{
    sweep_timer_ = shared_.loop.every(sweep_period, [this] { sweep(); });
}

request_id ingress::new_request_id()
{
    return request_id{
        fmt::format("{}-{:x}-{}", shared_.self().str(), shared_.own_incarnation, next_request_++)};
}

result<ingress::checked_request> ingress::check_request(const http::request& in) const
{
    const auto path = parse_path(in.path);
    if (!path) {
        return error{error_kind::not_found, "POST /v1/services/{service}/requests[/{path}]"};
    }
    if (in.method != "POST") {
        return error{error_kind::bad_request, "requests must use POST"};
    }
    if (shared_.serving() == membership::serving::not_serving) {
        // The local state may be stale, so withdrawn keys can't be distinguished from valid ones.
        return error{error_kind::not_serving, ""};
    }
    checked_request out;
    const auto& doc = shared_.state().doc;
    const auto service = doc.services.find(path->service);
    const auto bearer = in.bearer();
    const auto key = bearer ? admission::find_key(shared_.state(), *bearer) : std::nullopt;
    const bool key_valid = key && shared_.key_is_valid(key->id);
    const bool key_required = service == doc.services.end() || !service->second.open;
    if ((key_required || in.authorization) && !key_valid) {
        return error{error_kind::bad_key, bearer ? "" : "Authorization: Bearer KEY is missing"};
    }
    if (service == doc.services.end()) {
        return error{error_kind::not_found, "there is no service '" + path->service.str() + "'"};
    }
    out.id = path->service;
    out.service = &service->second;
    out.path = encode_path(path->rest);
    out.team = key_valid ? key->team : service->second.owner;
    out.key = key_valid ? key->id : key_id{};
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

void ingress::handle_request(http::exchange_id exchange, http::request&& in)
{
    const auto checked = check_request(in);
    if (!ok(checked)) {
        shared_.counters.refused(error_of(checked).kind);
        caller_server_->respond(exchange,
                                error_response(error_of(checked).kind, error_of(checked).detail));
        return;
    }
    const checked_request& a = value(checked);
    pending p;
    p.exchange = exchange;
    p.pool = a.service->pool;
    p.repeatable = a.service->repeatable;
    p.arrived = shared_.now();
    p.deadline = p.arrived + a.timeout;
    p.work.id = new_request_id();
    p.work.team = a.team;
    p.work.key = a.key;
    p.work.service = a.id;
    p.work.path = a.path;
    p.work.content_type = std::move(in.content_type);
    p.work.body = std::move(in.body);
    const request_id id = p.work.id;
    const bool claims = !p.repeatable && in.idempotency_key && !in.idempotency_key->empty();
    std::uint64_t fingerprint = 0;
    if (claims) {
        p.work.claim_key = *in.idempotency_key;
        fingerprint = catalogue::stable_hash(a.id.str() + "\n" + a.path + "\n" + p.work.body);
    }
    retry_budget_.add_credit();
    shared_.counters.count("requests");
    pending_.emplace(id, std::move(p));
    if (claims) {
        claim_then_route(id, fingerprint);
    } else {
        route(id);
    }
}

void ingress::claim_then_route(request_id id, std::uint64_t fingerprint)
{
    const pending& p = pending_.at(id);
    const auto& service = shared_.state().doc.services.at(p.work.service);
    catalogue::begin_claim claim;
    claim.id = {p.work.team, p.work.claim_key};
    claim.request = id;
    claim.fingerprint = fingerprint;
    claim.now = wall_now();
    const auto left = std::chrono::duration_cast<milliseconds>(p.deadline - shared_.now());
    claim.expires_at = claim.now + left.count() + service.max_run_ms;
    const auto timeout = std::min(claim_commit_timeout, left);
    shared_.control.propose(claim, timeout, [this, id, fingerprint](const apply_outcome& outcome) {
        handle_claim_outcome(id, fingerprint, outcome);
    });
}

void ingress::handle_claim_outcome(const request_id& id, std::uint64_t fingerprint,
                                   const apply_outcome& outcome)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    const bool committed = ok(outcome) && !value(outcome).refused && value(outcome).stored_claim;
    if (!committed) {
        // Without the log it is unknown whether an earlier attempt with this key has run; a claim
        // in the local state means that it may have.
        const auto known =
            shared_.state().claims.find({found->second.work.team, found->second.work.claim_key});
        const bool may_have_run = known != shared_.state().claims.end();
        found->second.may_have_run_earlier = may_have_run;
        found->second.work.claim_key.clear();
        refuse(id, error_kind::claim_failed, "");
        return;
    }
    const auto& out = value(outcome);
    if (out.claimed_by_request) {
        route(id);
        return;
    }
    const catalogue::claim& earlier = *out.stored_claim;
    found->second.work.claim_key.clear();
    if (earlier.fingerprint != fingerprint) {
        refuse(id, error_kind::key_reused, "");
    } else if (earlier.outcome == catalogue::claim_outcome::answered) {
        respond(id, {earlier.status, earlier.content_type, earlier.body, {}});
    } else if (earlier.outcome == catalogue::claim_outcome::running &&
               wall_now() <= earlier.expires_at) {
        refuse(id, error_kind::in_progress, "");
    } else {
        refuse(id, error_kind::outcome_unknown, "the response to an earlier attempt was lost");
    }
}

void ingress::release_claim(const pending& p)
{
    catalogue::end_claim end;
    end.id = {p.work.team, p.work.claim_key};
    end.request = p.work.id;
    const bool unknown = p.may_have_run || p.may_have_run_earlier;
    end.outcome = unknown ? catalogue::claim_outcome::unknown : catalogue::claim_outcome::not_run;
    shared_.control.propose(end, claim_commit_timeout, nullptr);
}

void ingress::route(const request_id& id)
{
    pending& p = pending_.at(id);
    const mono_time now = shared_.now();
    p.may_have_run = false;
    if (now >= p.deadline) {
        refuse(id, error_kind::too_late, "");
        return;
    }
    while (const auto home = shared_.router.choose(p.pool, shared_.self(), p.excluded_homes, now)) {
        p.work.remaining_ms = std::chrono::duration_cast<milliseconds>(p.deadline - now).count();
        p.home = *home;
        // The home may start the request from the moment it is sent.
        p.may_have_run = true;
        shared_.router.record_sent(*home, p.pool);
        ++p.attempts;
        if (shared_.send(*home, p.work)) {
            return;
        }
        p.may_have_run = false;
        shared_.router.forget(*home);
    }
    park(id, p);
}

void ingress::park(const request_id& id, pending& p)
{
    const auto service = shared_.state().doc.services.find(p.work.service);
    const std::size_t max_parked =
        service == shared_.state().doc.services.end() ? 0 : service->second.queue_limit;
    if (parked_ >= max_parked) {
        refuse(id, error_kind::queue_full, "no backend server is available");
        return;
    }
    p.home = instance_id{};
    p.parked = true;
    ++parked_;
}

void ingress::route_parked()
{
    if (parked_ == 0) {
        return;
    }
    std::vector<request_id> waiting;
    for (auto& [id, p] : pending_) {
        if (p.parked) {
            p.excluded_homes.clear();
            if (shared_.router.choose(p.pool, shared_.self(), p.excluded_homes, shared_.now())) {
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

void ingress::reroute(const request_id& id, retry_reason reason)
{
    pending& p = pending_.at(id);
    shared_.counters.retried(reason);
    p.excluded_homes.insert(p.home);
    route(id);
}

void ingress::received(const instance_id& from, const wire::work_queued& m)
{
    const auto found = pending_.find(m.id);
    if (found != pending_.end() && found->second.home == from && !found->second.repeatable) {
        found->second.may_have_run = false;
    }
}

void ingress::received(const instance_id& from, const wire::start_confirm_request& m)
{
    const auto found = pending_.find(m.id);
    const bool go = found != pending_.end() && found->second.home == from &&
                    shared_.now() < found->second.deadline;
    if (go) {
        found->second.may_have_run = true;
    }
    shared_.send(from, wire::start_confirm_reply{m.id, go});
}

void ingress::received(const instance_id& from, wire::work_reply&& m)
{
    const auto found = pending_.find(m.id);
    if (found == pending_.end() || found->second.home != from) {
        return;
    }
    pending& p = found->second;
    if (!m.refused) {
        p.work.claim_key.clear();
        respond(m.id, {m.status, std::move(m.content_type), std::move(m.body), {}});
        return;
    }
    p.may_have_run = m.may_have_run;
    const bool retriable = m.kind == error_kind::no_server || m.kind == error_kind::not_serving ||
                           m.kind == error_kind::server_refused || m.kind == error_kind::queue_full;
    if (!m.may_have_run && retriable && p.attempts < max_attempts) {
        p.excluded_homes.insert(from);
        const bool another =
            shared_.router.choose(p.pool, shared_.self(), p.excluded_homes, shared_.now())
                .has_value();
        const bool wait_for_server = m.kind == error_kind::no_server;
        if (another || wait_for_server) {
            reroute(m.id, retry_reason::home_refused);
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

void ingress::home_unresponsive(const instance_id& home)
{
    for (const request_id& id : requests_at(home)) {
        pending& p = pending_.at(id);
        const bool may_repeat =
            p.repeatable && p.attempts < max_attempts && retry_budget_.try_spend();
        // A non-repeatable request that may have run keeps waiting: its reply may still arrive.
        if (!p.may_have_run || may_repeat) {
            p.may_have_run_earlier = p.may_have_run_earlier || p.may_have_run;
            reroute(id, retry_reason::home_lost);
        }
    }
}

void ingress::home_disconnected(const instance_id& home)
{
    shared_.router.forget(home);
    for (const request_id& id : requests_at(home)) {
        pending& p = pending_.at(id);
        if (!p.may_have_run) {
            reroute(id, retry_reason::home_lost);
        } else if (p.repeatable && p.attempts < max_attempts && retry_budget_.try_spend()) {
            p.may_have_run_earlier = true;
            reroute(id, retry_reason::home_lost);
        } else {
            refuse(id, error_kind::outcome_unknown,
                   "the connection to the server's home instance was lost");
        }
    }
}

void ingress::respond(const request_id& id, http::response&& response)
{
    auto node = pending_.extract(id);
    const pending& p = node.mapped();
    if (p.parked) {
        --parked_;
    }
    shared_.counters.observe(latency_kind::request, shared_.now() - p.arrived);
    response.headers.push_back({"Fescue-Request-Id", id.str()});
    caller_server_->respond(p.exchange, std::move(response));
}

void ingress::refuse(const request_id& id, error_kind kind, const std::string& detail)
{
    const pending& p = pending_.at(id);
    const bool may_have_run = p.may_have_run || p.may_have_run_earlier;
    if (!p.work.claim_key.empty()) {
        release_claim(p);
    }
    shared_.counters.refused(kind);
    const std::string text = fmt::format("refused as {}: {}", name_of(kind), detail);
    shared_.decisions.record("request/" + id.str(), text);
    shared_.decisions.record("team/" + p.work.team.str(), "request " + id.str() + " " + text);
    respond(id, error_response(kind, detail, may_have_run));
}

void ingress::refuse_all()
{
    std::vector<request_id> open;
    for (const auto& [id, p] : pending_) {
        open.push_back(id);
    }
    for (const request_id& id : open) {
        const pending& p = pending_.at(id);
        const bool may_have_run = p.may_have_run || p.may_have_run_earlier;
        refuse(id, may_have_run ? error_kind::outcome_unknown : error_kind::draining,
               "the instance stopped before the request ended");
    }
}

void ingress::sweep()
{
    const mono_time now = shared_.now();
    std::vector<request_id> expired;
    for (const auto& [id, p] : pending_) {
        const bool reply_overdue = !p.home.empty() && now >= p.deadline + reply_grace_period;
        if (reply_overdue || (p.parked && now >= p.deadline)) {
            expired.push_back(id);
        }
    }
    for (const request_id& id : expired) {
        const pending& p = pending_.at(id);
        if (p.parked) {
            refuse(id, error_kind::no_server,
                   "no backend server became available before the deadline");
        } else if (p.may_have_run) {
            refuse(id, error_kind::outcome_unknown,
                   "the server's home instance did not reply in time");
        } else {
            refuse(id, error_kind::too_late, "the deadline passed while the request was queued");
        }
    }
    route_parked();
}

} // namespace fescue::node
