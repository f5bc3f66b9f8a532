#pragma once

/**
 * @file
 * The controller that is active on the log's leader only. It monitors the instances and proposes
 * changes of membership, homes, allotments, voters, pools and waves. All its decisions go through
 * the log, and its other inputs are rebuilt from the instances' periodic reports, so a new leader
 * can continue without a handover.
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

/** How far an order has propagated to the instances. */
struct order_propagation {
    bool committed{false};
    bool in_force{false};
    std::vector<instance_id> waiting_for;
};

class leader_controller {
public:
    explicit leader_controller(context& shared);

    /** Records the hello of a connected instance, or this instance's own. */
    void hello_received(const wire::hello& who);
    void disconnected(const instance_id& id);
    void received(const instance_id& from, const wire::instance_report& report);
    void applied(const catalogue::command& cmd);
    /** Runs the periodic work that is due; a no-op unless this instance leads. */
    void tick();

    order_propagation propagation_of(log_index version) const;
    /** @return whether the instance can no longer act on a state older than this instance's. */
    bool authority_lapsed(const instance_id& id) const;
    /** @return the latest report on a server from its home, if it is fresh and the server alive. */
    std::optional<wire::server_usage> usage_of(const server_id& id) const;
    std::uint32_t running_tasks_of(const team_id& team) const;
    const planner::engine& pool_planner() const noexcept { return planner_; }

private:
    struct received_report {
        wire::instance_report report;
        mono_time at{};
    };

    void run_planning_round();
    void update_allotments();
    void update_membership();
    void update_voters();
    void register_servers();
    void assign_homes();
    void assign_homes_in(const data_centre_id& dc, std::vector<catalogue::set_home>& out);
    void update_pools();
    void update_planner();
    planner::server_view view_of(const catalogue::server_record& record) const;
    void apply_decision(const planner::decision& d);
    void remove_unresponsive_servers();
    void reclaim_orphaned_allotments();
    /** @return whether the shard's former home can no longer start tasks on its servers. */
    bool is_safely_vacant(const data_centre_id& dc, std::uint32_t shard,
                          const catalogue::home_record& record);
    bool home_is_current(const catalogue::home_record& record) const;
    std::vector<instance_id> home_candidates(const data_centre_id& dc) const;
    bool has_fresh_report(const instance_id& id) const;
    bool unheard_by_neighbour(const instance_id& id) const;
    bool servers_announced_elsewhere(const instance_id& id) const;
    std::vector<consensus::voter> target_voters() const;
    milliseconds max_task_run_time() const;
    void propose(const catalogue::command& cmd);

    context& shared_;
    std::map<instance_id, wire::hello> hellos_;
    std::map<instance_id, received_report> reports_;
    /** An announcement that does not match the state or could not be sent to the server's home. */
    struct unrouted_announcement {
        wire::announcement info;
        mono_time first{};
        mono_time last{};
    };
    std::map<server_id, unrouted_announcement> unrouted_announcements_;
    planner::engine planner_;
    /** Latest report on a server from its home. */
    struct server_report {
        wire::server_usage use;
        mono_time at{};
    };
    std::map<server_id, server_report> server_reports_;
    /** Time at which this leader last saw each server alive. */
    std::map<server_id, mono_time> last_alive_;
    std::map<std::pair<instance_id, incarnation>, mono_time> orphan_since_;
    /** Epochs of the proposed allotment changes, so that each change is proposed once. */
    std::map<std::pair<team_id, instance_id>, epoch_number> proposed_epochs_;
    /** Former home of each released shard, and the log index of the release. */
    std::map<std::pair<data_centre_id, std::uint32_t>, std::pair<instance_id, log_index>>
        released_shards_;
    mono_time last_planning_round_{};
    mono_time last_allotment_update_{};
    bool allotments_due_{false};
    bool leading_{false};
    mono_time leading_since_{};
};

} // namespace fescue::node
