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

namespace {

instance_id id(int n)
{
    return instance_id{"e" + std::to_string(n)};
}

bool one_is_prefix(const std::vector<std::string>& a, const std::vector<std::string>& b)
{
    const auto length = static_cast<std::ptrdiff_t>(std::min(a.size(), b.size()));
    return std::equal(a.begin(), a.begin() + length, b.begin());
}

struct power_loss_scenario {
    int schedulers{3};
    std::size_t tolerated{1};
    consensus::timing intervals;
    milliseconds message_delay{0};
};

/**
 * Power goes at all schedulers in the same step, up to 400 ms after an acknowledgement that a
 * minority may have missed, and tolerated disks are lost with it. In between, schedulers are
 * partitioned, suspended, restarted, replaced under another id, and their logs are compacted, so
 * that those with a new disk receive a snapshot.
 */
class power_losses {
public:
    power_losses(const power_loss_scenario& scenario, std::uint64_t seed)
        : random_{seed}, tolerated_{scenario.tolerated}, spare_{scenario.schedulers},
          group_{scenario.schedulers + spares, seed, spare_members(scenario.schedulers),
                 voters_to_tolerate(scenario.tolerated), scenario.intervals}
    {
        for (int i = 0; i < scenario.schedulers; ++i) {
            present_.insert(id(i));
        }
        group_.members.message_delay = scenario.message_delay;
        group_.members.sent_survives_crash = true;
    }

    /** @return what went wrong first, or nothing. */
    std::string play(int rounds)
    {
        for (int round = 0; round < rounds && fault_.empty(); ++round) {
            if (below(2) == 0) {
                cut_off_minority();
                run(static_cast<int>(below(3 * steps_per_second)));
            }
            acknowledge("c" + std::to_string(round));
            run(static_cast<int>(below(41)));
            lose_power();
            disturb();
            run(static_cast<int>(below(2 * steps_per_second)));
            heal();
            run(static_cast<int>(below(8 * steps_per_second)));
        }
        heal();
        run(20 * steps_per_second);
        if (fault_.empty() && !group_.keeps_acknowledged()) {
            fault_ = "the leader at the end lacks an acknowledged command, or there is none";
        }
        return fault_;
    }

    /** Number of acknowledged commands that power losses followed. */
    int acknowledged() const noexcept { return acknowledged_; }
    /** Number of disks that were lost together with the power of all. */
    int lost_disks() const noexcept { return lost_disks_; }
    /** Number of snapshots that members had received from a leader. */
    int snapshots_received() const noexcept { return snapshots_received_; }

private:
    static constexpr int spares = 3;

    static std::set<instance_id> spare_members(int first)
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
        for (int i = 0; i < steps && fault_.empty(); ++i) {
            group_.run(1);
            for (auto& [member, steps_left] : catching_up_) {
                steps_left -= group_.reaches_leader(member) ? 1 : 0;
            }
            std::erase_if(catching_up_, [](const auto& lost) { return lost.second <= 0; });
            check();
        }
    }

    /** Compares what each member has applied with all that was applied before, and the leases. */
    void check()
    {
        int leases = 0;
        for (auto& [name, m] : group_.members.all()) {
            leases += m.log && m.log->has_leader_lease(group_.members.now) ? 1 : 0;
            if (!one_is_prefix(m.applied, committed_)) {
                fault_ = name.str() + " applied another command at the same index";
            } else if (m.applied.size() > committed_.size()) {
                committed_ = m.applied;
            }
            log_index& known = snapshots_[m.disk->id];
            const log_index snapshot = m.log ? m.log->snapshot_index() : known;
            snapshots_received_ += snapshot > known && !compacted_.contains(name) ? 1 : 0;
            known = snapshot;
        }
        compacted_.clear();
        if (leases > 1) {
            fault_ = "two leaders hold a lease at the same time";
        }
    }

    void acknowledge(const std::string& command)
    {
        for (int i = 0; i < 3 * steps_per_second && fault_.empty(); ++i) {
            if (i % 50 == 0) {
                group_.submit(command);
            }
            run(1);
            if (std::ranges::find(group_.acknowledged, command) != group_.acknowledged.end()) {
                ++acknowledged_;
                return;
            }
        }
    }

    void lose_power()
    {
        if (below(3) == 0) {
            for (const instance_id& member : present_) {
                compact(member);
            }
        }
        std::vector<instance_id> order{present_.begin(), present_.end()};
        std::shuffle(order.begin(), order.end(), random_);
        const bool with_disks = below(3) != 0;
        for (const instance_id& member : order) {
            group_.power_off(member);
            if (with_disks && may_lose(member)) {
                lose_disk(member);
                ++lost_disks_;
            }
        }
        group_.members.paused.clear();
        group_.members.cut.clear();
        run(static_cast<int>(below(steps_per_second)));
        std::shuffle(order.begin(), order.end(), random_);
        for (const instance_id& member : order) {
            group_.power_on(member);
            run(below(2) == 0 ? 0 : static_cast<int>(below(70)));
        }
    }

