#include "fescuestream/scheduler/search_rotation.h"

namespace fescue::scheduler {

void search_rotation::begin_round()
{
    failures_ = 0;
    current_.reset();
}

bool search_rotation::may_search(const jobs::job_id& job)
{
    if (failures_ < max_failures_) {
        return true;
    }
    if (is_exhausted()) {
        return false;
    }
    if (current_ == job) {
        return true;
    }
    if (!searched_.insert(job).second) {
        return false;
    }
    current_ = job;
    return true;
}

void search_rotation::end_round()
{
    if (!is_exhausted()) {
        searched_.clear();
    }
}

} // namespace fescue::scheduler
