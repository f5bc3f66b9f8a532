#include "run_driver.h"

#include "run_timing.h"
#include "scope_timer.h"
#include "validation.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescue::fleet {

using jobs::run_outcome;
using jobs::task_id;

run_driver::run_driver(core_context& shared, std::function<void()> capacity_changed,
                       std::size_t min_busy_servers_for_relays)
    : context_{shared}, capacity_changed_{std::move(capacity_changed)},
      min_busy_servers_for_relays_{min_busy_servers_for_relays}
{
}

void run_driver::on_leadership_gained()
{
    leading_ = true;
    term_ = context_.fencing_token();
    pending_ends_ = {};
    unresolved_losses_.clear();
    const mono_time now = context_.now();
    leading_since_ = now;
    earlier_leaders_leases_expire_at_ = inherited_lease_expiry(now);
    tokens_.begin_term(term_);
    const term_number token = tokens_.issue();
    for (auto& [id, view] : servers_) {
        view.fence = server_fence{token};
        view.fenced = false;
        view.lease_end_ms = 0;
        view.inherited_lease_expires_at = earlier_leaders_leases_expire_at_;
        view.lease_frozen = false;
        view.freeze_pending = false;
        view.unfreeze_pending = false;
        view.end_recorded = false;
        view.acknowledged_end = 0;
        view.confirmed_acknowledgement = 0;
        view.last_collected_end = 0;
        view.poll_in_flight = false;
        view.misses = 0;
        view.cordoned = false;
        view.draining = false;
        view.next_poll = now;
        // Followers only receive reports that changed, so their last report time is out of date.
        view.last_report_at = now;
        view.clear_runs();
        view.fence_pending = now - view.restarted_at < max_order_delay;
    }
    run_locations_.clear();
    adopt_inherited_runs();
    adopt_frozen_leases();
    tick();
}

void run_driver::adopt_inherited_runs()
{
    const mono_time now = context_.now();
    for (const auto& [id, tasks] : context_.state().runs) {
        server_view& view = servers_[id];
        if (view.report.id.empty()) {
            view.report.id = id;
            view.fence = server_fence{tokens_.issue()};
            view.last_report_at = now;
            view.inherited_lease_expires_at = earlier_leaders_leases_expire_at_;
        }
        for (const task_id& task : tasks) {
            run_view run;
            run.attempt = context_.state().find(task)->attempt;
            run.stage = run_stage::inherited;
            run.ordered_at = now;
            add_run(view, task, run);
            if (has_ended(context_.state().jobs.at(task.job).phase)) {
                stop(task, "job_is_over");
            }
        }
    }
}

void run_driver::on_leadership_lost()
{
    leading_ = false;
    run_locations_.clear();
    for (auto& [id, view] : servers_) {
        view.clear_runs();
    }
}

namespace {

/** @return the approximate memory of a server's view and its report in bytes. */
std::size_t estimate_bytes(const jobs::server_report& report)
{
    std::size_t bytes = sizeof(server_view) + report.id.str().size() + report.address.size() +
                        report.pool.str().size() + report.data_centre.str().size() +
                        report.rack.str().size();
    for (const std::string& label : report.labels) {
        bytes += sizeof(std::string) + label.size();
    }
    return bytes;
}

} // namespace

bool run_driver::has_room_for(const jobs::server_report& report) const
{
    const auto known = servers_.find(report.id);
    const std::size_t counted = known == servers_.end() ? 0 : known->second.counted_bytes;
    const std::size_t needed = estimate_bytes(report);
    return needed <= counted ||
           counted_bytes_ - counted + needed <= context_.settings.max_report_bytes;
}

bool run_driver::may_store(const std::string& checkpoint) const
{
    const bool fits =
        checkpoint.size() <= max_checkpoint_bytes &&
        (checkpoint.empty() ||
         context_.stored_jobs.has_room_for(checkpoint.size(), context_.state(), context_.now()));
    if (!fits) {
        context_.counters.count("checkpoints_ignored");
    }
    return fits;
}

void run_driver::erase_server(std::map<server_id, server_view>::iterator server)
{
    counted_bytes_ -= server->second.counted_bytes;
    servers_.erase(server);
}

