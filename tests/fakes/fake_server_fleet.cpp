#include "fakes/fake_server_fleet.h"

#include <algorithm>
#include <cmath>

namespace fescue::fakes {

using fleet::order_result;
using jobs::run_outcome;

std::int64_t fake_server_clock::read(mono_time now) const
{
    const std::chrono::duration<double, std::milli> elapsed = now - started_at;
    return first_reading_ms + static_cast<std::int64_t>(std::floor(elapsed.count() * rate));
}

mono_time fake_server_clock::time_of(std::int64_t reading_ms) const
{
    const std::chrono::duration<double, std::milli> elapsed{
        static_cast<double>(reading_ms - first_reading_ms) / rate};
    return started_at + std::chrono::ceil<mono_clock::duration>(elapsed);
}

std::vector<std::uint32_t> fake_server::active_attempts(const jobs::task_id& task) const
{
    std::vector<std::uint32_t> attempts;
    for (auto at = active_.lower_bound({task, 0}); at != active_.end() && at->first.task == task;
         ++at) {
        attempts.push_back(at->first.attempt);
    }
    return attempts;
}

bool fake_server::exceeds_lease(mono_time now) const
{
    return !active_.empty() && clock_.read(now) > lease_end_ms_;
}

void fake_server::settle(mono_time now)
{
    const mono_time expiry = clock_.time_of(lease_end_ms_);
    std::vector<jobs::run_id> due;
    for (const auto& [run, state] : active_) {
        if (state.ends_at && *state.ends_at <= std::min(now, expiry)) {
            due.push_back(run);
        }
    }
    for (const jobs::run_id& run : due) {
        const active_state state = active_.at(run);
        end_run(run, state.outcome, *state.ends_at);
    }
    if (now >= expiry) {
        lapsed_ends_ = ends_;
    }
    while (now >= expiry && !active_.empty()) {
        end_run(active_.begin()->first, run_outcome::lapsed, expiry);
    }
}

bool fake_server::is_fenced(term_number token)
{
    if (token < fencing_token_) {
        return true;
    }
    fencing_token_ = token;
    return false;
}

void fake_server::extend_lease(std::int64_t lease_end_ms, mono_time now)
{
    const std::int64_t longest = clock_.read(now) + limits_.max_lease_ms;
    lease_end_ms_ = std::max(lease_end_ms_, std::min(lease_end_ms, longest));
}

void fake_server::refuse_up_to(const jobs::run_id& run)
{
    std::uint32_t& attempt = refused_up_to_[run.task];
    attempt = std::max(attempt, run.attempt);
}

void fake_server::end_run(const jobs::run_id& run, run_outcome outcome, mono_time at)
{
    const jobs::run_id ended_run_id = run;
    active_.erase(ended_run_id);
    refuse_up_to(ended_run_id);
    ended_.push_back({++ends_, ended_run_id, outcome, ""});
    events_.run_ended(*this, ended_.back(), at);
}

fleet::order_reply fake_server::execute(const fleet::start_order& order, mono_time now)
{
    settle(now);
    const std::int64_t clock = clock_.read(now);
    if (is_fenced(order.fencing_token)) {
        return {order_result::fenced, clock};
    }
    if (order.lease_end_ms <= clock) {
        return {order_result::too_late, clock};
    }
    extend_lease(order.lease_end_ms, now);
    if (active_.contains(order.run)) {
        return {order_result::accepted, clock};
    }
    const auto refused = refused_up_to_.find(order.run.task);
    if (refused != refused_up_to_.end() && order.run.attempt <= refused->second) {
        return {order_result::outdated, clock};
    }
    const run_plan plan = events_.plan_run(order.run);
    active_state& started = active_[order.run];
    started.started_at = now;
    started.outcome = plan.outcome;
    if (plan.duration) {
        started.ends_at = now + *plan.duration;
    }
    events_.run_started(*this, order.run);
    return {order_result::accepted, clock};
}

fleet::order_reply fake_server::execute(const fleet::stop_order& order, mono_time now)
{
    settle(now);
    const std::int64_t clock = clock_.read(now);
    if (is_fenced(order.fencing_token)) {
        return {order_result::fenced, clock};
    }
    refuse_up_to(order.run);
    if (const auto found = active_.find(order.run); found != active_.end()) {
        active_state& run = found->second;
        const mono_time stopped_at = now + events_.choose_stop_time();
        if (!run.ends_at || stopped_at < *run.ends_at) {
            run.ends_at = stopped_at;
            run.outcome = run_outcome::stopped;
        }
    }
    return {order_result::accepted, clock};
}

fleet::order_reply fake_server::execute(const fleet::throttle_order& order, mono_time now)
{
    settle(now);
    const bool fenced = is_fenced(order.fencing_token);
    return {fenced ? order_result::fenced : order_result::accepted, clock_.read(now)};
}

std::optional<error> fake_server::accept(const fleet::poll_order& order, mono_time now)
{
    settle(now);
    if (is_fenced(order.fencing_token)) {
        return error{error_kind::bad_request, "the server has seen a higher fencing token"};
    }
    if (order.lease_end_ms > 0) {
        extend_lease(order.lease_end_ms, now);
    }
    const auto first_kept = std::ranges::find_if(
        ended_, [&](const fleet::ended_run& e) { return e.sequence > order.acknowledged_end; });
    for (auto end = ended_.begin(); end != first_kept; ++end) {
        if (end->sequence > lapsed_ends_) {
            events_.end_acknowledged(*end);
        }
    }
    ended_.erase(ended_.begin(), first_kept);
    return std::nullopt;
}

fleet::poll_reply fake_server::lists(mono_time now) const
{
    constexpr milliseconds startup_time{300};
    constexpr int full_work = 100;
    fleet::poll_reply reply;
    reply.incarnation_id = incarnation_id_;
    reply.clock_ms = clock_.read(now);
    for (const auto& [run, state] : active_) {
        const int percent = now - state.started_at < startup_time ? 0 : full_work;
        reply.active.push_back({run, "", percent, 0});
    }
    reply.ended = ended_;
    return reply;
}

jobs::server_report fake_server::make_report(mono_time now, bool leaving)
{
    jobs::server_report report;
    report.id = id_;
    report.incarnation_id = incarnation_id_;
    report.sequence = ++reports_;
    report.address = address_;
    report.capacity = {64'000, 64'000, 0};
    report.leaving = leaving;
    report.clock_ms = clock_.read(now);
    return report;
}

} // namespace fescue::fakes
