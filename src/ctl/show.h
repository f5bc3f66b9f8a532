#pragma once

/**
 * @file
 * Answers of the control port as text for people.
 */

#include <nlohmann/json.hpp>

#include <string>

namespace fescue::ctl {

std::string status_text(const nlohmann::json& status);
std::string explain_text(const nlohmann::json& explained);

} // namespace fescue::ctl
