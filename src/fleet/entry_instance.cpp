#include "entry_instance.h"

#include "peer_links.h"

#include "fescuestream/base/log.h"
#include "fescuestream/base/metrics.h"
#include "fescuestream/base/shutdown_schedule.h"
#include "fescuestream/wire/frame.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <map>

namespace fescue::fleet {

namespace {

constexpr milliseconds housekeeping_period{40};
/** Assumed timeout of a caller whose request carries none. */
constexpr milliseconds default_caller_timeout{3000};
/** Fraction of a caller's timeout after which it gets the error that the outcome is unknown. */
constexpr double caller_timeout_share = 0.8;
/** Largest timeout of a caller; a longer one counts as this. */
constexpr std::int64_t max_caller_timeout_ms = 3'600'000;
/** A call that no leader has received is refused after this: about the length of an election. */
constexpr milliseconds no_leader_timeout{1500};
/** Retry-After of a refused call: by then a leader should be elected. */
constexpr std::int64_t no_leader_retry_ms = 1000;
/** The load balancer takes an entry out of rotation after two failed readiness checks, a second
 * apart. */
constexpr milliseconds readiness_drain_time{2500};

constexpr int ok_status = 200;
constexpr int first_error_status = 400;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

constexpr std::size_t min_held_bodies = 4;
constexpr std::int64_t max_timeout_ms = 3'600'000;

/** Limits of the readiness port, which serves the load balancer and the metrics: together with the
 * callers' port it must fit the memory of the instance. */
http::request_limits readiness_limits(http::request_limits limits)
{
    constexpr std::size_t max_connections = 64;
    constexpr std::size_t max_body_bytes = 16U << 10U;
    constexpr std::size_t max_held_body_bytes = 1U << 20U;
    limits.max_connections = std::min(limits.max_connections, max_connections);
    limits.max_body_bytes = std::min(limits.max_body_bytes, max_body_bytes);
    limits.max_held_body_bytes = std::min(limits.max_held_body_bytes, max_held_body_bytes);
    return limits;
}

milliseconds parse_caller_timeout(const std::optional<std::string>& text)
{
    std::int64_t ms = 0;
    if (!text) {
        return default_caller_timeout;
    }
    const auto [end, parse_error] = std::from_chars(text->data(), text->data() + text->size(), ms);
    if (parse_error == std::errc::result_out_of_range && !text->starts_with('-')) {
        ms = max_caller_timeout_ms;
    }
    return ms > 0 ? milliseconds{std::min(ms, max_caller_timeout_ms)} : default_caller_timeout;
}

} // namespace

struct entry_instance::impl {
    event_loop& loop;
    const settings::job_service_settings& settings;
    const protocol& wire;
    metrics counters;
    std::unique_ptr<peer_links> peers;
    std::unique_ptr<http::server> caller_server;
    std::unique_ptr<http::server> readiness_server;
    timer_handle ticker;
    shutdown_schedule shutdown;

    struct open_call {
        http::exchange_id exchange{0};
        wire::forwarded_call call;
        mono_time received_at{};
        mono_time deadline{};
        /** The caller may have gone; the call is not sent before it is known to wait. */
        bool is_caller_unknown{false};
        /** Leader that it was sent to; empty: never sent, not processed, or connection lost. */
        instance_id sent_to;
        /** Number of times that it was sent without a reply: a leader may have acted on it. */
        std::uint32_t unanswered_sends{0};
    };
    std::map<std::uint64_t, open_call> open_calls;
    std::uint64_t next_call_number{wire::random_first_number()};
    /** Version of the document whose limits apply. */
    std::uint64_t limits_version{0};

    impl(event_loop& l, const settings::job_service_settings& s, const protocol& w)
        : loop{l}, settings{s}, wire{w}
    {
    }

    status start()
    {
        peers = std::make_unique<peer_links>(
            loop, settings,
            link_events{[this](const wire::hello& /*who*/, wire::message&& m) {
                            if (const auto* reply = std::get_if<wire::forwarded_reply>(&m)) {
                                on_reply(*reply);
                            } else if (const auto* limits = std::get_if<wire::caller_limits>(&m)) {
                                apply_limits(*limits);
                            }
                        },
                        [this](const wire::hello& /*who*/) { forward_unsent(); },
                        [this](const instance_id& id) { on_peer_disconnected(id); },
                        [](wire::hello& /*out*/) {}, [](wire::ping& /*out*/) {}});
        // Calls of which the callers have been answered meanwhile stay in the queue.
        peers->limit_pending(2 * settings.request_limits.max_held_body_bytes);
        if (auto fault = peers->start()) {
            return fault;
        }
        caller_server =
            std::make_unique<http::server>(loop, [this](http::exchange_id id, http::request&& in) {
                handle_call(id, std::move(in));
            });
        caller_server->capture_headers(wire.caller_headers);
        readiness_server =
            std::make_unique<http::server>(loop, [this](http::exchange_id id, http::request&& in) {
                handle_readiness_request(id, in);
            });
        caller_server->set_limits(settings.request_limits);
        caller_server->report_to(counters);
        readiness_server->set_limits(readiness_limits(settings.request_limits));
        readiness_server->report_to(counters);
        loop.on_iteration_end([this] { peers->flush(); });
        ticker = loop.every(housekeeping_period, [this] { housekeep(); });
        // The callers' port last, so that no caller connects to an instance that fails to start.
        if (auto fault = readiness_server->listen(settings.readiness, {})) {
            return fault;
        }
        return caller_server->listen(settings.callers, {});
    }

