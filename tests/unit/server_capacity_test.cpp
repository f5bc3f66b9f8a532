#include "fakes/scheduling_leader.h"

using namespace fescue;
using namespace fescue::fakes;

namespace {

constexpr std::uint16_t base_port = 28760;
const server_id first_server{"i-1"};
const server_id second_server{"i-2"};

jobs::task_id first_task_of(std::uint64_t job)
{
    return {jobs::job_id{job}, 0, 0, 0};
}

} // namespace

TEST_CASE("capacity: a server that reports less gets no start beyond it, and one that reports more "
          "is used at once")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port};
    leader.set_enforces_capacity(false);
    leader.add_server("i-1", base_port);
    leader.submit(1, make_long_running_step(1));
    REQUIRE(leader.run_until([&] { return leader.is_running(1); }, 1s));
    leader.set_capacity("i-1", {4'000, 64'000, 0});
    leader.submit(2, make_short_step());
    jobs::step_spec best_effort = make_short_step();
    best_effort.best_effort = true;
    leader.submit(3, best_effort);
    leader.run_for(500ms);
    CHECK(leader.is_running(1));
    CHECK_FALSE(leader.is_running(2));
    CHECK_FALSE(leader.is_running(3));
    leader.set_capacity("i-1", {64'000, 4'000, 0});
    leader.run_for(500ms);
    CHECK_FALSE(leader.is_running(2));
    CHECK_FALSE(leader.is_running(3));
    leader.set_capacity("i-1", {64'000, 64'000, 0});
    CHECK(leader.run_until([&] { return leader.is_running(2) && leader.is_running(3); }, 300ms));
}

TEST_CASE("capacity: a change that a server reports is passed on to the other schedulers")
{
    scheduling_leader leader;
    jobs::server_report report;
    report.id = first_server;
    report.incarnation_id = 1;
    report.capacity = {64'000, 64'000, 0};
    const auto is_passed_on = [&] {
        ++report.sequence;
        return leader.driver.on_report(report);
    };
    CHECK(is_passed_on());
    CHECK_FALSE(is_passed_on());
    report.capacity.cpu_milli = 8'000;
    CHECK(is_passed_on());
    report.capacity.memory_mb = 8'000;
    CHECK(is_passed_on());
    report.labels = {"b", "r2"};
    CHECK(is_passed_on());
    report.clock_ms = 1;
    CHECK_FALSE(is_passed_on());
}

TEST_CASE("capacity: a start that was logged before its server's capacity shrank is not sent")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port + 1};
    leader.set_enforces_capacity(false);
    leader.add_server("i-1", base_port + 1, {4'000, 64'000, 0});
    leader.submit(1, make_short_step());
    leader.run_for(100ms);
    REQUIRE_FALSE(leader.is_running(1));
    leader.log.propose_here(jobs::start_runs{{{{first_task_of(1), 1}, first_server, 1}}});
    leader.run_for(500ms);
    CHECK(worker.starts.empty());
    const jobs::task* t = leader.log.state().find(first_task_of(1));
    CHECK(t->phase == jobs::task_phase::waiting);
    CHECK(t->failed_runs == 0);
    CHECK(leader.driver.servers().at(first_server).used == jobs::resources{});
}

TEST_CASE("capacity: a batch of starts that is proposed twice starts each run once")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port + 2};
    fake_worker second_worker{leader.loop, base_port + 3};
    leader.add_server("i-1", base_port + 2);
    leader.add_server("i-2", base_port + 3);
    leader.submit(1, make_short_step());
    const jobs::run_id run{first_task_of(1), 1};
    leader.log.propose_here(jobs::start_runs{{{run, first_server, 1}}});
    leader.log.propose_here(jobs::start_runs{{{run, first_server, 1}}});
    leader.log.propose_here(jobs::start_runs{{{run, second_server, 1}}});
    leader.run_for(500ms);
    CHECK(worker.starts.size() == 1);
    CHECK(second_worker.starts.empty());
    CHECK(leader.driver.servers().at(first_server).used == make_short_step().need);
    CHECK(leader.driver.servers().at(second_server).used == jobs::resources{});
}

