#pragma once

/**
 * @file
 * Connections between instances on the event loop. Each instance opens one TCP connection to each
 * other and sends on it; answers come over the other's own. Heartbeats go by UDP to the same port.
 */

#include "fescuestream/base/loop.h"
#include "fescuestream/http/server.h"
#include "fescuestream/wire/message.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fescue::wire {

/** An instance to connect to. */
struct peer_address {
    instance_id id;
    http::endpoint address;
};

/** What a transport tells its owner. */
struct transport_events {
    /** A message came from an authenticated instance. */
    std::function<void(const hello&, message&&)> received;
    std::function<void(const heartbeat&)> heard;
    /** The connection to the peer is up; the peer's hello says who it is now. */
    std::function<void(const hello&)> connected;
    std::function<void(const instance_id&)> disconnected;
    /** A sender that is not known yet showed the secret. @return whether it may stay; the owner
     * adds it as a peer first. Not set: such senders are refused. */
    std::function<bool(const hello&)> introduced;
};

class transport {
public:
    transport(event_loop& loop, std::string secret, http::endpoint listen,
              std::vector<peer_address> peers, transport_events events);
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /** Starts listening and connecting. @param self what this instance says of itself. */
    status start(std::function<hello()> self);
    /** Sends; a message to a peer that is not connected is dropped. @return whether it was taken.
     */
    bool send(const instance_id& to, const message& m);
    void send_heartbeat(const heartbeat& beat, const std::vector<instance_id>& to);
    bool connected(const instance_id& to) const;
    /** Adds an instance to connect to; one that is known keeps its address. */
    void add_peer(const peer_address& peer);
    /** Ends the connection and forgets the instance. */
    void remove_peer(const instance_id& id);
    /**
     * Makes a connection anew when its peer was not heard for so long, or when it does not come
     * up in that time. The owner sends a ping to each peer a few times in that span.
     */
    void supervise(milliseconds silence);
    /** Sent messages are held until flush(), so that a round of the loop writes each connection
     * once. */
    void hold_writes();
    void flush();
    /** @return the instances that are known, connected or not. */
    std::vector<instance_id> known_peers() const;
    /** @return bytes sent over TCP and UDP so far. */
    std::uint64_t bytes_sent() const noexcept;

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue::wire
