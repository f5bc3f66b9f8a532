#include "fleet/dispatcher.h"
#include "fleet/machine_driver.h"
#include "fleet/run_driver.h"
#include "platform.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <optional>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t base_port = 28740;
const pool_id pool{"p"};
const pool_id other_pool{"other"};

std::int64_t clock_ms()
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

    /** How runs end that are started from now on; empty if they keep running. */
    std::string outcome_of_starts;
    /** A start of this job's tasks ends the worker's incarnation; the next one knows no runs. */
    std::optional<jobs::job_id> crashing_job;
    std::map<std::string, int> starts;

private:
    void handle_request(http::exchange_id exchange, const http::request& request)
    {
        const auto body = nlohmann::json::parse(request.body);
        if (request.path == "/run-start") {
            ++starts[body["task"].get<std::string>()];
            if (crashing_job &&
                jobs::task_id::parse(body["task"].get<std::string>())->job == *crashing_job) {
                crash_after_reply(exchange);
                return;
            }
        }
        if (request.path == "/run-start" && !outcome_of_starts.empty()) {
            add_end(body["task"], body["attempt"], outcome_of_starts);
        } else if (request.path == "/run-start") {
            active_[body["task"]] = {body["task"], body["attempt"], "", 100, 0};
        } else if (request.path == "/run-stop" && active_.erase(body["task"]) > 0) {
            add_end(body["task"], body["attempt"], "stopped");
        }
        nlohmann::json out{{"wall_clock_ms", clock_ms()},
                           {"born", incarnation_},
                           {"active", nlohmann::json::array()},
                           {"finished", finished_}};
        for (const auto& [task, row] : active_) {
            out["active"].push_back(row);
        }
        server_.respond(exchange, {200, "application/json", out.dump(), {}});
    }

    void crash_after_reply(http::exchange_id exchange)
    {
        const nlohmann::json out{{"wall_clock_ms", clock_ms()}, {"born", incarnation_}};
        server_.respond(exchange, {200, "application/json", out.dump(), {}});
        ++incarnation_;
        active_.clear();
        finished_ = nlohmann::json::array();
    }

    void add_end(const nlohmann::json& task, const nlohmann::json& attempt, const std::string& how)
    {
        finished_.push_back({finished_.size() + 1, task, attempt, how, ""});
    }

    std::map<std::string, nlohmann::json> active_;
    nlohmann::json finished_ = nlohmann::json::array();
    incarnation incarnation_{1};
    http::server server_;
};

/** A fake machine service whose list shows every machine as up in the pool. */
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
    /** Reply to every order; a status of 0 leaves orders unanswered. */
    http::response order_reply{409, "application/json", R"({"reason":"busy"})", {}};
    std::vector<std::string> orders;

private:
    void handle_request(http::exchange_id exchange, const http::request& request)
    {
        if (request.method == "POST") {
            orders.push_back(request.path);
            if (order_reply.status != 0) {
                server_.respond(exchange, http::response{order_reply});
            }
            return;
        }
        nlohmann::json list{{"machines", nlohmann::json::array()}, {"next_token", nullptr}};
        for (const auto& [machine, server] : machines) {
            list["machines"].push_back(
                {{"machine", machine},
                 {"pool", pool.str()},
                 {"state", "up"},
                 {"zone", "z"},
                 {"labels", {"a", "r1"}},
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

    /** Uses the machine service on the port; call it before the first run_for(). */
    void use_machine_service(std::uint16_t port)
    {
        settings.machines.address = "127.0.0.1:" + std::to_string(port);
    }

    /** Adds a server that reports twice a second. */
    void add_server(const std::string& id, std::uint16_t port)
    {
        jobs::server_report r;
        r.id = server_id{id};
        r.incarnation_id = 1;
        r.address = "127.0.0.1:" + std::to_string(port);
        r.pool = pool;
        r.capacity = {64'000, 64'000, 0};
        reports_.push_back(r);
        send_reports();
    }

    void submit(std::uint64_t job, const jobs::step_spec& step, const pool_id& to = pool)
    {
        jobs::queue_terms terms;
        terms.pool = to;
        terms.max_failed_runs = 100;
        jobs::job_spec spec;
        spec.steps = {step};
        log.propose_here(
            jobs::submit_job{jobs::job_id{job}, jobs::queue_id{"q"}, terms, {}, spec, wall_now()});
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
                     driver.on_applied(cmd);
                     work.on_applied(cmd);
                     machines.on_applied(cmd);
                 },
                 [] {}, [](const error&) {}}};
    core_context shared{loop, settings, wire, client, orders, log, counters};
    run_driver driver{shared, [this] { work.request_round(); }};
    dispatcher work{shared, driver};
    machine_driver machines{shared, driver, work};

private:
    void send_reports()
    {
        for (jobs::server_report& r : reports_) {
            ++r.sequence;
            r.clock_ms = clock_ms();
            driver.on_report(r);
        }
    }

    std::vector<jobs::server_report> reports_;
    timer_handle report_timer_{loop.every(500ms, [this] { send_reports(); })};
    timer_handle tick_timer_{loop.every(10ms, [this] {
        driver.tick();
        machines.tick();
        work.run_if_due();
    })};
};

jobs::step_spec make_short_step()
{
    jobs::step_spec step;
    step.need = {5'000, 5'000, 0};
    return step;
}

jobs::step_spec make_long_running_step(std::uint32_t tasks)
{
    jobs::step_spec step;
    step.tasks = tasks;
    step.need = {5'000, 5'000, 0};
    step.long_running = true;
    step.max_per_server = 1;
    step.max_unavailable = 1;
    return step;
}

} // namespace

