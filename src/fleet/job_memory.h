#pragma once

/**
 * @file
 * Bounds the memory of the jobs that have not ended.
 *
 * Load pattern: callers submit dozens of complete jobs whose documents are within the size limit
 * and describe tens of thousands of steps or tasks each. Every scheduler stores them, in several
 * times the size of the document. Beyond the bound new jobs are refused until others have ended.
 */

#include "fescuestream/jobs/state.h"

#include <cstddef>

namespace fescue::fleet {

/** @return the approximate memory of a job in bytes, with the tasks of one occurrence. */
std::size_t estimate_memory(const jobs::job_spec& spec);

enum class memory_verdict : std::uint8_t {
    fits,
    /** The job alone exceeds the bound. */
    job_too_large,
    /** The jobs that have not ended leave too little. */
    no_room,
};

class job_memory {
public:
    explicit job_memory(std::size_t max_bytes) : max_bytes_{max_bytes} {}

    /** Decides on a new job, and counts it if it fits. */
    memory_verdict admit(const jobs::job_spec& spec, const jobs::state& state, mono_time now);
    std::size_t bytes() const noexcept { return bytes_; }

private:
    std::size_t max_bytes_;
    /** Sum at the last count, and the jobs admitted since. */
    std::size_t bytes_{0};
    mono_time counted_at_{};
};

} // namespace fescue::fleet