bool run_driver::on_report(const jobs::server_report& report, milliseconds age)
{
    if (!has_room_for(report)) {
        context_.counters.count("reports_refused");
        return false;
    }
    const mono_time reported_at = context_.now() - age;
    auto [entry, is_new] = servers_.try_emplace(report.id);
    server_view& view = entry->second;
    if (is_new) {
        view.first_seen_at = context_.now();
    }
    if (leading_ && view.fence.token() == 0) {
        view.fence = server_fence{tokens_.issue()};
    }
    const jobs::server_report& known = view.report;
    const bool stale =
        !is_new &&
        (report.incarnation_id < known.incarnation_id ||
         (report.incarnation_id == known.incarnation_id && report.sequence <= known.sequence));
    if (stale) {
        return false;
    }
    const bool changed = is_new || known.incarnation_id != report.incarnation_id ||
                         known.address != report.address || known.pool != report.pool ||
                         known.labels != report.labels || known.capacity != report.capacity ||
                         known.leaving != report.leaving;
    const bool restarted =
        !is_new && known.incarnation_id != report.incarnation_id && known.incarnation_id != 0;
    if (restarted) {
        reset_after_restart(view);
    }
    view.report = report;
    counted_bytes_ += estimate_bytes(report) - view.counted_bytes;
    view.counted_bytes = estimate_bytes(report);
    view.capacity_outdated = false;
    view.last_report_at = std::max(view.last_report_at, reported_at);
    view.reported_at = std::max(view.reported_at, reported_at);
    view.clock.record_reading(report.clock_ms, reported_at);
    if (changed) {
        log::info("server_seen", {{"server", report.id.str()},
                                  {"life", report.incarnation_id},
                                  {"pool", report.pool.str()},
                                  {"data_centre", report.data_centre.str()},
                                  {"rack", report.rack.str()},
                                  {"cpu_milli", report.capacity.cpu_milli},
                                  {"memory_mb", report.capacity.memory_mb},
                                  {"leaving", report.leaving},
                                  {"restarted", restarted}});
        view.next_poll = std::min(view.next_poll, context_.now());
        if (leading_) {
            capacity_changed_();
        }
    }
    return changed;
}

void run_driver::reset_after_restart(server_view& view)
{
    const mono_time now = context_.now();
    // An order that was meant for the earlier incarnation may reach this one, on whose clock its
    // deadline may be far off.
    view.stray_leases_expire_at =
        std::max(view.lease_sent_at, leading_since_) + max_order_delay + max_run_lease();
    view.clock.reset();
    view.lease_end_ms = 0;
    view.inherited_lease_expires_at = mono_time{};
    view.acknowledged_end = 0;
    view.confirmed_acknowledgement = 0;
    view.last_collected_end = 0;
    view.fence = server_fence{tokens_.issue()};
    view.fence_pending = true;
    view.fenced = false;
    view.unknown_runs = 0;
    // A poll of the earlier incarnation may stay without an answer until it times out.
    view.poll_in_flight = false;
    view.misses = 0;
    view.has_shut_down = false;
    view.end_confirmed = false;
    view.end_recorded = false;
    view.cordoned = false;
    view.draining = false;
    view.refused_until = mono_time{};
    view.restarted_at = now;
    for (auto& [task, run] : view.runs) {
        if (run.stage == run_stage::ordered) {
            run.record_unanswered_start(run.start_token, now + max_order_delay);
        }
        if (run.start_may_arrive(now)) {
            // The restarted server may execute a copy of the start until it has confirmed the
            // higher fencing token. The lists of that poll show whether it has.
            run.stage = run_stage::in_doubt;
            run.in_doubt_since = now;
            run.stop_acknowledged = false;
            run.visible_from.reset();
        } else if (run.stage == run_stage::confirmed && run.listed_in == 0) {
            // Either incarnation may have confirmed the start.
            run.visible_from = now;
        } else if (run.stage != run_stage::inherited) {
            propose_end({task, run.attempt}, outcome_of_lost_run(view, run, true), "",
                        "server_restarted");
        }
    }
}

bool run_driver::is_shutdown_due(const server_view& view) const
{
    const milliseconds remaining{view.report.remaining_ms};
    return view.report.leaving &&
           context_.now() + shutdown_notice_tolerance >= view.reported_at + remaining;
}

