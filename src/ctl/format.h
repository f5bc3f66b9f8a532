#pragma once

/**
 * @file
 * Formats responses of the control port as human-readable text.
 */

#include <nlohmann/json.hpp>

#include <string>

namespace fescue::ctl {

std::string status_text(const nlohmann::json& status);
std::string explain_text(const nlohmann::json& explanation);

} // namespace fescue::ctl
