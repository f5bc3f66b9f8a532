#include "run_driver.h"

#include "run_limits.h"
#include "slow_log.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescue::fleet {

using jobs::run_end;
using jobs::task_id;

run_driver::run_driver(core_context& shared, std::function<void()> room_changed)
    : shared_{shared}, room_changed_{std::move(room_changed)}
{
}

// ---- leadership

void run_driver::lead()
{
    leading_ = true;
    term_ = shared_.fence();
    pending_ends_ = {};
    const mono_time now = shared_.now();
    const mono_time over = inherited_leases_over(now);
    for (auto& [id, view] : servers_) {
        view.fenced = false;
        view.lease_end_ms = 0;
        view.inherited_lease_over = over;
        view.acknowledged = 0;
        view.taken = 0;
        view.looking = false;
        view.misses = 0;
        view.withheld = false;
        view.next_look = now;
        // Followers are told of reports that say something new only.
        view.heard = now;
        view.forget_runs();
    }
    where_.clear();
    adopt_runs();
    tick();
}

mono_time run_driver::inherited_leases_over(mono_time now) const
{
    const auto lease = static_cast<std::int64_t>(
        static_cast<double>(lease_for(shared_.settings.bounds)) / slowest_clock);
    return now + milliseconds{lease} + inherited_margin;
}

void run_driver::adopt_runs()
{
    const mono_time now = shared_.now();
    for (const auto& [id, tasks] : shared_.state().runs) {
        server_view& view = servers_[id];
        if (view.report.id.empty()) {
            view.report.id = id;
            view.heard = now;
            view.inherited_lease_over = inherited_leases_over(now);
        }
        for (const task_id& task : tasks) {
            run_view run;
            run.attempt = shared_.state().find(task)->attempt;
            run.stage = run_stage::inherited;
            run.ordered_at = now;
            enter(view, task, run);
            if (is_over(shared_.state().jobs.at(task.job).phase)) {
                stop(task, "job_is_over");
            }
        }
    }
}

void run_driver::follow()
{
    leading_ = false;
    where_.clear();
    for (auto& [id, view] : servers_) {
        view.forget_runs();
    }
}

// ---- what comes in

bool run_driver::heard(const jobs::server_report& report, milliseconds age)
{
    const mono_time reported = shared_.now() - age;
    auto [at, fresh] = servers_.try_emplace(report.id);
    server_view& view = at->second;
    const jobs::server_report& known = view.report;
    const bool stale = !fresh && (report.life < known.life ||
                                  (report.life == known.life && report.sequence <= known.sequence));
    if (stale) {
        return false;
    }
    const bool news = fresh || known.life != report.life || known.address != report.address ||
                      known.pool != report.pool || known.leaving != report.leaving;
    const bool reborn = !fresh && known.life != report.life && known.life != 0;
    if (reborn) {
        change_life(view);
    }
    view.report = report;
    view.heard = std::max(view.heard, reported);
    view.clock.read(report.clock_ms, reported);
    if (news) {
        log::info("server_seen", {{"server", report.id.str()},
                                  {"life", report.life},
                                  {"pool", report.pool.str()},
                                  {"data_centre", report.data_centre.str()},
                                  {"rack", report.rack.str()},
                                  {"leaving", report.leaving},
                                  {"reborn", reborn}});
        view.next_look = std::min(view.next_look, shared_.now());
        if (leading_) {
            room_changed_();
        }
    }
    return news;
}

void run_driver::change_life(server_view& view)
{
    const mono_time now = shared_.now();
    view.clock.forget();
    view.lease_end_ms = 0;
    view.inherited_lease_over = mono_time{};
    view.acknowledged = 0;
    view.taken = 0;
    view.fenced = false;
    view.misses = 0;
    view.left = false;
    view.withheld = false;
    view.refused_until = mono_time{};
    for (auto& [task, run] : view.runs) {
        const bool was_open = run.stage == run_stage::ordered || run.stage == run_stage::in_doubt;
        if (was_open && now - run.ordered_at < late_order) {
            // The order may yet reach the new life.
            run.stage = run_stage::in_doubt;
            run.stop_answered = false;
            run.shown_from.reset();
            run.stop_why = "server_restarted";
        } else if (run.stage != run_stage::inherited) {
            propose_end({task, run.attempt}, run_end::lost, "", "server_restarted");
        }
    }
}

