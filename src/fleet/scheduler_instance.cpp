#include "scheduler_instance.h"

#include "caller_api.h"
#include "control_api.h"
#include "dispatcher.h"
#include "job_retention.h"
#include "machine_driver.h"
#include "order_fence.h"
#include "peer_links.h"
#include "received_orders.h"
#include "run_driver.h"
#include "scheduler_group.h"
#include "validation.h"

#include "fescuestream/base/codec.h"
#include "fescuestream/base/log.h"
#include "fescuestream/base/log_limiter.h"
#include "fescuestream/base/shutdown_schedule.h"
#include "fescuestream/wire/frame.h"
#include "fescuestream/wire/send_queue.h"

#include <fmt/format.h>

#include <map>
#include <set>

namespace fescue::fleet {

namespace {

constexpr milliseconds housekeeping_period{15};
constexpr milliseconds membership_period{100};
constexpr milliseconds job_purge_period{2000};
/** A forwarded control request without a reply from the leader is answered with 503 after this. */
constexpr milliseconds forward_timeout = max_order_age;
/** Ended jobs are retained this much longer than callers may query them. */
constexpr milliseconds job_retention_margin{5000};
/** Time for the transfer of leadership before a stopping scheduler closes its control port. */
constexpr milliseconds leadership_transfer_time{700};
/** Larger replies are not sent to a peer that does not take them as fast as they are requested. */
constexpr std::size_t large_reply_bytes = 16U << 10U;
constexpr int service_unavailable = 503;
constexpr int ok_status = 200;
/** Per server, one connection carries the long poll and the others carry orders; an order without
 * an answer occupies its connection for a second. */
constexpr long max_connections_per_server = 8;
constexpr long max_cached_server_connections = 1200;
/** Followers make no decisions, so the commit index may reach them with the next entries or after a
 * short delay. A sync takes 6 to 9 ms on the users' disks and blocks the leader's event loop: about
 * 15 syncs a second take a tenth of its time; one sync per loop iteration took half of it. */
constexpr consensus::timing consensus_timing{.heartbeat = milliseconds{200},
                                             .election = milliseconds{600},
                                             .lease = milliseconds{3000},
                                             .commit_delay = milliseconds{60},
                                             .leader_sync_delay = milliseconds{60}};
/** Number of log entries after which a snapshot is taken. */
constexpr log_index snapshot_entries = 4096;

http::response to_http(const wire::forwarded_reply& reply)
{
    http::response out;
    out.status = reply.status == 0 ? service_unavailable : reply.status;
    out.body = reply.status == 0 ? R"({"error":"no_leader"})" : reply.body;
    return out;
}

} // namespace

struct scheduler_instance::impl {
    event_loop& loop;
    const settings::job_service_settings& settings;
    const protocol& wire;
    metrics counters;
    http::client client;
    incarnation disk_incarnation{0};
    std::unique_ptr<peer_links> peers;
    std::unique_ptr<relay> order_relay;
    std::unique_ptr<job_log> log;
    std::unique_ptr<core_context> context;
    std::unique_ptr<scheduler_group> membership;
    std::unique_ptr<run_driver> runs;
    std::unique_ptr<dispatcher> task_dispatcher;
    std::unique_ptr<machine_driver> machines;
    std::unique_ptr<caller_api> callers;
    std::unique_ptr<control_api> control;
    std::unique_ptr<http::server> control_server;
    job_retention retention;
    log::limiter unreadable_reports;
    std::vector<timer_handle> timers;
    term_number leading_term{0};
    shutdown_schedule shutdown;
    int exit_code{0};

