#pragma once

/**
 * @file
 * Gives the orders for machines: maintenance waves and moves between pools. Only the leader does,
 * one order a machine at a time, under its term as the fence.
 */

#include "call_budget.h"
#include "core_context.h"
#include "dispatcher.h"
#include "run_driver.h"

#include "fescuestream/scheduler/pool_plan.h"
#include "fescuestream/scheduler/upkeep_plan.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fescue::fleet {

class machine_driver {
public:
    machine_driver(core_context& shared, run_driver& driver, dispatcher& work);

    void lead();
    void tick();
    /** Called on every scheduler, leading or not. */
    void applied(const jobs::command& cmd);
    /** The state came as a snapshot. */
    void restored();

private:
    /** An order without an answer is sent again after this; it may be carried out once only. */
    static constexpr milliseconds order_retry{2500};
    /** An order that was sent for a machine. */
    struct open_order {
        bool under_way{false};
        bool accepted{false};
        mono_time sent{};
        /** Empty: maintenance. */
        pool_id to;
    };

    /** @return whether no other holder may have ordered the machine of late. */
    bool may_order(const std::string& machine) const;
    void send_move(const std::string& machine, const pool_id& to);
    // ---- the list of machines
    void read_list_if_due();
    void read_page(const std::string& page);
    void took_page(const result<machine_page>& page);
    const machine_entry* entry_of(const std::string& machine) const;
    /** Counts the lists in a row that do not show a machine that an open wave is to maintain. */
    void count_unlisted();
    /** @return whether the machine has left the fleet, as far as the lists tell. */
    bool unlisted(const std::string& machine) const;
    const server_view* server_on(const machine_entry& entry) const;
    // ---- maintenance
    void drive_wave(const std::string& id, const jobs::upkeep_wave& wave);
    scheduler::upkeep_candidate candidate_of(const std::string& machine,
                                             const jobs::upkeep_machine& m) const;
    void keep_withheld(const std::string& machine);
    void empty_servers(bool hurry);
    void order_upkeep(const std::string& wave, const std::string& machine);
    void upkeep_answered(const std::string& wave, const std::string& machine, machine_result r);
    void close_upkeep(const std::string& wave, const std::string& machine);
    // ---- moves
    void drive_pools();
    void order_move(const scheduler::pool_move& move);
    std::vector<scheduler::pool_need> pool_needs() const;
    std::vector<scheduler::movable_machine> movable() const;

    core_context& shared_;
    run_driver& driver_;
    dispatcher& work_;
    scheduler::pool_planner planner_;
    std::map<std::string, machine_entry> machines_;
    std::map<std::string, machine_entry> page_machines_;
    /** Pools as the first list showed them. */
    std::map<pool_id, std::size_t> own_machines_;
    std::map<std::string, open_order> orders_;
    /** Machines that are being emptied for maintenance, with the servers on them. */
    std::map<std::string, server_id> withheld_;
    std::map<std::string, std::size_t> unlisted_;
    /** The newest order for each machine in the log: its term, and when it was given at the
     * latest. A machine that is not here was never ordered. */
    struct noted_order {
        term_number term{0};
        mono_time at{};
    };
    void note(const std::string& machine, const jobs::machine_order& order);
    std::map<std::string, noted_order> noted_;
    mono_time list_read_{};
    mono_time last_plan_{};
    bool reading_{false};
    bool list_wanted_{true};
    /** The page that is read next, once the service's rate allows. */
    std::optional<std::string> next_page_;
    call_budget order_budget_;
    call_budget read_budget_;
    term_number term_{0};
};

} // namespace fescue::fleet
