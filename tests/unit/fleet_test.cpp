#include "fleet/error_reply.h"
#include "fleet/scheduler_group.h"
#include "fleet/server_view.h"
#include "fleet/token_bucket.h"

#include "fakes/replica_group.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <random>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

const instance_id self_id{"10.0.0.1"};
const instance_id second_id{"10.0.0.2"};
const instance_id third_id{"10.0.0.3"};
const instance_id fourth_id{"10.0.0.4"};

consensus::configuration make_configuration(std::vector<consensus::voter> voters)
{
    return {7, std::move(voters)};
}

bool always_caught_up(const instance_id& /*id*/, incarnation /*disk*/)
{
    return true;
}

} // namespace

TEST_CASE(
    "server_clock: lower_bound() assumes the slowest clock rate, and a delayed reading does not "
    "raise it")
{
    server_clock clock;
    const mono_time t{1h};
    CHECK_FALSE(clock.lower_bound(t));
    clock.record_reading(10'000, t);
    CHECK(*clock.lower_bound(t + 10s) == 19'800);
    // This reading was delayed in transit: the first one gives a higher bound.
    clock.record_reading(10'500, t + 10s);
    CHECK(*clock.lower_bound(t + 10s) == 19'800);
    clock.record_reading(20'000, t + 10s);
    CHECK(*clock.lower_bound(t + 10s) == 20'000);
}

TEST_CASE("server_view: a lease is over only once the slowest possible clock has passed its end")
{
    server_view view;
    const mono_time t{1h};
    view.clock.record_reading(10'000, t);
    view.lease_end_ms = 13'600;
    CHECK_FALSE(view.is_lease_expired(t + 3600ms));
    CHECK_FALSE(view.is_lease_expired(t + 3670ms));
    CHECK(view.is_lease_expired(t + 3700ms));
    view.inherited_lease_expires_at = t + 6s;
    CHECK_FALSE(view.is_lease_expired(t + 4s));
    view.clock.reset();
    CHECK_FALSE(view.is_lease_expired(t + 1min));
}

TEST_CASE("server_view: a lease has expired once the time that was left of it has passed")
{
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        const auto ms_below = [&](std::uint64_t bound) {
            return milliseconds{static_cast<milliseconds::rep>(random() % bound)};
        };
        const double rate = min_clock_rate + static_cast<double>(random() % 41) / 1000;
        const mono_time started_at{1h};
        const auto server_ms = [&](mono_time at) {
            const std::chrono::duration<double, std::milli> elapsed = at - started_at;
            return elapsed.count() * rate;
        };
        server_view view;
        mono_time now = started_at + 10s;
        view.inherited_lease_expires_at = now + ms_below(6000);
        double inherited_end_ms = server_ms(view.inherited_lease_expires_at);
        double lease_end_ms = 0;
        for (int renewals = 0; renewals < 5; ++renewals) {
            const mono_time read_at = now;
            now += ms_below(1200);
            view.clock.record_reading(static_cast<std::int64_t>(server_ms(read_at)), now);
            now += ms_below(2000);
            view.lease_end_ms = std::max(view.lease_end_ms, *view.clock.lower_bound(now) + 3600);
            lease_end_ms = static_cast<double>(view.lease_end_ms);
        }
        now += ms_below(3000);
        const mono_time expired_at = now + view.remaining_lease(now);
        CHECK(server_ms(expired_at) >= lease_end_ms);
        CHECK(server_ms(expired_at) >= inherited_end_ms);
    }
}

TEST_CASE("plan_voters: every scheduler that has caught up becomes a voter, one at a time")
{
    const mono_time now{1h};
    const std::map<instance_id, scheduler_peer> peers{{second_id, {12, {}, true, now}},
                                                      {third_id, {13, {}, true, now}}};
    const auto current = make_configuration({{self_id, 11}});
    const auto change = plan_voters(current, self_id, peers, always_caught_up, 3, now);
    CHECK(change.action == voter_change::kind::add);
    CHECK(change.next.voters.size() == 2);
    const auto never_caught_up = [](const instance_id&, incarnation) { return false; };
    CHECK(plan_voters(current, self_id, peers, never_caught_up, 3, now).action ==
          voter_change::kind::none);
}

TEST_CASE("plan_voters: a scheduler with a new disk replaces its old voter in a single change")
{
    const mono_time now{1h};
    const std::map<instance_id, scheduler_peer> peers{{second_id, {12, {}, true, now}},
                                                      {third_id, {99, {}, true, now}}};
    const auto current = make_configuration({{self_id, 11}, {second_id, 12}, {third_id, 13}});
    const auto change = plan_voters(current, self_id, peers, always_caught_up, 3, now);
    CHECK(change.action == voter_change::kind::replace);
    CHECK(change.next.voters.size() == 3);
    CHECK(change.next.contains({third_id, 99}));
    CHECK_FALSE(change.next.contains({third_id, 13}));
}

TEST_CASE("plan_voters: a dead voter is removed only if three others remain")
{
    const mono_time now{1h};
    std::map<instance_id, scheduler_peer> peers{{second_id, {12, {}, true, now}},
                                                {third_id, {13, {}, false, now - 1min}}};
    const auto three = make_configuration({{self_id, 11}, {second_id, 12}, {third_id, 13}});
    CHECK(plan_voters(three, self_id, peers, always_caught_up, 3, now).action ==
          voter_change::kind::none);
    peers[fourth_id] = {14, {}, true, now};
    const auto four =
        make_configuration({{self_id, 11}, {second_id, 12}, {third_id, 13}, {fourth_id, 14}});
    const auto change = plan_voters(four, self_id, peers, always_caught_up, 3, now);
    CHECK(change.action == voter_change::kind::remove);
    CHECK(change.voter.id == third_id);
    peers[third_id].last_heard = now - 2s;
    CHECK(plan_voters(four, self_id, peers, always_caught_up, 3, now).action ==
          voter_change::kind::none);
}

TEST_CASE("plan_voters: with two tolerated disk losses a dead voter is removed only if five remain")
{
    const mono_time now{1h};
    const std::map<instance_id, scheduler_peer> peers{
        {second_id, {12, {}, true, now}},
        {third_id, {13, {}, true, now}},
        {fourth_id, {14, {}, true, now}},
        {instance_id{"10.0.0.5"}, {15, {}, true, now}},
        {instance_id{"10.0.0.6"}, {16, {}, false, now - 1min}}};
    auto voters = make_configuration({{self_id, 11},
                                      {second_id, 12},
                                      {third_id, 13},
                                      {fourth_id, 14},
                                      {instance_id{"10.0.0.6"}, 16}});
    CHECK(plan_voters(voters, self_id, peers, always_caught_up, 5, now).action ==
          voter_change::kind::add);
    voters.voters.push_back({instance_id{"10.0.0.5"}, 15});
    CHECK(plan_voters(voters, self_id, peers, always_caught_up, 5, now).action ==
          voter_change::kind::remove);
    CHECK(plan_voters(voters, self_id, peers, always_caught_up, 7, now).action ==
          voter_change::kind::none);
}

TEST_CASE("plan_voters: of two silent voters the one that has been silent for longer is removed")
{
    const mono_time now{1h};
    const std::map<instance_id, scheduler_peer> peers{{second_id, {12, {}, false, now - 3s}},
                                                      {third_id, {13, {}, false, now - 9s}},
                                                      {fourth_id, {14, {}, true, now}}};
    const auto voters =
        make_configuration({{self_id, 11}, {second_id, 12}, {third_id, 13}, {fourth_id, 14}});
    const auto change = plan_voters(voters, self_id, peers, always_caught_up, 3, now);
    CHECK(change.action == voter_change::kind::remove);
    CHECK(change.voter.id == third_id);
}

TEST_CASE("voters_to_serve: two voters for each tolerated disk loss and one more")
{
    CHECK(voters_to_serve(3, 1) == 3);
    CHECK(voters_to_serve(3, 2) == 5);
    CHECK(voters_to_serve(3, 0) == 3);
    CHECK(voters_to_serve(1, 1) == 1);
}

TEST_CASE("leader lease: it expires on a partitioned leader before another leader can be elected")
{
    fakes::replica_group<> group{3, 5};
    group.form();
    auto* old_leader = group.leader();
    REQUIRE(old_leader != nullptr);
    group.run(50);
    CHECK(old_leader->has_leader_lease(group.now));
    instance_id old_leader_id;
    for (const auto& [id, m] : group.all()) {
        if (m.log.get() == old_leader) {
            old_leader_id = id;
        }
    }
    for (const auto& [id, m] : group.all()) {
        if (id != old_leader_id) {
            group.cut.insert({old_leader_id, id});
            group.cut.insert({id, old_leader_id});
        }
    }
    bool overlap = false;
    bool new_leader_seen = false;
    for (int i = 0; i < 400; ++i) {
        group.run(1);
        for (const auto& [id, m] : group.all()) {
            const bool leads = id != old_leader_id && m.log->is_leader();
            new_leader_seen = new_leader_seen || leads;
            overlap = overlap || (leads && old_leader->has_leader_lease(group.now));
        }
    }
    CHECK(new_leader_seen);
    CHECK_FALSE(overlap);
}

namespace {

/**
 * Partitions the leader from one follower, then from the other one, which restarts right after the
 * leader received messages from it. If a restarted follower could vote at once, its vote could
 * elect the first one while the old leader still relies on its lease.
 * @return whether the old leader held a valid lease while another leader existed.
 */
bool leases_overlap_after_restart(std::uint64_t seed, int steps_before_restart)
{
    fakes::replica_group<> group{3, seed};
    group.form();
    group.run(50);
    const auto* old_leader = group.leader();
    std::vector<instance_id> followers;
    instance_id old_leader_id;
    for (const auto& [id, m] : group.all()) {
        if (m.log.get() == old_leader) {
            old_leader_id = id;
        } else {
            followers.push_back(id);
        }
    }
    const auto partition = [&](const instance_id& a, const instance_id& b) {
        group.cut.insert({a, b});
        group.cut.insert({b, a});
    };
    partition(old_leader_id, followers[0]);
    group.run(steps_before_restart);
    partition(old_leader_id, followers[1]);
    group.crash(followers[1]);
    group.start(followers[1]);
    for (int i = 0; i < 100; ++i) {
        group.run(1);
        for (const instance_id& id : followers) {
            if (group.at(id).log->is_leader() && old_leader->has_leader_lease(group.now)) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

TEST_CASE("leader lease: a restarted voter does not vote until the lease that it may have granted "
          "is over")
{
    int overlaps = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (int steps = 40; steps <= 120; steps += 10) {
            overlaps += leases_overlap_after_restart(seed, steps) ? 1 : 0;
        }
    }
    CHECK(overlaps == 0);
}

TEST_CASE(
    "token_bucket: a burst stays within the rate, and a rate below one a second still admits calls")
{
    token_bucket budget{20};
    const mono_time start{1h};
    int admitted = 0;
    for (int ms = 0; ms < 3000; ms += 10) {
        // Each iteration requests more calls than the rate allows.
        for (int i = 0; i < 16; ++i) {
            admitted += budget.try_acquire(start + milliseconds{ms}) ? 1 : 0;
        }
    }
    // The bucket starts with the tokens of one second.
    CHECK(admitted <= 80);
    CHECK(admitted >= 75);
    token_bucket slow{0.5};
    CHECK(slow.try_acquire(start));
    CHECK_FALSE(slow.try_acquire(start + 1s));
    CHECK(slow.try_acquire(start + 2100ms));
}

TEST_CASE("error_reply: the body is valid JSON when the message holds quotes or invalid UTF-8")
{
    for (const std::string message : {"\"path\" is not text", "line\nbreak", "\xff\xfe"}) {
        const auto reply = error_reply(400, "bad_request", message);
        CHECK(reply.status == 400);
        const auto body = nlohmann::json::parse(reply.body, nullptr, false);
        REQUIRE(body.is_object());
        CHECK(body["error"] == "bad_request");
    }
}
