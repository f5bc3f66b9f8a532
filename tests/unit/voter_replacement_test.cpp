#include "fakes/replica_group.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace fescue;
using consensus::message;
using fakes::replica_group;

namespace {

constexpr int election_steps = 300;

instance_id id(int n)
{
    return instance_id{"e" + std::to_string(n)};
}

bool contains(const std::vector<std::string>& list, const std::string& entry)
{
    return std::find(list.begin(), list.end(), entry) != list.end();
}

instance_id leader_of(replica_group<>& group)
{
    for (auto& [name, m] : group.all()) {
        if (m.log && m.log.get() == group.leader()) {
            return name;
        }
    }
    return {};
}

/** @return the voters with the member's new disk in place of its old one. */
consensus::configuration with_new_disk(consensus::configuration voters, replica_group<>& group,
                                       const instance_id& wiped)
{
    std::erase_if(voters.voters, [&](const auto& v) { return v.id == wiped; });
    voters.voters.push_back({wiped, group.at(wiped).disk->id});
    return voters;
}

/**
 * The leader of three voters is suspended. One follower's vote for the other is still on its way
 * when that follower's disk is lost, and the leader, which goes on, replaces the lost voter while
 * the other follower is partitioned from it.
 * @return whether the leader applied a command after that and the group lost it again.
 */
bool loses_command_to_delayed_vote(std::uint64_t seed)
{
    replica_group<> group{3, seed};
    group.form();
    group.run(50);
    const instance_id leader = leader_of(group);
    REQUIRE(leader == id(0));
    const instance_id candidate = id(1);
    const instance_id wiped = id(2);
    group.withholds = [&](const instance_id& from, const instance_id&, const message& m) {
        const auto* vote = std::get_if<consensus::vote_reply>(&m);
        return from == wiped && vote != nullptr && vote->granted && !vote->pre_vote;
    };
    group.paused.insert(leader);
    for (int step = 0; step < 110 && group.withheld_count() == 0; ++step) {
        group.run(1);
    }
    group.cut = {{leader, candidate}, {candidate, leader}};
    group.crash(wiped);
    group.replace_disk(wiped);
    group.paused.clear();
    group.start(wiped);
    group.run(2);
    auto& old_leader = *group.at(leader).log;
    old_leader.propose_configuration(with_new_disk(old_leader.voters(), group, wiped));
    group.run(2);
    old_leader.propose("acknowledged");
    group.run(2);
    const bool applied = contains(group.at(leader).applied, "acknowledged");
    group.release_withheld();
    group.run(1);
    group.cut.clear();
    group.run(election_steps);
    REQUIRE(group.leader() != nullptr);
    return applied && !contains(group.at(leader_of(group)).applied, "acknowledged");
}

} // namespace

TEST_CASE("a vote cast before a disk was lost does not elect a leader without the entries of the "
          "voter's successor")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        CHECK_FALSE(loses_command_to_delayed_vote(seed));
    }
}

TEST_CASE("the next leader completes a replacement of a voter that its predecessor began")
{
    replica_group<> group{3, 5};
    group.form();
    group.leader()->propose("before");
    group.run(20);
    const instance_id leader = leader_of(group);
    const instance_id wiped = leader == id(2) ? id(1) : id(2);
    group.crash(wiped);
    group.replace_disk(wiped);
    group.start(wiped);
    group.run(20);
    group.withholds = [&](const instance_id&, const instance_id& to, const message& m) {
        return to == leader && std::holds_alternative<consensus::append_reply>(m);
    };
    const auto next = with_new_disk(group.leader()->voters(), group, wiped);
    REQUIRE(group.leader()->propose_configuration(next));
    group.run(1);
    REQUIRE(group.leader()->voters().is_joint());
    group.crash(leader);
    group.withholds = nullptr;
    // The new disk does not replace the old one yet, so this is one voter of three.
    group.run(election_steps);
    CHECK(group.leader() == nullptr);
    group.start(leader);
    group.run(election_steps);
    REQUIRE(group.leader() != nullptr);
    CHECK_FALSE(group.leader()->voters().is_joint());
    CHECK(group.leader()->voters().voters == next.voters);
    CHECK(contains(group.at(wiped).applied, "before"));
}
