#include "job_memory.h"

#include <algorithm>

namespace fescue::fleet {

namespace {

/** Jobs are counted anew at this interval, so that a burst of submissions does not go through all
 * jobs each time. */
constexpr milliseconds count_interval{250};
/** Entries of the containers that hold a job and its occurrence, their allocations, and the job's
 * entry in snapshots and in the record of ended jobs. */
constexpr std::size_t bytes_per_job = 1024;
/** Of a task whose runs were lost with servers, up to four of them. */
constexpr std::size_t bytes_per_crash_record = 512;
/** A command that is not applied within this time has been lost with its leader. */
constexpr milliseconds pending_timeout{10'000};
/** A job that takes more than this part of the bound is large. */
constexpr std::size_t large_job_divisor = 256;
/** Large jobs leave this part of the bound to others. */
constexpr std::size_t reserved_divisor = 8;

std::size_t estimate_occurrence(const jobs::job_spec& spec)
{
    std::size_t bytes = 0;
    for (const jobs::step_spec& s : spec.steps) {
        bytes += sizeof(jobs::step) + s.tasks * sizeof(jobs::task);
    }
    return bytes;
}

std::size_t estimate_spec(const jobs::job_spec& spec)
{
    std::size_t bytes = bytes_per_job + spec.payload.size();
    for (const jobs::step_spec& s : spec.steps) {
        bytes += sizeof(jobs::step_spec) + s.label.size() + s.image.size() +
                 s.preferred_rack.size() + s.depends_on.size() * sizeof(std::uint32_t);
    }
    return bytes;
}

} // namespace

std::size_t estimate_memory(const jobs::job_spec& spec)
{
    return estimate_spec(spec) + estimate_occurrence(spec);
}

std::size_t estimate_memory(const jobs::job& job)
{
    return estimate_spec(job.spec) +
           std::max<std::size_t>(1, job.occurrences.size()) * estimate_occurrence(job.spec);
}

memory_verdict job_memory::admit(const jobs::job_id& id, const jobs::job_spec& spec,
                                 const jobs::state& state, mono_time now)
{
    count_if_due(state, now);
    if (pending_jobs_.contains(id)) {
        return memory_verdict::fits;
    }
    const std::size_t added = estimate_memory(spec);
    if (added > max_bytes_) {
        return memory_verdict::job_too_large;
    }
    if (!fits(added)) {
        return memory_verdict::no_room;
    }
    bytes_ += added;
    pending_jobs_[id] = {added, 0, now};
    return memory_verdict::fits;
}

bool job_memory::is_pending(const jobs::job_id& id, mono_time now) const
{
    const auto found = pending_jobs_.find(id);
    return found != pending_jobs_.end() && now - found->second.since < pending_timeout;
}

bool job_memory::admit_occurrence(const jobs::job_id& id, const jobs::state& state, mono_time now)
{
    count_if_due(state, now);
    const jobs::job& job = state.jobs.at(id);
    const auto pending = pending_occurrences_.find(id);
    if (job.occurrences.empty() || (pending != pending_occurrences_.end() &&
                                    pending->second.occurrences_opened == job.occurrences_opened)) {
        return true;
    }
    const std::size_t added = estimate_occurrence(job.spec);
    if (!fits(added)) {
        return false;
    }
    bytes_ += added;
    pending_occurrences_[id] = {added, job.occurrences_opened, now};
    return true;
}

bool job_memory::has_room_for(std::size_t added, const jobs::state& state, mono_time now)
{
    count_if_due(state, now);
    return bytes_ + added <= max_bytes_;
}

bool job_memory::fits(std::size_t added) const noexcept
{
    const bool large = added > max_bytes_ / large_job_divisor;
    const std::size_t reserved = large && bytes_ > 0 ? max_bytes_ / reserved_divisor : 0;
    return added + reserved <= max_bytes_ && bytes_ <= max_bytes_ - reserved - added;
}

void job_memory::count_if_due(const jobs::state& state, mono_time now)
{
    if (counted_at_ != mono_time{} && now - counted_at_ < count_interval) {
        return;
    }
    counted_at_ = now;
    // A job keeps only its state once it has ended and none of its tasks run.
    bytes_ = (state.jobs.size() - state.active_jobs.size()) * bytes_per_job;
    for (const jobs::job_id& id : state.active_jobs) {
        bytes_ += estimate_memory(state.jobs.at(id));
    }
    bytes_ += state.checkpoint_bytes + state.crash_records.size() * bytes_per_crash_record;
    std::erase_if(pending_jobs_, [&](const auto& entry) {
        return state.jobs.contains(entry.first) || now - entry.second.since >= pending_timeout;
    });
    std::erase_if(pending_occurrences_, [&](const auto& entry) {
        const auto job = state.jobs.find(entry.first);
        return job == state.jobs.end() ||
               job->second.occurrences_opened != entry.second.occurrences_opened ||
               now - entry.second.since >= pending_timeout;
    });
    for (const auto* pending : {&pending_jobs_, &pending_occurrences_}) {
        for (const auto& [id, memory] : *pending) {
            bytes_ += memory.bytes;
        }
    }
}

} // namespace fescue::fleet
