#pragma once

/**
 * @file
 * Connections to the other instances of the cluster. Peers are discovered from the seeds and from
 * the scheduler lists in pings; a silent connection is closed and re-established.
 */

#include "fescuestream/base/loop.h"
#include "fescuestream/settings/job_service.h"
#include "fescuestream/wire/transport.h"

#include <functional>
#include <memory>
#include <set>

namespace fescue::fleet {

/** The leader as last reported by a peer. */
struct leader_hint {
    instance_id id;
    term_number term{0};
    mono_time heard_at{};
};

struct link_events {
    std::function<void(const wire::hello&, wire::message&&)> on_message;
    std::function<void(const wire::hello&)> on_connected;
    std::function<void(const instance_id&)> on_disconnected;
    /** Fills in the role-specific fields of this instance's hello message. */
    std::function<void(wire::hello&)> fill_hello;
    /** Fills in a ping: the leader and the schedulers known to this instance. */
    std::function<void(wire::ping&)> fill_ping;
};

class peer_links {
public:
    peer_links(event_loop& loop, const settings::job_service_settings& settings,
               link_events events);

    status start();
    bool send(const instance_id& to, const wire::message& m) { return transport_->send(to, m); }
    void limit_pending(std::size_t max_bytes) { transport_->limit_pending(max_bytes); }
    std::size_t pending_bytes(const instance_id& to) const { return transport_->pending_bytes(to); }
    bool is_connected(const instance_id& to) const { return transport_->connected(to); }
    /** Writes the messages that were queued in this iteration of the event loop. */
    void flush() { transport_->flush(); }
    /** Adds a scheduler by its id, which is its IP address. */
    void add_scheduler(const instance_id& id);
    /** Sends to every connected instance. */
    void broadcast(const wire::message& m);
    /** @return the latest leader hint; its id is empty if there is none or it has expired. */
    const leader_hint& leader() const noexcept { return leader_; }

private:
    void handle(const wire::hello& who, wire::message&& m);
    void tick();
    wire::hello local_hello() const;

    event_loop& loop_;
    const settings::job_service_settings& settings_;
    link_events events_;
    std::unique_ptr<wire::transport> transport_;
    std::set<instance_id> connected_;
    leader_hint leader_;
    incarnation incarnation_;
    timer_handle ticker_;
};

} // namespace fescue::fleet
