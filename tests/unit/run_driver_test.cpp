#include "fleet/dispatcher.h"
#include "fleet/machine_driver.h"
#include "fleet/run_driver.h"
#include "platform.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

const server_id worker{"i-1"};
const jobs::task_id task{jobs::job_id{0xabc}, 0, 0, 0};
constexpr std::uint16_t first_port = 28700;

/** A hand-written backend server: the test says what it answers, or that it does not. */
class scripted_server {
public:
    scripted_server(event_loop& loop, std::uint16_t port)
        : loop_{loop}, server_{loop,
                               [this](http::exchange_id x, http::request&& in) { take(x, in); }}
    {
        REQUIRE_FALSE(server_.listen({"127.0.0.1", port}, {}));
    }

    bool silent{false};
    bool answers_starts{true};
    /** Starts without an answer are carried out all the same. */
    bool runs_unanswered{false};
    nlohmann::json active = nlohmann::json::array();
    std::vector<std::string> calls;
    std::vector<std::int64_t> leases;
    /** A look that may wait is answered after this. */
    milliseconds wait{0ms};
    /** Percent of full work that a run shows from its start on. */
    int percent{100};

private:
    void take(http::exchange_id x, const http::request& in)
    {
        calls.push_back(in.path);
        const auto body = nlohmann::json::parse(in.body);
        leases.push_back(body.value("deadline_ms", std::int64_t{0}));
        const bool starts = in.path == "/run-start";
        if (starts && (answers_starts || runs_unanswered)) {
            active = {{task.text(), body["attempt"], "", percent, 0}};
        }
        if (silent || (starts && !answers_starts)) {
            return;
        }
        if (body.value("poll_wait_ms", 0) > 0 && wait > 0ms) {
            later_ = loop_.after(wait, [this, x] { show_lists(x); });
        } else {
            show_lists(x);
        }
    }

    void show_lists(http::exchange_id x)
    {
        const nlohmann::json out{{"wall_clock_ms", clock_ms()},
                                 {"born", 1},
                                 {"active", active},
                                 {"finished", nlohmann::json::array()}};
        server_.respond(x, {200, "application/json", out.dump(), {}});
    }

    static std::int64_t clock_ms()
    {
        return std::chrono::duration_cast<milliseconds>(mono_clock::now().time_since_epoch())
            .count();
    }

    event_loop& loop_;
    timer_handle later_;
    http::server server_;
};

/** A leader with a log of its own and one task that begins on one server. */
class one_leader {
public:
    one_leader()
    {
        settings.id = instance_id{"127.0.0.1"};
        log.replica().form(7, loop.now());
        drive(300ms);
        REQUIRE(log.replica().settled());
        driver.lead();
        jobs::job_spec spec;
        spec.steps.resize(1);
        spec.steps[0].lasting = true;
        log.propose_here(jobs::submit_job{task.job, jobs::queue_id{"q"}, {}, {}, spec, 1});
        drive(50ms);
    }