    struct forwarded_request {
        http::exchange_id exchange{0};
        mono_time since{};
    };
    std::map<std::uint64_t, forwarded_request> pending_forwards;
    order_fence accepted_orders;
    received_orders orders{
        {[this](http::exchange_id exchange) { return control_server->check_client(exchange); },
         [this](http::exchange_id exchange, const wire::forwarded_reply& r) {
             control_server->respond(exchange, to_http(r));
         },
         [this](const instance_id& to, const wire::message& m) {
             return stamping_peers.contains(to) && peers->send(to, m);
         },
         [this](const wire::forwarded_call& call, http::exchange_id exchange) {
             return carry_out_here(call, exchange);
         }}};
    /** Connected schedulers that know the messages of stamped orders. */
    std::set<instance_id> stamping_peers;
    /** The schedulers that know the commands on refused and exhausted jobs, and those connected
     * that don't. */
    std::set<instance_id> current_peers;
    std::set<instance_id> outdated_peers;
    std::uint64_t next_number{wire::random_first_number()};
    /** The entries that know the message, and what they were sent last; version 0: nothing. */
    std::set<instance_id> limit_receivers;
    wire::caller_limits sent_limits;

    impl(event_loop& l, const settings::job_service_settings& s, const protocol& w)
        : loop{l}, settings{s}, wire{w}, client{l,
                                                {max_connections_per_server,
                                                 max_cached_server_connections,
                                                 s.max_answer_bytes}},
          retention{milliseconds{s.bounds.retention_ms} + job_retention_margin}
    {
    }

    status start()
    {
        auto opened = replication::open_disk(settings.data_folder);
        if (!ok(opened)) {
            return error_of(opened);
        }
        disk_incarnation = value(opened).incarnation_id;
        peers = std::make_unique<peer_links>(
            loop, settings,
            link_events{[this](const wire::hello& who, wire::message&& m) {
                            on_message(who, std::move(m));
                        },
                        [this](const wire::hello& who) { on_peer_connected(who); },
                        [this](const instance_id& id) {
                            limit_receivers.erase(id);
                            stamping_peers.erase(id);
                            outdated_peers.erase(id);
                            membership->on_disconnected(id);
                            order_relay->on_disconnected(id);
                            expire_all_forwards();
                            orders.on_disconnected(id);
                        },
                        [this](wire::hello& out) {
                            out.disk = disk_incarnation;
                            out.cluster = log->replica().voters().cluster;
                        },
                        [this](wire::ping& out) { fill_ping(out); }});
        // Registered before the log's callback, so that the starts of a dispatch round are written
        // in the same batch as the other entries of the loop iteration.
        loop.on_iteration_end([this] {
            if (task_dispatcher && !shutdown.has_begun()) {
                task_dispatcher->run_if_due();
            }
        });
        create_log(std::move(value(opened)));
        create_components();
        return open_ports();
    }

    void create_log(replication::opened_disk&& opened)
    {
        log = std::make_unique<job_log>(
            loop, settings.id, disk_incarnation, std::move(opened.store), std::move(opened.found),
            replication::replicated_events<jobs::machine>{
                [this](const instance_id& to, const wire::message& m) {
                    return peers->send(to, m);
                },
                [this](const jobs::command& cmd, const jobs::outcome& /*outcome*/) {
                    runs->on_applied(cmd);
                    task_dispatcher->on_applied(cmd);
                    machines->on_applied(cmd);
                },
                [this] { log_restored(); }, [this](const error& e) { disk_failed(e); },
                [this] { peers->flush(); }},
            replication::snapshot_policy{snapshot_entries, settings.max_log_bytes / 2,
                                         settings.max_log_bytes / 2},
            consensus_timing);
    }

