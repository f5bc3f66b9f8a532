#include "fleet/scheduler_group.h"

#include "fakes/replica_group.h"

#include <doctest/doctest.h>

#include <set>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int steps_per_second = 100;

instance_id id(int n)
{
    return instance_id{"e" + std::to_string(n)};
}

bool contains(const std::vector<std::string>& list, const std::string& entry)
{
    return std::find(list.begin(), list.end(), entry) != list.end();
}

/**
 * A group whose leader changes the voters by plan_voters, and a client whose commands must survive.
 */
class planned_group {
public:
    planned_group(int count, std::uint64_t seed, const std::set<instance_id>& absent = {},
                  std::size_t min_voters = voters_to_tolerate(1), consensus::timing intervals = {})
        : members{count, seed, intervals}, min_voters_{min_voters}
    {
        for (const instance_id& member : absent) {
            members.crash(member);
        }
        members.all().begin()->second.log->form(7, members.now);
        run(4 * steps_per_second);
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            members.run(1);
            record_contacts();
            record_acknowledged();
            if (++step_ % steps_per_plan == 0) {
                change_voters();
            }
        }
    }

    void power_off(const instance_id& member) { members.crash(member); }
    void power_on(const instance_id& member)
    {
        // A scheduler that starts again has no record of earlier contacts.
        for (auto& [pair, heard] : last_heard_) {
            heard = pair.first == member ? members.now : heard;
        }
        members.start(member);
    }
    void lose_disk(const instance_id& member)
    {
        members.crash(member);
        members.replace_disk(member);
    }

    /** Proposes a command at the leader, if there is one that serves. */
    void submit(const std::string& command)
    {
        auto* leader = members.leader();
        if (leader != nullptr && leader->voters().voters.size() >= min_voters_) {
            leader->propose(command);
        }
    }
    /** @return whether the current leader holds all that any leader has applied. */
    bool keeps_acknowledged()
    {
        auto* leader = members.leader();
        for (auto& [name, m] : members.all()) {
            if (leader != nullptr && m.log.get() == leader) {
                return m.applied.size() >= acknowledged.size() &&
                       std::equal(acknowledged.begin(), acknowledged.end(), m.applied.begin());
            }
        }
        return false;
    }

    fakes::replica_group<> members;
    /** Commands that a leader has applied, in order. */
    std::vector<std::string> acknowledged;

private:
    static constexpr int steps_per_plan = 10;

    bool connected(const instance_id& a, const instance_id& b)
    {
        return members.at(a).log && members.at(b).log && !members.paused.contains(a) &&
               !members.paused.contains(b) && !members.cut.contains({a, b}) &&
               !members.cut.contains({b, a});
    }
    void record_contacts()
    {
        for (auto& [a, unused] : members.all()) {
            for (auto& [b, also_unused] : members.all()) {
                auto& heard = last_heard_.try_emplace({a, b}, members.now).first->second;
                heard = connected(a, b) ? members.now : heard;
            }
        }
    }
    void record_acknowledged()
    {
        for (auto& [name, m] : members.all()) {
            if (m.log && m.log->is_leader() && m.applied.size() > acknowledged.size()) {
                acknowledged = m.applied;
            }
        }
    }
    void change_voters()
    {
        for (auto& [name, m] : members.all()) {
            if (!m.log || !m.log->settled()) {
                continue;
            }
            std::map<instance_id, scheduler_peer> peers;
            for (auto& [other, o] : members.all()) {
                if (other != name) {
                    peers[other] = {
                        o.disk->id, {}, connected(name, other), last_heard_[{name, other}]};
                }
            }
            const auto caught_up = [&log = *m.log](const instance_id& peer, incarnation disk) {
                return is_caught_up(log, peer, disk);
            };
            const voter_change change =
                plan_voters(m.log->voters(), name, peers, caught_up, min_voters_, members.now);
            if (change.action != voter_change::kind::none) {
                m.log->propose_configuration(change.next);
            }
        }
    }

    std::size_t min_voters_;
    std::map<std::pair<instance_id, instance_id>, mono_time> last_heard_;
    int step_{0};
};

} // namespace

TEST_CASE("a disk lost four seconds after a scheduler was replaced does not end the group")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        planned_group group{4, seed, {id(3)}};
        REQUIRE(group.members.leader() != nullptr);
        REQUIRE(group.members.leader()->voters().voters.size() == 3);
        // The third voter is gone for good; the fourth scheduler starts a second later.
        group.power_off(id(2));
        group.run(steps_per_second);
        group.power_on(id(3));
        group.run(4 * steps_per_second);
        group.submit("acknowledged");
        group.run(20);
        REQUIRE(group.acknowledged.back() == "acknowledged");
        group.lose_disk(id(1));
        group.run(steps_per_second);
        group.power_on(id(1));
        group.run(10 * steps_per_second);
        CHECK(group.keeps_acknowledged());
    }
}

namespace {

struct two_losses_outcome {
    bool acknowledged_by_three{false};
    bool kept{false};
};

/** Submits a command while three of five schedulers run, and one when all do; then two disks are
 * lost. */
two_losses_outcome lose_two_disks(std::size_t min_voters, std::uint64_t seed)
{
    planned_group group{5, seed, {id(3), id(4)}, min_voters};
    group.submit("early");
    group.run(20);
    two_losses_outcome out;
    out.acknowledged_by_three = contains(group.acknowledged, "early");
    if (!out.acknowledged_by_three) {
        group.power_on(id(3));
        group.power_on(id(4));
        group.run(4 * steps_per_second);
        group.submit("late");
        group.run(20);
        REQUIRE(contains(group.acknowledged, "late"));
    }
    group.lose_disk(id(0));
    group.lose_disk(id(1));
    group.run(steps_per_second);
    for (int i = 0; i < 5; ++i) {
        if (!group.members.at(id(i)).log) {
            group.power_on(id(i));
        }
    }
    group.run(10 * steps_per_second);
    out.kept = group.keeps_acknowledged();
    return out;
}

} // namespace

TEST_CASE("a command is not acknowledged before two disks may be lost, if that is tolerated")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        const auto tolerant = lose_two_disks(voters_to_tolerate(2), seed);
        CHECK_FALSE(tolerant.acknowledged_by_three);
        CHECK(tolerant.kept);
    }
    const auto intolerant = lose_two_disks(voters_to_tolerate(1), 1);
    CHECK(intolerant.acknowledged_by_three);
    CHECK_FALSE(intolerant.kept);
}
