#pragma once

/**
 * @file
 * The home of backend servers: the only place where their tasks are started. Each check (slot,
 * pool, limit, key, data centre, lease) is made at the moment of the start.
 */

#include "context.h"

#include "fescuestream/admission/allotment.h"
#include "fescuestream/admission/fair_queue.h"
#include "fescuestream/dispatch/server_table.h"

#include <map>
#include <set>
#include <vector>

namespace fescue::node {

class home {
public:
    explicit home(context& shared);

    /** Takes work from an instance that took it from a caller. */
    void submit(const instance_id& from, wire::work&& w);
    void received(const wire::start_answer& answer);
    void received(const wire::release_ask& ask);
    /** Takes an announcement of a server whose home this is. */
    void announce(const wire::announcement& info);

    /** The control state changed by this command, or as a whole. */
    void applied(const catalogue::command& cmd);
    void restored();

    /** @return whether this instance is the server's home by the state. */
    bool is_home_of(const data_centre_id& dc, const server_id& id) const;
    wire::load_report load() const;
    void fill(wire::instance_report& report) const;
    /** Gives every allotment back that is not in use, for a planned stop. */
    void give_back_all();
    std::size_t busy() const noexcept { return jobs_.size(); }
    /** @return whether work has waited for an allotment since the last call. */
    bool take_blocked() noexcept;
    const dispatch::server_table& servers() const noexcept { return table_; }

private:
    enum class phase : std::uint8_t { queued, asking, running, waiting_to_retry };

    struct job {
        wire::work w;
        instance_id from;
        pool_id pool;
        bool repeatable{false};
        phase at{phase::queued};
        bool answered{false};
        /** The ingress was told that it waits, so it is asked before the start. */
        bool told_queued{false};
        bool may_have_run{false};
        server_id server;
        std::set<server_id> tried;
        mono_time arrived{};
        mono_time deadline{};
        mono_time step_started{};
    };

    void pump(const pool_id& pool);
    void pump_all();
    bool start_next(const pool_id& pool);
    bool still_permitted(job& j);
    void enqueue(const job& j);
    void reserve(job& j, const server_id& server);
    void unreserve(const job& j);
    void ask(job& j);
    void run(job& j);
    void answered(const request_id& id, http::client_response&& response);
    void pass_on(job& j, http::client_response&& response);
    void retry_elsewhere(job& j, retry_reason reason);
    void lost(job& j);
    void refuse(job& j, error_kind kind, const std::string& detail);
    void reply(job& j, wire::work_reply&& r);
    void reply_after_claim(job& j, wire::work_reply&& r);
    void forget(const request_id& id);
    void release(const dispatch::ended_task& task);
    void sweep();
    void sweep_queues(mono_time now);
    void sweep_jobs(mono_time now);
    bool can_wait(const job& j, const catalogue::service& s, const wire::pool_load& here);
    double score(const pool_id& pool, const team_id& team) const;
    dispatch::server_permission permission(const server_id& id) const;
    dispatch::server_permission read_permission(const server_id& id) const;
    wire::pool_load load_of(const pool_id& pool) const;
    const catalogue::service* service_of(const job& j) const;

    context& shared_;
    /** What the state allows, by server; forgotten whenever the state changes. */
    mutable std::map<server_id, dispatch::server_permission> permissions_;
    dispatch::server_table table_;
    admission::allotment_ledger ledger_;
    dispatch::retry_budget budget_;
    std::map<pool_id, admission::fair_queue> queues_;
    std::map<request_id, job> jobs_;
    /** What each team has running here, by pool. */
    std::map<pool_id, std::map<team_id, std::uint32_t>> running_;
    /** Mean time of a task, by pool, in milliseconds; slowly following. */
    std::map<pool_id, double> mean_run_ms_;
    /** Work that waits for an allotment although a slot is free. */
    mutable std::map<team_id, std::uint32_t> blocked_;
    bool newly_blocked_{false};
    timer_handle sweeper_;
};

} // namespace fescue::node
