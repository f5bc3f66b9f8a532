#pragma once

/**
 * @file
 * Reads IP:PORT fields of the settings.
 */

#include "fescuestream/http/server.h"
#include "fescuestream/json/object_reader.h"

#include <string>

namespace fescue::settings {

/**
 * Reads an IP:PORT field; errors are reported under the field's name.
 * @param fallback address to use if the field is absent; nullptr: the field is required.
 */
http::endpoint read_endpoint(json::object_reader& reader, const std::string& field,
                             const http::endpoint* fallback);

} // namespace fescue::settings
