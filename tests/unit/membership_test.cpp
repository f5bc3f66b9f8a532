#include "fescuestream/membership/serving_lease.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::membership;

namespace {

const mono_time start{std::chrono::hours{1}};

struct fixture {
    heartbeat_table heartbeats;
    serving_inputs in{instance_id{"a"}, start, start - milliseconds{1}, true, {instance_id{"b"}}};
    std::uint64_t sequence{0};

    void receive_heartbeat(bool has_leader_lease, bool hears_self, mono_time received_at)
    {
        wire::heartbeat message{instance_id{"b"}, 1, ++sequence, has_leader_lease ? 1000 : 0, {}};
        if (hears_self) {
            message.heard_instances.push_back(in.self);
        }
        heartbeats.record(message, received_at);
    }
};

} // namespace

TEST_CASE("an instance serves until its lease from the leader expires")
{
    fixture f;
    f.in.leader_lease_until = start + milliseconds{1};
    CHECK(decide_serving(f.in, f.heartbeats) == serving::leader_lease);
    f.in.now = start + milliseconds{1};
    CHECK(decide_serving(f.in, f.heartbeats) == serving::not_serving);
}

TEST_CASE("a partitioned instance serves only while it hears its neighbours")
{
    fixture f;
    CHECK(decide_serving(f.in, f.heartbeats) == serving::not_serving);
    f.receive_heartbeat(false, true, start);
    CHECK(decide_serving(f.in, f.heartbeats) == serving::partitioned);
    f.in.now = start + heartbeat_timeout;
    CHECK(decide_serving(f.in, f.heartbeats) == serving::not_serving);
}

TEST_CASE("an instance stops if a neighbour still has a leader lease or does not hear it")
{
    fixture f;
    f.receive_heartbeat(true, true, start);
    CHECK(decide_serving(f.in, f.heartbeats) == serving::not_serving);
    f.receive_heartbeat(false, false, start);
    CHECK(decide_serving(f.in, f.heartbeats) == serving::not_serving);
}

TEST_CASE("a partitioned data centre serves without a gap when its leases expire at the same time")
{
    fixture f;
    f.in.leader_lease_until = start + milliseconds{1000};
    f.receive_heartbeat(true, true, start);
    f.in.now = start + milliseconds{999};
    CHECK(decide_serving(f.in, f.heartbeats) == serving::leader_lease);
    f.in.now = start + milliseconds{1000};
    CHECK(decide_serving(f.in, f.heartbeats) == serving::partitioned);
}

TEST_CASE("a delayed heartbeat with an old sequence number is ignored")
{
    fixture f;
    f.receive_heartbeat(false, true, start - heartbeat_timeout);
    const auto old_sequence = f.sequence;
    f.receive_heartbeat(false, true, start - heartbeat_timeout);
    f.heartbeats.record({instance_id{"b"}, 1, old_sequence, 0, {f.in.self}}, start);
    CHECK(decide_serving(f.in, f.heartbeats) == serving::not_serving);
}

TEST_CASE("an instance without replicated state does not serve, even with a lease")
{
    fixture f;
    f.in.leader_lease_until = start + milliseconds{1};
    f.in.has_state = false;
    CHECK(decide_serving(f.in, f.heartbeats) == serving::not_serving);
}
