#pragma once

/**
 * @file
 * HTTP server: libmicrohttpd on the event loop, without threads.
 */

#include "fescuestream/base/error.h"
#include "fescuestream/base/loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescue::http {

/** Names an exchange until it is answered; never used twice in one process. */
using exchange_id = std::uint64_t;

/** A whole request, body included. */
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
    /** Values of the headers that the server was told to keep, in that order. */
    std::vector<std::optional<std::string>> kept;

    /** @return the token behind "Bearer ", or nothing. */
    std::optional<std::string> bearer() const;
};

/** One header line. */
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

/** Certificate and key in PEM, or both empty for plain HTTP. */
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

/** Reads "IP:PORT". */
result<endpoint> parse_endpoint(const std::string& text);

class server {
public:
    /** Called once a request is whole; answered now or later through respond(). */
    using handler = std::function<void(exchange_id, request&&)>;

    /** Largest body taken, in bytes; a larger one is answered 413. */
    static constexpr std::size_t max_body_bytes = 8U << 20U;

    server(event_loop& loop, handler on_request);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /** Names headers whose values requests carry in request::kept; called before listen(). */
    void keep_headers(std::vector<std::string> names);
    /** Connections end with their next answer, so that callers open new ones elsewhere. */
    void close_after_answers();
    /** Starts listening. @return an error naming the address when it can't. */
    status listen(const endpoint& at, const tls_identity& tls);
    /** Answers an exchange; an id that has ended is ignored. */
    void respond(exchange_id id, response&& answer);
    /** @return how many exchanges have not been answered. */
    std::size_t open_exchanges() const noexcept;
    /** Stops taking new connections; open exchanges go on. */
    void stop_accepting();

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue::http
