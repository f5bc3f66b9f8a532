#include "server_view.h"

#include <algorithm>

namespace fescue::fleet {

namespace {

std::int64_t min_server_ms_between(mono_time from, mono_time to) noexcept
{
    const auto elapsed_ms = std::chrono::duration_cast<milliseconds>(to - from).count();
    return static_cast<std::int64_t>(static_cast<double>(elapsed_ms) * min_clock_rate);
}

/** Readings are whole milliseconds. */
constexpr std::int64_t clock_resolution_ms = 1;

} // namespace

std::string_view name_of(run_stage stage) noexcept
{
    switch (stage) {
    case run_stage::inherited:
        return "inherited";
    case run_stage::ordered:
        return "ordered";
    case run_stage::confirmed:
        return "confirmed";
    case run_stage::in_doubt:
        return "in_doubt";
    }
    return "unknown";
}

void server_clock::record_reading(std::int64_t clock_ms, mono_time received_at) noexcept
{
    const auto known = lower_bound(received_at);
    if (!known || clock_ms > *known) {
        reading_ = reading{clock_ms, received_at};
    }
}

std::optional<std::int64_t> server_clock::lower_bound(mono_time now) const noexcept
{
    if (!reading_) {
        return std::nullopt;
    }
    return reading_->clock_ms + min_server_ms_between(reading_->received_at, now);
}

bool server_clock::is_before(std::int64_t clock_ms, mono_time sent) const noexcept
{
    if (!reading_) {
        return false;
    }
    // The clock may run at any rate from the lowest to the nominal one.
    const std::int64_t earliest =
        sent >= reading_->received_at
            ? min_server_ms_between(reading_->received_at, sent)
            : std::chrono::duration_cast<milliseconds>(sent - reading_->received_at).count();
    return clock_ms < reading_->clock_ms + earliest - clock_resolution_ms;
}

bool run_view::start_may_arrive(mono_time now) const noexcept
{
    return stage == run_stage::ordered || (starts_unanswered > 0 && now < late_starts_end);
}

void run_view::record_unanswered_start(term_number token, mono_time until) noexcept
{
    ++starts_unanswered;
    unanswered_token = std::max(unanswered_token, token);
    late_starts_end = std::max(late_starts_end, until);
}

void run_view::record_execution(incarnation by) noexcept
{
    const bool first = listed_in == 0;
    listed_in = by;
    // If no copy was answered, the one that was executed is among the unanswered.
    if (first && starts_unanswered > 0 && starts_unanswered == starts_sent) {
        --starts_unanswered;
    }
}

void server_view::clear_runs() noexcept
{
    runs.clear();
    fence_pending = false;
    late_starts_end = {};
    unknown_runs = 0;
    used = {};
    long_running_count = 0;
    latency_limited_count = 0;
}

void server_view::confirm_fence(term_number token, mono_time now, milliseconds max_lease) noexcept
{
    fence.confirm(token);
    if (fence.is_confirmed()) {
        // Every order for an earlier incarnation has a lower token, so that a lease which one of
        // them granted has been granted by now.
        stray_leases_expire_at = std::min(stray_leases_expire_at, now + max_lease);
    }
}

void server_view::raise_fence(term_number token) noexcept
{
    fence.raise(token);
    fence_pending = true;
}

bool server_view::may_execute_start(const run_view& run, mono_time now) const noexcept
{
    const term_number token =
        run.stage == run_stage::ordered ? run.start_token : run.unanswered_token;
    return run.start_may_arrive(now) && !fence.refuses(token);
}

bool server_view::has_starting_task(mono_time now, milliseconds window) const noexcept
{
    return long_running_count > 0 && std::ranges::any_of(runs, [&](const auto& entry) {
               const run_view& run = entry.second;
               return run.long_running && run.visible_from && now - *run.visible_from < window &&
                      now >= *run.visible_from && !run.ready_since && run.stop_reason.empty();
           });
}

milliseconds server_view::remaining_lease(mono_time now) const noexcept
{
    const auto round_up = [](mono_clock::duration time) {
        return std::max(milliseconds{0}, std::chrono::ceil<milliseconds>(time));
    };
    if (has_shut_down) {
        return round_up(shut_down_by - now);
    }
    const milliseconds inherited =
        round_up(std::max(inherited_lease_expires_at, stray_leases_expire_at) - now);
    const auto server_ms = clock.lower_bound(now);
    if (lease_end_ms == 0 || !server_ms) {
        return inherited;
    }
    const auto own_ms = static_cast<double>(lease_end_ms - *server_ms) / min_clock_rate;
    return std::max(inherited, milliseconds{static_cast<std::int64_t>(std::max(0.0, own_ms)) + 1});
}

bool server_view::is_lease_expired(mono_time now) const noexcept
{
    if (now < inherited_lease_expires_at || now < stray_leases_expire_at) {
        return false;
    }
    if (lease_end_ms == 0) {
        return true;
    }
    const auto server_ms = clock.lower_bound(now);
    return server_ms && *server_ms > lease_end_ms;
}

} // namespace fescue::fleet
