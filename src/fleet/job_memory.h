#pragma once

/**
 * @file
 * Bounds the memory of the stored jobs.
 *
 * Load pattern: callers submit complete jobs whose documents are within the size limit and describe
 * tens of thousands of steps or tasks each, or that occur again and again, or they submit and
 * withdraw many small jobs. Every scheduler stores them, in several times the size of the document,
 * and keeps the state of a job for some time after its end. Beyond the bound new jobs are refused
 * until others have ended or have been removed. Large jobs leave a part of the memory to small
 * ones, so that a few of them do not lock out all other callers.
 */

#include "fescuestream/jobs/state.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace fescue::fleet {

/** @return the approximate memory of a job in bytes, with the tasks of one occurrence. */
std::size_t estimate_memory(const jobs::job_spec& spec);
/** @return the approximate memory of a stored job in bytes. */
std::size_t estimate_memory(const jobs::job& job);

enum class memory_verdict : std::uint8_t {
    fits,
    /** The job alone exceeds the bound. */
    job_too_large,
    /** The stored jobs leave too little. */
    no_room,
};

class job_memory {
public:
    explicit job_memory(std::size_t max_bytes) : max_bytes_{max_bytes} {}

    /** Decides on a new job, and counts it if it fits. */
    memory_verdict admit(const jobs::job_id& id, const jobs::job_spec& spec,
                         const jobs::state& state, mono_time now);
    /** @return whether an admitted job with this id may not be applied yet. */
    bool is_pending(const jobs::job_id& id, mono_time now) const;
    /** Decides on the next occurrence of a stored job, and counts it if it fits. The first of a
     * job's open occurrences always fits, because the job was admitted with it. */
    bool admit_occurrence(const jobs::job_id& id, const jobs::state& state, mono_time now);
    /** @return whether this much more would fit. */
    bool has_room_for(std::size_t added, const jobs::state& state, mono_time now);
    std::size_t bytes() const noexcept { return bytes_; }

private:
    /** Memory for which a command has been proposed that may not be applied yet. */
    struct pending_memory {
        std::size_t bytes{0};
        /** Number of the job's occurrences before the command; unused for a new job. */
        std::uint32_t occurrences_opened{0};
        mono_time since{};
    };

    void count_if_due(const jobs::state& state, mono_time now);
    bool fits(std::size_t added) const noexcept;

    std::size_t max_bytes_;
    /** Sum at the last count, and what was admitted since. */
    std::size_t bytes_{0};
    mono_time counted_at_{};
    std::map<jobs::job_id, pending_memory> pending_jobs_;
    std::map<jobs::job_id, pending_memory> pending_occurrences_;
};

} // namespace fescue::fleet
