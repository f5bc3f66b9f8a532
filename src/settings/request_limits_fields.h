#pragma once

/**
 * @file
 * Reads the "http" section of the settings: limits on requests.
 */

#include "fescuestream/http/request_limits.h"
#include "fescuestream/json/object_reader.h"

namespace fescue::settings {

/** @return the limits, with defaults for the fields and the section that are absent. */
http::request_limits read_request_limits(json::object_reader& top,
                                         json::field_errors& field_errors);

} // namespace fescue::settings
