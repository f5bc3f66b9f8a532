#include "node.h"

#include "context.h"
#include "control_api.h"
#include "ingress.h"
#include "leader_controller.h"
#include "responses.h"
#include "task_dispatcher.h"

#include "fescuestream/base/codec.h"
#include "fescuestream/base/log.h"
#include "fescuestream/base/shutdown_schedule.h"
#include "fescuestream/wire/frame.h"
#include "fescuestream/wire/transport.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <cstring>

namespace fescue::node {

namespace {

constexpr milliseconds heartbeat_period{250};
constexpr milliseconds periodic_task_interval{10};
constexpr milliseconds report_period{200};
/** An unchanged report is sent again at this interval. */
constexpr milliseconds unchanged_report_period{600};
/** Minimum time between two reports that are triggered by demand or by a new server. */
constexpr milliseconds min_report_interval{3};
constexpr milliseconds load_period{200};
constexpr milliseconds min_load_interval{20};
/** A load balancer needs about this long to notice that the instance is not ready. */
constexpr milliseconds readiness_grace_period{1000};
constexpr milliseconds max_shutdown_duration{30'000};
constexpr std::size_t max_unrouted_announcements = 4096;

std::string to_text(const http::endpoint& at)
{
    return at.ip + ":" + std::to_string(at.port);
}

std::vector<wire::peer_address> addresses_of(const settings::instance_settings& s)
{
    std::vector<wire::peer_address> out;
    for (const settings::peer& p : s.peers) {
        out.push_back({p.id, p.address});
    }
    return out;
}

std::uint64_t random_number()
{
    std::uint64_t out = 0;
    randombytes_buf(&out, sizeof out);
    return out;
}

} // namespace

struct instance::impl {
    event_loop& loop;
    settings::instance_settings settings;
    incarnation own_incarnation;
    incarnation disk_incarnation{0};
    metrics counters;
    decision_log decisions;
    http::client client;
    dispatch::router router;
    membership::heartbeat_table heartbeats;
    std::unique_ptr<wire::transport> transport;
    std::unique_ptr<control_plane> control;
    std::unique_ptr<context> shared;
    std::unique_ptr<task_dispatcher> dispatcher;
    std::unique_ptr<ingress> caller_ingress;
    std::unique_ptr<leader_controller> controller;
    std::unique_ptr<control_api> control_handler;
    std::unique_ptr<http::server> caller_server;
    std::unique_ptr<http::server> control_server;
    std::vector<timer_handle> timers;
    std::vector<instance_id> neighbours;
    std::map<instance_id, incarnation> peer_incarnations;
    std::map<instance_id, std::uint64_t> peer_clusters;
    std::map<server_id, wire::announcement> unrouted_announcements;
    bool has_new_unrouted_announcements{false};
    std::uint64_t heartbeat_sequence{0};
    mono_time last_report{};
    mono_time last_load{};
    std::string last_load_bytes;
    /** Peers that have received the current load report. */
    std::set<instance_id> peers_with_load;
    std::string last_report_bytes;
    mono_time last_full_report{};
    mono_time cut_off_since{};
    shutdown_schedule shutdown;
    std::optional<mono_time> resigned_at;
    int exit_code{0};

    impl(event_loop& l, settings::instance_settings s)
        : loop{l}, settings{std::move(s)}, own_incarnation{random_number() >> 1U}, client{l}
    {
    }

    status start()
    {
        auto opened = replication::open_disk(settings.data_folder);
        if (!ok(opened)) {
            return error_of(opened);
        }
        disk_incarnation = value(opened).incarnation_id;
        transport = std::make_unique<wire::transport>(
            loop, settings.cluster_secret, settings.listen.peers, addresses_of(settings),
            wire::transport_events{
                [this](const wire::hello& who, wire::message&& m) { received(who, std::move(m)); },
                [this](const wire::heartbeat& message) { heartbeats.record(message, loop.now()); },
                [this](const wire::hello& who) { connected(who); },
                [this](const instance_id& who) { disconnected(who); }});
        control = std::make_unique<control_plane>(
            loop, settings.id, disk_incarnation, std::move(value(opened).store),
            std::move(value(opened).found),
            control_events{[this](const instance_id& to, const wire::message& m) {
                               return transport->send(to, m);
                           },
                           [this](const catalogue::command& cmd,
                                  const catalogue::apply_result& /*outcome*/) { applied(cmd); },
                           [this] { restored(); }, [this](const error& e) { handle_failure(e); }});
        create_components();
        return open_ports();
    }

