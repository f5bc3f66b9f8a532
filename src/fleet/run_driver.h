#pragma once

/**
 * @file
 * Executes the committed commands of the job log on the backend servers: sends starts and stops,
 * renews run leases, and proposes the ends of runs to the log.
 */

#include "core_context.h"
#include "run_timing.h"
#include "server_view.h"
#include "start_gate.h"

#include "fescuestream/scheduler/poll_pacing.h"
#include "fescuestream/wire/message.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fescue::fleet {

/** Reason of the stops that empty a server for its maintenance. */
inline constexpr std::string_view maintenance_stop = "maintenance";

class run_driver {
public:
    /**
     * @param capacity_changed called when servers may have capacity for more runs.
     * @param min_busy_servers_for_relays number of servers with runs from which on orders are sent
     * through relay peers.
     */
    run_driver(core_context& shared, std::function<void()> capacity_changed,
               std::size_t min_busy_servers_for_relays = default_min_busy_servers_for_relays);

    /** Called when this instance becomes the leader. */
    void on_leadership_gained();
    /** Called when this instance stops being the leader. */
    void on_leadership_lost();
    bool leading() const noexcept { return leading_; }

    /**
     * Handles a server's report.
     * @param age time since the report was received by the instance that forwards it; 0 if the
     * server sent it to this instance.
     * @return whether the server is new or its incarnation, address, pool, labels, capacity or
     * leaving state changed.
     */
    bool on_report(const jobs::server_report& report, milliseconds age = milliseconds{0});
    /** @return whether the reports of all servers stay within their maximum memory with this one.
     * Other reports are ignored. */
    bool has_room_for(const jobs::server_report& report) const;
    /** Handles a server's notice that it is shutting down now. */
    void on_shutdown_notice(const server_id& id);
    /** Records that an order for a server's machine shuts the server down; the other instances are
     * notified of it. */
    void record_machine_shutdown(const server_id& id);
    /** Handles another instance's notice that an incarnation of a server has ended. */
    void on_server_ended(const wire::server_reports::ended& server);
    /** @return the servers that have ended since the last call. */
    std::vector<wire::server_reports::ended> take_ended_servers()
    {
        return std::exchange(ended_servers_, {});
    }
    void on_applied(const jobs::command& cmd);
    /** Called when the replicated state was replaced by a snapshot. */
    void on_state_restored();
    void tick();

    /** Stops a task's current run. @param reason written to the process log. */
    void stop(const jobs::task_id& task, const std::string& reason);
    /** Limits a task to a percentage of its full speed. */
    void throttle(const jobs::task_id& task, int percent);
    /** Sets whether the server is cordoned. A cordoned server gets no new runs. */
    void cordon(const server_id& id, bool on);
    /** Marks the server as being drained for maintenance, instead of cordoned. */
    void drain(const server_id& id);
    /** Marks the server's machine as due for maintenance: long-running tasks are placed on other
     * servers where possible. */
    void expect_maintenance(const server_id& id);

    const std::map<server_id, server_view>& servers() const noexcept { return servers_; }
    /** @return whether a recent poll showed the task at full work, no stop is requested and no end
     * of its run is proposed. */
    bool is_ready(const jobs::task_id& task) const;
    /** @return whether as many other tasks of the step are at work as its owner asks for while one
     * is stopped. */
    bool may_be_stopped_for_maintenance(const jobs::task_id& task) const;
    /** @return the leader's view of a task's run, or nullptr. */
    const run_view* find_run_view(const jobs::task_id& task) const;
    /** @return the number of start and stop orders that have been sent but not answered. */
    std::size_t outstanding_orders() const noexcept { return outstanding_orders_; }
    /** @return the fraction of the last second in which the event loop was busy. */
    double load() const noexcept { return load_; }

private:
    run_view& add_run(server_view& view, const jobs::task_id& task, run_view run);
    bool remove_run(const jobs::run_id& name);
    std::pair<server_view*, run_view*> locate(const jobs::task_id& task);
    void adopt_inherited_runs();
    void adopt_frozen_leases();
    void on_freeze_leases(const jobs::freeze_leases& cmd);
    /** Adds what the server's lease needs to @p changes: a freeze if the server does not answer or
     * has ended, or the end of a freeze if it answers again. */
    void collect_freeze_change(const server_id& id, const server_view& view,
                               jobs::freeze_leases& changes) const;
    void propose_freeze_changes(const jobs::freeze_leases& changes);
    void on_begin_run(const jobs::start_run& cmd);
    void on_end_runs(const jobs::end_runs& cmd);
    void stop_job_runs(const jobs::job_id& job, const std::string& reason);
    void stop_gang(const jobs::task_id& task);
    void reset_after_restart(server_view& view);
    /** Records that a server that gave notice has ended; the other instances are notified of it. */
    void confirm_shutdown(server_view& view);
    /** @return whether the server's current incarnation has announced its end and may have come to
     * it: a shutdown notice names no incarnation. */
    bool is_shutdown_due(const server_view& view) const;
    /** @return the longest lease that a server grants, whatever was requested. */
    milliseconds max_run_lease() const;
    /** @return a time by which every lease granted by an earlier leader has expired. */
    mono_time inherited_lease_expiry(mono_time now) const;

