#pragma once

/**
 * @file
 * HTTP responses for errors and JSON bodies.
 */

#include "fescuestream/base/error.h"
#include "fescuestream/http/server.h"

#include <string>

namespace fescue::node {

/**
 * @return the response for an error. @p may_have_run reports the request as possibly run even if
 * the error table says it was not.
 */
http::response error_response(error_kind kind, const std::string& detail,
                              bool may_have_run = false);
http::response json_response(int status, std::string body);

} // namespace fescue::node
