#pragma once

/**
 * @file
 * What the parts of one instance share.
 */

#include "control_plane.h"
#include "decisions.h"
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

inline catalogue::server_seen seen_of(const wire::announcement& info);

/** Restrictions that an operator gave here while no leader could be reached. */
struct local_restrictions {
    std::set<key_id> withdrawn_keys;
    std::set<data_centre_id> out_of_service;
};

struct context {
    event_loop& loop;
    const settings::instance_settings& settings;
    control_plane& control;
    metrics& counters;
    decision_log& decisions;
    http::client& client;
    dispatch::router& router;
    incarnation life{0};
    local_restrictions restrictions;
    bool draining{false};
    /** How this instance may serve, decided from the clock at the moment of the call. */
    std::function<membership::serving()> serving;
    /** How long it has been cut off with its data centre; zero otherwise. */
    std::function<milliseconds()> cut_off_for;
    /** Sends to any instance, this one included. @return whether the message was taken. */
    std::function<bool(const instance_id&, wire::message&&)> send;

    const instance_id& self() const noexcept { return settings.id; }
    const catalogue::control_state& state() const noexcept { return control.state(); }
    mono_time now() const noexcept { return loop.now(); }

    bool in_service(const data_centre_id& dc) const
    {
        return state().doc.in_service(dc) && !restrictions.out_of_service.contains(dc);
    }
    bool key_stands(const key_id& id) const
    {
        return state().keys.contains(id) && !restrictions.withdrawn_keys.contains(id);
    }
    /** @return whether the state has the server just as it announces itself. */
    bool knows(const wire::announcement& info) const
    {
        const auto found = state().servers.find(info.id);
        return found != state().servers.end() && found->second.about == seen_of(info);
    }
    /** @return whether the service may be served now: with the leader, or cut off not too long. */
    bool may_serve(const catalogue::service& s) const
    {
        const auto how = serving();
        if (how == membership::serving::cut_off) {
            return cut_off_for() < std::chrono::seconds{s.when_cut_off_serve_for_s};
        }
        return how == membership::serving::with_leader;
    }
};

/** @return what the state keeps of a server that announces itself. */
inline catalogue::server_seen seen_of(const wire::announcement& info)
{
    return {info.id,    info.data_centre, info.rack,      info.address,
            info.slots, info.processors,  info.memory_mb, info.accelerators};
}

} // namespace fescue::node
