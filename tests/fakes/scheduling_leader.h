#pragma once

/**
 * @file
 * A leader that schedules jobs on fake backend servers, and a fake machine service. They use the
 * platform's protocol on loopback.
 */

#include "fleet/dispatcher.h"
#include "fleet/machine_driver.h"
#include "fleet/run_driver.h"
#include "platform.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fescue::fakes {

using namespace fescue::fleet;
using namespace std::chrono_literals;

inline const pool_id pool{"p"};
inline const pool_id other_pool{"other"};

inline std::int64_t clock_ms()
{
    return std::chrono::duration_cast<milliseconds>(mono_clock::now().time_since_epoch()).count();
}

/** A fake backend server that accepts every order. */
class fake_worker {
public:
    fake_worker(event_loop& loop, std::uint16_t port)
        : server_{loop, [this](http::exchange_id exchange, http::request&& request) {
                      handle_request(exchange, request);
                  }}
    {
        REQUIRE_FALSE(server_.listen({"127.0.0.1", port}, {}));
    }

    /** Adds a run that no leader has logged. */
    void add_stray_run(const std::string& task) { active_[task] = {task, 1, "", 100, 0}; }
    void end_run(const std::string& task)
    {
        if (const auto run = active_.find(task); run != active_.end()) {
            add_end(task, run->second[1], "stopped");
            active_.erase(run);
        }
    }

    /** How runs end that are started from now on; empty if they keep running. */
    std::string outcome_of_starts;
    /** Reason for which starts are refused; empty if they are accepted. */
    std::string start_refusal;
    /** Stop orders are confirmed, and the runs keep running. */
    bool stops_take_long{false};
    std::int64_t born{1};
    /** A start of this job's tasks ends the worker's incarnation; the next one knows no runs. */
    std::optional<jobs::job_id> crashing_job;
    /** Tasks of all start orders, accepted or not. */
    std::vector<std::string> starts;

private:
    void handle_request(http::exchange_id exchange, const http::request& request)
    {
        const auto body = nlohmann::json::parse(request.body);
        const bool is_start = request.path == "/run-start";
        if (is_start) {
            starts.push_back(body["task"]);
            if (crashing_job && jobs::task_id::parse(starts.back())->job == *crashing_job) {
                crash_after_reply(exchange);
                return;
            }
        }
        if (is_start && !start_refusal.empty()) {
            const nlohmann::json refusal{{"wall_clock_ms", clock_ms()}, {"reason", start_refusal}};
            server_.respond(exchange, {409, "application/json", refusal.dump(), {}});
            return;
        }
        if (is_start && !outcome_of_starts.empty()) {
            add_end(body["task"], body["attempt"], outcome_of_starts);
        } else if (is_start) {
            active_[body["task"]] = {body["task"], body["attempt"], "", 100, 0};
        } else if (request.path == "/run-stop" && !stops_take_long) {
            end_run(body["task"]);
        }
        nlohmann::json out{{"wall_clock_ms", clock_ms()},
                           {"born", born},
                           {"active", nlohmann::json::array()},
                           {"finished", finished_}};
        for (const auto& [task, row] : active_) {
            out["active"].push_back(row);
        }
        server_.respond(exchange, {200, "application/json", out.dump(), {}});
    }

    void crash_after_reply(http::exchange_id exchange)
    {
        const nlohmann::json out{{"wall_clock_ms", clock_ms()}, {"born", born}};
        server_.respond(exchange, {200, "application/json", out.dump(), {}});
        ++born;
        active_.clear();
        finished_ = nlohmann::json::array();
    }

    void add_end(const nlohmann::json& task, const nlohmann::json& attempt, const std::string& how)
    {
        finished_.push_back({finished_.size() + 1, task, attempt, how, ""});
    }

    std::map<std::string, nlohmann::json> active_;
    nlohmann::json finished_ = nlohmann::json::array();
    http::server server_;
};

/** A fake machine service whose list shows every machine as up. */
class fake_machine_service {
public:
    fake_machine_service(event_loop& loop, std::uint16_t port)
        : server_{loop, [this](http::exchange_id exchange, http::request&& request) {
                      handle_request(exchange, request);
                  }}
    {
        REQUIRE_FALSE(server_.listen({"127.0.0.1", port}, {}));
    }

