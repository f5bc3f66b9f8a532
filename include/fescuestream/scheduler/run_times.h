#pragma once

/**
 * @file
 * How long tasks really run, learned from their ends: callers' estimates are off by a factor.
 */

#include "fescuestream/jobs/model.h"

#include <map>
#include <string>

namespace fescue::scheduler {

class run_times {
public:
    /** A run of the queue's task ended as done. */
    void learn(const jobs::queue_id& queue, std::int64_t estimate_ms, double took_ms);
    /** @return the run time to expect, in milliseconds. */
    double expect(const jobs::queue_id& queue, std::int64_t estimate_ms) const;

private:
    /** Mean of real over estimated run time. */
    std::map<jobs::queue_id, double> factors_;
};

/** @return the longest chain through the steps that are left, given each step's run time;
 * steps that are done count nothing. */
double longest_chain_ms(const std::vector<jobs::step_spec>& steps,
                        const std::vector<double>& step_ms);

} // namespace fescue::scheduler
