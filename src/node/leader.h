#pragma once

/**
 * @file
 * What only the log's leader does: it watches the instances and proposes changes of membership,
 * homes, allotments, voters, pools and waves. Everything it decides goes through the log, and
 * what it knows besides comes anew from the instances' reports, so any leader can go on.
 */

#include "context.h"

#include "fescuestream/admission/allotment.h"
#include "fescuestream/planner/engine.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescue::node {

/** An order's spread over the instances. */
struct spread {
    bool committed{false};
    bool in_force{false};
    std::vector<instance_id> waiting_for;
};

class leader {
public:
    explicit leader(context& shared);

    /** An instance said who it is now. */
    void greeted(const wire::hello& who);
    void disconnected(const instance_id& id);
    void received(const instance_id& from, const wire::instance_report& report);
    void applied(const catalogue::command& cmd);
    /** Called often; does its rounds when due. */
    void tick();

    spread spread_of(log_index version) const;
    /** @return whether the instance can no longer act on anything older than the state here. */
    bool lapsed(const instance_id& id) const;
    /** @return the newest report on a server, from its home. */
    std::optional<wire::server_use> use_of(const server_id& id) const;
    std::uint32_t running_of(const team_id& team) const;
    const planner::engine& plans() const noexcept { return planner_; }

private:
    struct reported {
        wire::instance_report report;
        mono_time at{};
    };

    void round();
    void allotment_round();
    void plan_members();
    void plan_voters();
    void plan_servers();
    void plan_homes();
    void plan_homes_of(const data_centre_id& dc, std::vector<catalogue::set_home>& out);
    void plan_pools();
    void feed_planner();
    planner::server_view view_of(const catalogue::server_record& record) const;
    void act_on(const planner::decision& d);
    void forget_silent_servers();
    void plan_orphans();
    /** @return whether the shard's former home can start nothing there any more. */
    bool vacant_for_sure(const data_centre_id& dc, std::uint32_t shard,
                         const catalogue::home_record& record);
    bool home_is_usable(const catalogue::home_record& record) const;
    std::vector<instance_id> candidates(const data_centre_id& dc) const;
    bool reports_now(const instance_id& id) const;
    bool neighbour_misses(const instance_id& id) const;
    bool servers_went_elsewhere(const instance_id& id) const;
    std::vector<consensus::voter> wanted_voters() const;
    milliseconds longest_run() const;
    void propose(const catalogue::command& cmd);

    context& shared_;
    std::map<instance_id, wire::hello> greeted_;
    std::map<instance_id, reported> reports_;
    /** Servers that announced themselves to others than their home. */
    struct stray {
        wire::announcement info;
        mono_time first{};
        mono_time last{};
    };
    std::map<server_id, stray> strays_;
    planner::engine planner_;
    /** Last report on each server, from its home. */
    struct server_report {
        wire::server_use use;
        mono_time at{};
    };
    std::map<server_id, server_report> uses_;
    /** When a server was last known to be alive, as this leader saw it. */
    std::map<server_id, mono_time> last_alive_;
    std::map<std::pair<instance_id, incarnation>, mono_time> orphan_since_;
    /** Epoch of an allotment that a change was proposed for, so that it is proposed once. */
    std::map<std::pair<team_id, instance_id>, epoch_number> proposed_;
    /** Who had a released shard, and the log's index at that time. */
    std::map<std::pair<data_centre_id, std::uint32_t>, std::pair<instance_id, log_index>> released_;
    mono_time last_round_{};
    mono_time last_allotment_round_{};
    bool allotments_due_{false};
    bool led_{false};
    mono_time led_since_{};
};

} // namespace fescue::node
