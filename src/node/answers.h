#pragma once

/**
 * @file
 * HTTP answers from error kinds.
 */

#include "fescuestream/base/error.h"
#include "fescuestream/http/server.h"

#include <string>

namespace fescue::node {

/** @return the refusal as a caller sees it; @p may_have_run overrides a "no" of the table. */
http::response refusal(error_kind kind, const std::string& detail, bool may_have_run = false);
/** @return a JSON answer. */
http::response json_answer(int status, std::string body);

} // namespace fescue::node