    void create_components()
    {
        shared = std::make_unique<context>(context{loop,
                                                   settings,
                                                   *control,
                                                   counters,
                                                   decisions,
                                                   client,
                                                   router,
                                                   own_incarnation,
                                                   {},
                                                   false,
                                                   {},
                                                   {},
                                                   {}});
        shared->serving = [this] { return serving(); };
        shared->lease_expired_for = [this] { return lease_expired_for(); };
        shared->send = [this](const instance_id& to, wire::message&& m) {
            return send(to, std::move(m));
        };
        dispatcher = std::make_unique<task_dispatcher>(*shared);
        caller_ingress = std::make_unique<ingress>(*shared);
        controller = std::make_unique<leader_controller>(*shared);
        control_handler = std::make_unique<control_api>(
            *shared, *controller,
            control_api_events{
                [this](const wire::announcement& info) { handle_announcement(info); },
                [this] { return form(); }, [this] { dispatcher->restored(); }});
    }

    status open_ports()
    {
        caller_server =
            std::make_unique<http::server>(loop, [this](http::exchange_id id, http::request&& in) {
                handle_caller_request(id, std::move(in));
            });
        control_server =
            std::make_unique<http::server>(loop, [this](http::exchange_id id, http::request&& in) {
                control_handler->handle_request(id, std::move(in));
            });
        for (http::server* server : {caller_server.get(), control_server.get()}) {
            server->set_limits(settings.request_limits);
            server->report_to(counters);
        }
        caller_ingress->set_server(*caller_server);
        control_handler->set_server(*control_server);
        std::set<instance_id> peers;
        for (const settings::peer& p : settings.peers) {
            peers.insert(p.id);
        }
        control->replica().set_peers(peers);
        // The callers' port last, so that no caller connects to an instance that fails to start.
        if (auto err = transport->start([this] { return hello(); })) {
            return err;
        }
        if (auto err = control_server->listen(settings.listen.control, settings.tls)) {
            return err;
        }
        if (auto err = caller_server->listen(settings.listen.callers, settings.tls)) {
            return err;
        }
        if (settings.peers.empty() && !control->replica().formed()) {
            control->replica().form(random_number(), loop.now());
            if (settings.data_folder.empty()) {
                log::warning(
                    "no_disk",
                    {{"effect", "the control state is not persistent and is lost at shutdown"}});
            }
        }
        controller->hello_received(hello());
        timers.push_back(loop.every(heartbeat_period, [this] { send_heartbeat(); }));
        timers.push_back(loop.every(periodic_task_interval, [this] { run_periodic_tasks(); }));
        loop.on_iteration_end([this] { on_loop_round_end(); });
        return std::nullopt;
    }

    wire::hello hello() const
    {
        wire::hello h;
        h.from = settings.id;
        h.incarnation_id = own_incarnation;
        h.disk = disk_incarnation;
        h.cluster = control->replica().voters().cluster;
        h.data_centre = settings.data_centre;
        h.callers_address = to_text(settings.listen.callers);
        h.control_address = to_text(settings.listen.control);
        return h;
    }

    status form()
    {
        if (control->replica().formed()) {
            return std::nullopt;
        }
        if (settings.data_folder.empty() && !settings.peers.empty()) {
            return error{error_kind::conflict,
                         "this instance has no data folder; use an instance that has one"};
        }
        for (const auto& [id, cluster] : peer_clusters) {
            if (cluster != 0) {
                return error{error_kind::conflict,
                             "instance '" + id.str() + "' already belongs to a cluster"};
            }
        }
        control->replica().form(random_number() | 1U, loop.now());
        log::info("formed", {{"instance", settings.id.str()}});
        return std::nullopt;
    }

    membership::serving serving() const
    {
        membership::serving_inputs in;
        in.self = settings.id;
        in.now = loop.now();
        in.leader_lease_until = control->replica().lease_until();
        in.has_state = control->replica().formed() && control->state().applied > 0 &&
                       control->state().members.contains(settings.id) &&
                       control->state().members.at(settings.id).incarnation_id == own_incarnation;
        in.neighbours = neighbours;
        return membership::decide_serving(in, heartbeats);
    }

