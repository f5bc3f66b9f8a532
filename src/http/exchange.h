#pragma once

#include "fescuestream/http/server.h"

#include <microhttpd.h>

namespace fescue::http {

/** A request and its response, from the end of the head until the response has been sent. */
struct exchange {
    exchange_id id{0};
    /** Moved to the handler once the request is complete. */
    request incoming;
    /** Method and the beginning of the path, for the log. */
    std::string request_line;
    std::optional<response> reply;
    MHD_Connection* connection{nullptr};
    mono_time began_at{};
    mono_time replied_at{};
    bool dispatched{false};
    bool suspended{false};
    /** The library reads the response's body from the exchange until it has been sent. */
    bool library_reads_body{false};
    /** The request or its response was dropped; its connection is being closed. */
    bool dropped{false};
    /** Bytes of the status line that were sent before the response is known, and when the last of
     * them was sent. */
    std::size_t probe_bytes{0};
    mono_time probed_at{};
    /** Length that the request announces for its body; 0: none. */
    std::size_t announced_bytes{0};
    /** Part of the body that was received after the request had been rejected. */
    std::size_t discarded_bytes{0};
    /** Memory of the copied parts of the request's head. */
    std::size_t head_bytes{0};
};

/** @return an exchange with what the library knows of the request after its head. */
std::unique_ptr<exchange> read_head(MHD_Connection* connection, exchange_id id, const char* method,
                                    const char* path, const std::vector<std::string>& kept_headers,
                                    mono_time now);

/** @return the size of the header lines, without the request line. */
std::size_t count_header_bytes(MHD_Connection* connection);

} // namespace fescue::http
