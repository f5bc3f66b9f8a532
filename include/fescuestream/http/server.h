#pragma once

/**
 * @file
 * HTTP server: libmicrohttpd on the event loop, without threads of its own.
 */

#include "fescuestream/base/error.h"
#include "fescuestream/base/loop.h"
#include "fescuestream/base/metrics.h"
#include "fescuestream/http/request_limits.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescue::http {

/** Identifies an exchange until its response is sent; never reused within a process. */
using exchange_id = std::uint64_t;

/** A complete request, including its body. */
struct request {
    std::string method;
    std::string path;
    std::string body;
    std::optional<std::string> authorization;
    std::optional<std::string> idempotency_key;
    std::optional<std::string> if_match;
    std::optional<std::string> timeout_ms;
    std::string content_type;
    std::string host;
    /** Earliest time at which the request may have arrived. It was read later, in particular if the
     * process was stopped. */
    mono_time arrived_after{};
    /** Values of the headers named in server::capture_headers(), in the same order. */
    std::vector<std::optional<std::string>> captured_headers;

    /** @return the bearer token of the Authorization header, if present. */
    std::optional<std::string> bearer() const;
};

/** Whether the client of a request waits for the response. */
enum class client_presence : std::uint8_t {
    waiting,
    /** It has closed its sending side; whether it still receives is being found out. */
    unknown,
    /** It has closed or reset the connection. */
    gone,
};

struct header {
    std::string name;
    std::string value;
};

struct response {
    int status{200};
    std::string content_type{"application/json"};
    std::string body;
    std::vector<header> headers;
};

/** Certificate and private key in PEM; both empty for plain HTTP. */
struct tls_identity {
    std::string certificate_pem;
    std::string key_pem;
    bool empty() const noexcept { return certificate_pem.empty(); }
};

/** IPv4 address and port. */
struct endpoint {
    std::string ip;
    std::uint16_t port{0};
};

/** Parses "IP:PORT". */
result<endpoint> parse_endpoint(const std::string& text);

/** Time between two checks of a client whose presence is unknown. */
inline constexpr milliseconds client_check_period{75};

class server {
public:
    /** Invoked with each complete request; respond() sends the response, now or later. */
    using handler = std::function<void(exchange_id, request&&)>;

    server(event_loop& loop, handler on_request);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /** Sets the limits of this port; call it before listen(). */
    void set_limits(const request_limits& limits);
    /** Changes the limits on single requests and the timeouts of this port, at any time. The memory
     * and the number of connections remain those of set_limits(). */
    void change_request_limits(const request_limits& limits);
    /** Counts rejected requests, and reports the memory that bodies hold. @param counters must
     * outlive the server. */
    void report_to(metrics& counters);
    /** Sets the headers whose values are copied to request::kept; call it before listen(). */
    void capture_headers(std::vector<std::string> names);
    /** Closes each connection after its next response, so that clients reconnect elsewhere. */
    void close_after_answers();
    /** Starts listening. @return an error that names the address on failure. */
    status listen(const endpoint& address, const tls_identity& tls);
    /** Sends the response of an exchange; ignored if the exchange has already ended. */
    void respond(exchange_id id, response&& reply);
    /**
     * Checks whether the client of an exchange without a response still waits for it. If the client
     * has closed its sending side, sends the beginning of the status line byte by byte: a client
     * that has closed the connection answers with a reset. Call it again every
     * client_check_period while the result is unknown.
     */
    client_presence check_client(exchange_id id);
    /** @return the number of exchanges without a response. */
    std::size_t open_exchanges() const noexcept;
    /** @return the number of exchanges that have begun and whose response is not yet written. */
    std::size_t unfinished_exchanges() const noexcept;
    /** Sends the same response to every exchange that has none yet. */
    void respond_to_all(const response& reply);
    /**
     * Stops accepting connections. Requests on open connections are still handled; each connection
     * is closed after its next response.
     */
    void stop_accepting();
    /**
     * Handles what has been received, so that no request is left unread.
     * @return whether the server has stopped accepting, has written the response to every request,
     * and has received none for a while, so that closing it cuts no exchange.
     */
    bool is_drained();

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue::http
