#pragma once

/**
 * @file
 * fescuectl load: a bounded load from one process, with throughput and latency.
 */

#include "options.h"

namespace fescue::ctl {

/** @return the process's exit status: 0 when at least one request was answered. */
int run_load(const options& opts);

} // namespace fescue::ctl
