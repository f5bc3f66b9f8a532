#include "fescuestream/scheduler/server_health.h"

#include <algorithm>

namespace fescue::scheduler {

namespace {

/** Consecutive failures that a healthy server does not reach by chance: tasks rarely fail. */
constexpr std::uint32_t trial_failure_threshold = 3;
/** Initial and maximum delay before a failing server gets a trial task; it doubles in between. */
constexpr milliseconds initial_backoff{500};
constexpr milliseconds max_backoff{4000};

} // namespace

void server_health::record_success(const server_id& id)
{
    records_.erase(id);
}

void server_health::record_failure(const server_id& id, mono_time now)
{
    failure_record& r = records_[id];
    ++r.consecutive_failures;
    if (r.consecutive_failures < trial_failure_threshold) {
        return;
    }
    const std::uint32_t doublings = std::min(r.consecutive_failures - trial_failure_threshold, 3U);
    r.blocked_until = now + std::min(initial_backoff * (1U << doublings), max_backoff);
}

void server_health::remove(const server_id& id)
{
    records_.erase(id);
}

bool server_health::is_backed_off(const server_id& id, mono_time now) const
{
    const auto found = records_.find(id);
    return found != records_.end() && now < found->second.blocked_until;
}

bool server_health::is_on_trial(const server_id& id) const
{
    return consecutive_failures(id) >= trial_failure_threshold;
}

std::uint32_t server_health::consecutive_failures(const server_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? 0 : found->second.consecutive_failures;
}

} // namespace fescue::scheduler
