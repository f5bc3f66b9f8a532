#pragma once

/**
 * @file
 * One call to an instance's control port, waited for.
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

/** Sends the call and waits for its end. */
http::client_response send(const options& opts, const call& c);
/** Sends an order; when the answer is lost it is sent again under the same idempotency key. */
http::client_response send_order(const options& opts, call c);

} // namespace fescue::ctl
