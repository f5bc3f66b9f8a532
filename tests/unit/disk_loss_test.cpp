#include "fleet/scheduler_group.h"

#include "fakes/planned_group.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <set>

using namespace fescue;
using namespace fescue::fleet;
using fakes::planned_group;
using fakes::steps_per_second;
using namespace std::chrono_literals;

namespace {

instance_id id(int n)
{
    return instance_id{"e" + std::to_string(n)};
}

bool contains(const std::vector<std::string>& list, const std::string& entry)
{
    return std::find(list.begin(), list.end(), entry) != list.end();
}

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

namespace {

/**
 * Random restarts, power losses, partitions, suspensions, snapshots, replacements and lost disks. A
 * lost disk counts until its member has been connected to a leader for four seconds; no more disks
 * than tolerated are lost at the same time.
 */
class random_faults {
public:
    random_faults(int schedulers, std::size_t tolerated, std::uint64_t seed)
        : random_{seed}, tolerated_{tolerated}, spare_{schedulers},
          group_{schedulers + spares, seed, members_from(schedulers), voters_to_tolerate(tolerated)}
    {
        for (int i = 0; i < schedulers; ++i) {
            present_.insert(id(i));
        }
    }

    /** @return whether all acknowledged commands are held by the leader at the end. */
    bool keep_acknowledged(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            group_.submit("c" + std::to_string(round));
            strike();
            run(static_cast<int>(below(150)));
        }
        heal();
        run(5 * steps_per_second);
        group_.submit("before the last fault");
        run(static_cast<int>(below(5)));
        lose_disks_while_others_lose_power();
        heal();
        run(15 * steps_per_second);
        return group_.keeps_acknowledged();
    }

private:
    static constexpr int spares = 2;

    std::set<instance_id> members_from(int first) const
    {
        std::set<instance_id> out;
        for (int i = first; i < first + spares; ++i) {
            out.insert(id(i));
        }
        return out;
    }
    std::uint64_t below(std::uint64_t bound) { return random_() % bound; }
    instance_id any_present()
    {
        return *std::next(present_.begin(), static_cast<std::ptrdiff_t>(below(present_.size())));
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            group_.run(1);
            for (auto& [member, steps_left] : catching_up_) {
                steps_left -= group_.reaches_leader(member) ? 1 : 0;
            }
            std::erase_if(catching_up_, [](const auto& lost) { return lost.second <= 0; });
        }
    }

    void strike()
    {
        const instance_id victim = any_present();
        const bool runs = group_.members.at(victim).log != nullptr;
        switch (below(9)) {
        case 0:
            group_.power_off(victim);
            break;
        case 1:
            heal();
            break;
        case 2:
            group_.members.paused.insert(victim);
            break;
        case 3:
            cut_off(victim);
            break;
        case 4:
        case 5:
            if (runs) {
                REQUIRE_FALSE(group_.members.compact(victim));
            }
            break;
        case 6:
            if (may_lose(victim)) {
                lose_disk(victim);
            }
            break;
        case 7:
            if (may_lose(victim) && below(3) == 0) {
                replace(victim);
            }
            break;
        default:
            group_.members.drop_probability = below(2) == 0 ? 0.0 : 0.05;
        }
    }

    bool may_lose(const instance_id& victim) const
    {
        return catching_up_.size() < tolerated_ && !catching_up_.contains(victim);
    }
    void cut_off(const instance_id& victim)
    {
        for (const instance_id& other : present_) {
            group_.members.cut.insert({victim, other});
            group_.members.cut.insert({other, victim});
        }
    }
    void lose_disk(const instance_id& victim)
    {
        group_.lose_disk(victim);
        group_.members.paused.erase(victim);
        catching_up_[victim] = 4 * steps_per_second;
    }
    void replace(const instance_id& gone)
    {
        const instance_id successor = id(spare_);
        if (group_.members.all().contains(successor)) {
            ++spare_;
            // With another scheduler down, the group cannot know which one is gone for good.
            heal();
            group_.power_off(gone);
            present_.erase(gone);
            run(steps_per_second);
            group_.power_on(successor);
            present_.insert(successor);
            catching_up_[successor] = 4 * steps_per_second;
            run(5 * steps_per_second);
        }
    }
    void lose_disks_while_others_lose_power()
    {
        std::size_t losses = tolerated_ - std::min(tolerated_, catching_up_.size());
        std::vector<instance_id> order{present_.begin(), present_.end()};
        std::shuffle(order.begin(), order.end(), random_);
        for (const instance_id& member : order) {
            if (losses > 0 && !catching_up_.contains(member)) {
                lose_disk(member);
                --losses;
            } else {
                group_.power_off(member);
            }
        }
        run(steps_per_second);
    }
    void heal()
    {
        group_.members.cut.clear();
        group_.members.paused.clear();
        group_.members.drop_probability = 0;
        for (const instance_id& member : present_) {
            if (!group_.members.at(member).log) {
                group_.power_on(member);
            }
        }
    }

    std::mt19937_64 random_;
    std::size_t tolerated_;
    int spare_;
    planned_group group_;
    std::set<instance_id> present_;
    /** Members with a new disk, with the steps for which that disk still counts as lost. */
    std::map<instance_id, int> catching_up_;
};

/** @return the number of seeds with which an acknowledged command was lost. */
int count_losses(int schedulers, std::size_t tolerated, std::uint64_t seeds)
{
    int losses = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        losses += random_faults{schedulers, tolerated, seed}.keep_acknowledged(40) ? 0 : 1;
    }
    return losses;
}

/** FESCUE_SEEDS sets the number for long runs by hand. */
std::uint64_t seeds_per_group()
{
    const char* given = std::getenv("FESCUE_SEEDS");
    return given == nullptr ? 4 : std::strtoull(given, nullptr, 10);
}

} // namespace

TEST_CASE("random faults lose no acknowledged command while at most the tolerated disks are lost")
{
    CHECK(count_losses(3, 1, seeds_per_group()) == 0);
    CHECK(count_losses(4, 1, seeds_per_group()) == 0);
    CHECK(count_losses(5, 2, seeds_per_group()) == 0);
    CHECK(count_losses(8, 2, seeds_per_group()) == 0);
}
