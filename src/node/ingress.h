#pragma once

/**
 * @file
 * Accepts requests from callers, authenticates them, routes each one to a home instance of the
 * service's pool, and sends exactly one response per request. The response states whether the
 * request may have run.
 */

#include "context.h"

#include "fescuestream/admission/caller_key.h"
#include "fescuestream/dispatch/server_table.h"
#include "fescuestream/http/server.h"

#include <map>
#include <set>
#include <vector>

namespace fescue::node {

class ingress {
public:
    explicit ingress(context& shared);

    /** Handles one request on the caller port. */
    void handle_request(http::exchange_id exchange, http::request&& in);
    void set_server(http::server& server) noexcept { caller_server_ = &server; }

    void received(const instance_id& from, const wire::work_queued& m);
    void received(const instance_id& from, const wire::start_confirm_request& m);
    void received(const instance_id& from, wire::work_reply&& m);
    /** The home disconnected or restarted: requests sent to it will get no reply. */
    void home_disconnected(const instance_id& home);
    /** The home stopped reporting: reroutes requests that it has not started or that may repeat. */
    void home_unresponsive(const instance_id& home);
    /** Routes parked requests again after the reported loads changed. */
    void route_parked();
    /** Refuses every open request before the instance stops. */
    void refuse_all();
    std::size_t open_requests() const noexcept { return pending_.size(); }

private:
    struct pending {
        http::exchange_id exchange{0};
        wire::work work;
        pool_id pool;
        bool repeatable{false};
        /** No home took the request; it waits for the loads to change. */
        bool parked{false};
        /** The current home may have started the request. */
        bool may_have_run{false};
        /** An earlier home may have started the request. */
        bool may_have_run_earlier{false};
        instance_id home;
        std::set<instance_id> excluded_homes;
        std::uint32_t attempts{0};
        mono_time arrived{};
        mono_time deadline{};
    };

    /** A parsed, authenticated and validated request. */
    struct checked_request {
        service_id id;
        const catalogue::service* service{nullptr};
        std::string path;
        team_id team;
        key_id key;
        milliseconds timeout{0};
    };

    result<checked_request> check_request(const http::request& in) const;
    void claim_then_route(request_id id, std::uint64_t fingerprint);
    void handle_claim_outcome(const request_id& id, std::uint64_t fingerprint,
                              const apply_outcome& outcome);
    void route(const request_id& id);
    void park(const request_id& id, pending& p);
    void reroute(const request_id& id, retry_reason reason);
    void respond(const request_id& id, http::response&& response);
    void refuse(const request_id& id, error_kind kind, const std::string& detail);
    std::vector<request_id> requests_at(const instance_id& home) const;
    void release_claim(const pending& p);
    void sweep();
    request_id new_request_id();

    context& shared_;
    http::server* caller_server_{nullptr};
    std::map<request_id, pending> pending_;
    dispatch::retry_budget retry_budget_;
    std::uint64_t next_request_{1};
    std::size_t parked_{0};
    timer_handle sweep_timer_;
};

} // namespace fescue::node
