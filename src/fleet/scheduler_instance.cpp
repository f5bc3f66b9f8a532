#include "scheduler_instance.h"

#include "caller_api.h"
#include "control_api.h"
#include "dispatcher.h"
#include "group.h"
#include "links.h"
#include "machine_driver.h"
#include "run_driver.h"

#include "fescuestream/base/codec.h"
#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <map>

namespace fescue::fleet {

namespace {

constexpr milliseconds housekeeping_period{15};
constexpr milliseconds group_period{100};
constexpr milliseconds forget_period{2000};
/** A call that the leader did not answer is answered "try elsewhere" after this. */
constexpr milliseconds forward_timeout{950};
/** Ended jobs are kept this much longer than callers may ask for them. */
constexpr std::int64_t kept_margin_ms = 5000;
/** A planned stop hands the lead over and lets open calls end in this time. */
constexpr milliseconds stop_time{700};
constexpr int unavailable = 503;
constexpr int ok_status = 200;
/** The state is small, the log's entries are not: memory is what the bound is for. */
/** One connection for the look that waits at a server, the others for orders; some of these wait a
 * second for an answer that does not come. */
constexpr http::client_limits connections{8, 1200};
/** Followers decide nothing, so commits reach them with the next entries or a little later. A sync
 * takes the users' disks 6 to 9 ms, in which the leader's loop stands still: some 15 a second take
 * a tenth of its time, one a pass took half. */
constexpr consensus::timing intervals{.heartbeat = milliseconds{200},
                                      .election = milliseconds{600},
                                      .lease = milliseconds{3000},
                                      .commit_delay = milliseconds{60},
                                      .leader_sync_delay = milliseconds{60}};
constexpr replication::snapshot_policy snapshots{4096, 4U << 20U};

http::response to_http(const wire::forwarded_reply& reply)
{
    http::response out;
    out.status = reply.status == 0 ? unavailable : reply.status;
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
    incarnation disk{0};
    std::unique_ptr<links> peers;
    std::unique_ptr<relay> orders;
    std::unique_ptr<job_log> log;
    std::unique_ptr<core_context> shared;
    std::unique_ptr<group> members;
    std::unique_ptr<run_driver> driver;
    std::unique_ptr<dispatcher> work;
    std::unique_ptr<machine_driver> machines;
    std::unique_ptr<caller_api> callers;
    std::unique_ptr<control_api> control;
    std::unique_ptr<http::server> server;
    std::vector<timer_handle> timers;
    term_number leading_term{0};
    bool stopping{false};
    int exit_code{0};

    struct forwarded {
        http::exchange_id exchange{0};
        mono_time since{};
    };
    std::map<std::uint64_t, forwarded> forwards;
    std::uint64_t next_number{1};

    impl(event_loop& l, const settings::job_service_settings& s, const protocol& w)
        : loop{l}, settings{s}, wire{w}, client{l, connections}
    {
    }

    status start()
    {
        auto opened = replication::open_disk(settings.data_folder);
        if (!ok(opened)) {
            return error_of(opened);
        }
        disk = value(opened).life;
        peers =
            std::make_unique<links>(loop, settings,
                                    link_events{[this](const wire::hello& who, wire::message&& m) {
                                                    received(who, std::move(m));
                                                },
                                                [this](const wire::hello& who) { connected(who); },
                                                [this](const instance_id& id) {
                                                    members->disconnected(id);
                                                    orders->lost(id);
                                                    drop_forwards();
                                                },
                                                [this](wire::hello& out) {
                                                    out.disk = disk;
                                                    out.cluster = log->replica().voters().cluster;
                                                },
                                                [this](wire::ping& out) { describe(out); }});
        // Ahead of the log's own call: what a round starts is written with what came in besides.
        loop.at_round_end([this] {
            if (work && !stopping) {
                work->run_if_due();
            }
        });
        make_log(std::move(value(opened)));
        make_parts();
        return open_ports();
    }

    void make_log(replication::opened_disk&& opened)
    {
        log = std::make_unique<job_log>(
            loop, settings.id, disk, std::move(opened.store), std::move(opened.found),
            replication::replicated_events<jobs::machine>{
                [this](const instance_id& to, const wire::message& m) {
                    return peers->send(to, m);
                },
                [this](const jobs::command& cmd, const jobs::outcome& /*outcome*/) {
                    driver->applied(cmd);
                    work->applied(cmd);
                    machines->applied(cmd);
                },
                [this] { log_restored(); }, [this](const error& e) { disk_failed(e); },
                [this] { peers->flush(); }},
            snapshots, intervals);
    }

    void make_parts()
    {
        orders = std::make_unique<relay>(
            loop, client, wire,
            [this](const instance_id& to, const wire::message& m) { return peers->send(to, m); });
        shared = std::make_unique<core_context>(
            core_context{loop, settings, wire, client, *orders, *log, counters});
        members = std::make_unique<group>(*shared, disk);
        driver = std::make_unique<run_driver>(*shared, [this] { work->wake(); });
        work = std::make_unique<dispatcher>(*shared, *driver);
        machines = std::make_unique<machine_driver>(*shared, *driver, *work);
        callers = std::make_unique<caller_api>(*shared);
        control = std::make_unique<control_api>(*shared, *driver,
                                                [this](const jobs::server_report& r) { share(r); });
        timers.push_back(loop.every(housekeeping_period, [this] { housekeep(); }));
        timers.push_back(loop.every(group_period, [this] {
            members->tick();
            orders->set_helpers(members->helpers());
        }));
        timers.push_back(loop.every(forget_period, [this] { forget_old_jobs(); }));
        loop.at_round_end([this] { peers->flush(); });
    }

    status open_ports()
    {
        if (auto fault = peers->start()) {
            return fault;
        }
        server = std::make_unique<http::server>(
            loop, [this](http::exchange_id id, http::request&& in) { take(id, std::move(in)); });
        return server->listen(settings.control, {});
    }

    void disk_failed(const error& e)
    {
        log::failure("disk_failed", {{"why", e.detail}});
        exit_code = 1;
        loop.stop();
    }

    void log_restored()
    {
        log::info("state_restored",
                  {{"applied", log->replica().applied()}, {"jobs", log->state().jobs.size()}});
        work->wake();
    }

    // ---- leading

    void housekeep()
    {
        const auto& replica = log->replica();
        const bool leads = replica.settled() && members->complete() && !stopping;
        if (leads && (!driver->leading() || leading_term != replica.term())) {
            leading_term = replica.term();
            log::info("leading", {{"term", leading_term},
                                  {"jobs", log->state().live.size()},
                                  {"servers_with_runs", log->state().runs.size()}});
            driver->lead();
            work->lead();
            machines->lead();
        } else if (!leads && driver->leading()) {
            log::info("not_leading", {{"term", replica.term()}});
            driver->follow();
        }
        orders->tick();
        driver->tick();
        tell_of_ended_servers();
        machines->tick();
        expire_forwards();
    }

    bool answers() const { return driver->leading() && shared->leads(); }

    void forget_old_jobs()
    {
        if (!answers()) {
            return;
        }
        jobs::forget_jobs cmd;
        const wall_ms before = wall_now() - settings.bounds.kept_ms - kept_margin_ms;
        for (const auto& [id, j] : log->state().jobs) {
            if (is_over(j.phase) && j.running == 0 && j.over_at < before) {
                cmd.ids.push_back(id);
            }
        }
        if (!cmd.ids.empty()) {
            log->propose_here(cmd);
        }
    }

    // ---- other instances

    void describe(wire::ping& out) const
    {
        const auto& replica = log->replica();
        if (answers()) {
            out.leader = settings.id;
            out.term = replica.term();
        } else if (!replica.is_leader()) {
            out.leader = replica.leader();
            out.term = replica.term();
        }
        out.schedulers = members->schedulers();
    }

    void connected(const wire::hello& who)
    {
        members->greeted(who);
        log->replica().peer_connected(who.from);
        if (who.disk == 0) {
            return;
        }
        wire::server_reports known;
        for (const auto& [id, view] : driver->servers()) {
            const auto age = std::chrono::duration_cast<milliseconds>(loop.now() - view.heard);
            if (!view.left && !view.report.address.empty()) {
                known.reports.push_back({to_bytes(view.report), age.count()});
            }
        }
        peers->send(who.from, known);
    }

    void tell_of_ended_servers()
    {
        wire::server_reports news;
        news.gone = driver->take_gone();
        if (news.gone.empty()) {
            return;
        }
        for (const instance_id& id : members->schedulers()) {
            peers->send(id, news);
        }
    }

    void share(const jobs::server_report& report)
    {
        wire::server_reports news;
        news.reports.push_back({to_bytes(report), 0});
        for (const instance_id& id : members->schedulers()) {
            peers->send(id, news);
        }
    }

    void received(const wire::hello& who, wire::message&& m)
    {
        members->heard(who.from);
        const auto mine = log->replica().voters().cluster;
        if (mine != 0 && who.cluster != 0 && who.cluster != mine) {
            log::warning("other_cluster", {{"peer", who.from.str()}, {"cluster", who.cluster}});
            return;
        }
        std::visit([&](auto&& body) { take(who.from, body); }, m);
    }

    template <class M>
    void take(const instance_id& from, const M& /*other*/)
    {
        log::warning("message_unexpected", {{"peer", from.str()}});
    }
    void take(const instance_id& from, const wire::relayed_call& m) { orders->received(from, m); }
    void take(const instance_id& /*from*/, const wire::relayed_answer& m) { orders->received(m); }
    void take(const instance_id& from, const consensus::append_request& m)
    {
        log->received(from, consensus::message{m});
    }
    void take(const instance_id& from, const consensus::append_reply& m)
    {
        log->received(from, consensus::message{m});
    }
    void take(const instance_id& from, const consensus::vote_request& m)
    {
        log->received(from, consensus::message{m});
    }
    void take(const instance_id& from, const consensus::vote_reply& m)
    {
        log->received(from, consensus::message{m});
    }
    void take(const instance_id& from, const consensus::install_snapshot& m)
    {
        log->received(from, consensus::message{m});
    }
    void take(const instance_id& from, const wire::propose_request& m) { log->received(from, m); }
    void take(const instance_id& from, const wire::propose_reply& m) { log->received(from, m); }
    void take(const instance_id& /*from*/, const wire::server_reports& m)
    {
        for (const auto& passed_on : m.reports) {
            const auto report = from_bytes<jobs::server_report>(passed_on.bytes);
            if (!ok(report)) {
                log::warning("report_unreadable", {{"why", error_of(report).detail}});
                continue;
            }
            driver->heard(value(report), milliseconds{std::max<std::int64_t>(0, passed_on.age_ms)});
        }
        for (const auto& ended : m.gone) {
            driver->told_gone(ended);
        }
    }

    // ---- calls

    void take(const instance_id& from, const wire::forwarded_call& m)
    {
        const auto reply = [this, from, number = m.number](wire::forwarded_reply&& r) {
            r.number = number;
            peers->send(from, r);
        };
        if (!answers()) {
            reply({});
            return;
        }
        if (m.origin == wire::forwarded_call::origin_kind::caller) {
            callers->call(m, reply);
        } else {
            control->call(m, reply);
        }
    }

    void take(const instance_id& /*from*/, const wire::forwarded_reply& m)
    {
        const auto found = forwards.find(m.number);
        if (found != forwards.end()) {
            server->respond(found->second.exchange, to_http(m));
            forwards.erase(found);
        }
    }

    void take(http::exchange_id exchange, http::request&& in)
    {
        if (in.method == "GET" && in.path == "/metrics") {
            server->respond(exchange, {ok_status, "text/plain", counters.render(), {}});
            return;
        }
        wire::forwarded_call call;
        call.number = next_number++;
        call.origin = wire::forwarded_call::origin_kind::control;
        call.method = std::move(in.method);
        call.path = std::move(in.path);
        call.body = std::move(in.body);
        if (answers()) {
            control->call(call, [this, exchange](wire::forwarded_reply&& r) {
                server->respond(exchange, to_http(r));
            });
            return;
        }
        const instance_id leader = log->replica().leader();
        if (leader.empty() || leader == settings.id || !peers->send(leader, call)) {
            log::info("control_call_unserved",
                      {{"method", call.method}, {"path", call.path}, {"leader", leader.str()}});
            server->respond(exchange, to_http({}));
            return;
        }
        forwards.emplace(call.number, forwarded{exchange, loop.now()});
    }

    void expire_forwards()
    {
        const mono_time now = loop.now();
        std::erase_if(forwards, [&](const auto& f) {
            if (now - f.second.since < forward_timeout) {
                return false;
            }
            log::info("control_call_unanswered", {{"number", f.first}});
            server->respond(f.second.exchange, to_http({}));
            return true;
        });
    }

    void drop_forwards()
    {
        for (auto& [number, f] : forwards) {
            f.since = mono_time{};
        }
    }

    // ---- stop

    void shut_down()
    {
        if (stopping) {
            return;
        }
        stopping = true;
        log::info("stopping", {{"leading", driver->leading()}});
        server->close_after_answers();
        log->replica().resign(loop.now());
        driver->follow();
        timers.push_back(loop.after(stop_time, [this] {
            log::info("stopped", {{"open_calls", server->open_exchanges()}});
            loop.stop();
        }));
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

void scheduler_instance::reload(const settings::job_service_settings& now)
{
    for (const std::string& seed : now.seeds) {
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