    /** Applies the limits of the configuration document; where it has none, the settings' limits.
     */
    void apply_limits(const wire::caller_limits& m)
    {
        if (m.version < limits_version || !caller_server) {
            return;
        }
        limits_version = m.version;
        http::request_limits limits = settings.request_limits;
        if (m.max_head_bytes > 0) {
            limits.max_head_bytes = static_cast<std::size_t>(m.max_head_bytes);
        }
        if (m.max_body_bytes > 0) {
            // Several bodies must fit the memory of all of them.
            limits.max_body_bytes = std::min(static_cast<std::size_t>(m.max_body_bytes),
                                             limits.max_held_body_bytes / min_held_bodies);
        }
        if (m.header_timeout_ms > 0) {
            limits.header_timeout = milliseconds{std::min(m.header_timeout_ms, max_timeout_ms)};
        }
        if (m.idle_timeout_ms > 0) {
            limits.idle_timeout = milliseconds{std::min(m.idle_timeout_ms, max_timeout_ms)};
        }
        log::info("limits_applied", {{"version", m.version},
                                     {"max_head_bytes", limits.max_head_bytes},
                                     {"max_body_bytes", limits.max_body_bytes},
                                     {"header_timeout_ms", limits.header_timeout.count()},
                                     {"idle_timeout_ms", limits.idle_timeout.count()}});
        caller_server->change_request_limits(limits);
    }

    bool ready() const
    {
        const instance_id& leader = peers->leader().id;
        return !shutdown.has_begun() && !leader.empty() && peers->is_connected(leader);
    }

    void handle_readiness_request(http::exchange_id id, const http::request& in)
    {
        if (in.path == "/metrics") {
            readiness_server->respond(id, {ok_status, "text/plain", counters.render(), {}});
            return;
        }
        readiness_server->respond(
            id, {ready() ? ok_status : service_unavailable, "text/plain", "", {}});
    }

    void handle_call(http::exchange_id id, http::request&& in)
    {
        open_call c;
        c.exchange = id;
        c.received_at = loop.now();
        // The caller's timeout began when it sent the call.
        const milliseconds timeout = parse_caller_timeout(in.captured_headers.at(1));
        c.deadline =
            in.arrived_after + milliseconds{static_cast<milliseconds::rep>(
                                   static_cast<double>(timeout.count()) * caller_timeout_share)};
        c.call.call_id = next_call_number++;
        c.call.method = std::move(in.method);
        c.call.host = std::move(in.host);
        c.call.path = std::move(in.path);
        c.call.key = in.captured_headers.at(0).value_or("");
        c.call.body = std::move(in.body);
        if (c.received_at >= c.deadline) {
            const auto age =
                std::chrono::duration_cast<milliseconds>(loop.now() - in.arrived_after);
            abandon(c, "timed_out", age);
            return;
        }
        if (c.call.method == "POST" && !check_caller(c)) {
            return;
        }
        const auto number = c.call.call_id;
        open_call& stored = open_calls.emplace(number, std::move(c)).first->second;
        if (shutdown.is_answer_due(loop.now())) {
            respond_with_error(stored);
            open_calls.erase(number);
            return;
        }
        forward(stored);
    }

    /** Answers a call that was not sent and whose caller has given up: it may have cancelled the
     * job at another entry since. */
    void abandon(const open_call& c, const char* why, milliseconds age)
    {
        counters.count("calls_abandoned");
        log::info("call_abandoned", {{"method", c.call.method},
                                     {"path", c.call.path},
                                     {"why", why},
                                     {"age_ms", age.count()}});
        respond_with_error(c);
    }

    /** @return false if the caller has gone; the call has been answered then. */
    bool check_caller(open_call& c)
    {
        const http::client_presence presence = caller_server->check_client(c.exchange);
        c.is_caller_unknown = presence == http::client_presence::unknown;
        if (presence == http::client_presence::gone) {
            const auto age = std::chrono::duration_cast<milliseconds>(loop.now() - c.received_at);
            abandon(c, "caller_gone", age);
            return false;
        }
        return true;
    }