void run_driver::on_shutdown_notice(const server_id& id)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    const bool due = is_shutdown_due(found->second);
    log::info("server_left", {{"server", id.str()},
                              {"life", found->second.report.incarnation_id},
                              {"runs", found->second.runs.size()},
                              {"due", due}});
    if (!due) {
        // The notice is one of an earlier incarnation, or the announcement of the end was lost. A
        // poll shows which.
        found->second.fence_pending = true;
        found->second.next_poll = context_.now();
        return;
    }
    // The server ends right after this call, or some seconds later if the reply does not reach it.
    // Its runs are over once it refuses connections, or with their lease.
    found->second.has_shut_down = true;
    found->second.last_report_at = context_.now();
    found->second.shut_down_by = context_.now() + shutdown_margin;
    found->second.next_poll = context_.now();
}

void run_driver::confirm_shutdown(server_view& view)
{
    log::info("server_ended",
              {{"server", view.report.id.str()}, {"life", view.report.incarnation_id}});
    view.end_confirmed = true;
    ended_servers_.push_back({view.report.id, view.report.incarnation_id});
}

void run_driver::record_machine_shutdown(const server_id& id)
{
    const auto found = servers_.find(id);
    if (found != servers_.end()) {
        ended_servers_.push_back({id, found->second.report.incarnation_id});
    }
}

void run_driver::on_server_ended(const wire::server_reports::ended& server)
{
    const auto found = servers_.find(server.id);
    const bool known =
        found != servers_.end() && found->second.report.incarnation_id <= server.incarnation_id;
    // The next leader polls a server that has runs: the notice may name one that replaced the
    // server that has ended.
    if (known && !leading_ && !context_.state().runs.contains(server.id)) {
        erase_server(found);
    }
}

void run_driver::on_applied(const jobs::command& cmd)
{
    const scope_timer timing{"carry_out"};
    if (const auto* freeze = std::get_if<jobs::freeze_leases>(&cmd)) {
        on_freeze_leases(*freeze);
    }
    if (!leading_) {
        return;
    }
    if (const auto* starts = std::get_if<jobs::start_runs>(&cmd)) {
        for (const jobs::start_run& run : starts->runs) {
            on_begin_run(run);
        }
    } else if (const auto* ends = std::get_if<jobs::end_runs>(&cmd)) {
        on_end_runs(*ends);
        log_suspects(*ends);
    } else if (const auto* cancel = std::get_if<jobs::cancel_job>(&cmd)) {
        stop_job_runs(cancel->id, "job_cancelled");
    } else if (const auto* failed = std::get_if<jobs::fail_exhausted_job>(&cmd)) {
        const auto job = context_.state().jobs.find(failed->id);
        if (job != context_.state().jobs.end() && has_ended(job->second.phase)) {
            stop_job_runs(failed->id, "job_is_over");
        }
    }
}

void run_driver::on_begin_run(const jobs::start_run& cmd)
{
    const task_id& task = cmd.run.task;
    const jobs::task* t = context_.state().find(task);
    // A batch that commits late may have been proposed again with other servers.
    if (t == nullptr || t->phase != jobs::task_phase::running || t->attempt != cmd.run.attempt ||
        t->server != cmd.server || find_run(cmd.server, cmd.run) != nullptr) {
        return;
    }
    server_view& view = servers_[cmd.server];
    view.report.id = cmd.server;
    run_view run;
    run.attempt = cmd.run.attempt;
    run.ordered_at = context_.now();
    run.started_while_draining = view.draining;
    run_view& added = add_run(view, task, run);
    order_start(view, task, added);
}

void run_driver::on_end_runs(const jobs::end_runs& cmd)
{
    std::set<jobs::job_id> affected_jobs;
    for (const jobs::end_run& e : cmd.ends) {
        affected_jobs.insert(e.run.task.job);
        if (!remove_run(e.run)) {
            continue;
        }
        if (e.outcome != run_outcome::done) {
            stop_gang(e.run.task);
        }
    }
    const auto server = servers_.find(cmd.server);
    if (server != servers_.end() && server->second.report.incarnation_id == cmd.incarnation_id) {
        server->second.acknowledged_end =
            std::max(server->second.acknowledged_end, cmd.last_reported_end);
    }
    for (const jobs::job_id& id : affected_jobs) {
        const auto job = context_.state().jobs.find(id);
        if (job != context_.state().jobs.end() && has_ended(job->second.phase) &&
            job->second.running > 0) {
            stop_job_runs(id, "job_is_over");
        }
    }
    capacity_changed_();
}

