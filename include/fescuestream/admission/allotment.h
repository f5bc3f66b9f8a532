#pragma once

/**
 * @file
 * Splits each team's upper limit into allotments held by instances. The sum of the counted
 * allotments never exceeds the limit: a holder releases capacity before it is granted to another,
 * so the limit holds through network partitions and crashes.
 */

#include "fescuestream/catalogue/state.h"
#include "fescuestream/wire/message.h"

#include <map>
#include <vector>

namespace fescue::admission {

/** The allotments that this instance holds, and their use. */
class allotment_ledger {
public:
    /** Applies a committed allotment; a newer epoch overrides an earlier release(). */
    void commit(const team_id& team, const catalogue::allotment* held);
    /** Applies all allotments of a replaced control state. */
    void commit_all(const catalogue::control_state& state, const instance_id& self,
                    incarnation incarnation_id);
    /** Lowers the cap to @p keep, so that the leader can grant the rest to other instances. */
    void release(const team_id& team, epoch_number epoch, std::uint32_t keep);

    bool may_start(const team_id& team) const;
    void task_started(const team_id& team);
    void task_ended(const team_id& team);

    std::uint32_t running(const team_id& team) const;
    std::uint32_t cap(const team_id& team) const;
    /** @return the use of each team with a cap, running tasks or a committed epoch. */
    std::vector<wire::allotment_usage> uses() const;

private:
    struct entry {
        epoch_number epoch{0};
        std::uint32_t cap{0};
        std::uint32_t running{0};
    };
    std::map<team_id, entry> entries_;
};

/** The leader's view of an instance that may hold allotments. */
struct holder_view {
    incarnation incarnation_id{0};
    /** The instance starts tasks on servers, so it can use an allotment. */
    bool is_home{false};
    std::map<team_id, wire::allotment_usage> uses;
};

/** Asks a holder to release part of its allotment. */
struct holder_release {
    instance_id holder;
    wire::release_request request;
};

struct allotment_plan {
    std::vector<catalogue::set_allotment> changes;
    std::vector<holder_release> release_requests;
};

/**
 * Plans the next allotment changes of every team: records the capacity that holders released,
 * grants free capacity, to holders with blocked work first, and then asks holders above their
 * target to release the excess.
 * @param holders instances with a current report; reports of another incarnation than the state's
 * are ignored.
 */
allotment_plan plan_allotments(const catalogue::control_state& state,
                               const std::map<instance_id, holder_view>& holders);

} // namespace fescue::admission