    /** Ids of the machines and of the servers on them. */
    std::map<std::string, std::string> machines;
    /** Pools of the machines that are not in the first pool. */
    std::map<std::string, pool_id> pools;
    /** Kinds of the machines; the default is a. */
    std::map<std::string, std::string> kinds;
    /** Reply to every order; a status of 0 leaves orders unanswered. */
    http::response order_reply{409, "application/json", R"({"reason":"busy"})", {}};
    std::vector<std::string> orders;
    std::vector<std::string> order_bodies;

private:
    void handle_request(http::exchange_id exchange, const http::request& request)
    {
        if (request.method == "POST") {
            orders.push_back(request.path);
            order_bodies.push_back(request.body);
            if (order_reply.status != 0) {
                server_.respond(exchange, http::response{order_reply});
            }
            return;
        }
        nlohmann::json list{{"machines", nlohmann::json::array()}, {"next_token", nullptr}};
        for (const auto& [machine, server] : machines) {
            list["machines"].push_back(
                {{"machine", machine},
                 {"pool", (pools.contains(machine) ? pools.at(machine) : pool).str()},
                 {"state", "up"},
                 {"zone", "z"},
                 {"labels", {kinds.contains(machine) ? kinds.at(machine) : "a", "r1"}},
                 {"capacity", {{"cpu", 64000}, {"mem_mb", 64000}, {"gpu", 0}}},
                 {"id", server}});
        }
        server_.respond(exchange, {200, "application/json", list.dump(), {}});
    }

    http::server server_;
};

/** A leader with a single-instance log that schedules jobs and drives waves. */
class scheduling_leader {
public:
    scheduling_leader()
    {
        settings.id = instance_id{"127.0.0.1"};
        settings.machines.orders_per_s = 20;
        settings.machines.reads_per_s = 20;
        settings.bounds.maintenance_ms = 200;
        settings.bounds.move_ms = 200;
        log.replica().form(7, loop.now());
        run_for(300ms);
        REQUIRE(log.replica().settled());
        driver.on_leadership_gained();
        machines.on_leadership_gained();
        jobs::document doc;
        doc.version = 1;
        doc.pools.emplace(pool, jobs::job_pool{});
        doc.pools.emplace(other_pool, jobs::job_pool{});
        log.propose_here(jobs::put_document{doc});
        run_for(20ms);
    }

    /** Uses the machine service on the port from now on. */
    void use_machine_service(std::uint16_t port)
    {
        settings.machines.address = "127.0.0.1:" + std::to_string(port);
    }

    /** Adds a server that reports twice a second. */
    void add_server(const std::string& id, std::uint16_t port,
                    const jobs::resources& capacity = {64'000, 64'000, 0},
                    const pool_id& in_pool = pool, const std::string& kind = "a")
    {
        jobs::server_report r;
        r.id = server_id{id};
        r.incarnation_id = 1;
        r.address = "127.0.0.1:" + std::to_string(port);
        r.pool = in_pool;
        r.labels = {kind, "r1"};
        r.capacity = capacity;
        reports_.push_back(r);
        send_reports();
    }

    /** The server reports no more. */
    void remove_server(const std::string& id)
    {
        std::erase_if(reports_, [&](const auto& r) { return r.id == server_id{id}; });
    }

    /** Changes what the server reports, and sends the report. */
    void set_capacity(const std::string& id, const jobs::resources& capacity)
    {
        for (jobs::server_report& r : reports_) {
            if (r.id == server_id{id}) {
                r.capacity = capacity;
            }
        }
        send_reports();
    }

    /** Reports a new incarnation of the server. */
    void set_incarnation(const std::string& id, std::int64_t born)
    {
        for (jobs::server_report& r : reports_) {
            if (r.id == server_id{id}) {
                r.incarnation_id = static_cast<incarnation>(born);
            }
        }
        send_reports();
    }

