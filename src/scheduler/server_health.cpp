#include "fescuestream/scheduler/server_health.h"

#include <algorithm>

namespace fescue::scheduler {

namespace {

/** Failures in a row that no sound server has by chance: the work itself fails rarely. */
constexpr std::uint32_t suspicious_failures = 3;
/** First pause of a suspicious server, and the longest; it doubles in between. */
constexpr milliseconds first_pause{500};
constexpr milliseconds longest_pause{4000};

} // namespace

void server_health::succeeded(const server_id& id)
{
    records_.erase(id);
}

void server_health::failed(const server_id& id, mono_time now)
{
    record& r = records_[id];
    ++r.failures_in_a_row;
    if (r.failures_in_a_row < suspicious_failures) {
        return;
    }
    const std::uint32_t doublings = std::min(r.failures_in_a_row - suspicious_failures, 3U);
    r.not_before = now + std::min(first_pause * (1U << doublings), longest_pause);
}

void server_health::forget(const server_id& id)
{
    records_.erase(id);
}

bool server_health::held_back(const server_id& id, mono_time now) const
{
    const auto found = records_.find(id);
    return found != records_.end() && now < found->second.not_before;
}

bool server_health::on_trial(const server_id& id) const
{
    return demerits(id) >= suspicious_failures;
}

std::uint32_t server_health::demerits(const server_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? 0 : found->second.failures_in_a_row;
}

} // namespace fescue::scheduler