    milliseconds lease_expired_for() const
    {
        const mono_time lease = control->replica().lease_until();
        const mono_time now = loop.now();
        return now < lease ? milliseconds{0}
                           : std::chrono::duration_cast<milliseconds>(now - lease);
    }

    void refresh_neighbours()
    {
        neighbours.clear();
        for (const auto& [id, m] : control->state().members) {
            if (id != settings.id && m.incarnation_id != 0 &&
                m.data_centre == settings.data_centre) {
                neighbours.push_back(id);
            }
        }
    }

    bool send(const instance_id& to, wire::message&& m)
    {
        if (to != settings.id) {
            return transport->send(to, m);
        }
        loop.defer([this, m = std::make_shared<wire::message>(std::move(m))] {
            deliver(settings.id, std::move(*m));
        });
        return true;
    }

    void received(const wire::hello& who, wire::message&& m)
    {
        const auto mine = control->replica().voters().cluster;
        if (mine != 0 && who.cluster != 0 && who.cluster != mine) {
            return;
        }
        deliver(who.from, std::move(m));
    }

    void deliver(const instance_id& from, wire::message&& m)
    {
        std::visit([&](auto&& body) { handle(from, std::forward<decltype(body)>(body)); },
                   std::move(m));
    }

    void handle(const instance_id& /*from*/, wire::hello&& /*m*/) {}
    /** Logs and drops messages of the job service, which this kind of instance does not handle. */
    template <class M>
    void handle(const instance_id& from, M&& /*other*/)
    {
        log::warning("message_unexpected", {{"peer", from.str()}});
    }
    void handle(const instance_id& from, consensus::append_request&& m)
    {
        handle_consensus(from, std::move(m));
    }
    void handle(const instance_id& from, consensus::append_reply&& m) { handle_consensus(from, m); }
    void handle(const instance_id& from, consensus::vote_request&& m) { handle_consensus(from, m); }
    void handle(const instance_id& from, consensus::vote_reply&& m) { handle_consensus(from, m); }
    void handle(const instance_id& from, consensus::install_snapshot&& m)
    {
        handle_consensus(from, std::move(m));
    }
    void handle_consensus(const instance_id& from, consensus::message&& m)
    {
        control->received(from, m);
    }
    void handle(const instance_id& from, wire::propose_request&& m) { control->received(from, m); }
    void handle(const instance_id& from, wire::propose_reply&& m) { control->received(from, m); }
    void handle(const instance_id& from, wire::control_call&& m)
    {
        control_handler->received(from, std::move(m));
    }
    void handle(const instance_id& /*from*/, wire::control_reply&& m)
    {
        control_handler->received(m);
    }
    void handle(const instance_id& from, wire::work&& m) { dispatcher->submit(from, std::move(m)); }
    void handle(const instance_id& from, wire::work_queued&& m)
    {
        caller_ingress->received(from, m);
    }
    void handle(const instance_id& from, wire::start_confirm_request&& m)
    {
        caller_ingress->received(from, m);
    }
    void handle(const instance_id& /*from*/, wire::start_confirm_reply&& m)
    {
        dispatcher->received(m);
    }
    void handle(const instance_id& from, wire::work_reply&& m)
    {
        caller_ingress->received(from, std::move(m));
    }
    void handle(const instance_id& /*from*/, wire::announcement&& m) { handle_announcement(m); }
    void handle(const instance_id& from, wire::load_report&& m)
    {
        router.update(from, m, loop.now());
        caller_ingress->route_parked();
    }
    void handle(const instance_id& from, wire::instance_report&& m)
    {
        controller->received(from, m);
    }
    void handle(const instance_id& /*from*/, wire::release_request&& m) { dispatcher->received(m); }

    void connected(const wire::hello& who)
    {
        const auto before = peer_incarnations.find(who.from);
        if (before != peer_incarnations.end() && before->second != who.incarnation_id) {
            caller_ingress->home_disconnected(who.from);
        }
        peer_incarnations[who.from] = who.incarnation_id;
        peer_clusters[who.from] = who.cluster;
        control->replica().peer_connected(who.from);
        controller->hello_received(who);
        log::info("peer_connected", {{"peer", who.from.str()}});
    }

