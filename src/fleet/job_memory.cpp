#include "job_memory.h"

namespace fescue::fleet {

namespace {

/** Jobs are counted anew at this interval, so that a burst of submissions does not go through all
 * jobs each time. */
constexpr milliseconds count_interval{250};
/** Entries of the containers that hold a job and its occurrence, and their allocations. */
constexpr std::size_t bytes_per_job = 1024;

} // namespace

std::size_t estimate_memory(const jobs::job_spec& spec)
{
    std::size_t bytes = bytes_per_job + spec.payload.size();
    for (const jobs::step_spec& s : spec.steps) {
        bytes += sizeof(jobs::step_spec) + sizeof(jobs::step) + s.label.size() + s.image.size() +
                 s.preferred_rack.size() + s.depends_on.size() * sizeof(std::uint32_t) +
                 s.tasks * sizeof(jobs::task);
    }
    return bytes;
}

memory_verdict job_memory::admit(const jobs::job_spec& spec, const jobs::state& state,
                                 mono_time now)
{
    if (counted_at_ == mono_time{} || now - counted_at_ >= count_interval) {
        counted_at_ = now;
        bytes_ = 0;
        for (const jobs::job_id& id : state.active_jobs) {
            bytes_ += estimate_memory(state.jobs.at(id).spec);
        }
    }
    const std::size_t added = estimate_memory(spec);
    if (added > max_bytes_) {
        return memory_verdict::job_too_large;
    }
    if (bytes_ > max_bytes_ - added) {
        return memory_verdict::no_room;
    }
    bytes_ += added;
    return memory_verdict::fits;
}

} // namespace fescue::fleet