void run_driver::left(const server_id& id)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    log::info("server_left", {{"server", id.str()}, {"runs", found->second.runs.size()}});
    found->second.left = true;
    // It ends right after this call, and with it all that runs there.
    found->second.inherited_lease_over = mono_time{};
    found->second.lease_end_ms = 0;
    found->second.heard = shared_.now();
    found->second.next_look = shared_.now() + leaving_margin;
    gone_.push_back({id, found->second.report.life});
}

void run_driver::ended_with_machine(const server_id& id)
{
    const auto found = servers_.find(id);
    if (found != servers_.end()) {
        gone_.push_back({id, found->second.report.life});
    }
}

void run_driver::told_gone(const wire::server_reports::ended& server)
{
    const auto found = servers_.find(server.id);
    const bool known = found != servers_.end() && found->second.report.life <= server.life;
    if (known && !leading_) {
        servers_.erase(found);
    }
}

void run_driver::applied(const jobs::command& cmd)
{
    const slow_log timing{"carry_out"};
    if (!leading_) {
        return;
    }
    if (const auto* starts = std::get_if<jobs::begin_runs>(&cmd)) {
        for (const jobs::begin_run& run : starts->runs) {
            begun(run);
        }
    } else if (const auto* ends = std::get_if<jobs::end_runs>(&cmd)) {
        ended(*ends);
    } else if (const auto* cancel = std::get_if<jobs::cancel_job>(&cmd)) {
        stop_all(cancel->id, "job_cancelled");
    }
}

void run_driver::begun(const jobs::begin_run& cmd)
{
    const task_id& task = cmd.run.task;
    const jobs::task* t = shared_.state().find(task);
    if (t == nullptr || t->phase != jobs::task_phase::running || t->attempt != cmd.run.attempt) {
        return;
    }
    server_view& view = servers_[cmd.server];
    run_view run;
    run.attempt = cmd.run.attempt;
    run.ordered_at = shared_.now();
    run_view& kept = enter(view, task, run);
    if (view.report.life != cmd.life || view.left || !shared_.leads()) {
        propose_end(cmd.run, run_end::not_begun, "", "server_changed_before_the_order");
        return;
    }
    send_start(view, task, kept);
}

void run_driver::ended(const jobs::end_runs& cmd)
{
    std::set<jobs::job_id> jobs_touched;
    for (const jobs::end_run& e : cmd.ends) {
        if (!leave(e.run)) {
            continue;
        }
        jobs_touched.insert(e.run.task.job);
        if (e.how != run_end::done) {
            stop_gang(e.run.task);
        }
    }
    const auto listed = servers_.find(cmd.server);
    if (listed != servers_.end() && listed->second.report.life == cmd.life) {
        listed->second.acknowledged = std::max(listed->second.acknowledged, cmd.listed_up_to);
    }
    for (const jobs::job_id& id : jobs_touched) {
        const auto job = shared_.state().jobs.find(id);
        if (job != shared_.state().jobs.end() && is_over(job->second.phase) &&
            job->second.running > 0) {
            stop_all(id, "job_is_over");
        }
    }
    room_changed_();
}

run_view& run_driver::enter(server_view& view, const task_id& task, run_view run)
{
    const jobs::step_spec& spec = *shared_.state().spec_of(task);
    run.room = spec.room_needed();
    run.lasting = spec.lasting;
    run.serves = spec.tail_limit_ms > 0;
    view.used += run.room;
    view.lasting_runs += run.lasting ? 1 : 0;
    view.serving_runs += run.serves ? 1 : 0;
    where_[task] = view.report.id;
    return view.runs.insert_or_assign(task, std::move(run)).first->second;
}

bool run_driver::leave(const jobs::run_id& name)
{
    const auto at = where_.find(name.task);
    run_view* run = at == where_.end() ? nullptr : find_run(at->second, name);
    if (run == nullptr) {
        return false;
    }
    server_view& view = servers_.at(at->second);
    view.used -= run->room;
    view.lasting_runs -= run->lasting ? 1 : 0;
    view.serving_runs -= run->serves ? 1 : 0;
    view.runs.erase(name.task);
    where_.erase(at);
    return true;
}

