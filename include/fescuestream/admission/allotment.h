#pragma once

/**
 * @file
 * Teams' upper limits, split into allotments that instances hold. The sum of what counts never
 * exceeds the limit, so no cut and no crash can break it: what is moved is given back first.
 */

#include "fescuestream/catalogue/state.h"
#include "fescuestream/wire/message.h"

#include <map>
#include <vector>

namespace fescue::admission {

/** What this instance holds and uses. */
class allotment_ledger {
public:
    /** Takes over what the log says; a newer epoch ends an earlier give-back. */
    void commit(const team_id& team, const catalogue::allotment* held);
    /** Takes over everything, for a new state. */
    void commit_all(const catalogue::control_state& state, const instance_id& self,
                    incarnation life);
    /** Keeps to less from now on, so that the leader can give the rest to others. */
    void release(const team_id& team, epoch_number epoch, std::uint32_t keep);

    bool may_start(const team_id& team) const;
    void started(const team_id& team);
    void ended(const team_id& team);

    std::uint32_t running(const team_id& team) const;
    std::uint32_t cap(const team_id& team) const;
    /** @return use of each team that has a cap or something running. */
    std::vector<wire::allotment_use> uses() const;

private:
    struct entry {
        epoch_number epoch{0};
        std::uint32_t cap{0};
        std::uint32_t running{0};
    };
    std::map<team_id, entry> entries_;
};

/** What the leader knows of one instance that may hold allotments. */
struct holder_view {
    incarnation life{0};
    /** It starts tasks on servers, so an allotment is of use to it. */
    bool is_home{false};
    std::map<team_id, wire::allotment_use> uses;
};

/** Asks one holder to keep to less. */
struct give_back {
    instance_id holder;
    wire::release_ask ask;
};

struct allotment_plan {
    std::vector<catalogue::set_allotment> changes;
    std::vector<give_back> asks;
};

/**
 * Decides the next moves of every team's allotments: first what holders gave back is recorded,
 * then what is free goes to where work is blocked, then holders above their target are asked.
 * @param holders instances that report now, under their present incarnation.
 */
allotment_plan plan_allotments(const catalogue::control_state& state,
                               const std::map<instance_id, holder_view>& holders);

} // namespace fescue::admission
