#pragma once

/**
 * @file
 * Decides which connections are closed because they send no whole request head.
 *
 * Load pattern: thousands of connections send nothing, or a part of a head, and stay open; others
 * send a head byte by byte. They take all connections of a port, while ordinary callers keep idle
 * connections on which they have received responses. A head must therefore arrive within a fixed
 * time, however its bytes are spread, and when a port runs out of connections those without any
 * complete request are closed before idle ones.
 */

#include "fescuestream/base/ids.h"

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace fescue::http {

using connection_id = std::uint64_t;

/** Connections on which the head of the next request is awaited. */
class waiting_connections {
public:
    waiting_connections(milliseconds header_timeout, milliseconds idle_timeout)
        : header_timeout_{header_timeout}, idle_timeout_{idle_timeout}
    {
    }

    /** Applies to connections when they are checked next. */
    void set_timeouts(milliseconds header_timeout, milliseconds idle_timeout)
    {
        header_timeout_ = header_timeout;
        idle_timeout_ = idle_timeout;
    }

    /**
     * The connection waits for a head from now on.
     * @param received bytes that have been received on the connection so far.
     * @param served whether a request was received on the connection before.
     */
    void begin(connection_id id, std::uint64_t received, bool served, mono_time now);
    /** A whole head has been received, or the connection is being closed. */
    void end(connection_id id);

    /** @return a connection that must be checked now, if any. */
    std::optional<connection_id> due(mono_time now) const;
    /**
     * Checks a connection that is due. @param received bytes received so far.
     * @return whether it has exceeded the time for a head, or for an idle connection.
     */
    bool has_expired(connection_id id, std::uint64_t received, mono_time now);
    /** @return the connection without any request that has been open for the longest time. */
    std::optional<connection_id> longest_unserved() const;
    /** @return the connection that has been idle for the longest time since its last request. */
    std::optional<connection_id> longest_idle() const;

private:
    struct connection {
        std::uint64_t received{0};
        bool served{false};
        mono_time since{};
        /** When a part of a head was first seen. */
        std::optional<mono_time> head_seen_at;
        mono_time next_check{};
    };
    using by_time = std::set<std::pair<mono_time, connection_id>>;

    void check_at(connection_id id, connection& c, mono_time time);

    milliseconds header_timeout_;
    milliseconds idle_timeout_;
    std::unordered_map<connection_id, connection> connections_;
    by_time unserved_;
    by_time idle_;
    by_time checks_;
};

} // namespace fescue::http
