#pragma once

/**
 * @file
 * Synchronous requests to an instance's control port.
 */

#include "options.h"

#include "fescuestream/http/client.h"

#include <string>
#include <vector>

namespace fescue::ctl {

struct call {
    std::string method{"GET"};
    std::string path;
    std::string body;
    std::vector<http::header> headers;
};

/** Sends a request and waits for its response or failure. */
http::client_response send(const options& opts, const call& c);
/** Sends an order; retries it with the same idempotency key while its outcome is unknown. */
http::client_response send_order(const options& opts, call c);

} // namespace fescue::ctl
