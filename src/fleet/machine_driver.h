#pragma once

/**
 * @file
 * Sends orders to the machine service: maintenance of the machines in a wave, and moves between
 * pools. Only the leader sends them, one per machine at a time, with its term as the fencing token.
 */

#include "core_context.h"
#include "dispatcher.h"
#include "run_driver.h"
#include "token_bucket.h"

#include "fescuestream/base/log_limiter.h"
#include "fescuestream/scheduler/demand_forecast.h"
#include "fescuestream/scheduler/maintenance_plan.h"
#include "fescuestream/scheduler/pool_plan.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescue::fleet {

class machine_driver {
public:
    machine_driver(core_context& shared, run_driver& driver, dispatcher& task_dispatcher);

    void on_leadership_gained();
    void tick();
    /** Called on every scheduler, whether it leads or not. */
    void on_applied(const jobs::command& cmd);
    /** Called after the state was restored from a snapshot. */
    void on_state_restored();

private:
    /** An unanswered order is sent again after this delay; it may be executed once only. */
    static constexpr milliseconds order_retry_delay{2500};
    /** An order for a machine that has not been completed. */
    struct open_order {
        /** Distinguishes the order from earlier ones for the machine, whose answers may be late. */
        std::uint64_t number{0};
        bool in_flight{false};
        bool accepted{false};
        /** When the order was sent; once it is accepted, when the answer arrived. */
        mono_time sent_at{};
        /** Target pool of a move; empty: the order is for maintenance. */
        pool_id to;
        /** Wave of the maintenance. */
        std::string wave;
        /** The end of the maintenance has been proposed to the log. */
        bool end_proposed{false};

        bool is_move() const noexcept { return !to.empty(); }
        bool is_maintenance_for(const std::string& other) const noexcept
        {
            return !is_move() && wave == other;
        }
    };

    /** @return whether this instance leads and no earlier leader can still hold the machine
     * service's lease on the machine. */
    bool may_order(const std::string& machine) const;
    void send_move(const std::string& machine, const pool_id& to);
    void read_list_if_due();
    void read_page(const std::string& page);
    void on_page_reply(const result<machine_page>& page);
    const machine_entry* find_entry(const std::string& machine) const;
    /** Counts the consecutive lists that miss a machine of an open wave. */
    void record_unreadable(const std::vector<unreadable_machine>& entries);
    void count_missed_lists();
    /** @return whether the machine is missing from enough consecutive lists to count as gone. */
    bool is_unlisted(const std::string& machine) const;
    const server_view* server_on(const machine_entry& entry) const;
    /** Finds the servers that have appeared since the list was requested. Each of them runs on a
     * machine for which the list still names an earlier server, or none. */
    void find_unlisted_servers();
    /** @return whether one of these servers may be on the machine, so that it is not known what the
     * machine runs. */
    bool may_host_unlisted_server(const machine_entry& machine) const;
    /** @return whether an order may take the machine down: its present server is known and has no
     * runs. */
    bool may_take_down(const machine_entry& machine) const;
    void advance_waves();
    void advance_wave(const std::string& id, const jobs::maintenance_wave& wave);
    void on_maintenance_step(const jobs::step_maintenance& cmd);
    scheduler::maintenance_candidate make_candidate(const std::string& wave,
                                                    const std::string& machine,
                                                    const jobs::maintenance_machine& m) const;
    /** @return whether a move, or the maintenance for another wave, has to end before the machine
     * can be drained for this wave. */
    bool is_held_by_another(const std::string& wave, const std::string& machine) const;
    void restore_cordoned(const std::string& wave, const std::string& machine);
    /** The server on the machine accepts new runs again. */
    void release_cordoned(const std::string& machine);
    /** Stops long-running tasks on cordoned servers as far as their availability limits allow.
     * @param deadline_at_risk stops the other tasks as well. */
    void drain_cordoned_servers(bool deadline_at_risk);
    /** Proposes the maintenance order to the log; it is sent once the log has recorded it, so that
     * the next leader knows of it. */
    void order_maintenance(const std::string& wave, const std::string& machine);
    void send_maintenance(const std::string& machine);
    void on_maintenance_reply(const std::string& machine, std::uint64_t number,
                              const server_id& server, machine_result r);
    /** Records in the log that the machine needs no further maintenance for the wave. */
    void propose_maintenance_end(const std::string& machine, open_order& order, bool gone);
    void advance_maintenance(const std::string& wave, const std::string& machine);
    void balance_pools();
    void propose_move(const scheduler::pool_move& move);
    /** @return how many moves may be ordered now. */
    std::size_t available_moves();
    /** @return the demand and the capacity of the pools now. */
    std::vector<scheduler::pool_need> pool_needs() const;
    /** Replaces the demand by the forecast for the time at which a machine ordered now takes tasks.
     */
    void apply_forecast(std::vector<scheduler::pool_need>& needs, mono_time now);
    std::vector<scheduler::movable_machine> movable_machines() const;

    core_context& context_;
    run_driver& driver_;
    dispatcher& dispatcher_;
    scheduler::pool_planner planner_;
    scheduler::demand_forecast forecast_;
    std::map<std::string, machine_entry> machines_;
    std::map<std::string, machine_entry> page_machines_;
    /** Servers of machines_. */
    std::set<server_id> listed_servers_;
    /** Where the servers are that find_unlisted_servers() has found. */
    struct location {
        data_centre_id data_centre;
        rack_id rack;
    };
    std::vector<location> unlisted_servers_;
    /** Number of machines in each pool in the first list that was read. */
    std::map<pool_id, std::size_t> initial_machines_;
    std::map<std::string, open_order> orders_;
    /** A machine that is being drained or is in maintenance. */
    struct cordoned_machine {
        server_id server;
        std::string wave;
        /** The maintenance is about to begin or has begun. */
        bool begun{false};
    };
    std::map<std::string, cordoned_machine> cordoned_;
    /** Wave and machine of the maintenances whose start has been proposed to the log and is not
     * applied yet. */
    std::set<std::pair<std::string, std::string>> proposed_starts_;
    std::uint64_t last_order_number_{0};
    /** Consecutive lists that missed each machine of an open wave. */
    std::map<std::string, std::size_t> missed_lists_;
    /** Machines of the list whose entries can't be read. */
    std::set<std::string> unreadable_machines_;
    log::limiter unreadable_entries_;
    /** Term of the newest logged order for a machine, and the latest time at which it may have been
     * sent. A machine without an entry was never ordered. */
    struct recorded_order {
        term_number term{0};
        mono_time latest_sent_at{};
    };
    void record_order(const std::string& machine, const jobs::machine_order& order);
    std::map<std::string, recorded_order> recorded_orders_;
    mono_time list_read_started_{};
    /** When the first page of machines_ was requested: it shows what happened before. */
    mono_time machines_as_of_{};
    mono_time last_plan_at_{};
    bool list_read_in_flight_{false};
    bool list_refresh_needed_{true};
    /** The page to read next, once the service's rate limit allows it. */
    std::optional<std::string> next_page_;
    token_bucket order_budget_;
    token_bucket read_budget_;
    term_number term_{0};
};

} // namespace fescue::fleet
