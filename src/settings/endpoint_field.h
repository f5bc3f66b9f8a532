#pragma once

/**
 * @file
 * Reads an address field of the settings.
 */

#include "fescuestream/http/server.h"
#include "fescuestream/json/object_reader.h"

#include <string>

namespace fescue::settings {

/**
 * Reads IP:PORT; a fault is reported under the field's name.
 * @param fallback the address when the field is missing; nullptr: it must be there.
 */
http::endpoint read_endpoint(json::object_reader& reader, const std::string& field,
                             const http::endpoint* fallback);

} // namespace fescue::settings
