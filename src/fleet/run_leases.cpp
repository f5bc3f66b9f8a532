#include "run_driver.h"

#include "run_timing.h"

#include "fescuestream/base/log.h"

#include <algorithm>

namespace fescue::fleet {

mono_time run_driver::inherited_lease_expiry(mono_time now) const
{
    const auto max_lease_ms = static_cast<std::int64_t>(
        static_cast<double>(effective_run_lease_ms(context_.settings.bounds)) / min_clock_rate);
    return now + milliseconds{max_lease_ms} + inherited_lease_margin;
}

milliseconds run_driver::max_run_lease() const
{
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double, std::milli>{
        static_cast<double>(context_.settings.bounds.max_lease_ms) / min_clock_rate});
}

std::int64_t run_driver::renew_lease(server_view& view, mono_time now)
{
    const auto server_ms = view.clock.lower_bound(now);
    if (!server_ms) {
        return 0;
    }
    const std::int64_t end = *server_ms + effective_run_lease_ms(context_.settings.bounds);
    view.lease_end_ms = std::max(view.lease_end_ms, end);
    view.lease_sent_at = now;
    return view.lease_end_ms;
}

void run_driver::collect_freeze_change(const server_id& id, const server_view& view,
                                       jobs::freeze_leases& changes) const
{
    const mono_time now = context_.now();
    const bool runs_pending = std::ranges::any_of(
        view.runs, [](const auto& entry) { return !entry.second.end_proposed; });
    if (!runs_pending) {
        return;
    }
    const bool needs_freeze =
        view.has_shut_down ? !view.end_recorded : view.unresponsive() && view.may_renew_lease();
    if (needs_freeze) {
        jobs::lease_bound bound{id,
                                view.report.incarnation_id,
                                view.remaining_lease(now).count(),
                                view.has_shut_down,
                                {}};
        for (const auto& [task, run] : view.runs) {
            const bool executed_elsewhere = run.started_by_later_incarnation && run.listed_in == 0;
            if (run.stage == run_stage::ordered || run.stage == run_stage::in_doubt ||
                run.start_may_arrive(now) || run.earlier_start_unanswered || executed_elsewhere) {
                bound.unanswered_starts.push_back({task, run.attempt});
            }
        }
        changes.frozen.push_back(std::move(bound));
    } else if (view.lease_frozen && !view.unfreeze_pending && view.reachable() && view.fenced) {
        changes.unfrozen.push_back(id);
    }
}

void run_driver::propose_freeze_changes(const jobs::freeze_leases& changes)
{
    if ((changes.frozen.empty() && changes.unfrozen.empty()) ||
        !context_.log.propose_here(changes)) {
        return;
    }
    for (const jobs::lease_bound& bound : changes.frozen) {
        server_view& view = servers_.at(bound.server);
        view.freeze_pending = true;
        view.end_recorded = bound.ended;
        const auto stray = std::chrono::ceil<milliseconds>(
            std::max(view.stray_leases_expire_at - context_.now(), mono_clock::duration{0}));
        log::info("leases_frozen", {{"server", bound.server.str()},
                                    {"life", bound.incarnation_id},
                                    {"runs", view.runs.size()},
                                    {"expire_in_ms", bound.remaining_ms},
                                    {"stray_ms", stray.count()},
                                    {"ended", bound.ended}});
    }
    for (const server_id& id : changes.unfrozen) {
        servers_.at(id).unfreeze_pending = true;
        log::info("leases_unfrozen", {{"server", id.str()}});
    }
}

void run_driver::on_freeze_leases(const jobs::freeze_leases& cmd)
{
    const auto& frozen = context_.state().frozen_leases;
    const mono_time now = context_.now();
    for (const jobs::lease_bound& bound : cmd.frozen) {
        if (frozen.contains(bound.server)) {
            frozen_lease_expiry_[bound.server] = now + milliseconds{bound.remaining_ms};
        }
        if (const auto view = servers_.find(bound.server); leading_ && view != servers_.end()) {
            view->second.freeze_pending = false;
            view->second.lease_frozen = frozen.contains(bound.server);
        }
    }
    for (const server_id& id : cmd.unfrozen) {
        if (const auto view = servers_.find(id); view != servers_.end()) {
            view->second.lease_frozen = false;
            view->second.unfreeze_pending = false;
            // Renews the lease at once: it has not been renewed since the server's last answer.
            view->second.next_poll = std::min(view->second.next_poll, now);
        }
    }
    std::erase_if(frozen_lease_expiry_,
                  [&](const auto& entry) { return !frozen.contains(entry.first); });
}

void run_driver::adopt_frozen_leases()
{
    for (const auto& [id, bound] : context_.state().frozen_leases) {
        server_view& view = servers_[id];
        view.lease_frozen = true;
        const auto expiry = frozen_lease_expiry_.find(id);
        if (expiry == frozen_lease_expiry_.end() ||
            view.report.incarnation_id > bound.incarnation_id) {
            continue;
        }
        for (const jobs::run_id& start : bound.unanswered_starts) {
            if (run_view* run = find_run(id, start); run != nullptr) {
                run->earlier_start_unanswered = true;
            }
        }
        if (bound.ended) {
            view.report.incarnation_id = bound.incarnation_id;
            view.has_shut_down = true;
            view.end_recorded = true;
            view.shut_down_by = expiry->second;
        } else {
            view.inherited_lease_expires_at =
                std::min(view.inherited_lease_expires_at, expiry->second);
        }
    }
}

void run_driver::on_state_restored()
{
    frozen_lease_expiry_.clear();
    for (const auto& [id, bound] : context_.state().frozen_leases) {
        frozen_lease_expiry_[id] = context_.now() + milliseconds{bound.remaining_ms};
    }
}

} // namespace fescue::fleet