    void set_enforces_capacity(bool on)
    {
        jobs::document doc = log.state().doc;
        ++doc.version;
        doc.pools.at(pool).enforces_capacity = on;
        log.propose_here(jobs::put_document{doc});
        run_for(20ms);
    }

    /** Sends the reports of all servers, also while they are otherwise withheld. */
    void send_reports()
    {
        for (jobs::server_report& r : reports_) {
            ++r.sequence;
            r.clock_ms = clock_ms();
            driver.on_report(r);
        }
    }

    /** Replaces the leader by one with a higher term. */
    void change_leader()
    {
        const term_number before = log.replica().term();
        log.replica().resign(loop.now());
        REQUIRE(run_until([&] { return log.replica().settled() && log.replica().term() > before; },
                          5s));
        driver.on_leadership_lost();
        driver.on_leadership_gained();
        machines.on_leadership_gained();
        work.on_leadership_gained();
    }

    /** Limits the CPU that an account may use at the same time, in thousandths of a core. */
    void set_cpu_cap(const team_id& account, std::int64_t cpu_milli)
    {
        jobs::document doc = log.state().doc;
        ++doc.version;
        doc.accounts[account].cap = {cpu_milli, 0, 0};
        log.propose_here(jobs::put_document{doc});
        run_for(20ms);
    }

    void submit(std::uint64_t job, const jobs::step_spec& step, const pool_id& to = pool,
                const team_id& account = {})
    {
        jobs::queue_terms terms;
        terms.pool = to;
        terms.max_failed_runs = 100;
        jobs::job_spec spec;
        spec.steps = {step};
        log.propose_here(jobs::submit_job{jobs::job_id{job}, jobs::queue_id{"q"}, terms, account,
                                          spec, wall_now()});
    }

    bool is_running(std::uint64_t job) const
    {
        const jobs::task* t = log.state().find({jobs::job_id{job}, 0, 0, 0});
        return t != nullptr && t->phase == jobs::task_phase::running;
    }

    bool run_until(const std::function<bool()>& condition, milliseconds timeout)
    {
        const mono_time end = loop.now() + timeout;
        while (!condition() && loop.now() < end) {
            run_for(20ms);
        }
        return condition();
    }

    void run_for(milliseconds time)
    {
        const auto stop = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    event_loop loop;
    settings::job_service_settings settings;
    protocol wire{platform::make_protocol()};
    http::client client{loop};
    relay orders{loop, client, wire,
                 [](const instance_id&, const wire::message&) { return false; }};
    metrics counters;
    job_log log{loop,
                instance_id{"127.0.0.1"},
                1,
                replication::any_store{store::memory_store{}},
                {},
                {[](const instance_id&, const wire::message&) { return false; },
                 [this](const jobs::command& cmd, const jobs::outcome&) {
                     if (before_applied) {
                         before_applied(cmd);
                     }
                     driver.on_applied(cmd);
                     work.on_applied(cmd);
                     machines.on_applied(cmd);
                 },
                 [] {}, [](const error&) {}}};
    core_context shared{loop, settings, wire, client, orders, log, counters};
    run_driver driver{shared, [this] { work.request_round(); }};
    dispatcher work{shared, driver};
    machine_driver machines{shared, driver, work};

    /** Called when a command has been committed, before the leader acts on it. */
    std::function<void(const jobs::command&)> before_applied;
    /** Whether the servers send no reports by themselves. */
    bool withhold_reports{false};

private:
    std::vector<jobs::server_report> reports_;
    timer_handle report_timer_{loop.every(500ms, [this] {
        if (!withhold_reports) {
            send_reports();
        }
    })};
    timer_handle tick_timer_{loop.every(10ms, [this] {
        driver.tick();
        machines.tick();
        work.run_if_due();
    })};
};

inline jobs::step_spec make_short_step()
{
    jobs::step_spec step;
    step.need = {5'000, 5'000, 0};
    return step;
}

inline jobs::step_spec make_long_running_step(std::uint32_t tasks)
{
    jobs::step_spec step;
    step.tasks = tasks;
    step.need = {5'000, 5'000, 0};
    step.long_running = true;
    step.max_per_server = 1;
    step.max_unavailable = 1;
    return step;
}

} // namespace fescue::fakes
