#pragma once

/**
 * @file
 * fescuectl load: generates a bounded load from one process and measures throughput and latency.
 */

#include "options.h"

namespace fescue::ctl {

/** Runs the load. @return exit status; 0 if at least one request succeeded with status 200. */
int run_load(const options& opts);

} // namespace fescue::ctl
