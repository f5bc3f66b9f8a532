#pragma once

/**
 * @file
 * The callers' side of one instance: takes a request, finds whose it is, sends it to the home of
 * a server and answers the caller, once and truly.
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

    /** Takes one call on the callers' port. */
    void take(http::exchange_id exchange, http::request&& in);
    void set_server(http::server& callers) noexcept { callers_ = &callers; }

    void received(const instance_id& from, const wire::work_queued& m);
    void received(const instance_id& from, const wire::start_ask& m);
    void received(const instance_id& from, wire::work_reply&& m);
    /** What was sent to this instance and not answered will not be answered any more. */
    void home_lost(const instance_id& home);
    /** The home stopped reporting: what it has not started, or may run twice, goes elsewhere. */
    void home_silent(const instance_id& home);
    /** Loads changed: requests that found no home look again. */
    void look_again();
    std::size_t open_requests() const noexcept { return pending_.size(); }

private:
    struct pending {
        http::exchange_id exchange{0};
        wire::work w;
        pool_id pool;
        bool repeatable{false};
        bool parked{false};
        /** The present home may have started it. */
        bool may_have_run{false};
        /** An earlier home may have started it. */
        bool ever_may_have_run{false};
        instance_id home;
        std::set<instance_id> avoid;
        std::uint32_t attempts{0};
        mono_time arrived{};
        mono_time deadline{};
    };

    /** The request as it was read and checked. */
    struct accepted {
        service_id id;
        const catalogue::service* service{nullptr};
        std::string path;
        team_id team;
        key_id key;
        milliseconds timeout{0};
    };

    result<accepted> check(const http::request& in) const;
    void claim_then_route(request_id id, std::uint64_t fingerprint);
    void claimed(const request_id& id, std::uint64_t fingerprint, const apply_outcome& outcome);
    void route(const request_id& id);
    void park(const request_id& id, pending& p);
    void route_again(const request_id& id, retry_reason reason);
    void finish(const request_id& id, http::response&& answer);
    void refuse(const request_id& id, error_kind kind, const std::string& detail);
    std::vector<request_id> requests_at(const instance_id& home) const;
    void free_claim(const pending& p);
    void sweep();
    request_id new_request_id();

    context& shared_;
    http::server* callers_{nullptr};
    std::map<request_id, pending> pending_;
    dispatch::retry_budget budget_;
    std::uint64_t next_request_{1};
    std::size_t parked_{0};
    timer_handle sweeper_;
};

} // namespace fescue::node