    void create_components()
    {
        order_relay = std::make_unique<relay>(
            loop, client, wire,
            [this](const instance_id& to, const wire::message& m) { return peers->send(to, m); });
        context = std::make_unique<core_context>(
            core_context{loop, settings, wire, client, *order_relay, *log, counters});
        membership = std::make_unique<scheduler_group>(*context, disk_incarnation);
        runs = std::make_unique<run_driver>(*context, [this] { task_dispatcher->request_round(); });
        task_dispatcher = std::make_unique<dispatcher>(*context, *runs);
        machines = std::make_unique<machine_driver>(*context, *runs, *task_dispatcher);
        callers = std::make_unique<caller_api>(*context);
        control = std::make_unique<control_api>(
            *context, *runs, [this](const jobs::server_report& r) { broadcast_report(r); });
        timers.push_back(loop.every(housekeeping_period, [this] { housekeep(); }));
        timers.push_back(loop.every(membership_period, [this] {
            send_caller_limits();
            membership->tick();
            context->all_commands_known = all_know_commands();
            order_relay->set_relay_peers(membership->connected_by_data_centre());
        }));
        timers.push_back(loop.every(job_purge_period, [this] { purge_old_jobs(); }));
        loop.on_iteration_end([this] { peers->flush(); });
        loop.on_slow_iteration(consensus_timing.heartbeat, [](milliseconds took) {
            log::info("slow_iteration", {{"took_ms", took.count()}});
        });
    }

    status open_ports()
    {
        if (auto fault = peers->start()) {
            return fault;
        }
        control_server =
            std::make_unique<http::server>(loop, [this](http::exchange_id id, http::request&& in) {
                handle_control_request(id, std::move(in));
            });
        control_server->set_limits(settings.request_limits);
        control_server->report_to(counters);
        return control_server->listen(settings.control, {});
    }

    void disk_failed(const error& e)
    {
        log::failure("disk_failed", {{"why", e.detail}});
        exit_code = 1;
        shutdown.hasten(loop.now());
        runs->on_leadership_lost();
    }

    void log_restored()
    {
        log::info("state_restored",
                  {{"applied", log->replica().applied()}, {"jobs", log->state().jobs.size()}});
        runs->on_state_restored();
        machines->on_state_restored();
        task_dispatcher->request_round();
    }

    void housekeep()
    {
        const auto& replica = log->replica();
        const bool leads =
            replica.settled() && membership->has_enough_voters() && !shutdown.has_begun();
        if (leads && (!runs->leading() || leading_term != replica.term())) {
            leading_term = replica.term();
            log::info("leading", {{"term", leading_term},
                                  {"cluster", replica.voters().cluster},
                                  {"voters", replica.voters().voters.size()},
                                  {"jobs", log->state().active_jobs.size()},
                                  {"servers_with_runs", log->state().runs.size()},
                                  {"frozen_leases", log->state().frozen_leases.size()}});
            runs->on_leadership_gained();
            task_dispatcher->on_leadership_gained();
            machines->on_leadership_gained();
            callers->on_leadership_gained();
        } else if (!leads && runs->leading()) {
            log::info("not_leading", {{"term", replica.term()}});
            runs->on_leadership_lost();
        }
        order_relay->tick();
        runs->tick();
        broadcast_ended_servers();
        machines->tick();
        expire_forwards();
        orders.tick(loop.now());
        if (shutdown.has_begun()) {
            continue_shutdown(loop.now());
        }
    }

    bool may_serve() const { return runs->leading() && context->has_leader_lease(); }

    /** An instance that does not know a command of the log halts. */
    bool all_know_commands() const
    {
        return outdated_peers.empty() &&
               std::ranges::all_of(log->replica().voters().voters, [&](const auto& voter) {
                   return voter.id == settings.id || current_peers.contains(voter.id);
               });
    }

    void purge_old_jobs()
    {
        if (may_serve()) {
            callers->drop_old_refusals();
        }
        // Every scheduler observes the ends, so that a change of leader does not restart the time.
        const jobs::remove_jobs cmd{retention.observe(log->state(), loop.now())};
        if (!cmd.ids.empty() && may_serve()) {
            log->propose_here(cmd);
        }
    }

    void fill_ping(wire::ping& out) const
    {
        const auto& replica = log->replica();
        if (may_serve()) {
            out.leader = settings.id;
            out.term = replica.term();
        } else if (!replica.is_leader()) {
            out.leader = replica.leader();
            out.term = replica.term();
        }
        out.schedulers = membership->schedulers();
    }