    void check_callers()
    {
        for (auto at = open_calls.begin(); at != open_calls.end();) {
            const bool is_gone = at->second.is_caller_unknown && !check_caller(at->second);
            at = is_gone ? open_calls.erase(at) : std::next(at);
        }
    }

    void forward(open_call& c)
    {
        const instance_id& leader = peers->leader().id;
        if (c.sent_to == leader || leader.empty() || c.is_caller_unknown ||
            loop.now() >= c.deadline) {
            return;
        }
        if (peers->send(leader, c.call)) {
            c.sent_to = leader;
            ++c.unanswered_sends;
        }
    }

    void forward_unsent()
    {
        for (auto& [number, c] : open_calls) {
            forward(c);
        }
    }

    void on_peer_disconnected(const instance_id& id)
    {
        for (auto& [number, c] : open_calls) {
            if (c.sent_to == id) {
                c.sent_to = instance_id{};
            }
        }
    }

    void on_reply(const wire::forwarded_reply& reply)
    {
        const auto found = open_calls.find(reply.call_id);
        if (found == open_calls.end()) {
            return;
        }
        open_call& c = found->second;
        --c.unanswered_sends;
        if (reply.status == 0) {
            // The instance was not the leader and did not process the call.
            c.sent_to = instance_id{};
            return;
        }
        // A refusal promises that the job never runs, but an earlier leader may have accepted it.
        const bool refused = c.call.method == "POST" && reply.status >= first_error_status;
        if (refused && c.unanswered_sends > 0) {
            respond_with_error(c);
        } else {
            respond(c, reply.status, reply.body, reply.retry_after_ms);
        }
        open_calls.erase(found);
    }

    void respond(const open_call& c, int status, const std::string& body,
                 std::int64_t retry_after_ms)
    {
        const auto elapsed = loop.now() - c.received_at;
        counters.observe(latency_kind::entry_call, elapsed);
        counters.count(fmt::format("calls_answered_{}", status));
        http::response out;
        out.status = status;
        out.body = body;
        if (retry_after_ms > 0) {
            const std::int64_t seconds = (retry_after_ms + 999) / 1000;
            out.headers.push_back({"Retry-After", std::to_string(seconds)});
        }
        if (c.call.method == "POST" || status >= 400) {
            log::info("call_answered",
                      {{"method", c.call.method},
                       {"path", c.call.path},
                       {"status", status},
                       {"took_ms", std::chrono::duration_cast<milliseconds>(elapsed).count()},
                       {"leader", c.sent_to.str()}});
        }
        caller_server->respond(c.exchange, std::move(out));
    }

    void housekeep()
    {
        check_callers();
        forward_unsent();
        const mono_time now = loop.now();
        std::erase_if(open_calls, [&](const auto& entry) {
            const open_call& c = entry.second;
            const bool no_leader_in_time =
                c.unanswered_sends == 0 && now - c.received_at > no_leader_timeout;
            if (!no_leader_in_time && now < c.deadline) {
                return false;
            }
            respond_with_error(c);
            return true;
        });
        if (shutdown.has_begun()) {
            continue_shutdown(now);
        }
    }

    /** Answers a call that no leader has answered. */
    void respond_with_error(const open_call& c)
    {
        if (c.unanswered_sends > 0) {
            respond(c, gateway_timeout, R"({"error":"outcome_unknown"})", 0);
        } else {
            respond(c, service_unavailable, R"({"error":"no_leader"})", no_leader_retry_ms);
        }
    }

    void continue_shutdown(mono_time now)
    {
        if (shutdown.elapsed(now) >= readiness_drain_time || shutdown.is_answer_due(now)) {
            caller_server->stop_accepting();
        }
        if (shutdown.is_answer_due(now)) {
            for (const auto& [number, c] : open_calls) {
                respond_with_error(c);
            }
            open_calls.clear();
        }
        if (caller_server->is_drained() || shutdown.is_exit_due(now)) {
            log::info("stopped", {{"open_calls", open_calls.size()},
                                  {"unfinished", caller_server->unfinished_exchanges()}});
            loop.stop();
        }
    }

    void shut_down()
    {
        if (shutdown.has_begun()) {
            return;
        }
        log::info("stopping", {{"open_calls", open_calls.size()}});
        shutdown.begin(loop.now(), milliseconds{settings.bounds.grace_ms});
        caller_server->close_after_answers();
    }
};

entry_instance::entry_instance(event_loop& loop, const settings::job_service_settings& settings,
                               const protocol& wire)
    : impl_{std::make_unique<impl>(loop, settings, wire)}
{
}

entry_instance::~entry_instance() = default;

status entry_instance::start()
{
    return impl_->start();
}

void entry_instance::reload(const settings::job_service_settings& updated)
{
    for (const std::string& seed : updated.seeds) {
        impl_->peers->add_scheduler(instance_id{seed});
    }
}

void entry_instance::shut_down()
{
    impl_->shut_down();
}

} // namespace fescue::fleet