    void disturb()
    {
        const instance_id victim = any_present();
        switch (below(8)) {
        case 0:
            cut_off(victim);
            break;
        case 1:
            group_.members.paused.insert(victim);
            break;
        case 2:
            restart(victim);
            break;
        case 3:
        case 4:
            for (const instance_id& member : present_) {
                compact(member);
            }
            break;
        case 5:
            if (may_lose(victim)) {
                cut_off(any_present());
                lose_disk(victim);
                group_.power_on(victim);
            }
            break;
        case 6:
            if (may_lose(victim)) {
                replace(victim);
            }
            break;
        default:
            group_.members.drop_probability = 0.05;
        }
    }

    bool may_lose(const instance_id& victim) const
    {
        return catching_up_.size() < tolerated_ && !catching_up_.contains(victim);
    }
    void lose_disk(const instance_id& victim)
    {
        group_.lose_disk(victim);
        group_.members.paused.erase(victim);
        catching_up_[victim] = 4 * steps_per_second;
    }
    void restart(const instance_id& victim)
    {
        group_.power_off(victim);
        group_.members.paused.erase(victim);
        run(static_cast<int>(below(steps_per_second)));
        group_.power_on(victim);
    }
    void compact(const instance_id& member)
    {
        if (group_.members.at(member).log && !group_.members.compact(member)) {
            compacted_.insert(member);
        }
    }
    void cut_off(const instance_id& victim)
    {
        const bool one_way = below(3) == 0;
        for (const instance_id& other : present_) {
            group_.members.cut.insert({victim, other});
            if (!one_way) {
                group_.members.cut.insert({other, victim});
            }
        }
    }
    /** Makes some members miss what the others acknowledge. */
    void cut_off_minority()
    {
        std::vector<instance_id> order{present_.begin(), present_.end()};
        std::shuffle(order.begin(), order.end(), random_);
        order.resize((order.size() - 1) / 2);
        for (const instance_id& member : order) {
            cut_off(member);
        }
    }
    void replace(const instance_id& gone)
    {
        const instance_id successor = id(spare_);
        if (group_.members.all().contains(successor)) {
            ++spare_;
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
    /** The longest list of commands that a member has applied. */
    std::vector<std::string> committed_;
    /** Index of the snapshot on each disk. */
    std::map<incarnation, log_index> snapshots_;
    /** Members that have compacted their log since the last check. */
    std::set<instance_id> compacted_;
    std::string fault_;
    int acknowledged_{0};
    int lost_disks_{0};
    int snapshots_received_{0};
};

/** FESCUE_SEEDS sets the number for long runs by hand. */
std::uint64_t seeds_per_group()
{
    const char* given = std::getenv("FESCUE_SEEDS");
    return given == nullptr ? 4 : std::strtoull(given, nullptr, 10);
}

void check_power_losses(const power_loss_scenario& scenario)
{
    int acknowledged = 0;
    int lost_disks = 0;
    int snapshots = 0;
    for (std::uint64_t seed = 1; seed <= seeds_per_group(); ++seed) {
        CAPTURE(seed);
        power_losses losses{scenario, seed};
        CHECK(losses.play(25) == "");
        acknowledged += losses.acknowledged();
        lost_disks += losses.lost_disks();
        snapshots += losses.snapshots_received();
    }
    INFO(acknowledged, " commands acknowledged, ", lost_disks, " disks lost, ", snapshots,
         " snapshots received");
    CHECK(acknowledged > 0);
    CHECK(lost_disks > 0);
    CHECK(snapshots > 0);
}

/** As the schedulers of the job service. */
constexpr consensus::timing deferred{milliseconds{200}, milliseconds{600}, milliseconds{3000},
                                     milliseconds{60}, milliseconds{60}};

} // namespace

TEST_CASE("power loss of all voters and one disk loses no acknowledged command of three voters")
{
    check_power_losses({3, 1, deferred, milliseconds{0}});
}

TEST_CASE("power loss of all voters and one disk loses no acknowledged command of four voters")
{
    check_power_losses({4, 1, deferred, milliseconds{0}});
}

TEST_CASE("power loss of all voters and two disks loses no acknowledged command of five voters, "
          "whose leader defers its sync")
{
    check_power_losses({5, 2, deferred, milliseconds{0}});
}

TEST_CASE("power loss of all voters loses no acknowledged command while messages are delayed")
{
    check_power_losses({3, 1, deferred, milliseconds{150}});
    check_power_losses({5, 2, deferred, milliseconds{150}});
}
