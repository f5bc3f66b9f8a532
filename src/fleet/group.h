#pragma once

/**
 * @file
 * Which schedulers vote. Every scheduler is to be a voter: the surroundings call the group stable
 * while more than half of all schedulers run, so no smaller set of voters may decide alone.
 */

#include "core_context.h"

#include "fescuestream/wire/message.h"

#include <map>
#include <set>

namespace fescue::fleet {

/** What is known of another scheduler. */
struct scheduler_peer {
    incarnation disk{0};
    data_centre_id data_centre;
    bool connected{false};
    mono_time last_heard{};
};

/** What the leader should change about the voters, if anything; one change at a time. */
struct voter_change {
    enum class kind : std::uint8_t { none, add, replace, remove };
    kind what{kind::none};
    consensus::voter voter;
    consensus::configuration next;
};

/**
 * Pure decision.
 * @param caught_up whether a peer with this disk has nearly the whole log.
 */
voter_change plan_voters(const consensus::configuration& present, const instance_id& self,
                         const std::map<instance_id, scheduler_peer>& peers,
                         const std::function<bool(const instance_id&, incarnation)>& caught_up,
                         mono_time now);

class group {
public:
    group(core_context& shared, incarnation disk) : shared_{shared}, disk_{disk} {}

    /** A scheduler said who it is. */
    void greeted(const wire::hello& who);
    void heard(const instance_id& id);
    void disconnected(const instance_id& id);
    /** Forms the first group or changes the voters, where it is this instance's turn. */
    void tick();
    /** @return whether enough schedulers vote for an acknowledgement to survive a lost disk. */
    bool complete() const;
    std::vector<instance_id> schedulers() const;
    /** @return the other schedulers that are connected, by data centre. */
    std::map<data_centre_id, std::vector<instance_id>> helpers() const;

private:
    void form_first();
    /** Fewest voters with which orders are taken; fewer schedulers than this are never told. */
    std::size_t least_voters() const;

    core_context& shared_;
    incarnation disk_;
    std::map<instance_id, scheduler_peer> peers_;
};

} // namespace fescue::fleet
