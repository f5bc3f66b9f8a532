#pragma once

/**
 * @file
 * The control API: announcements of backend servers, maintenance notices, and orders and queries of
 * operators. Orders and cluster-wide queries are forwarded to the log's leader.
 */

#include "context.h"
#include "leader_controller.h"

#include "fescuestream/http/server.h"

#include <functional>
#include <list>
#include <map>

namespace fescue::node {

/** Callbacks from the control API to the instance. */
struct control_api_events {
    /** A backend server announced itself. */
    std::function<void(const wire::announcement&)> announced;
    /** Forms a new cluster. */
    std::function<status()> form;
    /** A restriction local to this instance was set or lifted. */
    std::function<void()> restrictions_changed;
};

class control_api {
public:
    control_api(context& shared, leader_controller& controller, control_api_events events);

    void set_server(http::server& server) noexcept { control_server_ = &server; }
    void handle_request(http::exchange_id exchange, http::request&& in);

    void received(const instance_id& from, wire::control_call&& call);
    void received(const wire::control_reply& reply);
    /** Forwards, completes or times out pending calls and orders. */
    void tick();
    bool has_pending_orders() const noexcept { return !pending_orders_.empty(); }

private:
    using responder = std::function<void(http::response&&)>;

    /** A call that waits for a response from the leader or another instance. */
    struct pending_call {
        wire::control_call call;
        responder respond;
        instance_id sent_to;
        mono_time expires_at{};
    };
    /** A committed order that has not yet reached every instance. */
    struct pending_order {
        catalogue::apply_result outcome;
        responder respond;
        /** Kind of the created resource, whose id the response contains; empty if none. */
        std::string created_resource;
        mono_time expires_at{};
    };

    void forward_to_leader(wire::control_call&& call, responder respond);
    void forward_to(const instance_id& to, wire::control_call&& call, responder respond);
    void handle_leader_timeout(const pending_call& call);
    bool apply_local_restriction(const wire::control_call& call);
    void forward_deferred_restrictions();
    /** Answers a call without forwarding it: on the leader, or any instance for the explanation of
     * a request. */
    void handle(const wire::control_call& call, responder respond);
    void handle_read(const wire::control_call& call, const responder& respond);
    void propose_order(const wire::control_call& call, catalogue::order_action action,
                       std::string created_resource, responder respond);
    void handle_order_outcome(const apply_outcome& outcome, const std::string& created_resource,
                              mono_time since, const responder& respond);
    void respond_to_order(const pending_order& order, const order_propagation& progress) const;

    void handle_announcement(http::exchange_id exchange, const http::request& in);
    void handle_form(http::exchange_id exchange);
    void put_catalogue(const wire::control_call& call, responder respond);
    void issue_key(const wire::control_call& call, responder respond);
    void revoke_key(const wire::control_call& call, responder respond);
    void set_data_centre(const wire::control_call& call, responder respond);
    void start_wave(const wire::control_call& call, responder respond);
    /** @return the secret that caller keys are derived from; identical on every instance. */
    std::string key_derivation_secret() const;
    bool has_operator_token(const http::request& in) const;
    bool has_server_token(const http::request& in) const;
    std::string announcement_response(const wire::announcement& info) const;

    context& shared_;
    leader_controller& controller_;
    control_api_events events_;
    http::server* control_server_{nullptr};
    std::map<std::uint64_t, pending_call> pending_calls_;
    std::list<pending_order> pending_orders_;
    std::uint64_t next_call_{1};
    /** Local restrictions set while no leader was reachable and not yet forwarded to one. */
    std::vector<wire::control_call> deferred_restrictions_;
};

} // namespace fescue::node
