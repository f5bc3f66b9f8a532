#pragma once

/**
 * @file
 * JSON bodies of the control API's read responses.
 */

#include "context.h"
#include "leader_controller.h"

#include <string>

namespace fescue::node {

std::string status_json(const context& shared, const leader_controller& controller);
std::string wave_json(const wave_id& id, const catalogue::wave& w);
/**
 * Merges the decisions in another instance's explain response with the local ones, ordered by time.
 * @return @p remote_body unchanged if it is not an explain response.
 */
std::string merge_explanations(const std::string& remote_body, const decision_log& decisions,
                               const std::string& subject);
std::string explain_json(const decision_log& decisions, const std::string& subject);

} // namespace fescue::node