    /** Tells the entries the limits of a new document. */
    void send_caller_limits()
    {
        const jobs::document& doc = log->state().doc;
        if (!may_serve()) {
            sent_limits.version = 0;
            return;
        }
        if (doc.version == sent_limits.version) {
            return;
        }
        sent_limits = wire.parse_caller_limits(doc.source);
        sent_limits.version = doc.version;
        for (const instance_id& id : limit_receivers) {
            peers->send(id, sent_limits);
        }
    }

    void on_peer_connected(const wire::hello& who)
    {
        if (who.disk == 0 && wire::accepts_caller_limits(who)) {
            limit_receivers.insert(who.from);
            if (sent_limits.version > 0) {
                peers->send(who.from, sent_limits);
            }
        }
        membership->on_hello(who);
        log->replica().peer_connected(who.from);
        if (who.disk == 0) {
            return;
        }
        if (wire::accepts_order_stamps(who)) {
            stamping_peers.insert(who.from);
        }
        if (wire::accepts_job_refusals(who)) {
            current_peers.insert(who.from);
        } else {
            current_peers.erase(who.from);
            outdated_peers.insert(who.from);
        }
        wire::server_reports update;
        for (const auto& [id, view] : runs->servers()) {
            const auto age =
                std::chrono::duration_cast<milliseconds>(loop.now() - view.reported_at);
            if (!view.has_shut_down && !view.report.address.empty()) {
                update.reports.push_back({to_bytes(view.report), age.count()});
            }
        }
        peers->send(who.from, update);
    }

    void broadcast_ended_servers()
    {
        wire::server_reports update;
        update.gone = runs->take_ended_servers();
        if (update.gone.empty()) {
            return;
        }
        for (const instance_id& id : membership->schedulers()) {
            peers->send(id, update);
        }
    }

    void broadcast_report(const jobs::server_report& report)
    {
        wire::server_reports update;
        update.reports.push_back({to_bytes(report), 0});
        for (const instance_id& id : membership->schedulers()) {
            peers->send(id, update);
        }
    }

    void on_message(const wire::hello& who, wire::message&& m)
    {
        membership->on_message(who.from);
        const auto own_cluster = log->replica().voters().cluster;
        if (own_cluster != 0 && who.cluster != 0 && who.cluster != own_cluster) {
            log::warning("peer_cluster_mismatch",
                         {{"peer", who.from.str()}, {"cluster", who.cluster}});
            return;
        }
        std::visit([&](auto& body) { handle(who.from, std::move(body)); }, m);
    }

    template <class M>
    void handle(const instance_id& from, const M& /*other*/)
    {
        log::warning("message_unexpected", {{"peer", from.str()}});
    }
    void handle(const instance_id& from, const wire::relayed_call& m)
    {
        order_relay->handle(from, m);
    }
    void handle(const instance_id& /*from*/, const wire::relayed_answer& m)
    {
        order_relay->handle(m);
    }
    void handle(const instance_id& from, consensus::append_request&& m)
    {
        log->received(from, consensus::message{std::move(m)});
    }
    void handle(const instance_id& from, const consensus::append_reply& m)
    {
        log->received(from, consensus::message{m});
    }
    void handle(const instance_id& from, const consensus::vote_request& m)
    {
        log->received(from, consensus::message{m});
    }
    void handle(const instance_id& from, const consensus::vote_reply& m)
    {
        log->received(from, consensus::message{m});
    }
    void handle(const instance_id& from, consensus::install_snapshot&& m)
    {
        log->received(from, consensus::message{std::move(m)});
    }
    void handle(const instance_id& from, const wire::propose_request& m) { log->received(from, m); }
    void handle(const instance_id& from, const wire::propose_reply& m) { log->received(from, m); }
    void handle(const instance_id& from, const wire::server_reports& m)
    {
        for (const auto& shared_report : m.reports) {
            const auto report = from_bytes<jobs::server_report>(shared_report.bytes);
            const fescue::status fault =
                ok(report) ? check_report(value(report)) : error_of(report);
            if (fault) {
                counters.count("reports_unreadable");
                const auto count =
                    unreadable_reports.admit(from.str() + ' ' + fault->detail, loop.now());
                if (count > 0) {
                    log::warning(
                        "report_unreadable",
                        {{"from", from.str()}, {"why", fault->detail}, {"reports", count}});
                }
                continue;
            }
            runs->on_report(value(report), milliseconds{std::clamp<std::int64_t>(
                                               shared_report.age_ms, 0, max_duration_ms)});
        }
        for (const auto& server : m.gone) {
            runs->on_server_ended(server);
        }
    }

