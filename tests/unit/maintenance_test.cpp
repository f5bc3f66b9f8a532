#include "fakes/maintenance_service.h"

using namespace fescue;
using namespace fescue::fakes;

namespace {

constexpr std::uint16_t base_port = 28940;

/** A leader and the machines m-1, m-2 and so on, without servers. */
class maintained_fleet {
public:
    maintained_fleet(std::uint16_t port, int machine_count) : service{leader.loop, port}
    {
        for (int i = 1; i <= machine_count; ++i) {
            machines.push_back("m-" + std::to_string(i));
            service.add_machine(machines.back());
        }
        leader.use_machine_service(port);
    }

    void start_wave(const std::string& id, std::uint32_t max_concurrent, std::int64_t duration_ms)
    {
        leader.log.propose_here(
            jobs::start_maintenance{id, machines, duration_ms, max_concurrent, wall_now()});
        REQUIRE(leader.run_until([&] { return leader.log.state().waves.contains(id); }, 1s));
    }

    bool is_done(const std::string& wave) const
    {
        return leader.log.state().waves.at(wave).is_done();
    }

    /** @return whether no machine counts as done for a wave that has not maintained it. */
    bool tells_the_truth() const
    {
        return std::ranges::all_of(leader.log.state().waves, [&](const auto& wave) {
            return std::ranges::all_of(wave.second.machines, [&](const auto& machine) {
                return !machine.second.done || service.has_maintained(wave.first, machine.first);
            });
        });
    }

    /** Runs until the waves are done. @return whether they told the truth all the time. */
    bool finish_waves(const std::vector<std::string>& waves, milliseconds timeout)
    {
        bool truthful = true;
        const bool done = leader.run_until(
            [&] {
                truthful = truthful && tells_the_truth();
                return std::ranges::all_of(waves, [&](const auto& id) { return is_done(id); });
            },
            timeout);
        CHECK(done);
        return truthful;
    }

    scheduling_leader leader;
    maintenance_service service;
    std::vector<std::string> machines;
};

} // namespace

// Fails if a wave takes the maintenance that a machine has for another wave as its own.
TEST_CASE("maintenance: every machine of waves that share machines is maintained for each of them")
{
    const std::vector<std::vector<std::string>> ids{{"9", "10"}, {"1", "2"}, {"8", "9", "10"}};
    std::uint16_t port = base_port;
    for (const auto& waves : ids) {
        CAPTURE(waves.size());
        maintained_fleet fleet{port++, 3};
        fleet.start_wave(waves[0], 1, 20'000);
        REQUIRE(fleet.leader.run_until([&] { return fleet.service.orders > 0; }, 3s));
        for (std::size_t i = 1; i < waves.size(); ++i) {
            fleet.start_wave(waves[i], 1, 20'000);
        }
        CHECK(fleet.finish_waves(waves, 40s));
        for (const auto& wave : waves) {
            CHECK(fleet.service.max_down(wave) == 1);
        }
        // No order is repeated for a machine that has been maintained.
        CHECK(fleet.service.orders == static_cast<int>(3 * waves.size()));
    }
}

// Fails if a wave is judged by a list that was requested before its orders, while a new one is on
// its way.
TEST_CASE("maintenance: a machine does not count as up by a list from before its order")
{
    maintained_fleet fleet{base_port + 4, 3};
    fleet.service.duration = 900ms;
    fleet.service.list_delay = 500ms;
    fleet.start_wave("1", 1, 20'000);
    bool was_up = true;
    const bool done = fleet.leader.run_until(
        [&] {
            for (const auto& [machine, m] : fleet.leader.log.state().waves.at("1").machines) {
                was_up = was_up && (!m.done || fleet.service.is_up(machine));
            }
            return fleet.is_done("1");
        },
        20s);
    CHECK(done);
    CHECK(was_up);
    CHECK(fleet.service.max_down("1") == 1);
}

// Fails if the answer to an order that is no longer open counts for the next order of the machine.
TEST_CASE("maintenance: a late answer to an earlier order does not count for another wave")
{
    maintained_fleet fleet{base_port + 5, 1};
    fleet.service.order_delay = 600ms;
    fleet.service.duration = 50ms;
    fleet.start_wave("1", 1, 20'000);
    REQUIRE(fleet.leader.run_until([&] { return fleet.service.orders == 1; }, 3s));
    // Another instance's record of the end, while the order waits for its answer.
    fleet.leader.log.propose_here(jobs::step_maintenance{"1", "m-1", true, false});
    fleet.start_wave("2", 1, 20'000);
    CHECK(fleet.finish_waves({"1", "2"}, 10s));
}

// Fails if a wave takes down a machine by a list that names the server from before a crash.
TEST_CASE("maintenance: a server at work is not taken down because the list names an earlier one")
{
    maintained_fleet fleet{base_port + 6, 1};
    scheduling_leader& leader = fleet.leader;
    leader.add_server("i-m-1-1", base_port + 7, {1, 1, 0});
    REQUIRE(leader.run_until([&] { return fleet.service.list_reads > 0; }, 2s));
    leader.run_for(200ms);
    leader.remove_server("i-m-1-1");
    fleet.service.replace_server("m-1");
    fake_worker worker{leader.loop, base_port + 8};
    leader.add_server("i-m-1-2", base_port + 8);
    // One task of the step has no server, so the other one keeps its server from being emptied.
    leader.submit(1, make_long_running_step(2));
    const jobs::task_id task{jobs::job_id{1}, 0, 0, 0};
    REQUIRE(leader.run_until([&] { return leader.driver.is_ready(task); }, 2s));
    std::vector<std::string> ended;
    fleet.service.on_shutdown = [&](const std::string& server) { ended.push_back(server); };
    fleet.start_wave("1", 1, 20'000);
    leader.run_for(3s);
    CHECK(leader.driver.is_ready(task));
    CHECK(ended.empty());
    leader.log.propose_here(jobs::cancel_job{task.job, wall_now()});
    CHECK(fleet.finish_waves({"1"}, 5s));
    CHECK(ended == std::vector<std::string>{"i-m-1-2"});
}

// Fails if a machine is taken down whose server has appeared between the decision and the order.
TEST_CASE("maintenance: a server that appears while the order is recorded is not taken down")
{
    maintained_fleet fleet{base_port + 9, 1};
    scheduling_leader& leader = fleet.leader;
    leader.add_server("i-m-1-1", base_port + 10, {1, 1, 0});
    REQUIRE(leader.run_until([&] { return fleet.service.list_reads > 0; }, 2s));
    leader.run_for(200ms);
    fake_worker worker{leader.loop, base_port + 11};
    std::optional<int> reads_before;
    leader.before_applied = [&](const jobs::command& cmd) {
        if (std::holds_alternative<jobs::order_machine>(cmd) && !reads_before) {
            reads_before = fleet.service.list_reads;
            leader.remove_server("i-m-1-1");
            fleet.service.replace_server("m-1");
            leader.add_server("i-m-1-2", base_port + 11);
        }
    };
    bool list_was_read = true;
    fleet.service.on_shutdown = [&](const std::string&) {
        list_was_read = reads_before && fleet.service.list_reads > *reads_before;
    };
    fleet.start_wave("1", 1, 20'000);
    CHECK(fleet.finish_waves({"1"}, 8s));
    CHECK(list_was_read);
}