run_view& run_driver::add_run(server_view& view, const task_id& task, run_view run)
{
    const jobs::step_spec& spec = *context_.state().find_step_spec(task);
    run.allocated = spec.required_capacity();
    run.long_running = spec.long_running;
    run.latency_limited = spec.latency_limit_ms > 0;
    view.used += run.allocated;
    view.long_running_count += run.long_running ? 1 : 0;
    view.latency_limited_count += run.latency_limited ? 1 : 0;
    run_locations_[task] = view.report.id;
    return view.runs.insert_or_assign(task, std::move(run)).first->second;
}

bool run_driver::remove_run(const jobs::run_id& name)
{
    const auto at = run_locations_.find(name.task);
    run_view* run = at == run_locations_.end() ? nullptr : find_run(at->second, name);
    if (run == nullptr) {
        return false;
    }
    server_view& view = servers_.at(at->second);
    const mono_time now = context_.now();
    if (run->start_may_arrive(now)) {
        const mono_time end =
            run->stage == run_stage::ordered ? now + max_order_delay : run->late_starts_end;
        view.late_starts_end = std::max(view.late_starts_end, end);
    }
    if (view.may_execute_start(*run, now)) {
        view.raise_fence(tokens_.issue());
    }
    view.used -= run->allocated;
    view.long_running_count -= run->long_running ? 1 : 0;
    view.latency_limited_count -= run->latency_limited ? 1 : 0;
    view.runs.erase(name.task);
    view.lease_frozen = view.lease_frozen && !view.runs.empty();
    run_locations_.erase(at);
    return true;
}

std::pair<server_view*, run_view*> run_driver::locate(const task_id& task)
{
    const auto at = run_locations_.find(task);
    const auto server = at == run_locations_.end() ? servers_.end() : servers_.find(at->second);
    if (server == servers_.end()) {
        return {nullptr, nullptr};
    }
    const auto run = server->second.runs.find(task);
    return run == server->second.runs.end() ? std::pair<server_view*, run_view*>{nullptr, nullptr}
                                            : std::pair{&server->second, &run->second};
}

void run_driver::tick()
{
    const scope_timer timing{"server_round"};
    if (!leading_ || !context_.has_leader_lease()) {
        return;
    }
    const mono_time now = context_.now();
    measure_load(now);
    std::vector<server_id> expired;
    jobs::freeze_leases freeze_changes;
    context_.order_relay.enable(busy_servers_ >= min_busy_servers_for_relays_);
    busy_servers_ = 0;
    for (auto& [id, view] : servers_) {
        busy_servers_ += view.runs.empty() ? 0 : 1;
        if (poll_due(view, now)) {
            poll_server(view);
        }
        for (auto& [task, run] : view.runs) {
            const bool resend_stop = !run.stop_reason.empty() && !run.stop_acknowledged &&
                                     !run.end_proposed &&
                                     now - run.last_stop_attempt >= stop_retry_interval;
            if (resend_stop) {
                order_stop_again(view, task, run);
            }
        }
        end_lost_runs(view);
        collect_freeze_change(id, view, freeze_changes);
        const bool unused = view.runs.empty() && now >= view.late_starts_end;
        if (unused && now - view.last_report_at > forget_after) {
            expired.push_back(id);
        }
    }
    for (const server_id& id : expired) {
        log::info("server_forgotten", {{"server", id.str()}});
        ended_servers_.push_back({id, servers_.at(id).report.incarnation_id});
        erase_server(servers_.find(id));
    }
    resolve_lost_runs();
    if (!pending_ends_.ends.empty()) {
        propose_ends(std::exchange(pending_ends_, {}));
    }
    propose_freeze_changes(freeze_changes);
}