TEST_CASE("dispatcher: a long-running task does not wait while every server is being drained")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port};
    fake_machine_service service{leader.loop, base_port + 1};
    service.machines = {{"m-1", "i-1"}};
    leader.use_machine_service(base_port + 1);
    leader.add_server("i-1", base_port);
    // One task of the step has no server, so the other one can't be stopped for the maintenance.
    leader.submit(1, make_long_running_step(2));
    REQUIRE(leader.run_until([&] { return leader.is_running(1); }, 1s));
    leader.log.propose_here(jobs::start_maintenance{"1", {"m-1"}, 20'000, 1, wall_now()});
    REQUIRE(leader.run_until([&] { return leader.driver.servers().at(server_id{"i-1"}).draining; },
                             2s));
    leader.submit(2, make_long_running_step(1));
    leader.submit(3, make_short_step());
    leader.run_for(1s);
    CHECK_FALSE(leader.is_running(2));
    const jobs::task_id waiting{jobs::job_id{2}, 0, 0, 0};
    REQUIRE(leader.run_until([&] { return leader.driver.is_ready(waiting); }, 2s));
    // It stays there, since the server can't be emptied yet.
    leader.run_for(1s);
    CHECK(leader.driver.is_ready(waiting));
    CHECK_FALSE(leader.is_running(3));
}

TEST_CASE("dispatcher: a server whose maintenance has begun gets no long-running task")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port + 2};
    fake_machine_service service{leader.loop, base_port + 3};
    service.machines = {{"m-1", "i-1"}};
    leader.use_machine_service(base_port + 3);
    leader.add_server("i-1", base_port + 2);
    leader.log.propose_here(jobs::start_maintenance{"1", {"m-1"}, 20'000, 1, wall_now()});
    REQUIRE(leader.run_until([&] { return !service.orders.empty(); }, 2s));
    leader.submit(1, make_long_running_step(1));
    leader.run_for(3s);
    CHECK(leader.log.state().find({jobs::job_id{1}, 0, 0, 0})->attempt == 0);
}

TEST_CASE("dispatcher: a server on trial with a long-running task gets trial tasks")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port + 4};
    leader.add_server("i-1", base_port + 4);
    leader.submit(1, make_long_running_step(1));
    REQUIRE(leader.run_until([&] { return leader.is_running(1); }, 1s));
    worker.outcome_of_starts = "failed";
    leader.submit(2, make_short_step());
    leader.run_for(50ms);
    const jobs::task_id failing{jobs::job_id{2}, 0, 0, 0};
    REQUIRE(
        leader.run_until([&] { return leader.log.state().find(failing)->failed_runs >= 3; }, 2s));
    worker.outcome_of_starts = "";
    leader.submit(3, make_long_running_step(1));
    CHECK(leader.run_until([&] { return leader.is_running(3); }, 4s));
}

TEST_CASE("machines: a server accepts runs again after a move without an answer")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port + 5};
    fake_machine_service service{leader.loop, base_port + 6};
    service.machines = {{"m-1", "i-1"}};
    service.order_reply.status = 0;
    leader.use_machine_service(base_port + 6);
    leader.add_server("i-1", base_port + 5);
    leader.submit(1, make_short_step(), other_pool);
    REQUIRE(leader.run_until([&] { return !service.orders.empty(); }, 2s));
    leader.log.propose_here(jobs::cancel_job{jobs::job_id{1}, wall_now()});
    leader.submit(2, make_long_running_step(1));
    leader.run_for(1s);
    CHECK_FALSE(leader.is_running(2));
    CHECK(leader.run_until([&] { return leader.is_running(2); }, 6s));
}

TEST_CASE("machines: a server accepts runs again if the machine service excludes it from the wave")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port + 7};
    fake_machine_service service{leader.loop, base_port + 8};
    service.machines = {{"m-1", "i-1"}};
    service.order_reply.body = R"({"reason":"wave"})";
    leader.use_machine_service(base_port + 8);
    leader.add_server("i-1", base_port + 7);
    leader.log.propose_here(jobs::start_maintenance{"1", {"m-1"}, 20'000, 1, wall_now()});
    leader.run_for(50ms);
    REQUIRE(leader.run_until([&] { return leader.log.state().waves.at("1").is_done(); }, 2s));
    leader.submit(1, make_long_running_step(1));
    CHECK(leader.run_until([&] { return leader.is_running(1); }, 1s));
}

TEST_CASE("dispatcher: a task that crashes every server that starts it is not started without end")
{
    for (const bool leader_changes : {false, true}) {
        scheduling_leader leader;
        const auto port = static_cast<std::uint16_t>(base_port + (leader_changes ? 10 : 9));
        fake_worker worker{leader.loop, port};
        worker.crashing_job = jobs::job_id{1};
        leader.add_server("i-1", port);
        leader.submit(1, make_short_step());
        const jobs::task_id task{jobs::job_id{1}, 0, 0, 0};
        if (leader_changes) {
            REQUIRE(leader.run_until([&] { return worker.starts[task.text()] >= 1; }, 1s));
            leader.driver.on_leadership_lost();
            leader.driver.on_leadership_gained();
            leader.work.on_leadership_gained();
        }
        leader.run_for(2s);
        // Three crashes and two further starts are allowed.
        CHECK(worker.starts[task.text()] >= 2);
        CHECK(worker.starts[task.text()] <= 5);
        CHECK(leader.log.state().jobs.at(task.job).phase == jobs::job_phase::failed);
        // The server is available to other jobs.
        leader.submit(2, make_short_step());
        CHECK(leader.run_until([&] { return leader.is_running(2); }, 1s));
    }
}
