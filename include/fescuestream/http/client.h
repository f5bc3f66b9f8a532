#pragma once

/**
 * @file
 * HTTP client: libcurl multi on the event loop.
 */

#include "fescuestream/base/loop.h"
#include "fescuestream/http/server.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescue::http {

/** How an attempt ended, as far as the network can tell. */
enum class delivery : std::uint8_t {
    /** A whole answer came: its length was declared and reached. */
    answered,
    /** No byte of the request left this process. */
    not_sent,
    /** The request left, and no whole answer came. */
    lost,
};

struct client_request {
    std::string method{"POST"};
    std::string url;
    std::string body;
    std::vector<header> headers;
    milliseconds timeout{5000};
    /**
     * Never use a connection again that was used before. libcurl sends a request a second time
     * when a used connection ends before the first byte of the answer, so work that must run
     * once at most has to go over a new one.
     */
    bool fresh_connection{false};
    /** PEM file to check the server's certificate against; empty: the system's. */
    std::string ca_file;
};

struct client_response {
    delivery how{delivery::lost};
    int status{0};
    std::string content_type;
    std::string body;
    /** Value of Fescue-Request-Id, when there was one. */
    std::optional<std::string> request_id;
    /** Value of Fescue-Ran, when there was one. */
    std::optional<std::string> ran;
    /** What went wrong, in words. */
    std::string fault;
};

/** Bounds on a client's connections; 0: none. */
struct client_limits {
    /** Requests beyond this wait for a connection to the same server. */
    long connections_a_server{0};
    /** Idle connections that are kept. The library looks at each of them every second. */
    long kept_connections{2048};
};

class client {
public:
    using callback = std::function<void(client_response&&)>;

    explicit client(event_loop& loop, client_limits limits = {});
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /** Sends; the callback is called exactly once, never from inside send(). */
    void send(client_request&& request, callback done);
    /** @return how many requests are under way. */
    std::size_t in_flight() const noexcept;

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue::http