    void report(std::uint16_t port, milliseconds age = 0ms)
    {
        jobs::server_report r;
        r.id = worker;
        r.life = 1;
        r.sequence = ++sequence_;
        r.address = "127.0.0.1:" + std::to_string(port);
        r.capacity = {64'000, 1000, 0};
        r.clock_ms =
            std::chrono::duration_cast<milliseconds>(loop.now().time_since_epoch()).count();
        driver.heard(r, age);
    }

    void begin() { log.propose_here(jobs::begin_runs{{{{task, 1}, worker, 1}}}); }

    /** Runs the loop until something holds. @return whether it did in time. */
    bool until(const std::function<bool()>& holds, milliseconds most)
    {
        const mono_time end = loop.now() + most;
        while (!holds() && loop.now() < end) {
            drive(20ms);
        }
        return holds();
    }

    void drive(milliseconds time)
    {
        const auto stop = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    bool waits() const
    {
        const jobs::task* t = log.state().find(task);
        return t != nullptr && t->phase == jobs::task_phase::waiting;
    }

    event_loop loop;
    settings::job_service_settings settings;
    protocol wire{platform::make_protocol()};
    http::client client{loop};
    relay orders{loop, client, wire,
                 [](const instance_id&, const wire::message&) { return false; }};
    metrics counters;
    std::vector<jobs::end_run> ends;
    job_log log{loop,
                instance_id{"127.0.0.1"},
                1,
                replication::any_store{store::memory_store{}},
                {},
                {[](const instance_id&, const wire::message&) { return false; },
                 [this](const jobs::command& cmd, const jobs::outcome&) { applied(cmd); }, [] {},
                 [](const error&) {}}};
    core_context shared{loop, settings, wire, client, orders, log, counters};
    run_driver driver{shared, [] {}};

private:
    void applied(const jobs::command& cmd)
    {
        driver.applied(cmd);
        if (const auto* e = std::get_if<jobs::end_runs>(&cmd)) {
            ends.insert(ends.end(), e->ends.begin(), e->ends.end());
        }
    }

    std::uint64_t sequence_{0};
    timer_handle ticker_{loop.every(10ms, [this] { driver.tick(); })};
};

} // namespace

TEST_CASE("driver: an order that never left is no doubt, the task goes elsewhere at once")
{
    one_leader leader;
    leader.report(first_port); // Nobody listens there.
    leader.begin();
    REQUIRE(leader.until([&] { return !leader.ends.empty(); }, 1s));
    CHECK(leader.ends[0].how == jobs::run_end::not_begun);
    CHECK(leader.waits());
    CHECK_FALSE(leader.driver.servers().at(worker).reachable());
}

TEST_CASE("driver: a start without an answer is stopped before it counts as not begun")
{
    one_leader leader;
    scripted_server server{leader.loop, first_port + 1};
    server.answers_starts = false;
    leader.report(first_port + 1);
    leader.begin();
    REQUIRE(leader.until([&] { return !leader.ends.empty(); }, 4s));
    CHECK(leader.ends[0].how == jobs::run_end::not_begun);
    const auto stop = std::ranges::find(server.calls, "/run-stop");
    const auto look = std::find(stop, server.calls.end(), "/hold");
    CHECK(stop != server.calls.end());
    CHECK(look != server.calls.end());
}

TEST_CASE("driver: a start whose answer was lost runs on where the server shows it")
{
    one_leader leader;
    scripted_server server{leader.loop, first_port + 8};
    server.answers_starts = false;
    server.runs_unanswered = true;
    leader.report(first_port + 8);
    leader.begin();
    REQUIRE(leader.until([&] { return leader.driver.at_work(task); }, 3s));
    leader.drive(1500ms);
    // A stop would end a sound task, perhaps while others of its step are away.
    CHECK(std::ranges::find(server.calls, "/run-stop") == server.calls.end());
    CHECK(leader.ends.empty());
    CHECK(leader.driver.at_work(task));
}

TEST_CASE(
    "driver: a server that falls silent keeps the lease that it has, and its runs are given up")
{
    one_leader leader;
    scripted_server server{leader.loop, first_port + 2};
    leader.report(first_port + 2);
    leader.begin();
    REQUIRE(leader.until([&] { return leader.driver.at_work(task); }, 2s));
    server.silent = true;
    server.calls.clear();
    server.leases.clear();
    // Long before the lease is over the task no longer counts as at work.
    CHECK(leader.until([&] { return !leader.driver.at_work(task); }, 2500ms));
    CHECK(leader.ends.empty());
    REQUIRE(leader.until([&] { return !leader.ends.empty(); }, 8s));
    CHECK(leader.ends[0].how == jobs::run_end::lost);
    REQUIRE(server.leases.size() >= 2);
    CHECK(std::ranges::count_if(server.leases, [](std::int64_t l) { return l > 0; }) <= 1);
}

TEST_CASE("driver: a task that falls below its full work counts as away")
{
    one_leader leader;
    scripted_server server{leader.loop, first_port + 5};
    leader.report(first_port + 5);
    leader.begin();
    REQUIRE(leader.until([&] { return leader.driver.at_work(task); }, 2s));
    server.active[0][3] = 40;
    CHECK(leader.until([&] { return !leader.driver.at_work(task); }, 2s));
    server.active[0][3] = 100;
    CHECK(leader.until([&] { return leader.driver.at_work(task); }, 2s));
}

TEST_CASE("driver: a lasting task that starts up is seen at its full work soon")
{
    one_leader leader;
    scripted_server server{leader.loop, first_port + 9};
    server.percent = 0;
    server.wait = 700ms;
    leader.report(first_port + 9);
    leader.begin();
    REQUIRE(leader.until([&] { return !server.active.empty(); }, 1s));
    leader.drive(300ms);
    CHECK_FALSE(leader.driver.at_work(task));
    server.active[0][3] = 100;
    // A look that waited for an end would tell it only after its whole wait.
    CHECK(leader.until([&] { return leader.driver.at_work(task); }, 350ms));
    // Then looks wait again.
    const std::size_t looks = server.calls.size();
    leader.drive(1s);
    CHECK(server.calls.size() - looks <= 4);
}

TEST_CASE("driver: a report that another instance passes on is as old as that one says")
{
    one_leader leader;
    leader.report(first_port + 6, 30s);
    // It ended long ago: it is forgotten again and not taken for a server that has just come.
    CHECK(leader.loop.now() - leader.driver.servers().at(worker).heard >= 30s);
    CHECK(leader.until([&] { return leader.driver.servers().empty(); }, 1s));
    const auto gone = leader.driver.take_gone();
    REQUIRE(gone.size() == 1);
    CHECK(gone[0].id == worker);
    CHECK(leader.driver.take_gone().empty());
    // An old report does not make a known server look older than it is.
    leader.report(first_port + 6);
    leader.report(first_port + 6, 30s);
    CHECK(leader.loop.now() - leader.driver.servers().at(worker).heard < 5s);
}

TEST_CASE("driver: who follows drops a server that it is told has ended, who leads does not")
{
    one_leader leader;
    leader.report(first_port + 7);
    leader.driver.told_gone({worker, 1});
    CHECK(leader.driver.servers().contains(worker));
    leader.driver.follow();
    // Of an earlier life only.
    leader.driver.told_gone({worker, 0});
    CHECK(leader.driver.servers().contains(worker));
    leader.driver.told_gone({worker, 1});
    CHECK(leader.driver.servers().empty());
}

TEST_CASE("driver: a server that starts again has lost what it ran")
{
    one_leader leader;
    scripted_server server{leader.loop, first_port + 3};
    leader.report(first_port + 3);
    leader.begin();
    REQUIRE(leader.until([&] { return leader.driver.at_work(task); }, 2s));
    jobs::server_report again = leader.driver.servers().at(worker).report;
    again.life = 2;
    again.sequence = 1;
    leader.driver.heard(again);
    REQUIRE(leader.until([&] { return !leader.ends.empty(); }, 1s));
    CHECK(leader.ends[0].how == jobs::run_end::lost);
}

TEST_CASE("driver: a cancelled job's task is stopped, and a run that the log does not know too")
{
    one_leader leader;
    scripted_server server{leader.loop, first_port + 4};
    leader.report(first_port + 4);
    leader.begin();
    REQUIRE(leader.until([&] { return leader.driver.at_work(task); }, 2s));
    leader.log.propose_here(jobs::cancel_job{task.job, 2});
    const auto stops = [&] { return std::ranges::count(server.calls, "/run-stop"); };
    CHECK(leader.until([&] { return stops() >= 1; }, 500ms));
    const jobs::task_id stray{jobs::job_id{0xdef}, 0, 0, 0};
    server.active.push_back({stray.text(), 4, "", 10, 0});
    const auto before = stops();
    CHECK(leader.until([&] { return stops() > before; }, 3s));
}

TEST_CASE("machines: an upkeep that was done before leaves the server that runs there now alone")
{
    one_leader leader;
    scripted_server server{leader.loop, first_port + 6};
    int orders = 0;
    const nlohmann::json list{{"machines",
                               {{{"machine", "m-1"},
                                 {"pool", "p"},
                                 {"state", "up"},
                                 {"zone", "z"},
                                 {"labels", {"a", "r1"}},
                                 {"capacity", {{"cpu", 64000}, {"mem_mb", 1000}, {"gpu", 0}}},
                                 {"id", worker.str()}}}},
                              {"next_token", nullptr}};
    http::server* answers = nullptr;
    http::server service{leader.loop, [&](http::exchange_id x, http::request&& in) {
                             orders += in.method == "POST" ? 1 : 0;
                             answers->respond(x, {200, "application/json", list.dump(), {}});
                         }};
    answers = &service;
    REQUIRE_FALSE(service.listen({"127.0.0.1", first_port + 7}, {}));
    leader.settings.machines.address = "127.0.0.1:" + std::to_string(first_port + 7);
    leader.settings.bounds.upkeep_ms = 200;
    jobs::document doc;
    doc.version = 1;
    doc.pools.emplace(pool_id{"p"}, jobs::job_pool{});
    leader.log.propose_here(jobs::put_document{doc});
    leader.log.propose_here(jobs::start_upkeep{"1", {"m-1"}, 20'000, 1, wall_now()});
    // An earlier leader began it, and it was carried out: the service says so to the second order.
    leader.log.propose_here(jobs::step_upkeep{"1", "m-1", false, false});
    leader.report(first_port + 6);
    leader.drive(100ms);
    dispatcher work{leader.shared, leader.driver};
    machine_driver machines{leader.shared, leader.driver, work};
    machines.lead();
    const auto ticker = leader.loop.every(20ms, [&] { machines.tick(); });
    REQUIRE(leader.until([&] { return leader.log.state().waves.at("1").is_done(); }, 5s));
    CHECK(orders == 1);
    const server_view& view = leader.driver.servers().at(worker);
    CHECK_FALSE(view.left);
    CHECK_FALSE(view.withheld);
}

TEST_CASE("machines: a wave ends although one of its machines has left the fleet")
{
    for (const bool while_down : {false, true}) {
        one_leader leader;
        std::vector<std::string> asked;
        int lists = 0;
        http::server* answers = nullptr;
        http::server service{
            leader.loop, [&](http::exchange_id x, http::request&& in) {
                if (in.method == "GET") {
                    const bool listed = while_down && ++lists <= 1;
                    nlohmann::json list{{"machines", nlohmann::json::array()},
                                        {"next_token", nullptr}};
                    const auto entry = [](const char* id) {
                        return nlohmann::json{
                            {"machine", id},
                            {"pool", "p"},
                            {"state", "up"},
                            {"zone", "z"},
                            {"labels", {"a", "r1"}},
                            {"capacity", {{"cpu", 64000}, {"mem_mb", 1000}, {"gpu", 0}}},
                            {"id", id}};
                    };
                    list["machines"].push_back(entry("m-other"));
                    if (listed) {
                        list["machines"].push_back(entry("m-left"));
                    }
                    answers->respond(x, {200, "application/json", list.dump(), {}});
                    return;
                }
                asked.push_back(nlohmann::json::parse(in.body).value("machine", ""));
                // Before it left, the order was carried out; after that it is not known any more.
                answers->respond(x, {while_down ? 200 : 400, "application/json", "{}", {}});
            }};
        answers = &service;
        REQUIRE_FALSE(service.listen({"127.0.0.1", first_port + 10}, {}));
        leader.settings.machines.address = "127.0.0.1:" + std::to_string(first_port + 10);
        leader.settings.machines.orders_per_s = 10;
        leader.settings.machines.reads_per_s = 10;
        leader.settings.bounds.upkeep_ms = 200;
        jobs::document doc;
        doc.version = 1;
        doc.pools.emplace(pool_id{"p"}, jobs::job_pool{});
        leader.log.propose_here(jobs::put_document{doc});
        leader.log.propose_here(jobs::start_upkeep{"1", {"m-left"}, 20'000, 1, wall_now()});
        leader.drive(100ms);
        dispatcher work{leader.shared, leader.driver};
        machine_driver machines{leader.shared, leader.driver, work};
        machines.lead();
        const auto ticker = leader.loop.every(20ms, [&] { machines.tick(); });
        CHECK(leader.until([&] { return leader.log.state().waves.at("1").is_done(); }, 6s));
        CHECK(asked == std::vector<std::string>{"m-left"});
    }
}

TEST_CASE("client: a request that was given up does not reach its server later")
{
    event_loop loop;
    http::client client{loop};
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&at);
    REQUIRE(bind(listener, generic, sizeof at) == 0);
    REQUIRE(listen(listener, 4) == 0);
    socklen_t size = sizeof at;
    getsockname(listener, generic, &size);
    http::client_request request;
    request.url = "http://127.0.0.1:" + std::to_string(ntohs(at.sin_port)) + "/order";
    request.body = "{}";
    request.timeout = 200ms;
    http::delivery how = http::delivery::answered;
    client.send(std::move(request), [&](http::client_response&& r) {
        how = r.how;
        loop.stop();
    });
    loop.run();
    CHECK(how == http::delivery::lost);
    // The client's end is reset, not closed: what was still queued would be dropped with it.
    const int fd = accept(listener, nullptr, nullptr);
    std::array<char, 4096> buffer{};
    ssize_t got = 0;
    while ((got = recv(fd, buffer.data(), buffer.size(), 0)) > 0) {
    }
    CHECK(got == -1);
    CHECK(errno == ECONNRESET);
    close(fd);
    close(listener);
}
