#include "server_view.h"

#include <algorithm>

namespace fescue::fleet {

namespace {

std::int64_t slow_ms_between(mono_time from, mono_time to) noexcept
{
    const auto passed = std::chrono::duration_cast<milliseconds>(to - from).count();
    return static_cast<std::int64_t>(static_cast<double>(passed) * slowest_clock);
}

} // namespace

void server_clock::read(std::int64_t clock_ms, mono_time came_at) noexcept
{
    const auto known = at_least(came_at);
    if (!known || clock_ms > *known) {
        reading_ = reading{clock_ms, came_at};
    }
}

std::optional<std::int64_t> server_clock::at_least(mono_time now) const noexcept
{
    if (!reading_) {
        return std::nullopt;
    }
    return reading_->clock_ms + slow_ms_between(reading_->came_at, now);
}

void server_view::forget_runs() noexcept
{
    runs.clear();
    used = {};
    lasting_runs = 0;
    serving_runs = 0;
}

bool server_view::starts_up(mono_time now, milliseconds of_late) const noexcept
{
    return lasting_runs > 0 && std::ranges::any_of(runs, [&](const auto& known) {
               const run_view& run = known.second;
               return run.lasting && run.shown_from && now - *run.shown_from < of_late &&
                      !run.at_work_since && run.stop_why.empty();
           });
}

bool server_view::lease_surely_over(mono_time now) const noexcept
{
    if (now < inherited_lease_over) {
        return false;
    }
    if (lease_end_ms == 0) {
        return true;
    }
    const auto shows = clock.at_least(now);
    return shows && *shows > lease_end_ms;
}

} // namespace fescue::fleet
