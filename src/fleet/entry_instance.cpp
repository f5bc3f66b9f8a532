#include "entry_instance.h"

#include "links.h"

#include "fescuestream/base/log.h"
#include "fescuestream/base/metrics.h"

#include <fmt/format.h>

#include <charconv>
#include <map>

namespace fescue::fleet {

namespace {

constexpr milliseconds housekeeping_period{40};
/** Callers that do not say how long they wait are taken to wait this long. */
constexpr milliseconds usual_wait{3000};
/** Share of a caller's wait after which it is told that the outcome is unknown. */
constexpr double answered_within = 0.8;
/** A call that no leader has seen is refused after this: about the length of an election. */
constexpr milliseconds unseen_patience{1500};
/** When a refused caller should come back: by then there is a leader. */
constexpr std::int64_t come_back_ms = 1000;
/** The balancer takes two misses, a second apart, to send new connections elsewhere. */
constexpr milliseconds unready_time{2500};
/** What is left of the grace at the end, so that the process ends by itself. */
constexpr milliseconds grace_margin{700};

constexpr int ok_status = 200;
constexpr int unavailable = 503;
constexpr int no_answer_in_time = 504;

milliseconds wait_of(const std::optional<std::string>& text)
{
    std::int64_t ms = 0;
    if (!text) {
        return usual_wait;
    }
    const auto [end, fault] = std::from_chars(text->data(), text->data() + text->size(), ms);
    return fault == std::errc{} && ms > 0 ? milliseconds{ms} : usual_wait;
}

} // namespace

struct entry_instance::impl {
    event_loop& loop;
    const settings::job_service_settings& settings;
    const protocol& wire;
    metrics counters;
    std::unique_ptr<links> peers;
    std::unique_ptr<http::server> callers;
    std::unique_ptr<http::server> readiness;
    timer_handle ticker;
    mono_time stop_began{};
    bool stopping{false};

    struct open_call {
        http::exchange_id exchange{0};
        wire::forwarded_call call;
        mono_time since{};
        mono_time give_up{};
        /** The leader that has it; empty: none. */
        instance_id at;
        /** Some leader may have acted on it. */
        bool seen{false};
    };
    std::map<std::uint64_t, open_call> open;
    std::uint64_t next_number{1};

    impl(event_loop& l, const settings::job_service_settings& s, const protocol& w)
        : loop{l}, settings{s}, wire{w}
    {
    }

    status start()
    {
        peers = std::make_unique<links>(
            loop, settings,
            link_events{[this](const wire::hello& /*who*/, wire::message&& m) {
                            if (const auto* reply = std::get_if<wire::forwarded_reply>(&m)) {
                                answered(*reply);
                            }
                        },
                        [this](const wire::hello& /*who*/) { send_all(); },
                        [this](const instance_id& id) { lost(id); }, [](wire::hello& /*out*/) {},
                        [](wire::ping& /*out*/) {}});
        if (auto fault = peers->start()) {
            return fault;
        }
        callers = std::make_unique<http::server>(
            loop, [this](http::exchange_id id, http::request&& in) { take(id, std::move(in)); });
        callers->keep_headers(wire.caller_headers);
        if (auto fault = callers->listen(settings.callers, {})) {
            return fault;
        }
        readiness = std::make_unique<http::server>(
            loop, [this](http::exchange_id id, http::request&& in) { probe(id, in); });
        loop.at_round_end([this] { peers->flush(); });
        ticker = loop.every(housekeeping_period, [this] { housekeep(); });
        return readiness->listen(settings.readiness, {});
    }

    bool ready() const
    {
        const instance_id& leader = peers->leader().id;
        return !stopping && !leader.empty() && peers->connected(leader);
    }

    void probe(http::exchange_id id, const http::request& in)
    {
        if (in.path == "/metrics") {
            readiness->respond(id, {ok_status, "text/plain", counters.render(), {}});
            return;
        }
        readiness->respond(id, {ready() ? ok_status : unavailable, "text/plain", "", {}});
    }