void run_driver::end_lost_runs(server_view& view)
{
    const mono_time now = context_.now();
    const bool ended = view.end_confirmed && now >= view.shut_down_by;
    if (view.runs.empty() || !(ended || (view.unresponsive() && view.is_lease_expired(now)))) {
        return;
    }
    // The successor at the address refuses orders to this server, so none arrives late.
    const bool replaced = is_replaced(view);
    for (auto& [task, run] : view.runs) {
        const bool earlier_start_may_arrive =
            run.earlier_start_unanswered && now < earlier_leaders_leases_expire_at_;
        const bool start_may_arrive =
            !ended && !replaced && (run.start_may_arrive(now) || earlier_start_may_arrive);
        // The lease of the incarnation that executed the start is not known.
        const bool lease_is_unknown = run.started_by_later_incarnation && run.listed_in == 0 &&
                                      now - view.lease_sent_at < max_run_lease();
        if (!run.end_proposed && !start_may_arrive && !lease_is_unknown) {
            propose_end({task, run.attempt}, outcome_of_lost_run(view, run, replaced), "",
                        ended ? "server_ended" : "lease_over");
        }
    }
}

void run_driver::propose_end(const jobs::run_id& name, run_outcome outcome, std::string checkpoint,
                             const char* reason)
{
    const auto [view, run] = locate(name.task);
    if (run != nullptr && run->attempt == name.attempt) {
        if (run->end_proposed) {
            return;
        }
        run->end_proposed = true;
        checkpoint = checkpoint.empty() ? run->checkpoint : checkpoint;
        log::info("run_over", {{"task", name.task.text()},
                               {"attempt", name.attempt},
                               {"server", view->report.id.str()},
                               {"life", view->report.incarnation_id},
                               {"listed_in", run->listed_in},
                               {"stage", name_of(run->stage)},
                               {"term", term_},
                               {"lease_end_ms", view->lease_end_ms},
                               {"clock_ms", view->clock.lower_bound(context_.now()).value_or(0)},
                               {"how", jobs::name_of(outcome)},
                               {"why", reason}});
    }
    context_.counters.count(fmt::format("runs_ended_{}", jobs::name_of(outcome)));
    pending_ends_.ends.push_back({name, outcome, std::move(checkpoint)});
}

void run_driver::propose_ends(jobs::end_runs&& batch)
{
    batch.now = wall_now();
    if (!context_.log.propose_here(batch)) {
        // The servers still list these ends, so the next leader collects them.
        log::warning("ends_not_proposed", {{"ends", batch.ends.size()}});
    }
}

void run_driver::cordon(const server_id& id, bool on)
{
    const auto found = servers_.find(id);
    if (found != servers_.end()) {
        found->second.cordoned = on;
        found->second.draining = false;
    }
}

void run_driver::drain(const server_id& id)
{
    const auto found = servers_.find(id);
    if (found != servers_.end()) {
        found->second.cordoned = false;
        found->second.draining = true;
    }
}

void run_driver::expect_maintenance(const server_id& id)
{
    const auto found = servers_.find(id);
    if (found != servers_.end()) {
        found->second.maintenance_due = true;
    }
}

bool run_driver::is_ready(const task_id& task) const
{
    const auto at = run_locations_.find(task);
    const auto server = at == run_locations_.end() ? servers_.end() : servers_.find(at->second);
    if (server == servers_.end()) {
        return false;
    }
    const server_view& view = server->second;
    const auto run = view.runs.find(task);
    const bool polled_recently =
        view.reachable() && context_.now() - view.last_poll_sent < poll_result_validity;
    return polled_recently && run != view.runs.end() && run->second.stop_reason.empty() &&
           !run->second.end_proposed && run->second.ready_since;
}

bool run_driver::may_be_stopped_for_maintenance(const task_id& task) const
{
    const auto* spec = context_.state().find_step_spec(task);
    if (spec == nullptr || spec->max_unavailable == 0) {
        return spec != nullptr;
    }
    std::uint32_t unavailable = 0;
    for (std::uint32_t i = 0; i < spec->tasks; ++i) {
        const task_id other{task.job, task.occurrence, task.step, i};
        unavailable += i != task.index && !is_ready(other) ? 1 : 0;
    }
    return unavailable < spec->max_unavailable;
}

const run_view* run_driver::find_run_view(const task_id& task) const
{
    return const_cast<run_driver*>(this)
        ->locate(task)
        .second; // NOLINT: returned as a pointer to const.
}

} // namespace fescue::fleet
