#include "fescuestream/scheduler/placement.h"

#include "fescuestream/scheduler/reservations.h"
#include "fescuestream/scheduler/suspect_isolation.h"

#include <algorithm>
#include <tuple>

namespace fescue::scheduler {

namespace {

std::uint32_t step_tasks_on(const placement_hints& hints, const server_id& id)
{
    if (hints.step_on_server == nullptr) {
        return 0;
    }
    for (const auto& [server, tasks] : *hints.step_on_server) {
        if (server == id) {
            return tasks;
        }
    }
    return 0;
}

bool is_remote(const server_candidate& c, const jobs::step_spec& step, const placement_hints& hints)
{
    const bool remote_from_data =
        !step.preferred_rack.empty() && c.server->rack.str() != step.preferred_rack;
    const bool remote_from_step =
        step.same_rack && !hints.step_rack.empty() && c.server->rack != hints.step_rack;
    return remote_from_data || remote_from_step;
}

/** @return whether all suspects on the server are tasks of the same job. */
bool holds_suspects_of_job(const server_candidate& c, const placement_hints& hints)
{
    return hints.job && c.suspect_jobs.size() == 1 && c.suspect_jobs.front() == *hints.job;
}

bool group_has_room(const server_candidate& c, const placement_hints& hints)
{
    const std::size_t smallest =
        hints.suspected == suspicion::one_crash ? suspects_per_server : std::size_t{1};
    const std::size_t limit = std::max(smallest, hints.max_suspect_jobs);
    const bool in_group =
        hints.job && std::ranges::find(c.suspect_jobs, *hints.job) != c.suspect_jobs.end();
    return c.suspects == c.runs &&
           (in_group || (c.suspect_jobs.empty() ? c.runs : c.suspect_jobs.size()) < limit);
}

bool accepts_suspicion(const server_candidate& c, const placement_hints& hints)
{
    if (hints.suspected == suspicion::none) {
        return !c.reserved || hints.may_share_server;
    }
    const bool of_same_job = holds_suspects_of_job(c, hints);
    if (of_same_job && c.suspects == c.runs) {
        return true;
    }
    if (hints.may_share_server && !c.isolates_suspect &&
        (hints.suspected == suspicion::one_crash || c.suspects == 0)) {
        return true;
    }
    if (hints.may_share_server && of_same_job) {
        return true;
    }
    return c.reserved && !c.isolates_suspect && (c.runs == 0 || group_has_room(c, hints));
}

/** Sort key of a placement; lower is better. */
auto placement_cost(const server_candidate& c, const jobs::step_spec& step,
                    const placement_hints& hints)
{
    const bool disturbs_serving = step.best_effort && c.latency_limited;
    const bool disturbed_by_batch =
        step.latency_limit_ms > 0 && !c.latency_limited && c.long_running_tasks > 0;
    const auto colocated = static_cast<std::int64_t>(c.long_running_tasks);
    const std::int64_t packing_rank =
        step.long_running ? -colocated : -std::min<std::int64_t>(colocated, 1);
    const std::int64_t cpu_left = c.free.cpu_milli - step.need.cpu_milli;
    return std::tuple{
        c.draining,
        hints.suspected == suspicion::none || holds_suspects_of_job(c, hints) ? 0 : c.runs,
        is_remote(c, step, hints),
        c.server->id == hints.avoid,
        c.consecutive_failures,
        disturbs_serving,
        disturbed_by_batch,
        step.long_running && c.maintenance_due,
        static_cast<std::int64_t>(step_tasks_on(hints, c.server->id)) * (step.long_running ? 1 : 0),
        packing_rank,
        cpu_left};
}

} // namespace

bool is_eligible(const server_candidate& c, const jobs::step_spec& step,
                 const placement_hints& hints)
{
    const bool label_matches =
        step.label.empty() ||
        std::ranges::find(c.server->labels, step.label) != c.server->labels.end();
    const bool step_limit_reached =
        step.max_per_server > 0 && step_tasks_on(hints, c.server->id) >= step.max_per_server;
    const bool trial_in_progress = c.is_on_trial && c.has_trial_task;
    const bool accepts_step = !c.draining || (step.long_running && hints.may_use_draining);
    return accepts_suspicion(c, hints) && label_matches && !step_limit_reached &&
           !trial_in_progress && accepts_step;
}

std::optional<std::size_t> choose(std::span<const server_candidate> servers,
                                  const jobs::step_spec& step, const placement_hints& hints)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const server_candidate& c = servers[i];
        const jobs::resources need = step.required_capacity();
        if (!need.fits(c.free) || !is_eligible(c, step, hints)) {
            continue;
        }
        if (hints.reserved != nullptr &&
            !hints.reserved->allows(i, need, hints.run_time, hints.now)) {
            continue;
        }
        if (!best || placement_cost(c, step, hints) < placement_cost(servers[*best], step, hints)) {
            best = i;
        }
    }
    return best;
}

} // namespace fescue::scheduler