    void take(http::exchange_id id, http::request&& in)
    {
        open_call c;
        c.exchange = id;
        c.since = loop.now();
        const milliseconds wait = wait_of(in.kept.at(1));
        c.give_up = c.since + milliseconds{static_cast<milliseconds::rep>(
                                  static_cast<double>(wait.count()) * answered_within)};
        c.call.number = next_number++;
        c.call.method = std::move(in.method);
        c.call.host = std::move(in.host);
        c.call.path = std::move(in.path);
        c.call.key = in.kept.at(0).value_or("");
        c.call.body = std::move(in.body);
        const auto number = c.call.number;
        open_call& kept = open.emplace(number, std::move(c)).first->second;
        send(kept);
    }

    void send(open_call& c)
    {
        const instance_id& leader = peers->leader().id;
        if (c.at == leader || leader.empty()) {
            return;
        }
        if (peers->send(leader, c.call)) {
            c.at = leader;
            c.seen = true;
        }
    }

    void send_all()
    {
        for (auto& [number, c] : open) {
            send(c);
        }
    }

    void lost(const instance_id& id)
    {
        for (auto& [number, c] : open) {
            if (c.at == id) {
                c.at = instance_id{};
            }
        }
    }

    void answered(const wire::forwarded_reply& reply)
    {
        const auto found = open.find(reply.number);
        if (found == open.end()) {
            return;
        }
        if (reply.status == 0) {
            // It did not lead and did not look at the call.
            found->second.at = instance_id{};
            return;
        }
        finish(found->second, reply.status, reply.body, reply.retry_after_ms);
        open.erase(found);
    }

    void finish(const open_call& c, int status, const std::string& body, std::int64_t retry_ms)
    {
        const auto took = loop.now() - c.since;
        counters.observe(latency_kind::entry_call, took);
        counters.count(fmt::format("calls_answered_{}", status));
        http::response out;
        out.status = status;
        out.body = body;
        if (retry_ms > 0) {
            const std::int64_t seconds = (retry_ms + 999) / 1000;
            out.headers.push_back({"Retry-After", std::to_string(seconds)});
        }
        if (c.call.method == "POST" || status >= 400) {
            log::info("call_answered",
                      {{"method", c.call.method},
                       {"path", c.call.path},
                       {"status", status},
                       {"took_ms", std::chrono::duration_cast<milliseconds>(took).count()},
                       {"leader", c.at.str()}});
        }
        callers->respond(c.exchange, std::move(out));
    }

    void housekeep()
    {
        send_all();
        const mono_time now = loop.now();
        std::erase_if(open, [&](const auto& entry) {
            const open_call& c = entry.second;
            const bool unseen_too_long = !c.seen && now - c.since > unseen_patience;
            if (!unseen_too_long && now < c.give_up) {
                return false;
            }
            if (c.seen) {
                finish(c, no_answer_in_time, R"({"error":"outcome_unknown"})", 0);
            } else {
                finish(c, unavailable, R"({"error":"no_leader"})", come_back_ms);
            }
            return true;
        });
        if (stopping) {
            end_if_through(now);
        }
    }

    void end_if_through(mono_time now)
    {
        const auto passed = now - stop_began;
        const milliseconds most = milliseconds{settings.bounds.grace_ms} - grace_margin;
        if ((passed >= unready_time && open.empty()) || passed >= most) {
            log::info("stopped", {{"open_calls", open.size()}});
            loop.stop();
        }
    }

    void shut_down()
    {
        if (stopping) {
            return;
        }
        log::info("stopping", {{"open_calls", open.size()}});
        stopping = true;
        stop_began = loop.now();
        callers->close_after_answers();
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

void entry_instance::reload(const settings::job_service_settings& now)
{
    for (const std::string& seed : now.seeds) {
        impl_->peers->add_scheduler(instance_id{seed});
    }
}

void entry_instance::shut_down()
{
    impl_->shut_down();
}

} // namespace fescue::fleet
