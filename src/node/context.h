#pragma once

/**
 * @file
 * State and services that the components of one instance share.
 */

#include "control_plane.h"
#include "decision_log.h"
#include "fescuestream/base/metrics.h"

#include "fescuestream/base/loop.h"
#include "fescuestream/dispatch/router.h"
#include "fescuestream/http/client.h"
#include "fescuestream/membership/serving_lease.h"
#include "fescuestream/settings/settings.h"
#include "fescuestream/wire/message.h"

#include <functional>
#include <set>

namespace fescue::node {

inline catalogue::register_server server_info_from(const wire::announcement& info);

/** Restrictions that an operator set at this instance while no leader was reachable. */
struct local_restrictions {
    std::set<key_id> withdrawn_keys;
    std::set<data_centre_id> out_of_service;
};

/** Dependencies passed to every component of an instance. */
struct context {
    event_loop& loop;
    const settings::instance_settings& settings;
    control_plane& control;
    metrics& counters;
    decision_log& decisions;
    http::client& client;
    dispatch::router& router;
    incarnation own_incarnation{0};
    local_restrictions restrictions;
    bool draining{false};
    /** Current serving mode; evaluated against the clock on every call. */
    std::function<membership::serving()> serving;
    /** Time since the leader's lease expired at this instance; zero while the lease is valid. */
    std::function<milliseconds()> lease_expired_for;
    /** Sends to any instance, including this one. @return whether the message was accepted. */
    std::function<bool(const instance_id&, wire::message&&)> send;

    const instance_id& self() const noexcept { return settings.id; }
    const catalogue::control_state& state() const noexcept { return control.state(); }
    mono_time now() const noexcept { return loop.now(); }

    bool in_service(const data_centre_id& dc) const
    {
        return state().doc.in_service(dc) && !restrictions.out_of_service.contains(dc);
    }
    bool key_is_valid(const key_id& id) const
    {
        return state().keys.contains(id) && !restrictions.withdrawn_keys.contains(id);
    }
    /** @return whether the control state's record of the server equals its announcement. */
    bool state_matches(const wire::announcement& info) const
    {
        const auto found = state().servers.find(info.id);
        return found != state().servers.end() && found->second.properties == server_info_from(info);
    }
    /**
     * @return whether the service may be served now: under the leader's lease, or while the data
     * centre has been partitioned from the leader for less time than the service allows.
     */
    bool may_serve(const catalogue::service& s) const
    {
        const auto mode = serving();
        if (mode == membership::serving::partitioned) {
            return lease_expired_for() < std::chrono::seconds{s.when_cut_off_serve_for_s};
        }
        return mode == membership::serving::leader_lease;
    }
};

/** @return the fields of an announcement that the control state stores. */
inline catalogue::register_server server_info_from(const wire::announcement& info)
{
    return {info.id,    info.data_centre, info.rack,      info.address,
            info.slots, info.processors,  info.memory_mb, info.accelerators};
}

} // namespace fescue::node
