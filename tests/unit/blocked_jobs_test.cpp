#include "fakes/scheduling_leader.h"

#include <algorithm>

using namespace fescue;
using namespace fescue::fakes;

namespace {

constexpr std::uint16_t base_port = 28900;
const team_id capped_account{"capped"};
const team_id other_account{"other"};
/** Id of the job that can run; all others have lower ids. */
constexpr std::uint64_t runnable_job = 1'000'000;
/** The platform's bound on the time for which a job may wait while a server has capacity for it. */
constexpr milliseconds max_wait{3000};

/** A leader and one server of 64 cores. */
struct one_server {
    explicit one_server(std::uint16_t port) : worker{leader.loop, port}
    {
        leader.add_server("i-1", port);
    }

    bool starts_in_time(std::uint64_t job)
    {
        return leader.run_until([&] { return leader.is_running(job); }, max_wait);
    }

    scheduling_leader leader;
    fake_worker worker;
};

} // namespace

// Fails if jobs that are held back by their account's cap end a round's search for servers.
TEST_CASE("dispatcher: jobs that wait for their account's cap do not block other accounts' jobs")
{
    for (const bool long_running : {true, false}) {
        CAPTURE(long_running);
        one_server fleet{static_cast<std::uint16_t>(base_port + (long_running ? 0 : 1))};
        fleet.leader.set_cpu_cap(capped_account, 10'000);
        fleet.leader.set_cpu_cap(other_account, 20'000);
        for (std::uint64_t job = 1; job <= 300; ++job) {
            fleet.leader.submit(job, long_running ? make_long_running_step(1) : make_short_step(),
                                pool, capped_account);
        }
        // Which of them run is open: their deadlines differ by less than a millisecond.
        const auto& in_use = fleet.leader.log.state().in_use;
        REQUIRE(fleet.leader.run_until(
            [&] {
                const auto used = in_use.find(capped_account);
                return used != in_use.end() && used->second.cpu_milli == 10'000;
            },
            max_wait));
        fleet.leader.submit(runnable_job, make_short_step(), pool, other_account);
        CHECK(fleet.starts_in_time(runnable_job));
        CHECK(fleet.leader.log.state().in_use.at(capped_account).cpu_milli == 10'000);
    }
}

// Fails if jobs that no server can run end a round's search for servers.
TEST_CASE("dispatcher: jobs without a fitting server do not block other jobs")
{
    one_server fleet{base_port + 2};
    std::uint64_t job = 0;
    for (int i = 0; i < 100; ++i) {
        jobs::step_spec step = make_long_running_step(1);
        step.label = "no server has label " + std::to_string(i);
        fleet.leader.submit(++job, step);
        step = make_long_running_step(2);
        step.need = {40'000 + i, 1, 0};
        step.gang = true;
        fleet.leader.submit(++job, step);
        step = make_short_step();
        step.need = {65'000 + i, 1, 0};
        fleet.leader.submit(++job, step);
    }
    fleet.leader.submit(runnable_job, make_short_step());
    CHECK(fleet.starts_in_time(runnable_job));
}

// Fails if a task that may not start on a draining server keeps the other tasks of its step, which
// have waited long enough to do so, from being tried.
TEST_CASE("dispatcher: a task that has just begun to wait does not block the others of its step")
{
    scheduling_leader leader;
    fake_worker draining{leader.loop, base_port + 3};
    fake_worker small{leader.loop, base_port + 4};
    fake_machine_service service{leader.loop, base_port + 5};
    service.machines = {{"m-1", "i-1"}, {"m-2", "i-2"}};
    leader.use_machine_service(base_port + 5);
    leader.add_server("i-1", base_port + 3);
    // One task of the step has no server, so the other one keeps its server from being emptied.
    jobs::step_spec kept = make_long_running_step(2);
    kept.label = "a";
    leader.submit(1, kept);
    REQUIRE(leader.run_until([&] { return leader.is_running(1); }, 1s));
    leader.log.propose_here(jobs::start_maintenance{"1", {"m-1"}, 20'000, 1, wall_now()});
    REQUIRE(leader.run_until([&] { return leader.driver.servers().at(server_id{"i-1"}).draining; },
                             2s));
    leader.add_server("i-2", base_port + 4, {6'000, 6'000, 0}, pool, "b");
    jobs::step_spec step = make_long_running_step(2);
    step.need = {6'000, 6'000, 0};
    leader.submit(2, step);
    const jobs::task_id first{jobs::job_id{2}, 0, 0, 0};
    const jobs::task_id second{jobs::job_id{2}, 0, 0, 1};
    const auto is_running = [&](const jobs::task_id& task) {
        const jobs::task* t = leader.log.state().find(task);
        return t != nullptr && t->phase == jobs::task_phase::running;
    };
    REQUIRE(leader.run_until([&] { return is_running(first); }, 1s));
    leader.run_for(1500ms);
    leader.set_capacity("i-2", {1, 1, 0});
    small.end_run(first.text());
    REQUIRE(leader.run_until([&] { return !is_running(first); }, 1s));
    CHECK_FALSE(is_running(second));
    CHECK(leader.run_until([&] { return is_running(second); }, 1200ms));
    CHECK_FALSE(is_running(first));
}

// Fails if suspects that are held back by their account's cap end the search for other suspects.
TEST_CASE("dispatcher: suspects that wait for their account's cap do not block other suspects")
{
    one_server fleet{base_port + 6};
    scheduling_leader& leader = fleet.leader;
    jobs::step_spec step = make_short_step();
    step.need = {500, 500, 0};
    for (std::uint64_t job = 1; job <= 80; ++job) {
        leader.submit(job, step, pool, capped_account);
    }
    leader.submit(runnable_job, step, pool, other_account);
    REQUIRE(fleet.starts_in_time(runnable_job));
    REQUIRE(fleet.starts_in_time(80));
    leader.set_cpu_cap(capped_account, 1);
    const std::uint64_t crashing_job = runnable_job + 1;
    fleet.worker.crashing_job = jobs::job_id{crashing_job};
    leader.submit(crashing_job, step, pool, other_account);
    const auto& records = leader.log.state().crash_records;
    const jobs::task_id task{jobs::job_id{runnable_job}, 0, 0, 0};
    REQUIRE(leader.run_until([&] { return fleet.worker.born > 1; }, 2s));
    leader.log.propose_here(jobs::cancel_job{jobs::job_id{crashing_job}, wall_now()});
    leader.set_incarnation("i-1", fleet.worker.born);
    REQUIRE(leader.run_until([&] { return records.contains(task); }, 2s));
    CHECK(fleet.starts_in_time(runnable_job));
}