    void disconnected(const instance_id& who)
    {
        log::warning("peer_disconnected", {{"peer", who.str()}});
        controller->disconnected(who);
        peers_with_load.erase(who);
        // Deferred because the disconnect may be reported from within a send, while its caller is
        // still modifying its own state.
        loop.defer([this, who] { caller_ingress->home_disconnected(who); });
    }

    void applied(const catalogue::command& cmd)
    {
        if (std::holds_alternative<catalogue::register_instance>(cmd)) {
            refresh_neighbours();
        }
        dispatcher->applied(cmd);
        controller->applied(cmd);
    }

    void restored()
    {
        refresh_neighbours();
        dispatcher->restored();
    }

    void handle_failure(const error& e)
    {
        log::failure("stopping", {{"why", e.detail}});
        exit_code = 1;
        shared->draining = true;
        shutdown.hasten(loop.now());
    }

    void handle_announcement(const wire::announcement& info)
    {
        const auto& state = control->state();
        const bool record_is_current = shared->state_matches(info);
        const auto* record = state.find_home(info.data_centre, info.id);
        bool delivered = false;
        if (record_is_current && record != nullptr && record->home == settings.id &&
            record->incarnation_id == own_incarnation) {
            dispatcher->handle_announcement(info);
            delivered = true;
        } else if (record_is_current && record != nullptr && record->home != settings.id) {
            delivered = transport->send(record->home, info);
        }
        if (!delivered && unrouted_announcements.size() < max_unrouted_announcements) {
            has_new_unrouted_announcements =
                has_new_unrouted_announcements || !unrouted_announcements.contains(info.id);
            unrouted_announcements[info.id] = info;
        }
    }

    void send_heartbeat()
    {
        wire::heartbeat b;
        b.from = settings.id;
        b.incarnation_id = own_incarnation;
        b.sequence = ++heartbeat_sequence;
        const auto left = control->replica().lease_until() - loop.now();
        b.lease_remaining_ms =
            std::clamp<std::int64_t>(std::chrono::duration_cast<milliseconds>(left).count(), 0,
                                     control->replica().intervals().lease.count());
        b.heard_instances = heartbeats.alive_instances(loop.now());
        // Heartbeats affect serving decisions only among instances of the same data centre.
        transport->send_heartbeat(b, neighbours);
    }

    void run_periodic_tasks()
    {
        const mono_time now = loop.now();
        controller->tick();
        control_handler->tick();
        if (now - last_report >= report_period) {
            send_report(now);
        }
        broadcast_load(now);
        for (const instance_id& silent : router.take_expired_homes(now)) {
            caller_ingress->home_unresponsive(silent);
        }
        if (shared->draining) {
            continue_shutdown(now);
        }
    }

    void on_loop_round_end()
    {
        const mono_time now = loop.now();
        if (now - last_report >= min_report_interval &&
            (dispatcher->consume_newly_blocked() || has_new_unrouted_announcements)) {
            send_report(now);
            controller->tick();
        }
        if (control_handler->has_pending_orders()) {
            control_handler->tick();
        }
    }

    void send_report(mono_time now)
    {
        last_report = now;
        wire::instance_report r;
        r.incarnation_id = own_incarnation;
        r.draining = shared->draining;
        dispatcher->fill_report(r);
        for (auto& [id, info] : unrouted_announcements) {
            r.unrouted_announcements.push_back(std::move(info));
        }
        unrouted_announcements.clear();
        has_new_unrouted_announcements = false;
        for (const instance_id& id : neighbours) {
            if (!heartbeats.is_alive(id, now)) {
                r.not_heard.push_back(id);
            }
        }
        const auto& leader_id = control->replica().leader();
        const std::string bytes = leader_id.str() + to_bytes(r);
        if (bytes == last_report_bytes && now - last_full_report < unchanged_report_period) {
            return;
        }
        last_report_bytes = bytes;
        last_full_report = now;
        if (leader_id == settings.id) {
            controller->received(settings.id, r);
        } else if (!leader_id.empty()) {
            transport->send(leader_id, r);
        }
    }

