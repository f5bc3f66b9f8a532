#pragma once

/**
 * @file
 * The control port: announcements of backend servers, maintenance notices, operators' orders and
 * questions. Orders and questions about the whole fleet go to the log's leader.
 */

#include "context.h"
#include "leader.h"

#include "fescuestream/http/server.h"

#include <functional>
#include <list>
#include <map>

namespace fescue::node {

/** What the control port needs of the instance. */
struct api_events {
    /** A server announced itself. */
    std::function<void(const wire::announcement&)> announced;
    /** Forms a new system. */
    std::function<status()> form;
    /** A restriction was given or lifted here alone. */
    std::function<void()> restrictions_changed;
};

class api {
public:
    api(context& shared, leader& lead, api_events events);

    void set_server(http::server& control) noexcept { control_ = &control; }
    void take(http::exchange_id exchange, http::request&& in);

    void received(const instance_id& from, wire::control_call&& call);
    void received(const wire::control_reply& reply);
    /** Looks after calls and orders that wait. */
    void tick();
    bool orders_spread() const noexcept { return !orders_.empty(); }

private:
    using responder = std::function<void(http::response&&)>;

    /** A call that waits for the leader's answer. */
    struct waiting_call {
        wire::control_call call;
        responder respond;
        instance_id sent_to;
        mono_time give_up{};
    };
    /** A committed order that spreads. */
    struct waiting_order {
        catalogue::apply_result outcome;
        responder respond;
        std::string made_as;
        mono_time give_up{};
    };

    void hand_on(wire::control_call&& call, responder respond);
    void hand_to(const instance_id& to, wire::control_call&& call, responder respond);
    void no_leader(const waiting_call& call);
    bool restrict_here(const wire::control_call& call);
    void propose_local_restrictions();
    void handle(const wire::control_call& call, responder respond);
    void handle_read(const wire::control_call& call, const responder& respond);
    void order(const wire::control_call& call, catalogue::order_action action, std::string made_as,
               responder respond);
    void ordered(const apply_outcome& outcome, const std::string& made_as, mono_time since,
                 const responder& respond);
    void respond_order(const waiting_order& order, const spread& how) const;

    void take_announcement(http::exchange_id exchange, const http::request& in);
    void take_form(http::exchange_id exchange);
    void put_catalogue(const wire::control_call& call, responder respond);
    void give_key(const wire::control_call& call, responder respond);
    void withdraw_key(const wire::control_call& call, responder respond);
    void set_data_centre(const wire::control_call& call, responder respond);
    void start_wave(const wire::control_call& call, responder respond);
    /** @return what callers' keys are derived from, the same at every instance. */
    std::string issuing_secret() const;
    bool is_operator(const http::request& in) const;
    bool is_server(const http::request& in) const;
    std::string announcement_answer(const wire::announcement& info) const;

    context& shared_;
    leader& leader_;
    api_events events_;
    http::server* control_{nullptr};
    std::map<std::uint64_t, waiting_call> calls_;
    std::list<waiting_order> orders_;
    std::uint64_t next_call_{1};
    /** Restrictions given here while no leader was reachable, still to be ordered. */
    std::vector<wire::control_call> local_;
};

} // namespace fescue::node
