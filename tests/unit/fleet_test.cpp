#include "fleet/call_budget.h"
#include "fleet/group.h"
#include "fleet/refusal.h"
#include "fleet/server_view.h"

#include "fakes/replica_group.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

const instance_id self{"10.0.0.1"};
const instance_id second{"10.0.0.2"};
const instance_id third{"10.0.0.3"};
const instance_id fourth{"10.0.0.4"};

consensus::configuration voters_of(std::vector<consensus::voter> voters)
{
    return {7, std::move(voters)};
}

bool always(const instance_id& /*id*/, incarnation /*disk*/)
{
    return true;
}

} // namespace

TEST_CASE("clock: it is bounded from below by the slowest clock, and delays only lower the bound")
{
    server_clock clock;
    const mono_time t{1h};
    CHECK_FALSE(clock.at_least(t));
    clock.read(10'000, t);
    CHECK(*clock.at_least(t + 10s) == 19'800);
    // A reading that was long under way says nothing new.
    clock.read(10'500, t + 10s);
    CHECK(*clock.at_least(t + 10s) == 19'800);
    clock.read(20'000, t + 10s);
    CHECK(*clock.at_least(t + 10s) == 20'000);
}

TEST_CASE("lease: it is over only when even the slowest clock has passed its end")
{
    server_view view;
    const mono_time t{1h};
    view.clock.read(10'000, t);
    view.lease_end_ms = 13'600;
    CHECK_FALSE(view.lease_surely_over(t + 3600ms));
    CHECK_FALSE(view.lease_surely_over(t + 3670ms));
    CHECK(view.lease_surely_over(t + 3700ms));
    view.inherited_lease_over = t + 6s;
    CHECK_FALSE(view.lease_surely_over(t + 4s));
    view.clock.forget();
    CHECK_FALSE(view.lease_surely_over(t + 1min));
}

TEST_CASE("voters: every scheduler becomes one, one at a time")
{
    const mono_time now{1h};
    const std::map<instance_id, scheduler_peer> peers{{second, {12, {}, true, now}},
                                                      {third, {13, {}, true, now}}};
    const auto present = voters_of({{self, 11}});
    const auto change = plan_voters(present, self, peers, always, now);
    CHECK(change.what == voter_change::kind::add);
    CHECK(change.next.voters.size() == 2);
    const auto behind = [](const instance_id&, incarnation) { return false; };
    CHECK(plan_voters(present, self, peers, behind, now).what == voter_change::kind::none);
}

TEST_CASE("voters: a wiped disk's successor takes its place in one change")
{
    const mono_time now{1h};
    const std::map<instance_id, scheduler_peer> peers{{second, {12, {}, true, now}},
                                                      {third, {99, {}, true, now}}};
    const auto present = voters_of({{self, 11}, {second, 12}, {third, 13}});
    const auto change = plan_voters(present, self, peers, always, now);
    CHECK(change.what == voter_change::kind::replace);
    CHECK(change.next.voters.size() == 3);
    CHECK(change.next.contains({third, 99}));
    CHECK_FALSE(change.next.contains({third, 13}));
}

TEST_CASE("voters: a dead one is taken out only where three others stay")
{
    const mono_time now{1h};
    std::map<instance_id, scheduler_peer> peers{{second, {12, {}, true, now}},
                                                {third, {13, {}, false, now - 1min}}};
    const auto three = voters_of({{self, 11}, {second, 12}, {third, 13}});
    CHECK(plan_voters(three, self, peers, always, now).what == voter_change::kind::none);
    peers[fourth] = {14, {}, true, now};
    const auto four = voters_of({{self, 11}, {second, 12}, {third, 13}, {fourth, 14}});
    const auto change = plan_voters(four, self, peers, always, now);
    CHECK(change.what == voter_change::kind::remove);
    CHECK(change.voter.id == third);
    peers[third].last_heard = now - 2s;
    CHECK(plan_voters(four, self, peers, always, now).what == voter_change::kind::none);
}

TEST_CASE("reads: a leader that lost its majority is not sure any more before another can lead")
{
    fakes::replica_group<> group{3, 5};
    group.form();
    auto* old = group.leader();
    REQUIRE(old != nullptr);
    group.run(50);
    CHECK(old->surely_leads(group.now));
    instance_id name;
    for (const auto& [id, m] : group.all()) {
        if (m.log.get() == old) {
            name = id;
        }
    }
    for (const auto& [id, m] : group.all()) {
        if (id != name) {
            group.cut.insert({name, id});
            group.cut.insert({id, name});
        }
    }
    bool two_at_once = false;
    bool another = false;
    for (int i = 0; i < 400; ++i) {
        group.run(1);
        for (const auto& [id, m] : group.all()) {
            const bool leads = id != name && m.log->is_leader();
            another = another || leads;
            two_at_once = two_at_once || (leads && old->surely_leads(group.now));
        }
    }
    CHECK(another);
    CHECK_FALSE(two_at_once);
}

namespace {

/**
 * One follower is cut from the leader, the other restarts right after the leader heard it and
 * could help the first to an election that the leader can't know of.
 * @return whether the old leader was ever sure of its lead beside another leader.
 */
bool two_leaders_after_restart(std::uint64_t seed, int steps_before_restart)
{
    fakes::replica_group<> group{3, seed};
    group.form();
    group.run(50);
    const auto* old = group.leader();
    std::vector<instance_id> others;
    instance_id name;
    for (const auto& [id, m] : group.all()) {
        if (m.log.get() == old) {
            name = id;
        } else {
            others.push_back(id);
        }
    }
    const auto cut = [&](const instance_id& a, const instance_id& b) {
        group.cut.insert({a, b});
        group.cut.insert({b, a});
    };
    cut(name, others[0]);
    group.run(steps_before_restart);
    cut(name, others[1]);
    group.crash(others[1]);
    group.start(others[1]);
    for (int i = 0; i < 100; ++i) {
        group.run(1);
        for (const instance_id& id : others) {
            if (group.at(id).log->is_leader() && old->surely_leads(group.now)) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

TEST_CASE("reads: a voter that has just started keeps its vote while it may have promised it")
{
    int twice = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (int steps = 40; steps <= 120; steps += 10) {
            twice += two_leaders_after_restart(seed, steps) ? 1 : 0;
        }
    }
    CHECK(twice == 0);
}

TEST_CASE(
    "call budget: a burst of orders stays within the service's rate, and none is kept from going")
{
    call_budget budget{20};
    const mono_time start{1h};
    int made = 0;
    for (int ms = 0; ms < 3000; ms += 10) {
        // What the planner wants each time is more than may go.
        for (int i = 0; i < 16; ++i) {
            made += budget.take(start + milliseconds{ms}) ? 1 : 0;
        }
    }
    // One second's worth is saved up at the start.
    CHECK(made <= 80);
    CHECK(made >= 75);
    call_budget slow{0.5};
    CHECK(slow.take(start));
    CHECK_FALSE(slow.take(start + 1s));
    CHECK(slow.take(start + 2100ms));
}

TEST_CASE("refusal: a reason with quotes or broken text is still proper JSON")
{
    for (const std::string why : {"\"path\" is not text", "line\nbreak", "\xff\xfe"}) {
        const auto out = refusal(400, "bad_request", why);
        CHECK(out.status == 400);
        const auto body = nlohmann::json::parse(out.body, nullptr, false);
        REQUIRE(body.is_object());
        CHECK(body["error"] == "bad_request");
    }
}
