#pragma once

/**
 * @file
 * The control port's answers to questions, as JSON.
 */

#include "context.h"
#include "leader.h"

#include <string>

namespace fescue::node {

std::string status_json(const context& shared, const leader& lead);
std::string wave_json(const wave_id& id, const catalogue::wave& w);
/** Joins what another instance explained with what this one knows, by time. */
std::string merge_explained(const std::string& theirs, const decision_log& decisions,
                            const std::string& subject);
std::string explain_json(const decision_log& decisions, const std::string& subject);

} // namespace fescue::node
