#pragma once

/**
 * @file
 * Membership of the consensus group of schedulers. Every scheduler becomes a voter: the platform
 * regards the group as stable while more than half of all schedulers run, so a majority of a
 * smaller set of voters must not decide alone.
 */

#include "core_context.h"

#include "fescuestream/wire/message.h"

#include <algorithm>
#include <map>
#include <set>

namespace fescue::fleet {

/** State of another scheduler, as seen by this instance. */
struct scheduler_peer {
    incarnation disk{0};
    data_centre_id data_centre;
    bool connected{false};
    mono_time last_heard{};
};

/** Largest replication lag, in entries, at which a learner may become a voter. */
inline constexpr log_index max_learner_lag = 64;

/** @return whether the peer with this disk has replicated nearly the whole log of this leader. */
template <class Replica>
bool is_caught_up(const Replica& leader, const instance_id& id, incarnation disk)
{
    const auto found = leader.peers().find(id);
    return found != leader.peers().end() && found->second.disk == disk &&
           found->second.match + max_learner_lag >= leader.last_index();
}

/** The next change of the voter configuration, if any; the leader makes one change at a time. */
struct voter_change {
    enum class kind : std::uint8_t { none, add, replace, remove };
    kind action{kind::none};
    consensus::voter voter;
    consensus::configuration next;
};

/**
 * Chooses the next voter change; a pure function.
 * @param caught_up returns whether the peer with this disk has replicated nearly the whole log.
 * @param min_voters a removal leaves at least this many voters.
 */
voter_change plan_voters(const consensus::configuration& current, const instance_id& self,
                         const std::map<instance_id, scheduler_peer>& peers,
                         const std::function<bool(const instance_id&, incarnation)>& caught_up,
                         std::size_t min_voters, mono_time now);

/**
 * @return the number of voters with which this many of them may lose their disks: each committed
 * entry is left on another disk, and a majority is left to elect a leader. At least three, since
 * with two the loss of one disk would end the group.
 */
constexpr std::size_t voters_to_tolerate(std::size_t disk_losses) noexcept
{
    return 2 * std::max<std::size_t>(disk_losses, 1) + 1;
}

/**
 * @return the number of voters needed to serve; a group with fewer than three seeds has no other
 * schedulers.
 */
constexpr std::size_t voters_to_serve(std::size_t seeds, std::size_t disk_losses) noexcept
{
    const std::size_t needed = voters_to_tolerate(disk_losses);
    return seeds < voters_to_tolerate(1) ? std::min(seeds, needed) : needed;
}

class scheduler_group {
public:
    scheduler_group(core_context& context, incarnation disk) : context_{context}, disk_{disk} {}

    /** Records the hello message of a peer. */
    void on_hello(const wire::hello& who);
    void on_message(const instance_id& id);
    void on_disconnected(const instance_id& id);
    /** Bootstraps the group if this instance is responsible for that; changes the voters if it
     * leads. */
    void tick();
    /** @return whether there are enough voters for an acknowledged entry to survive the tolerated
     * losses of disks. */
    bool has_enough_voters() const;
    std::vector<instance_id> schedulers() const;
    /** @return the connected schedulers other than this one, by data centre. */
    std::map<data_centre_id, std::vector<instance_id>> connected_by_data_centre() const;

private:
    void bootstrap_if_responsible();
    /** @return the number of voters below which this instance accepts no orders. */
    std::size_t min_voters() const;

    core_context& context_;
    incarnation disk_;
    std::map<instance_id, scheduler_peer> peers_;
};

} // namespace fescue::fleet