    reply_function reply_to(const instance_id& from, std::uint64_t call_id)
    {
        return [this, from, call_id](wire::forwarded_reply&& r) {
            if (log->replica().halted()) {
                // The call may have taken effect. Its sender forwards it to the next leader.
                return;
            }
            r.call_id = call_id;
            const std::size_t max_pending = settings.request_limits.max_held_body_bytes / 4;
            if (r.body.size() > large_reply_bytes &&
                peers->pending_bytes(from) + r.body.size() > max_pending) {
                // Only documents are that large; they are read again from another scheduler.
                log::info("reply_not_sent", {{"peer", from.str()}, {"bytes", r.body.size()}});
                r.status = service_unavailable;
                r.body = R"({"error":"not_serving"})";
            }
            peers->send(from, r);
        };
    }

    void handle(const instance_id& from, const wire::forwarded_call& m)
    {
        const reply_function reply = reply_to(from, m.call_id);
        const bool is_caller = m.origin == wire::forwarded_call::origin_kind::caller;
        // Versions that don't know stamps forward orders like other calls.
        const bool lacks_stamp = !is_caller && wire.is_unversioned_order(m.method, m.path);
        if (!may_serve() || lacks_stamp) {
            reply({});
        } else if (is_caller) {
            callers->handle_call(m, reply);
        } else {
            control->handle_call(m, reply);
        }
    }

    void handle(const instance_id& from, const wire::order_stamp_request& m)
    {
        peers->send(from, may_serve()
                              ? accepted_orders.issue(m.call_id, log->replica().term(), loop.now())
                              : wire::order_stamp{m.call_id});
    }

    void handle(const instance_id& from, const wire::order_stamp& m)
    {
        orders.handle(from, m, loop.now());
    }

    void handle(const instance_id& from, const wire::forwarded_order& m)
    {
        const term_number term = log->replica().term();
        if (!may_serve()) {
            reply_to(from, m.call.call_id)({});
        } else if (accepted_orders.admits(m, term, loop.now())) {
            accept_order(m.call, from, reply_to(from, m.call.call_id));
        } else {
            counters.count("orders_outdated");
            log::info("order_outdated", {{"number", m.call.call_id},
                                         {"received_by", from.str()},
                                         {"method", m.call.method},
                                         {"path", m.call.path}});
            peers->send(from, accepted_orders.issue(m.call.call_id, term, loop.now()));
        }
    }

    void accept_order(const wire::forwarded_call& call, const instance_id& received_by,
                      const reply_function& reply)
    {
        accepted_orders.record_accepted(log->replica().term());
        log::info("order_accepted", {{"number", call.call_id},
                                     {"received_by", received_by.str()},
                                     {"method", call.method},
                                     {"path", call.path}});
        control->handle_call(call, reply);
    }

    bool carry_out_here(const wire::forwarded_call& call, http::exchange_id exchange)
    {
        if (!may_serve()) {
            return false;
        }
        accept_order(call, settings.id, [this, exchange](wire::forwarded_reply&& r) {
            control_server->respond(exchange, to_http(r));
        });
        return true;
    }

