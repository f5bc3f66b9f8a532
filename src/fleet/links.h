#pragma once

/**
 * @file
 * An instance's connections to the others: found from the seeds, told on by pings, made anew when
 * they fall silent.
 */

#include "fescuestream/base/loop.h"
#include "fescuestream/settings/job_service.h"
#include "fescuestream/wire/transport.h"

#include <functional>
#include <memory>
#include <set>

namespace fescue::fleet {

/** Whom an instance takes for the leader. */
struct leader_hint {
    instance_id id;
    term_number term{0};
    mono_time heard_at{};
};

struct link_events {
    std::function<void(const wire::hello&, wire::message&&)> received;
    std::function<void(const wire::hello&)> connected;
    std::function<void(const instance_id&)> disconnected;
    /** Completes what this instance says of itself. */
    std::function<void(wire::hello&)> describe;
    /** Completes a ping: the leader and the schedulers that this instance knows. */
    std::function<void(wire::ping&)> ping;
};

class links {
public:
    links(event_loop& loop, const settings::job_service_settings& settings, link_events events);

    status start();
    bool send(const instance_id& to, const wire::message& m) { return transport_->send(to, m); }
    bool connected(const instance_id& to) const { return transport_->connected(to); }
    /** Writes what was sent in this round of the loop. */
    void flush() { transport_->flush(); }
    /** Adds a scheduler by its id, which is its IP address. */
    void add_scheduler(const instance_id& id);
    /** Sends to every connected instance. */
    void send_to_all(const wire::message& m);
    /** @return the newest word on who leads; forgotten when it is old. */
    const leader_hint& leader() const noexcept { return leader_; }

private:
    void take(const wire::hello& who, wire::message&& m);
    void tick();
    wire::hello about_me() const;

    event_loop& loop_;
    const settings::job_service_settings& settings_;
    link_events events_;
    std::unique_ptr<wire::transport> transport_;
    std::set<instance_id> connected_;
    leader_hint leader_;
    incarnation life_;
    timer_handle ticker_;
};

} // namespace fescue::fleet
