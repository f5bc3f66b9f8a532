#include "fakes/scheduling_leader.h"
#include "fleet/waiting_tasks.h"

#include <algorithm>
#include <memory>

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
        const auto report_timer =
            leader.loop.every(100ms, [&] { leader.set_incarnation("i-1", worker.born); });
        leader.submit(1, make_short_step());
        const jobs::task_id task{jobs::job_id{1}, 0, 0, 0};
        const auto starts = [&] { return std::ranges::count(worker.starts, task.text()); };
        if (leader_changes) {
            REQUIRE(leader.run_until([&] { return starts() >= 1; }, 1s));
            leader.driver.on_leadership_lost();
            leader.driver.on_leadership_gained();
            leader.work.on_leadership_gained();
        }
        leader.run_for(2s);
        // Three crashes and two further starts are allowed.
        CHECK(starts() >= 2);
        CHECK(starts() <= 5);
        CHECK(leader.log.state().jobs.at(task.job).phase == jobs::job_phase::failed);
        // The server is available to other jobs.
        leader.submit(2, make_short_step());
        CHECK(leader.run_until([&] { return leader.is_running(2); }, 1s));
    }
}

TEST_CASE("dispatcher: the loss of several servers at once is no evidence against one task")
{
    struct scenario {
        int port;
        bool both_lost;
        /** Jobs of the tasks on the two servers. */
        std::uint64_t first_job;
        std::uint64_t second_job;
        bool is_evidence;
    };
    const scenario scenarios[]{
        {11, true, 1, 2, false}, {13, false, 1, 2, true}, {15, true, 1, 1, true}};
    for (const scenario& s : scenarios) {
        CAPTURE(s.port);
        scheduling_leader leader;
        leader.settings.bounds.max_lease_ms = 300;
        const auto port = static_cast<std::uint16_t>(base_port + s.port);
        const auto second_port = static_cast<std::uint16_t>(port + 1);
        auto first = std::make_unique<fake_worker>(leader.loop, port);
        auto second = std::make_unique<fake_worker>(leader.loop, second_port);
        leader.add_server("i-1", port, {5'000, 5'000, 0});
        leader.add_server("i-2", second_port, {5'000, 5'000, 0});
        jobs::step_spec step = make_short_step();
        step.tasks = s.first_job == s.second_job ? 2 : 1;
        leader.submit(s.first_job, step);
        if (s.first_job != s.second_job) {
            leader.submit(s.second_job, step);
        }
        const jobs::task_id task{jobs::job_id{s.second_job}, 0, 0, step.tasks - 1};
        const auto runs = [&] { return first->starts.size() + second->starts.size(); };
        REQUIRE(leader.run_until([&] { return runs() == 2; }, 2s));
        leader.run_for(500ms);
        // The server of the task is lost in any case.
        const bool on_first = leader.log.state().find(task)->server == server_id{"i-1"};
        (on_first ? first : second).reset();
        if (s.both_lost) {
            (on_first ? second : first).reset();
        }
        const auto& records = leader.log.state().crash_records;
        REQUIRE(leader.run_until([&] { return records.contains(task); }, 5s));
        CHECK(records.at(task).losses()[0].alone == s.is_evidence);
    }
}

// Fails if a small document that describes many long-running tasks keeps the leader busy.
TEST_CASE("dispatcher: of a step's waiting tasks a bounded number is recorded")
{
    std::vector<jobs::task> tasks(20'000);
    tasks[0].phase = jobs::task_phase::running;
    waiting_tasks waiting;
    const jobs::task_id first{jobs::job_id{1}, 0, 0, 0};
    waiting.record_step(first, tasks, mono_time{1h});
    CHECK(waiting.size() == max_recorded_tasks_per_step);
    const auto waited = [&](std::uint32_t index) {
        return waiting.waiting_time({jobs::job_id{1}, 0, 0, index}, mono_time{1h} + 3s);
    };
    CHECK(waited(0) == 0s);
    CHECK(waited(1) == 3s);
    CHECK(waited(max_recorded_tasks_per_step) == 3s);
    CHECK(waited(max_recorded_tasks_per_step + 1) == 0s);
    // The others are recorded once the first ones have started.
    for (std::size_t i = 0; i < max_recorded_tasks_per_step; ++i) {
        tasks[i].phase = jobs::task_phase::running;
    }
    waiting.clear();
    waiting.record_step(first, tasks, mono_time{1h});
    CHECK(waited(max_recorded_tasks_per_step + 1) == 3s);
}
