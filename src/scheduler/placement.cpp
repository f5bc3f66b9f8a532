#include "fescuestream/scheduler/placement.h"

#include <algorithm>
#include <tuple>

namespace fescue::scheduler {

namespace {

std::uint32_t tasks_on(const placement_hints& hints, const server_id& id)
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

bool is_far(const candidate& c, const jobs::step_spec& step, const placement_hints& hints)
{
    const bool far_from_data = !step.data_rack.empty() && c.server->rack.str() != step.data_rack;
    const bool far_from_others =
        step.same_rack && !hints.step_rack.empty() && c.server->rack != hints.step_rack;
    return far_from_data || far_from_others;
}

/** Lower is better. */
auto cost_of(const candidate& c, const jobs::step_spec& step, const placement_hints& hints)
{
    const bool disturbs = step.filler && c.serves;
    const bool disturbed = step.tail_limit_ms > 0 && !c.serves && c.lasting_tasks > 0;
    const auto company = static_cast<std::int64_t>(c.lasting_tasks);
    const std::int64_t company_rank = step.lasting ? -company : -std::min<std::int64_t>(company, 1);
    const std::int64_t room_left = c.free.cpu_milli - step.need.cpu_milli;
    return std::tuple{is_far(c, step, hints),
                      c.server->id == hints.avoid,
                      c.demerits,
                      disturbs,
                      disturbed,
                      step.lasting && c.maintenance_due,
                      static_cast<std::int64_t>(tasks_on(hints, c.server->id)) *
                          (step.lasting ? 1 : 0),
                      company_rank,
                      room_left};
}

} // namespace

bool may_run(const candidate& c, const jobs::step_spec& step, const placement_hints& hints)
{
    const bool labelled = step.label.empty() ||
                          std::ranges::find(c.server->labels, step.label) != c.server->labels.end();
    const bool crowded =
        step.most_per_server > 0 && tasks_on(hints, c.server->id) >= step.most_per_server;
    const bool trial_taken = c.on_trial && c.free != c.server->capacity;
    return labelled && !crowded && !trial_taken;
}

std::optional<std::size_t> choose(std::span<const candidate> servers, const jobs::step_spec& step,
                                  const placement_hints& hints)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const candidate& c = servers[i];
        if (!step.room_needed().fits(c.free) || !may_run(c, step, hints)) {
            continue;
        }
        if (!best || cost_of(c, step, hints) < cost_of(servers[*best], step, hints)) {
            best = i;
        }
    }
    return best;
}

} // namespace fescue::scheduler
