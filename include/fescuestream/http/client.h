#pragma once

/**
 * @file
 * Asynchronous HTTP client: libcurl's multi interface on the event loop.
 */

#include "fescuestream/base/loop.h"
#include "fescuestream/http/server.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescue::http {

/** Outcome of an attempt, as far as the network layer can tell. */
enum class delivery : std::uint8_t {
    /** A complete response arrived: its headers delimit the body, and the body came in full. */
    answered,
    /** No byte of the request left this process. */
    not_sent,
    /** At least part of the request was sent, and no complete response arrived. */
    lost,
};

struct client_request {
    std::string method{"POST"};
    std::string url;
    std::string body;
    std::vector<header> headers;
    milliseconds timeout{5000};
    /** Opens a new connection instead of reusing an idle one. */
    bool fresh_connection{false};
    /**
     * A second execution has no further effect. Such a request, and any GET, is sent again if a
     * reused connection closes before the first byte of the response; any other is reported as
     * lost, since a reply to a second copy says nothing about the first.
     */
    bool idempotent{false};
    /** PEM file of CA certificates to verify the server with; empty: the system's store. */
    std::string ca_file;
};

struct client_response {
    delivery outcome{delivery::lost};
    int status{0};
    std::string content_type;
    std::string body;
    /** Value of the Fescue-Request-Id header, if present. */
    std::optional<std::string> request_id;
    /** Value of the Fescue-Ran header, if present. */
    std::optional<std::string> ran;
    /** The connection for the last copy of the request was refused: nothing listens there. */
    bool connection_refused{false};
    /** Error description, for humans; empty when answered. */
    std::string error_message;
};

/** Limits on a client's connections; 0: unlimited. */
struct client_limits {
    /** Further requests to the same host queue until a connection is free. */
    long max_connections_per_host{0};
    /** Size of the connection cache. libcurl checks every cached connection once a second. */
    long max_cached_connections{2048};
    /** Memory of the responses that are being received, in bytes. Beyond it the largest of them is
     * given up, so that servers with ordinary responses are not affected. */
    std::size_t max_receiving_bytes{64U << 20U};
};

class client {
public:
    using callback = std::function<void(client_response&&)>;

    explicit client(event_loop& loop, client_limits limits = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /** Sends a request. The callback is invoked exactly once, never from within send(). */
    void send(client_request&& request, callback on_complete);
    /** @return the number of requests in flight. */
    std::size_t in_flight() const noexcept;

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue::http
