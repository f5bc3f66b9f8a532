#pragma once

/**
 * @file
 * Dispatches tasks to the backend servers whose home is this instance. Only the home instance of a
 * server starts tasks on it, and it checks slot, pool, limit, key, data centre and lease at the
 * moment of each start.
 */

#include "context.h"

#include "fescuestream/admission/allotment.h"
#include "fescuestream/admission/fair_queue.h"
#include "fescuestream/dispatch/server_table.h"

#include <map>
#include <set>
#include <vector>

namespace fescue::node {

class task_dispatcher {
public:
    explicit task_dispatcher(context& shared);

    /** Accepts a request that the instance @p from received from a caller. */
    void submit(const instance_id& from, wire::work&& work);
    void received(const wire::start_confirm_reply& answer);
    void received(const wire::release_request& request);
    /** Handles an announcement of a server whose home is this instance. */
    void handle_announcement(const wire::announcement& info);

    /** Called after @p cmd was applied to the control state. */
    void applied(const catalogue::command& cmd);
    /** Called after the whole control state was replaced. */
    void restored();

    /** @return whether the control state names this instance as the server's home. */
    bool is_home_of(const data_centre_id& dc, const server_id& id) const;
    wire::load_report load() const;
    void fill_report(wire::instance_report& report) const;
    /** Releases all unused allotment capacity before a planned shutdown. */
    void release_unused_allotments();
    std::size_t open_jobs() const noexcept { return jobs_.size(); }
    /** Returns and clears the flag that the leader needs a new report on allotments. */
    bool consume_newly_blocked() noexcept;
    const dispatch::server_table& servers() const noexcept { return server_table_; }

private:
    enum class job_phase : std::uint8_t { queued, confirming_start, running, waiting_to_retry };

    struct job {
        wire::work work;
        instance_id from;
        pool_id pool;
        bool repeatable{false};
        job_phase phase{job_phase::queued};
        bool replied{false};
        /** The ingress was sent work_queued, so a non-repeatable request needs its confirmation. */
        bool queue_notice_sent{false};
        bool may_have_run{false};
        server_id server;
        std::set<server_id> tried_servers;
        mono_time arrived{};
        mono_time deadline{};
        /** Start of the current phase; in waiting_to_retry, the time of the retry. */
        mono_time phase_time{};
    };

    void dispatch_pool(const pool_id& pool);
    void dispatch_all();
    bool start_next(const pool_id& pool);
    /** Repeats the checks before a start; refuses the job and returns false if one fails. */
    bool recheck_or_refuse(job& j);
    void enqueue(const job& j);
    void reserve_slot(job& j, const server_id& server);
    void release_slot(const job& j);
    /** Asks the ingress whether a queued request may still be started. */
    void confirm_start(job& j);
    void send_to_server(job& j);
    void handle_response(const request_id& id, http::client_response&& response);
    void forward_response(job& j, http::client_response&& response);
    void retry_on_another_server(job& j, retry_reason reason);
    void handle_lost_response(job& j);
    void refuse(job& j, error_kind kind, const std::string& detail);
    void reply(job& j, wire::work_reply&& r);
    void record_claim_then_reply(job& j, wire::work_reply&& r);
    void erase_job(const request_id& id);
    void release_allotment(const dispatch::ended_task& task);
    void sweep();
    void sweep_queues(mono_time now);
    void sweep_jobs(mono_time now);
    /** Checks queue limit and expected wait; refuses the job and returns false if one fails. */
    bool admit_to_queue(const job& j, const catalogue::service& s,
                        const wire::pool_load& local_load);
    double fair_share_score(const pool_id& pool, const team_id& team) const;
    dispatch::server_permission permission(const server_id& id) const;
    dispatch::server_permission compute_permission(const server_id& id) const;
    wire::pool_load load_of(const pool_id& pool) const;
    const catalogue::service* service_of(const job& j) const;

    context& shared_;
    /** Permissions derived from the control state; cleared whenever the state changes. */
    mutable std::map<server_id, dispatch::server_permission> permission_cache_;
    dispatch::server_table server_table_;
    admission::allotment_ledger allotments_;
    dispatch::retry_budget retry_budget_;
    std::map<pool_id, admission::fair_queue> queues_;
    std::map<request_id, job> jobs_;
    /** Running tasks by pool and team. */
    std::map<pool_id, std::map<team_id, std::uint32_t>> running_tasks_;
    /** Exponentially weighted mean of the task run time by pool, in milliseconds. */
    std::map<pool_id, double> mean_run_ms_;
    /** Tasks by team that wait for an allotment while a slot is free. */
    mutable std::map<team_id, std::uint32_t> blocked_tasks_;
    /** Tasks became blocked, or capacity above a cap was freed, since the last report. */
    bool newly_blocked_{false};
    timer_handle sweep_timer_;
};

} // namespace fescue::node
