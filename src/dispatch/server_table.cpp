#include "fescuestream/dispatch/server_table.h"

#include <algorithm>

namespace fescue::dispatch {

namespace {

/** A server silent for this long is dropped once nothing runs on it. */
constexpr milliseconds forget_after{60'000};
/** An announcement may have left the server before a task reached it. */
constexpr milliseconds announcement_delay{1000};

bool names(const wire::announcement& info, const request_id& id)
{
    return std::ranges::find(info.running, id) != info.running.end();
}

} // namespace

std::vector<ended_task> server_table::announce(const wire::announcement& info, mono_time now)
{
    homed_server& s = servers_[info.id];
    const bool restarted = s.info.life != 0 && s.info.life != info.life;
    if (s.info.life > info.life) {
        return {};
    }
    s.info = info;
    s.heard = now;
    if (restarted) {
        s.failures = 0;
    }
    std::vector<ended_task> over;
    for (auto& [id, task] : s.tasks) {
        if (!task.lost || now - task.lost_at < announcement_delay) {
            continue;
        }
        task.not_named = names(info, id) ? 0 : task.not_named + 1;
        if (restarted || task.not_named >= silent_announcements) {
            over.push_back({id, task.team, task.pool});
        }
    }
    for (const ended_task& gone : over) {
        s.tasks.erase(gone.id);
    }
    std::erase_if(s.lately_ended,
                  [now](const auto& e) { return now - e.second > announcement_delay; });
    s.foreign.clear();
    for (const request_id& id : info.running) {
        if (!s.tasks.contains(id) && !s.lately_ended.contains(id)) {
            s.foreign.insert(id);
        }
    }
    return over;
}

std::vector<ended_task> server_table::expire(mono_time now)
{
    std::vector<ended_task> over;
    for (auto& [server, s] : servers_) {
        for (const auto& [id, task] : s.tasks) {
            if (task.lost && now >= task.over_at) {
                over.push_back({id, task.team, task.pool});
            }
        }
        std::erase_if(s.tasks,
                      [now](const auto& t) { return t.second.lost && now >= t.second.over_at; });
    }
    std::erase_if(servers_, [now](const auto& s) {
        return s.second.tasks.empty() && now - s.second.heard > forget_after;
    });
    return over;
}

void server_table::keep_only(const std::function<bool(const server_id&)>& mine)
{
    std::erase_if(servers_,
                  [&](const auto& s) { return s.second.tasks.empty() && !mine(s.first); });
}

void server_table::started(const server_id& server, const request_id& id, running_task task)
{
    homed_server& s = servers_[server];
    pools_[server] = task.pool;
    if (s.on_probation()) {
        // One trial at a time, and the next only after a pause.
        s.probation_until = mono_time::max();
    }
    s.foreign.erase(id);
    s.tasks.emplace(id, std::move(task));
}

std::optional<ended_task> server_table::ended(const server_id& server, const request_id& id,
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
    s->second.lately_ended.emplace(id, now);
    return out;
}

void server_table::lost(const server_id& server, const request_id& id, mono_time now)
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

void server_table::note(const server_id& server, attempt_outcome outcome, mono_time now)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    homed_server& s = found->second;
    if (outcome == attempt_outcome::answered) {
        s.failures = 0;
        return;
    }
    const bool was_on_probation = s.on_probation();
    const bool next_is_probation = s.failures + 1 >= failures_to_probation;
    if (!was_on_probation && next_is_probation && too_many_on_probation(pools_[server])) {
        return;
    }
    ++s.failures;
    s.probation_until = now + probation_pause;
}

bool server_table::too_many_on_probation(const pool_id& pool) const
{
    std::uint32_t members = 0;
    std::uint32_t on_probation = 0;
    for (const auto& [id, s] : servers_) {
        const auto known = pools_.find(id);
        if (known != pools_.end() && known->second == pool) {
            ++members;
            on_probation += s.on_probation() ? 1 : 0;
        }
    }
    return (on_probation + 1) * probation_part > members;
}

bool server_table::alive(const server_id& server, mono_time now) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && now - found->second.heard < server_lease;
}

void retry_budget::earn() noexcept
{
    saved_ = std::min(most_saved, saved_ + part);
}

bool retry_budget::spend() noexcept
{
    if (saved_ < 1) {
        return false;
    }
    saved_ -= 1;
    return true;
}

} // namespace fescue::dispatch
