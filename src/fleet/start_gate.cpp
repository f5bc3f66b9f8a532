#include "start_gate.h"

#include "run_timing.h"

#include <algorithm>

namespace fescue::fleet {

namespace {

/** A server whose last report is older than this (three report periods) gets no new runs. */
constexpr milliseconds report_timeout{4500};

bool is_of_step(const jobs::task_id& a, const jobs::task_id& b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

/** @return the number of other tasks of the step on the server. */
std::uint32_t count_others_of_step(const server_view& server, const jobs::task_id& task)
{
    std::uint32_t count = 0;
    const jobs::task_id first{task.job, task.occurrence, task.step, 0};
    for (auto at = server.runs.lower_bound(first);
         at != server.runs.end() && is_of_step(at->first, task); ++at) {
        count += at->first == task ? 0 : 1;
    }
    return count;
}

/** @return the server's capacity without what other runs take. */
jobs::resources free_for(const server_view& server, const jobs::task_id& task)
{
    const auto own = server.runs.find(task);
    const jobs::resources counted =
        own == server.runs.end() ? jobs::resources{} : own->second.allocated;
    return server.free() + counted;
}

start_obstacle find_task_obstacle(const start_check& c, const jobs::job& job,
                                  const jobs::step_spec& spec)
{
    if (!c.has_leader_lease) {
        return start_obstacle::no_leader_lease;
    }
    if (has_ended(job.phase)) {
        return start_obstacle::job_over;
    }
    const auto occurrence = job.occurrences.find(c.task.occurrence);
    if (occurrence == job.occurrences.end() || !job.may_start(occurrence->second, c.task.step)) {
        return start_obstacle::step_blocked;
    }
    if (c.state.has_used_attempts(job, spec, *c.state.find(c.task))) {
        return start_obstacle::attempts_used;
    }
    if (c.copies >= max_starts) {
        return start_obstacle::copies_used;
    }
    const bool within_cap =
        is_within_cap(c.state, job.account, usage_of_others(c.state, c.task) + spec.need);
    return within_cap ? start_obstacle::none : start_obstacle::over_cap;
}

} // namespace

std::string_view name_of(start_obstacle o) noexcept
{
    switch (o) {
    case start_obstacle::none:
        return "";
    case start_obstacle::no_leader_lease:
        return "no_leader_lease";
    case start_obstacle::job_over:
        return "job_over";
    case start_obstacle::step_blocked:
        return "step_blocked";
    case start_obstacle::attempts_used:
        return "attempts_used";
    case start_obstacle::copies_used:
        return "copies_used";
    case start_obstacle::over_cap:
        return "over_cap";
    case start_obstacle::server_changed:
        return "server_changed";
    case start_obstacle::leaving:
        return "leaving";
    case start_obstacle::no_answer:
        return "no_answer";
    case start_obstacle::cordoned:
        return "cordoned";
    case start_obstacle::draining:
        return "draining";
    case start_obstacle::leases_frozen:
        return "leases_frozen";
    case start_obstacle::unknown_runs:
        return "unknown_runs";
    case start_obstacle::out_of_service:
        return "out_of_service";
    case start_obstacle::capacity_unconfirmed:
        return "capacity_unconfirmed";
    case start_obstacle::wrong_pool:
        return "wrong_pool";
    case start_obstacle::label_missing:
        return "label_missing";
    case start_obstacle::runs_the_step:
        return "runs_the_step";
    case start_obstacle::no_capacity:
        return "no_capacity";
    case start_obstacle::no_report:
        return "no_report";
    case start_obstacle::refused_a_start:
        return "refused_a_start";
    case start_obstacle::capacity_outdated:
        return "capacity_outdated";
    case start_obstacle::not_polled:
        return "not_polled";
    }
    return "unknown";
}

const jobs::resources* find_cap(const jobs::state& state, const team_id& account)
{
    const auto known = state.doc.accounts.find(account);
    const bool has_cap =
        known != state.doc.accounts.end() && known->second.cap != jobs::resources{};
    return has_cap ? &known->second.cap : nullptr;
}

bool is_within_cap(const jobs::state& state, const team_id& account, const jobs::resources& in_use)
{
    const jobs::resources* cap = find_cap(state, account);
    const auto is_within = [](std::int64_t amount, std::int64_t limit) {
        return limit == 0 || amount <= limit;
    };
    return cap == nullptr || (is_within(in_use.cpu_milli, cap->cpu_milli) &&
                              is_within(in_use.memory_mb, cap->memory_mb) &&
                              is_within(in_use.accelerators, cap->accelerators));
}

jobs::resources usage_of_others(const jobs::state& state, const jobs::task_id& task)
{
    const auto in_use = state.in_use.find(state.jobs.at(task.job).account);
    jobs::resources others = in_use == state.in_use.end() ? jobs::resources{} : in_use->second;
    if (state.find(task)->phase == jobs::task_phase::running) {
        others -= state.find_step_spec(task)->need;
    }
    return others;
}

start_obstacle find_server_obstacle(const server_view& server, const jobs::state& state,
                                    const settings::job_bounds& bounds, mono_time now)
{
    if (server.has_shut_down || server.report.leaving) {
        return start_obstacle::leaving;
    }
    if (server.misses > 0 || server.report.address.empty()) {
        return start_obstacle::no_answer;
    }
    if (server.cordoned) {
        return start_obstacle::cordoned;
    }
    if (!server.may_renew_lease()) {
        return start_obstacle::leases_frozen;
    }
    if (server.unknown_runs > 0) {
        return start_obstacle::unknown_runs;
    }
    if (state.out_of_service.contains(server.report.data_centre)) {
        return start_obstacle::out_of_service;
    }
    const bool capacity_is_known = state.doc.enforces_capacity(server.report.pool) ||
                                   server.capacity_is_recent(now, max_capacity_age(bounds));
    return capacity_is_known ? start_obstacle::none : start_obstacle::capacity_unconfirmed;
}

start_obstacle find_placement_obstacle(const server_view& server, mono_time now)
{
    if (now - server.last_report_at >= report_timeout) {
        return start_obstacle::no_report;
    }
    if (now < server.refused_until) {
        return start_obstacle::refused_a_start;
    }
    if (server.capacity_outdated) {
        return start_obstacle::capacity_outdated;
    }
    const bool polled = server.clock.lower_bound(now) && (server.fenced || server.runs.empty());
    return polled ? start_obstacle::none : start_obstacle::not_polled;
}

start_obstacle find_step_obstacle(const server_view& server, const jobs::task_id& task,
                                  const jobs::step_spec& spec)
{
    const auto& labels = server.report.labels;
    if (!spec.label.empty() && std::ranges::find(labels, spec.label) == labels.end()) {
        return start_obstacle::label_missing;
    }
    if (spec.max_per_server > 0 && count_others_of_step(server, task) >= spec.max_per_server) {
        return start_obstacle::runs_the_step;
    }
    return spec.required_capacity().fits(free_for(server, task)) ? start_obstacle::none
                                                                 : start_obstacle::no_capacity;
}

bool clears_with_next_poll(start_obstacle o) noexcept
{
    return o == start_obstacle::no_leader_lease || o == start_obstacle::leases_frozen ||
           o == start_obstacle::unknown_runs;
}

start_obstacle find_obstacle(const start_check& c)
{
    const jobs::job& job = c.state.jobs.at(c.task.job);
    const jobs::step_spec& spec = *c.state.find_step_spec(c.task);
    if (const auto o = find_task_obstacle(c, job, spec); o != start_obstacle::none) {
        return o;
    }
    if (c.server.report.incarnation_id != c.state.find(c.task)->incarnation_id) {
        return start_obstacle::server_changed;
    }
    const auto of_server = find_server_obstacle(c.server, c.state, c.bounds, c.now);
    if (of_server != start_obstacle::none) {
        return of_server;
    }
    if (c.server.draining && !(spec.long_running && c.may_use_draining)) {
        return start_obstacle::draining;
    }
    if (c.state.current_terms(job).pool != c.server.report.pool) {
        return start_obstacle::wrong_pool;
    }
    return find_step_obstacle(c.server, c.task, spec);
}

} // namespace fescue::fleet
