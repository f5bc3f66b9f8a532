#pragma once

/**
 * @file
 * A leader with a dispatcher and one fake server, in virtual time and without a network. Starts can
 * be lost on their way.
 */

#include "fakes/fake_server_fleet.h"
#include "fleet/dispatcher.h"
#include "fleet/run_driver.h"
#include "platform.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fescue::fakes {

class gated_leader {
public:
    static inline const team_id account{"a"};
    static inline const pool_id pool{"p"};
    static inline const pool_id other_pool{"other"};
    static inline const jobs::queue_id queue{"q"};
    static inline const data_centre_id data_centre{"z"};
    static inline const server_id server_name{"i-1"};
    static constexpr jobs::resources task_need{4'000, 1'000, 0};

    gated_leader()
    {
        settings.id = instance_id{"127.0.0.1"};
        orders.set_relay_peers({{data_centre, {instance_id{"relay"}}}});
        orders.enable(true);
        report.id = server_name;
        report.incarnation_id = server.incarnation_id();
        report.address = "10.0.0.1:80";
        report.pool = pool;
        report.data_centre = data_centre;
        report.labels = {"fast", "r1"};
        report.capacity = {64'000, 64'000, 0};
        log.replica().form(7, loop.now());
        loop.advance(milliseconds{100});
        REQUIRE(log.replica().settled());
        lead();
        jobs::document doc;
        doc.pools.emplace(pool, jobs::job_pool{});
        doc.pools.emplace(other_pool, jobs::job_pool{});
        jobs::queue q;
        q.id = queue;
        q.terms.pool = pool;
        q.terms.max_failed_runs = 3;
        doc.queues.emplace(queue, q);
        doc.accounts[account].cap = {64'000, 0, 0};
        change_document([&](jobs::document& d) { d = doc; });
        send_report();
        loop.advance(milliseconds{200});
    }

    /** Proposes a document that takes effect at the end of the loop's iteration. */
    void change_document(const std::function<void(jobs::document&)>& change)
    {
        jobs::document doc = log.state().doc;
        change(doc);
        doc.version = log.state().doc.version + 1;
        log.propose_here(jobs::put_document{doc});
    }
    void set_cpu_cap(std::int64_t cpu_milli)
    {
        change_document([&](jobs::document& d) { d.accounts[account].cap.cpu_milli = cpu_milli; });
    }

    void submit(std::uint64_t job, const jobs::step_spec& step)
    {
        jobs::job_spec spec;
        spec.steps = {step};
        log.propose_here(jobs::submit_job{jobs::job_id{job}, queue,
                                          log.state().doc.queues.at(queue).terms, account, spec,
                                          wall_now()});
        loop.advance(milliseconds{20});
    }

    void send_report()
    {
        ++report.sequence;
        report.clock_ms = server.clock_ms(loop.now());
        driver.on_report(report);
    }

    void lead()
    {
        driver.on_leadership_gained();
        work.on_leadership_gained();
    }
    /** Elects the next leader, which knows only the log and the server's reports. */
    void change_leader()
    {
        const term_number before = log.replica().term();
        driver.on_leadership_lost();
        log.replica().resign(loop.now());
        for (int i = 0; i < 200 && !(log.replica().settled() && log.replica().term() > before);
             ++i) {
            loop.advance(milliseconds{5});
        }
        REQUIRE(log.replica().term() > before);
        lead();
    }

    const jobs::task& task(std::uint64_t job, std::uint32_t index = 0) const
    {
        return *log.state().find({jobs::job_id{job}, 0, 0, index});
    }
    bool runs(std::uint64_t job, std::uint32_t index = 0) const
    {
        return !server.active_attempts({jobs::job_id{job}, 0, 0, index}).empty();
    }

    /** @return the number of stops of the task that were sent. */
    std::size_t stops_of(const jobs::task_id& id) const
    {
        const auto found = stops_by_task_.find(id);
        return found == stops_by_task_.end() ? 0 : found->second;
    }

    /** Starts are neither executed nor answered. */
    bool loses_starts{false};
    bool loses_stops{false};
    /** Whether the dispatcher runs by itself. */
    bool dispatches{true};
    std::size_t starts_sent{0};
    std::size_t stops_sent{0};
    std::size_t max_runs{0};
    jobs::server_report report;

    event_loop loop{manual_clock{mono_time{std::chrono::seconds{1000}}}};
    settings::job_service_settings settings;
    fleet::protocol wire{platform::make_protocol()};
    http::client client{loop};
    metrics counters;
    fleet::relay orders{loop, client, wire, [this](const instance_id&, const wire::message& m) {
                            receive(std::get<wire::relayed_call>(m));
                            return true;
                        }};
    fleet::job_log log{loop,
                       instance_id{"127.0.0.1"},
                       1,
                       replication::any_store{store::memory_store{}},
                       {},
                       {[](const instance_id&, const wire::message&) { return false; },
                        [this](const jobs::command& cmd, const jobs::outcome&) {
                            driver.on_applied(cmd);
                            work.on_applied(cmd);
                        },
                        [] {}, [](const error&) {}},
                       {},
                       consensus::timing{milliseconds{20}, milliseconds{20}, milliseconds{100}}};
    fleet::core_context context{loop, settings, wire, client, orders, log, counters};
    fleet::run_driver driver{context, [this] { work.request_round(); }, 0};
    fleet::dispatcher work{context, driver};

private:
    /** Time from an order until its answer arrives. */
    static constexpr milliseconds answer_time{30};

    void receive(const wire::relayed_call& call)
    {
        const auto order = value(from_bytes<fleet::addressed_order>(call.order)).order;
        const bool is_start = std::holds_alternative<fleet::start_order>(order);
        const bool is_stop = std::holds_alternative<fleet::stop_order>(order);
        starts_sent += is_start ? 1 : 0;
        if (const auto* stop = std::get_if<fleet::stop_order>(&order)) {
            ++stops_sent;
            ++stops_by_task_[stop->run.task];
        }
        if ((is_start && loses_starts) || (is_stop && loses_stops)) {
            return;
        }
        answers_[call.number] = loop.after(answer_time, [this, number = call.number, order] {
            orders.handle(wire::relayed_answer{number, to_bytes(execute(order))});
        });
    }

    fleet::server_answer execute(const fleet::server_order& order)
    {
        const mono_time now = loop.now();
        server.settle(now);
        if (const auto* poll = std::get_if<fleet::poll_order>(&order)) {
            const auto fault = server.accept(*poll, now);
            return fault ? result<fleet::poll_reply>{*fault}
                         : result<fleet::poll_reply>{server.lists(now)};
        }
        if (const auto* start = std::get_if<fleet::start_order>(&order)) {
            const fleet::order_reply reply = server.execute(*start, now);
            max_runs = std::max(max_runs, server.run_count());
            return reply;
        }
        if (const auto* stop = std::get_if<fleet::stop_order>(&order)) {
            return server.execute(*stop, now);
        }
        return server.execute(std::get<fleet::throttle_order>(order), now);
    }

    server_limits limits_;
    fake_server_events events_{[](const jobs::run_id&) { return run_plan{}; },
                               [] { return milliseconds{100}; },
                               [](const fake_server&, const jobs::run_id&) {},
                               [](const fake_server&, const fleet::ended_run&, mono_time) {},
                               [](const fleet::ended_run&) {}};
    std::map<std::uint64_t, timer_handle> answers_;
    std::map<jobs::task_id, std::size_t> stops_by_task_;

public:
    fake_server server{server_name, "10.0.0.1:80", 1'000, {loop.now(), 0, 1.0}, limits_, events_};

private:
    timer_handle reports_{loop.every(milliseconds{500}, [this] { send_report(); })};
    timer_handle ticker_{loop.every(milliseconds{10}, [this] {
        orders.tick();
        driver.tick();
        if (dispatches) {
            work.run_if_due();
        }
    })};
};

} // namespace fescue::fakes
