#include "fleet/scheduler_instance.h"

#include "fakes/scheduling_leader.h"
#include "fakes/temporary_folder.h"
#include "fescuestream/base/codec.h"
#include "fescuestream/store/store.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t service_port = 28830;
constexpr std::uint16_t peer_port = 28831;
constexpr std::uint16_t control_port = 28832;

const instance_id self{"127.0.0.1"};

/** Stores a snapshot of the state, as the only voter of its group. */
void store_snapshot(const std::string& folder, const jobs::state& state)
{
    auto opened = store::disk_store::open(folder);
    REQUIRE(ok(opened));
    store::disk_store& disk = value(opened);
    consensus::configuration voters;
    voters.cluster = 7;
    voters.voters = {{self, disk.disk_incarnation()}};
    const store::snapshot snap{10, 1, to_bytes(voters), jobs::machine::encode_state(state)};
    REQUIRE_FALSE(disk.save_snapshot(snap, {1, self}, {}));
}

settings::job_service_settings make_settings(const std::string& folder)
{
    settings::job_service_settings out;
    out.role = settings::job_role::scheduler;
    out.id = self;
    out.name = "core-1";
    out.data_centre = data_centre_id{"z"};
    out.peers = {"127.0.0.1", peer_port};
    out.control = {"127.0.0.1", control_port};
    out.seeds = {self.str()};
    out.data_folder = folder;
    out.cluster_secret = "test";
    out.machines = {"127.0.0.1:" + std::to_string(service_port), 20, 20};
    return out;
}

} // namespace

TEST_CASE("scheduler: a machine order that only a snapshot records keeps other orders for the "
          "machine back until the holder's lease is over")
{
    jobs::state state;
    jobs::document doc;
    doc.version = 1;
    doc.pools.emplace(fakes::pool, jobs::job_pool{});
    jobs::apply(state, jobs::put_document{doc});
    jobs::apply(state, jobs::start_maintenance{"1", {"m-1"}, 20'000, 1, wall_now()});
    jobs::apply(state, jobs::order_machine{"m-1", {}, 1, wall_now()});
    const fakes::temporary_folder folder;
    store_snapshot(folder.path.string(), state);

    event_loop loop;
    fakes::fake_machine_service service{loop, service_port};
    service.machines["m-1"] = "i-1";
    const protocol wire = platform::make_protocol();
    const auto settings = make_settings(folder.path.string());
    const mono_time started_at = loop.now();
    scheduler_instance scheduler{loop, settings, wire};
    REQUIRE_FALSE(scheduler.start());
    while (service.orders.empty() && loop.now() - started_at < 10s) {
        const auto stop = loop.after(20ms, [&] { loop.stop(); });
        loop.run();
    }
    REQUIRE_FALSE(service.orders.empty());
    CHECK(loop.now() - started_at >= milliseconds{settings.bounds.machine_lease_ms});
}