    void handle(const instance_id& /*from*/, const wire::forwarded_reply& m)
    {
        const auto found = pending_forwards.find(m.call_id);
        if (!orders.handle(m) && found != pending_forwards.end()) {
            control_server->respond(found->second.exchange, to_http(m));
            pending_forwards.erase(found);
        }
    }

    void handle_control_request(http::exchange_id exchange, http::request&& in)
    {
        if (in.method == "GET" && in.path == "/metrics") {
            control_server->respond(exchange, {ok_status, "text/plain", counters.render(), {}});
            return;
        }
        wire::forwarded_call call;
        call.call_id = next_number++;
        call.origin = wire::forwarded_call::origin_kind::control;
        call.method = std::move(in.method);
        call.path = std::move(in.path);
        call.body = std::move(in.body);
        const bool serves = may_serve();
        const instance_id leader = log->replica().leader();
        if (!serves && (leader.empty() || leader == settings.id)) {
            respond_without_leader(exchange, call);
            return;
        }
        if (wire.is_unversioned_order(call.method, call.path)) {
            orders.receive(exchange, std::move(call), serves ? instance_id{} : leader,
                           in.arrived_after, loop.now());
            return;
        }
        if (serves) {
            control->handle_call(call, [this, exchange](wire::forwarded_reply&& r) {
                control_server->respond(exchange, to_http(r));
            });
            return;
        }
        if (!peers->send(leader, call)) {
            respond_without_leader(exchange, call);
            return;
        }
        pending_forwards.emplace(call.call_id, forwarded_request{exchange, loop.now()});
    }

    void respond_without_leader(http::exchange_id exchange, const wire::forwarded_call& call)
    {
        log::info("control_call_not_forwarded", {{"method", call.method},
                                                 {"path", call.path},
                                                 {"leader", log->replica().leader().str()}});
        control_server->respond(exchange, to_http({}));
    }

    void expire_forwards()
    {
        const mono_time now = loop.now();
        std::erase_if(pending_forwards, [&](const auto& f) {
            if (now - f.second.since < forward_timeout) {
                return false;
            }
            log::info("control_call_timed_out", {{"number", f.first}});
            control_server->respond(f.second.exchange, to_http({}));
            return true;
        });
    }

    void expire_all_forwards()
    {
        for (auto& [number, f] : pending_forwards) {
            f.since = mono_time{};
        }
    }

    void shut_down()
    {
        if (shutdown.has_begun()) {
            return;
        }
        shutdown.begin(loop.now(), milliseconds{settings.bounds.grace_ms});
        log::info("stopping", {{"leading", runs->leading()}});
        control_server->close_after_answers();
        log->replica().resign(loop.now());
        runs->on_leadership_lost();
    }

    void continue_shutdown(mono_time now)
    {
        if (shutdown.elapsed(now) >= leadership_transfer_time || shutdown.is_answer_due(now)) {
            control_server->stop_accepting();
        }
        if (shutdown.is_answer_due(now)) {
            control_server->respond_to_all(to_http({}));
        }
        if (control_server->is_drained() || shutdown.is_exit_due(now)) {
            log::info("stopped", {{"open_calls", control_server->open_exchanges()},
                                  {"unfinished", control_server->unfinished_exchanges()}});
            loop.stop();
        }
    }
};

scheduler_instance::scheduler_instance(event_loop& loop,
                                       const settings::job_service_settings& settings,
                                       const protocol& wire)
    : impl_{std::make_unique<impl>(loop, settings, wire)}
{
}

scheduler_instance::~scheduler_instance() = default;

status scheduler_instance::start()
{
    return impl_->start();
}

void scheduler_instance::reload(const settings::job_service_settings& updated)
{
    for (const std::string& seed : updated.seeds) {
        impl_->peers->add_scheduler(instance_id{seed});
    }
}

void scheduler_instance::shut_down()
{
    impl_->shut_down();
}

int scheduler_instance::exit_status() const noexcept
{
    return impl_->exit_code;
}

} // namespace fescue::fleet