    void send_order(const server_view& view, const server_order& order, relay::callback done);
    /** Sends a recorded start if nothing stands against it now; otherwise the task returns to the
     * waiting ones. Precondition: the server can't execute an earlier copy any more. */
    void order_start(server_view& view, const jobs::task_id& task, run_view& run);
    void send_start(server_view& view, const jobs::task_id& task, run_view& run);
    static void log_withheld_start(const start_check& c, const run_view& run,
                                   start_obstacle obstacle);
    /** Resolves a start without an answer that a later poll does not list, once the server's
     * current incarnation refuses all of its copies. */
    void resolve_missing_start(server_view& view, const jobs::task_id& task, run_view& run);
    /** When an order was sent, and its fencing token. */
    struct sent_order {
        mono_time at{};
        term_number fencing_token{0};
    };
    void on_start_reply(const server_id& id, const jobs::run_id& run, const order_reply& reply,
                        const sent_order& order);
    void send_stop(server_view& view, const jobs::task_id& task, run_view& run);
    /** Sends a stop without an answer again if it is still wanted and nothing stands against it
     * now.
     */
    void order_stop_again(server_view& view, const jobs::task_id& task, run_view& run);
    void on_stop_reply(const server_id& id, incarnation incarnation_id, const jobs::run_id& run,
                       const order_reply& reply);
    void poll_server(server_view& view);
    void on_poll_reply(const server_id& id, const result<poll_reply>& reply,
                       const poll_order& order, mono_time sent);
    void apply_poll_reply(server_view& view, const poll_reply& reply, mono_time sent);
    void apply_ended_runs(server_view& view, const poll_reply& reply);
    void apply_active_runs(server_view& view, const poll_reply& reply);
    void end_missing_runs(server_view& view, const poll_reply& reply, mono_time sent);
    void end_lost_runs(server_view& view);
    /** @return whether another server reports the view's address and has started later, so that the
     * process of the view has ended. */
    bool is_replaced(const server_view& view) const;
    /** @return how a run ends whose server was lost. @param has_crashed whether the server has
     * certainly ended; if not, it is unreachable. */
    jobs::run_outcome outcome_of_lost_run(const server_view& view, const run_view& run,
                                          bool has_crashed) const;
    /** @return whether a task on the server had lost no run elsewhere, and none belonged
     * to the job @p except. */
    bool ran_only_sound_jobs(const server_view& view, const jobs::job_id& except) const;
    /** @return whether servers that ran only other jobs stopped answering at the same time as this
     * one, which runs a single job. */
    bool was_lost_with_others(const server_view& view) const;
    /** @return whether the task's run was started in an earlier incarnation of the server. */
    bool is_of_earlier_incarnation(const server_view& view, const jobs::task_id& task) const;
    /** @return what became known about a lost run since, if anything. */
    std::optional<jobs::run_outcome> corrected_outcome(const jobs::run_loss& loss,
                                                       mono_time known_since) const;
    /** @return whether the task is long-running and its run has been at work for the trial time. */
    bool has_passed_trial(const jobs::task_id& task) const;
    /** Proposes corrections of the lost runs whose servers have restarted or answer again. */
    void resolve_lost_runs();
    void log_suspects(const jobs::end_runs& cmd) const;
    void measure_load(mono_time now);
    bool poll_due(const server_view& view, mono_time now) const;
    void propose_end(const jobs::run_id& run, jobs::run_outcome outcome, std::string checkpoint,
                     const char* reason);
    void propose_ends(jobs::end_runs&& batch);
    std::int64_t renew_lease(server_view& view, mono_time now);
    run_view* find_run(const server_id& id, const jobs::run_id& run);

    core_context& context_;
    std::function<void()> capacity_changed_;
    /** @return whether the checkpoint is kept. A task without its latest one repeats some work. */
    bool may_store(const std::string& checkpoint) const;
    void erase_server(std::map<server_id, server_view>::iterator server);

    std::map<server_id, server_view> servers_;
    /** Sum over the servers. */
    std::size_t counted_bytes_{0};
    /** Server of each task's current run. */
    std::unordered_map<jobs::task_id, server_id> run_locations_;
    jobs::end_runs pending_ends_;
    /** Lost runs whose servers may have crashed, and since when this leader has known of them. */
    std::map<jobs::run_id, mono_time> unresolved_losses_;
    mono_time next_loss_check_{};
    std::vector<wire::server_reports::ended> ended_servers_;
    /** When the frozen leases of a server have expired. Kept by followers as well. */
    std::map<server_id, mono_time> frozen_lease_expiry_;
    /** By when every lease has expired that an earlier leader may have granted. */
    mono_time earlier_leaders_leases_expire_at_{};
    std::size_t min_busy_servers_for_relays_;
    bool leading_{false};
    mono_time leading_since_{};
    term_number term_{0};
    fencing_token_source tokens_;
    std::size_t outstanding_orders_{0};
    /** Servers with at least one run at the last tick. */
    std::size_t busy_servers_{0};
    double load_{0};
    mono_time load_measured_at_{};
    /** Busy time of the event loop at that time. */
    mono_clock::duration measured_busy_time_{};
};

} // namespace fescue::fleet
