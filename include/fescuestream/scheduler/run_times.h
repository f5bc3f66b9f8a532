#pragma once

/**
 * @file
 * Estimates task run times from completed runs, because callers' estimates are off by a factor.
 */

#include "fescuestream/jobs/model.h"

#include <map>
#include <string>

namespace fescue::scheduler {

class run_times {
public:
    /** Records a completed run of a task of the queue. */
    void record(const jobs::queue_id& queue, std::int64_t estimate_ms, double took_ms);
    /** @return the expected run time in milliseconds. */
    double expected_ms(const jobs::queue_id& queue, std::int64_t estimate_ms) const;
    /** @return a run time in milliseconds that about nine of ten runs do not exceed. */
    double upper_bound_ms(const jobs::queue_id& queue, std::int64_t estimate_ms) const;

private:
    /** Moving average of the ratio of actual to estimated run time. */
    std::map<jobs::queue_id, double> factors_;
    /** Moving estimate of the 90th percentile of that ratio. */
    std::map<jobs::queue_id, double> upper_factors_;
};

/** @return length of the critical path through the steps; completed steps are passed with a run
 * time of 0. */
double compute_critical_path_ms(const std::vector<jobs::step_spec>& steps,
                                const std::vector<double>& step_ms);

} // namespace fescue::scheduler
