#pragma once

/**
 * @file
 * A group of replicas whose leader changes the voters by plan_voters, and a client whose commands
 * must survive.
 */

#include "fakes/replica_group.h"
#include "fleet/scheduler_group.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescue::fakes {

using namespace fescue::fleet;

inline constexpr int steps_per_second = 100;

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

    /** @return whether the member is connected to the current leader, or is that leader. */
    bool reaches_leader(const instance_id& member)
    {
        auto* leader = members.leader();
        for (auto& [name, m] : members.all()) {
            if (leader != nullptr && m.log.get() == leader) {
                return name == member ? !members.paused.contains(name) : connected(name, member);
            }
        }
        return false;
    }

    replica_group<> members;
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

} // namespace fescue::fakes
