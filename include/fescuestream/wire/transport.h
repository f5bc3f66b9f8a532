#pragma once

/**
 * @file
 * Connections between instances on the event loop. Each instance opens one TCP connection to every
 * peer and only sends on it; replies arrive on the peer's own connection. Heartbeats are UDP
 * datagrams to the same port number.
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

/** Callbacks of a transport. */
struct transport_events {
    /** A message was received from an authenticated instance. */
    std::function<void(const hello&, message&&)> received;
    std::function<void(const heartbeat&)> heartbeat_received;
    /** The connection to the peer is up; the hello has the peer's current identity. */
    std::function<void(const hello&)> connected;
    std::function<void(const instance_id&)> disconnected;
    /**
     * An unknown instance authenticated with the cluster secret. @return whether to accept its
     * connection; the callback adds it as a peer first. Not set: unknown instances are rejected.
     */
    std::function<bool(const hello&)> admit_unknown;
};

class transport {
public:
    transport(event_loop& loop, std::string secret, http::endpoint listen,
              std::vector<peer_address> peers, transport_events events);
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /** Starts listening and connecting. @param local_identity returns the hello to send. */
    status start(std::function<hello()> local_identity);
    /** Sends a message, or drops it if the peer is not connected. @return whether it was queued. */
    bool send(const instance_id& to, const message& m);
    void send_heartbeat(const heartbeat& hb, const std::vector<instance_id>& to);
    bool connected(const instance_id& to) const;
    /** Adds an instance to connect to; a known instance keeps its address. */
    void add_peer(const peer_address& peer);
    /** Closes the connection and removes the instance. */
    void remove_peer(const instance_id& id);
    /**
     * Reopens a connection when its peer has sent nothing for this long, or when it is not
     * established in that time. The owner must ping each peer several times per timeout.
     */
    void supervise(milliseconds silence_timeout);
    /**
     * Buffers sent messages until flush(), so that each connection is written once per iteration of
     * the event loop.
     */
    void hold_writes();
    void flush();
    /** @return all known peers, connected or not. */
    std::vector<instance_id> known_peers() const;
    /** @return bytes sent over TCP and UDP so far. */
    /** Limits the bytes that wait to be sent to a peer; beyond it the connection is reopened. */
    void limit_pending(std::size_t max_bytes);
    /** @return the number of bytes that wait to be sent to a peer. */
    std::size_t pending_bytes(const instance_id& to) const;
    std::uint64_t bytes_sent() const noexcept;

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue::wire
