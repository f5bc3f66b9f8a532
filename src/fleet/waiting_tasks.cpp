#include "waiting_tasks.h"

#include "start_gate.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescue::fleet {

namespace {

constexpr milliseconds min_logged_wait{1500};

std::string_view describe_obstacle(const server_availability& s, const jobs::task_id& task,
                                   const jobs::step_spec& spec)
{
    if (!s.exclusion.empty()) {
        return s.exclusion;
    }
    const start_obstacle obstacle = find_step_obstacle(*s.server, task, spec);
    return obstacle == start_obstacle::none ? "available" : name_of(obstacle);
}

} // namespace

void waiting_tasks::record_waiting(const jobs::task_id& task, mono_time now)
{
    waiting_since_.try_emplace(task, now);
}

void waiting_tasks::record_step(const jobs::task_id& first, std::span<const jobs::task> tasks,
                                mono_time now)
{
    std::size_t recorded = 0;
    jobs::task_id task = first;
    for (; task.index < tasks.size() && recorded < max_recorded_tasks_per_step; ++task.index) {
        if (tasks[task.index].phase == jobs::task_phase::waiting) {
            record_waiting(task, now);
            ++recorded;
        }
    }
}

milliseconds waiting_tasks::waiting_time(const jobs::task_id& task, mono_time now) const
{
    const auto found = waiting_since_.find(task);
    return found == waiting_since_.end()
               ? milliseconds{0}
               : std::chrono::duration_cast<milliseconds>(now - found->second);
}

void waiting_tasks::remove_obsolete(const jobs::state& state)
{
    std::erase_if(waiting_since_, [&](const auto& entry) {
        const jobs::task* t = state.find(entry.first);
        return t == nullptr || t->phase != jobs::task_phase::waiting ||
               has_ended(state.jobs.at(entry.first.job).phase);
    });
}

void waiting_tasks::log_longest(const jobs::state& state,
                                const std::map<pool_id, std::vector<server_availability>>& servers,
                                mono_time now) const
{
    const auto longest = std::ranges::min_element(
        waiting_since_, [](const auto& a, const auto& b) { return a.second < b.second; });
    if (longest == waiting_since_.end() || now - longest->second < min_logged_wait) {
        return;
    }
    const jobs::task_id& task = longest->first;
    const jobs::step_spec& spec = *state.find_step_spec(task);
    const pool_id& pool = state.current_terms(state.jobs.at(task.job)).pool;
    std::map<std::string_view, std::size_t> counts;
    if (const auto in_pool = servers.find(pool); in_pool != servers.end()) {
        for (const server_availability& s : in_pool->second) {
            ++counts[describe_obstacle(s, task, spec)];
        }
    }
    std::string obstacles;
    for (const auto& [obstacle, count] : counts) {
        obstacles += fmt::format("{}{}:{}", obstacles.empty() ? "" : ",", obstacle, count);
    }
    log::info("long_running_task_waits", {{"task", task.text()},
                                          {"pool", pool.str()},
                                          {"waited_ms", waiting_time(task, now).count()},
                                          {"servers", obstacles.empty() ? "none" : obstacles}});
}

} // namespace fescue::fleet
