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