    void broadcast_load(mono_time now)
    {
        if (now - last_load < min_load_interval) {
            return;
        }
        const wire::load_report load = dispatcher->load();
        const std::string bytes = to_bytes(load);
        const bool unchanged = bytes == last_load_bytes;
        if (unchanged && now - last_load < load_period) {
            return;
        }
        last_load = now;
        last_load_bytes = bytes;
        wire::load_report unchanged_load;
        unchanged_load.unchanged = true;
        for (const settings::peer& p : settings.peers) {
            const bool peer_is_current = unchanged && peers_with_load.contains(p.id);
            if (transport->send(p.id, peer_is_current ? unchanged_load : load)) {
                peers_with_load.insert(p.id);
            }
        }
        router.update(settings.id, load, now);
        counters.gauge("control_bytes_sent", static_cast<double>(transport->bytes_sent()));
        counters.gauge("open_requests", static_cast<double>(caller_ingress->open_requests()));
    }

    void handle_caller_request(http::exchange_id id, http::request&& in)
    {
        if (in.path == "/healthz") {
            caller_server->respond(id, json_response(200, R"({"alive":true})"));
            return;
        }
        if (in.path == "/readyz") {
            const bool ready = !shared->draining && serving() != membership::serving::not_serving;
            caller_server->respond(id,
                                   json_response(ready ? 200 : 503, ready ? R"({"ready":true})"
                                                                          : R"({"ready":false})"));
            return;
        }
        const mono_time now = loop.now();
        const bool reject_new_requests =
            shutdown.is_answer_due(now) ||
            (shutdown.has_begun() && shutdown.elapsed(now) > readiness_grace_period);
        if (reject_new_requests) {
            counters.refused(error_kind::draining);
            caller_server->respond(id, error_response(error_kind::draining, ""));
            return;
        }
        caller_ingress->handle_request(id, std::move(in));
    }

    void shut_down()
    {
        if (shutdown.has_begun()) {
            return;
        }
        log::info("shutting_down");
        shared->draining = true;
        shutdown.begin(loop.now(), max_shutdown_duration);
    }

    bool holds_allotments() const
    {
        for (const auto& [team, holders] : control->state().allotments) {
            const auto held = holders.find(settings.id);
            if (held != holders.end() && held->second.incarnation_id == own_incarnation &&
                held->second.counted > 0) {
                return true;
            }
        }
        return false;
    }

    bool is_home_of_any_shard() const
    {
        for (const auto& [dc, shards] : control->state().homes) {
            for (const auto& r : shards) {
                if (r.home == settings.id && r.incarnation_id == own_incarnation) {
                    return true;
                }
            }
        }
        return false;
    }

    bool holds_work() const
    {
        const bool busy = caller_ingress->open_requests() > 0 || dispatcher->open_jobs() > 0;
        const bool single_instance = settings.peers.empty();
        return busy || (!single_instance && (holds_allotments() || is_home_of_any_shard()));
    }

    /** @return whether the leadership, if it was this instance's, is handed over. */
    bool hand_over_leadership(mono_time now)
    {
        if (settings.peers.empty()) {
            return true;
        }
        if (control->replica().is_leader()) {
            resigned_at = now;
            control->replica().resign(now);
        }
        return !resigned_at || now - *resigned_at >= heartbeat_period;
    }

    void continue_shutdown(mono_time now)
    {
        if (shutdown.is_answer_due(now)) {
            caller_ingress->refuse_all();
            control_server->respond_to_all(error_response(error_kind::no_leader, "", true));
        } else if (shutdown.elapsed(now) < readiness_grace_period) {
            return;
        } else {
            dispatcher->release_unused_allotments();
            if (holds_work() || !hand_over_leadership(now)) {
                return;
            }
        }
        caller_server->stop_accepting();
        control_server->stop_accepting();
        const bool drained = caller_server->is_drained() && control_server->is_drained();
        if (drained || shutdown.is_exit_due(now)) {
            const auto unfinished =
                caller_server->unfinished_exchanges() + control_server->unfinished_exchanges();
            log::info("stopped", {{"open_requests", caller_ingress->open_requests()},
                                  {"unfinished", unfinished}});
            loop.stop();
        }
    }
};

instance::instance(event_loop& loop, settings::instance_settings settings)
    : impl_{std::make_unique<impl>(loop, std::move(settings))}
{
}

instance::~instance() = default;

status instance::start()
{
    return impl_->start();
}

void instance::shut_down()
{
    impl_->shut_down();
}

int instance::exit_status() const noexcept
{
    return impl_->exit_code;
}

} // namespace fescue::node
