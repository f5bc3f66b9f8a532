#include "fleet/dispatcher.h"
#include "fleet/machine_driver.h"
#include "fleet/run_driver.h"
#include "platform.h"

#include "fescuestream/http/server.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t service_port = 28795;

std::string entry(const std::string& id, const std::string& cpu)
{
    return R"({"machine":")" + id + R"(","pool":"p","state":"up","zone":"z","labels":["a","r1"],)" +
           R"("capacity":{"cpu":)" + cpu + R"(,"mem_mb":1000,"gpu":0},"id":"i-)" + id + "\"}";
}

/** A machine service with a list set by the test, and a leader that reads it. */
class listed_machines {
public:
    listed_machines()
    {
        settings.id = instance_id{"127.0.0.1"};
        settings.machines.address = "127.0.0.1:" + std::to_string(service_port);
        settings.machines.orders_per_s = 10;
        settings.machines.reads_per_s = 10;
        settings.bounds.maintenance_ms = 200;
        REQUIRE_FALSE(service.listen({"127.0.0.1", service_port}, {}));
        log.replica().form(7, loop.now());
        run_until([&] { return log.replica().settled(); }, 1s);
        driver.on_leadership_gained();
        jobs::document doc;
        doc.version = 1;
        doc.pools.emplace(pool_id{"p"}, jobs::job_pool{});
        log.propose_here(jobs::put_document{doc});
        log.propose_here(jobs::start_maintenance{"1", {"m-1"}, 20'000, 1, wall_now()});
        run_until([&] { return !log.state().waves.empty(); }, 1s);
        machines.on_leadership_gained();
    }

    bool run_until(const std::function<bool()>& condition, milliseconds timeout)
    {
        const mono_time end = loop.now() + timeout;
        while (!condition() && loop.now() < end) {
            const auto stop = loop.after(20ms, [this] { loop.stop(); });
            loop.run();
        }
        return condition();
    }

    bool wave_is_done() { return log.state().waves.at("1").is_done(); }

    std::string list;
    std::vector<std::string> orders;
    int list_reads{0};
    /** Whether the leader sees the orders that the log has recorded. */
    bool applies_orders{true};

    event_loop loop;
    settings::job_service_settings settings;
    protocol wire{platform::make_protocol()};
    http::client client{loop};
    relay order_relay{loop, client, wire,
                      [](const instance_id&, const wire::message&) { return false; }};
    metrics counters;
    job_log log{loop,
                instance_id{"127.0.0.1"},
                1,
                replication::any_store{store::memory_store{}},
                {},
                {[](const instance_id&, const wire::message&) { return false; },
                 [this](const jobs::command& cmd, const jobs::outcome&) {
                     if (applies_orders) {
                         machines.on_applied(cmd);
                     }
                 },
                 [] {}, [](const error&) {}}};
    core_context shared{loop, settings, wire, client, order_relay, log, counters};
    run_driver driver{shared, [] {}};
    dispatcher work{shared, driver};
    machine_driver machines{shared, driver, work};
    http::server service{loop, [this](http::exchange_id exchange, http::request&& request) {
                             if (request.method == "GET") {
                                 ++list_reads;
                                 service.respond(exchange, {200, "application/json", list, {}});
                                 return;
                             }
                             orders.push_back(request.body);
                             service.respond(exchange, {200, "application/json", "{}", {}});
                         }};
    timer_handle timer{loop.every(20ms, [this] { machines.tick(); })};
};

} // namespace

TEST_CASE("machines: a wave goes on although another entry of the list can't be read")
{
    listed_machines fleet;
    fleet.list = R"({"machines":[)" + entry("m-2", "18446744073709551615") + ",7," +
                 entry("m-1", "4000") + "]}";
    CHECK(fleet.run_until([&] { return fleet.wave_is_done(); }, 5s));
}

TEST_CASE("machines: a machine whose entry can't be read does not count as gone")
{
    listed_machines fleet;
    fleet.list = R"({"machines":[)" + entry("m-1", "-5") + "," + entry("m-2", "4000") + "]}";
    REQUIRE(fleet.run_until([&] { return fleet.list_reads >= 4; }, 8s));
    CHECK(fleet.orders.empty());
    CHECK_FALSE(fleet.wave_is_done());
    fleet.list = R"({"machines":[)" + entry("m-1", "4000") + "]}";
    CHECK(fleet.run_until([&] { return fleet.wave_is_done(); }, 5s));
}

TEST_CASE("machines: maintenance is not ordered before the log has recorded the order")
{
    // Sent earlier, it reached the machine service after an order of the next leader, which did not
    // know of it.
    listed_machines fleet;
    fleet.applies_orders = false;
    fleet.list = R"({"machines":[)" + entry("m-1", "4000") + "]}";
    REQUIRE(fleet.run_until(
        [&] { return fleet.log.state().waves.at("1").machines.at("m-1").started; }, 5s));
    CHECK_FALSE(fleet.run_until([&] { return !fleet.orders.empty(); }, 1s));
}