std::pair<server_view*, run_view*> run_driver::locate(const task_id& task)
{
    const auto at = where_.find(task);
    const auto server = at == where_.end() ? servers_.end() : servers_.find(at->second);
    if (server == servers_.end()) {
        return {nullptr, nullptr};
    }
    const auto run = server->second.runs.find(task);
    return run == server->second.runs.end() ? std::pair<server_view*, run_view*>{nullptr, nullptr}
                                            : std::pair{&server->second, &run->second};
}

// ---- time

void run_driver::tick()
{
    const slow_log timing{"server_round"};
    if (!leading_ || !shared_.leads()) {
        return;
    }
    const mono_time now = shared_.now();
    std::vector<server_id> forgotten;
    shared_.orders.enable(busy_servers_ >= busy_for_relays);
    busy_servers_ = 0;
    for (auto& [id, view] : servers_) {
        busy_servers_ += view.runs.empty() ? 0 : 1;
        if (look_due(view, now)) {
            look(view);
        }
        for (auto& [task, run] : view.runs) {
            const bool again = !run.stop_why.empty() && !run.stop_answered && !run.end_proposed &&
                               now - run.stop_tried >= stop_pause;
            if (again) {
                send_stop(view, task, run);
            }
        }
        give_up_lost(view);
        if (view.runs.empty() && now - view.heard > forgotten_after) {
            forgotten.push_back(id);
        }
    }
    for (const server_id& id : forgotten) {
        log::info("server_forgotten", {{"server", id.str()}});
        gone_.push_back({id, servers_.at(id).report.life});
        servers_.erase(id);
    }
    if (!pending_ends_.ends.empty()) {
        send_ends(std::exchange(pending_ends_, {}));
    }
}

void run_driver::give_up_lost(server_view& view)
{
    const mono_time now = shared_.now();
    const bool gone = view.left && now >= view.next_look;
    const bool silent = view.misses > 0 || view.report.address.empty();
    if (view.runs.empty() || !(gone || (silent && view.lease_surely_over(now)))) {
        return;
    }
    for (auto& [task, run] : view.runs) {
        const bool may_come_late =
            !gone && run.stage == run_stage::in_doubt && now - run.ordered_at < late_order;
        if (!run.end_proposed && !may_come_late) {
            propose_end({task, run.attempt}, run_end::lost, "",
                        gone ? "server_ended" : "lease_over");
        }
    }
}

void run_driver::propose_end(const jobs::run_id& name, run_end how, std::string checkpoint,
                             const char* why)
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
                               {"how", jobs::name_of(how)},
                               {"why", why}});
    }
    shared_.counters.count(fmt::format("runs_ended_{}", jobs::name_of(how)));
    pending_ends_.ends.push_back({name, how, std::move(checkpoint)});
}

void run_driver::send_ends(jobs::end_runs&& batch)
{
    batch.now = wall_now();
    if (!shared_.log.propose_here(batch)) {
        // The next leader finds these ends in the servers' lists again.
        log::warning("ends_not_proposed", {{"ends", batch.ends.size()}});
    }
}

// ---- the rest

void run_driver::withhold(const server_id& id, bool on)
{
    const auto found = servers_.find(id);
    if (found != servers_.end()) {
        found->second.withheld = on;
    }
}

void run_driver::expect_maintenance(const server_id& id)
{
    const auto found = servers_.find(id);
    if (found != servers_.end()) {
        found->second.maintenance_due = true;
    }
}

bool run_driver::at_work(const task_id& task) const
{
    const auto at = where_.find(task);
    const auto server = at == where_.end() ? servers_.end() : servers_.find(at->second);
    if (server == servers_.end()) {
        return false;
    }
    const server_view& view = server->second;
    const auto run = view.runs.find(task);
    const bool seen_now = view.reachable() && shared_.now() - view.looked_at < believed_for;
    return seen_now && run != view.runs.end() && run->second.stop_why.empty() &&
           !run->second.end_proposed && run->second.at_work_since;
}

const run_view* run_driver::view_of(const task_id& task) const
{
    return const_cast<run_driver*>(this)->locate(task).second; // NOLINT: handed out as const.
}

} // namespace fescue::fleet
