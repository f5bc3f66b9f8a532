#include "fescuestream/dispatch/server_table.h"

#include <algorithm>

namespace fescue::dispatch {

namespace {

/** A server without announcements for this long is removed once it has no tasks. */
constexpr milliseconds silent_server_retention{60'000};
/** Maximum delay of an announcement, which may have been sent before a task reached the server. */
constexpr milliseconds max_announcement_delay{1000};

bool lists_task(const wire::announcement& info, const request_id& id)
{
    return std::ranges::find(info.running, id) != info.running.end();
}

} // namespace

std::vector<ended_task> server_table::record_announcement(const wire::announcement& info,
                                                          mono_time now)
{
    server_entry& s = servers_[info.id];
    const bool restarted =
        s.info.incarnation_id != 0 && s.info.incarnation_id != info.incarnation_id;
    if (s.info.incarnation_id > info.incarnation_id) {
        return {};
    }
    s.info = info;
    s.last_announced_at = now;
    if (restarted) {
        s.failures = 0;
    }
    std::vector<ended_task> ended_tasks;
    for (auto& [id, task] : s.tasks) {
        if (!task.lost || now - task.lost_at < max_announcement_delay) {
            continue;
        }
        task.missed_announcements = lists_task(info, id) ? 0 : task.missed_announcements + 1;
        if (restarted || task.missed_announcements >= missed_announcements_limit) {
            ended_tasks.push_back({id, task.team, task.pool});
        }
    }
    for (const ended_task& task : ended_tasks) {
        s.tasks.erase(task.id);
    }
    std::erase_if(s.recently_ended,
                  [now](const auto& e) { return now - e.second > max_announcement_delay; });
    s.foreign_tasks.clear();
    for (const request_id& id : info.running) {
        if (!s.tasks.contains(id) && !s.recently_ended.contains(id)) {
            s.foreign_tasks.insert(id);
        }
    }
    return ended_tasks;
}

std::vector<ended_task> server_table::expire(mono_time now)
{
    std::vector<ended_task> ended_tasks;
    for (auto& [server, s] : servers_) {
        for (const auto& [id, task] : s.tasks) {
            if (task.lost && now >= task.ends_by) {
                ended_tasks.push_back({id, task.team, task.pool});
            }
        }
        std::erase_if(s.tasks,
                      [now](const auto& t) { return t.second.lost && now >= t.second.ends_by; });
    }
    std::erase_if(servers_, [now](const auto& s) {
        return s.second.tasks.empty() && now - s.second.last_announced_at > silent_server_retention;
    });
    return ended_tasks;
}

void server_table::remove_unowned(const std::function<bool(const server_id&)>& is_owned)
{
    std::erase_if(servers_,
                  [&](const auto& s) { return s.second.tasks.empty() && !is_owned(s.first); });
}

void server_table::add_task(const server_id& server, const request_id& id, running_task task)
{
    server_entry& s = servers_[server];
    pool_by_server_[server] = task.pool;
    if (s.on_probation()) {
        // No further trial until this one's outcome is known; note() then sets the delay.
        s.probation_until = mono_time::max();
    }
    s.foreign_tasks.erase(id);
    s.tasks.emplace(id, std::move(task));
}

std::optional<ended_task> server_table::remove_task(const server_id& server, const request_id& id,
                                                    mono_time now)
{
    const auto s = servers_.find(server);
    if (s == servers_.end()) {
        return std::nullopt;
    }
    const auto task = s->second.tasks.find(id);
    if (task == s->second.tasks.end()) {
        return std::nullopt;
    }
    ended_task out{id, task->second.team, task->second.pool};
    s->second.tasks.erase(task);
    s->second.recently_ended.emplace(id, now);
    return out;
}

void server_table::mark_lost(const server_id& server, const request_id& id, mono_time now)
{
    const auto s = servers_.find(server);
    if (s == servers_.end()) {
        return;
    }
    const auto task = s->second.tasks.find(id);
    if (task != s->second.tasks.end()) {
        task->second.lost = true;
        task->second.lost_at = now;
    }
}

void server_table::record_outcome(const server_id& server, attempt_outcome outcome, mono_time now)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    server_entry& s = found->second;
    if (outcome == attempt_outcome::answered) {
        s.failures = 0;
        return;
    }
    const bool was_on_probation = s.on_probation();
    const bool threshold_reached = s.failures + 1 >= probation_failure_threshold;
    if (!was_on_probation && threshold_reached &&
        probation_limit_reached(pool_by_server_[server])) {
        return;
    }
    ++s.failures;
    s.probation_until = now + probation_retry_delay;
}

bool server_table::probation_limit_reached(const pool_id& pool) const
{
    std::uint32_t members = 0;
    std::uint32_t on_probation = 0;
    for (const auto& [id, s] : servers_) {
        const auto server_pool = pool_by_server_.find(id);
        if (server_pool != pool_by_server_.end() && server_pool->second == pool) {
            ++members;
            on_probation += s.on_probation() ? 1 : 0;
        }
    }
    return (on_probation + 1) * min_servers_per_probation > members;
}

bool server_table::alive(const server_id& server, mono_time now) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && now - found->second.last_announced_at < server_lease;
}

void retry_budget::add_credit() noexcept
{
    credit_ = std::min(max_credit, credit_ + credit_per_attempt);
}

bool retry_budget::try_spend() noexcept
{
    if (credit_ < 1) {
        return false;
    }
    credit_ -= 1;
    return true;
}

} // namespace fescue::dispatch
