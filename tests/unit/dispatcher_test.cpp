#include "fakes/scheduling_leader.h"

using namespace fescue;
using namespace fescue::fakes;

namespace {

constexpr std::uint16_t base_port = 28740;

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
        // A server gets no start before the report of its new incarnation.
        std::int64_t reported = worker.born;
        const auto reports = leader.loop.every(20ms, [&] {
            if (std::exchange(reported, worker.born) != worker.born) {
                leader.set_incarnation("i-1", worker.born);
            }
        });
        leader.submit(1, make_short_step());
        const jobs::task_id task{jobs::job_id{1}, 0, 0, 0};
        const auto count_starts = [&] { return std::ranges::count(worker.starts, task.text()); };
        if (leader_changes) {
            REQUIRE(leader.run_until([&] { return count_starts() >= 1; }, 1s));
            leader.driver.on_leadership_lost();
            leader.driver.on_leadership_gained();
            leader.work.on_leadership_gained();
        }
        leader.run_for(2s);
        // Three crashes and two further starts are allowed.
        CHECK(count_starts() >= 2);
        CHECK(count_starts() <= 5);
        CHECK(leader.log.state().jobs.at(task.job).phase == jobs::job_phase::failed);
        // The server is available to other jobs.
        leader.submit(2, make_short_step());
        CHECK(leader.run_until([&] { return leader.is_running(2); }, 1s));
    }
}