TEST_CASE("capacity: a server that refused a start for lack of capacity gets none until it reports")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port + 4};
    worker.start_refusal = "room";
    leader.add_server("i-1", base_port + 4);
    leader.withhold_reports = true;
    leader.submit(1, make_short_step());
    leader.submit(2, make_long_running_step(1));
    REQUIRE(leader.run_until([&] { return !worker.starts.empty(); }, 1s));
    leader.run_for(1500ms);
    CHECK(worker.starts.size() <= 2);
    const auto refused = worker.starts.size();
    // The report is older than the change, so that the server refuses once more.
    leader.send_reports();
    leader.run_for(1s);
    CHECK(worker.starts.size() <= 2 * refused);
    // Tasks start elsewhere meanwhile, and on the server once it reports that it has capacity.
    fake_worker second_worker{leader.loop, base_port + 5};
    leader.add_server("i-2", base_port + 5);
    CHECK(leader.run_until([&] { return leader.is_running(1) && leader.is_running(2); }, 1s));
    worker.start_refusal = "";
    leader.send_reports();
    leader.submit(3, make_long_running_step(2));
    CHECK(leader.run_until([&] { return !leader.driver.servers().at(first_server).runs.empty(); },
                           1s));
    CHECK(leader.log.state().find(first_task_of(1))->failed_runs == 0);
}

TEST_CASE("capacity: a run that the log does not know takes capacity until the server has ended it")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port + 6};
    worker.stops_take_long = true;
    leader.set_enforces_capacity(false);
    leader.add_server("i-1", base_port + 6, {10'000, 10'000, 0});
    leader.submit(1, make_long_running_step(1));
    REQUIRE(leader.run_until([&] { return leader.is_running(1); }, 1s));
    const std::string stray = "00000000000000ff.0.0.0";
    worker.add_stray_run(stray);
    leader.run_for(1s);
    leader.submit(2, make_short_step());
    leader.run_for(1s);
    CHECK_FALSE(leader.is_running(2));
    // The server still has to be polled once none of the log's runs is left on it.
    leader.log.propose_here(jobs::cancel_job{jobs::job_id{1}, wall_now()});
    worker.end_run(first_task_of(1).text());
    leader.run_for(1s);
    CHECK_FALSE(leader.is_running(2));
    worker.end_run(stray);
    CHECK(leader.run_until([&] { return leader.is_running(2); }, 2s));
}

TEST_CASE(
    "capacity: a server of a pool that does not enforce it gets starts only on recent reports")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port + 7};
    leader.add_server("i-1", base_port + 7);
    leader.withhold_reports = true;
    SUBCASE("while the leader stays the same")
    {
        leader.run_for(3700ms);
    }
    SUBCASE("after a change of leader")
    {
        leader.driver.on_leadership_lost();
        leader.run_for(3700ms);
        leader.driver.on_leadership_gained();
        leader.work.on_leadership_gained();
    }
    leader.submit(1, make_short_step());
    // The servers of this pool refuse what exceeds their capacity.
    CHECK(leader.run_until([&] { return leader.is_running(1); }, 300ms));
    leader.set_enforces_capacity(false);
    leader.submit(2, make_short_step());
    leader.run_for(300ms);
    CHECK_FALSE(leader.is_running(2));
    leader.log.propose_here(jobs::start_runs{{{{first_task_of(2), 1}, first_server, 1}}});
    leader.run_for(300ms);
    CHECK(worker.starts == std::vector<std::string>{first_task_of(1).text()});
    leader.send_reports();
    CHECK(leader.run_until([&] { return leader.is_running(2); }, 300ms));
}

TEST_CASE("capacity: a new incarnation gets no start before its own report")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port + 8};
    leader.add_server("i-1", base_port + 8);
    leader.submit(1, make_long_running_step(1));
    REQUIRE(leader.run_until([&] { return leader.is_running(1); }, 1s));
    leader.withhold_reports = true;
    worker.end_run(first_task_of(1).text());
    worker.born = 2;
    const server_view& view = leader.driver.servers().at(first_server);
    REQUIRE(leader.run_until([&] { return view.report.incarnation_id == 2; }, 2s));
    worker.starts.clear();
    leader.run_for(500ms);
    CHECK(worker.starts.empty());
}

TEST_CASE("machines: a machine counts with the capacity that its server reports")
{
    scheduling_leader leader;
    fake_worker worker{leader.loop, base_port + 9};
    fake_worker second_worker{leader.loop, base_port + 10};
    fake_machine_service service{leader.loop, base_port + 11};
    service.machines = {{"m-1", "i-1"}, {"m-2", "i-2"}};
    leader.use_machine_service(base_port + 11);
    leader.add_server("i-1", base_port + 9, {0, 64'000, 0});
    leader.add_server("i-2", base_port + 10);
    leader.submit(1, make_short_step(), other_pool);
    REQUIRE(leader.run_until([&] { return !service.orders.empty(); }, 2s));
    CHECK(nlohmann::json::parse(service.order_bodies[0])["machine"] == "m-2");
}
