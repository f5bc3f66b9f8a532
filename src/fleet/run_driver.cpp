#include "run_driver.h"

#include "slow_log.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescue::fleet {

namespace {

using jobs::run_end;
using jobs::task_id;

/** Lease on runs, in milliseconds. It has to outlast an election, reading the servers' lists and
 * one retry; the shorter it is, the sooner work that was lost behind a cut runs elsewhere. */
constexpr std::int64_t run_lease_ms = 3600;
/** Longest that a look waits for an end, in milliseconds; the lease is renewed that often. */
constexpr std::int64_t look_wait_ms = 700;
/** Pause between two looks at a server while work runs, so that several ends come with one look:
 * it grows with the servers that run something, since all looks share this instance's processor. */
constexpr milliseconds least_look_pause{20};
constexpr milliseconds most_look_pause{250};
constexpr std::int64_t look_pause_us_a_server = 1000;
/** Pause after a look or an order that got no answer. */
constexpr milliseconds retry_pause{150};
/** With fewer busy servers the way through another scheduler costs more than it saves. */
constexpr std::size_t busy_for_relays = 64;
/** What a look showed is believed for so long: looks wait up to look_wait_ms for an answer. */
constexpr milliseconds believed_for{1500};
/** Pauses grow to so many of the above. */
constexpr std::uint32_t most_retry_pauses = 4;
/** Pause between two tries to stop a run. */
constexpr milliseconds stop_pause{300};
/** An order without an answer may be carried out this much later; from the platform's pages. */
constexpr milliseconds late_order{12'500};
/** A leader before this one may have renewed leases until it gave up and its orders arrived. */
constexpr milliseconds inherited_margin{2500};
/** No new work on a server that has just refused some. */
constexpr milliseconds refusal_pause{400};
/** What a server that said that it ends still needs to be gone. */
constexpr milliseconds leaving_margin{300};
/** Servers that report no more are forgotten when nothing of theirs is left. */
constexpr milliseconds forgotten_after{10'000};

std::int64_t lease_for(const settings::job_bounds& bounds)
{
    return std::min(run_lease_ms, bounds.longest_lease_ms);
}

} // namespace

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
    tickets_.clear();
    const mono_time now = shared_.now();
    const auto lease = static_cast<std::int64_t>(
        static_cast<double>(lease_for(shared_.settings.bounds)) / slowest_clock);
    const mono_time over = now + milliseconds{lease} + inherited_margin;
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
        view.runs.clear();
        view.used = {};
        view.lasting_runs = 0;
        view.serving_runs = 0;
    }
    where_.clear();
    adopt_runs();
    tick();
}

void run_driver::adopt_runs()
{
    const mono_time now = shared_.now();
    const auto lease = static_cast<std::int64_t>(
        static_cast<double>(lease_for(shared_.settings.bounds)) / slowest_clock);
    for (const auto& [id, tasks] : shared_.state().runs) {
        server_view& view = servers_[id];
        if (view.report.id.empty()) {
            view.report.id = id;
            view.heard = now;
            view.inherited_lease_over = now + milliseconds{lease} + inherited_margin;
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
        view.runs.clear();
        view.used = {};
        view.lasting_runs = 0;
        view.serving_runs = 0;
    }
}

// ---- what comes in

bool run_driver::heard(const jobs::server_report& report)
{
    const mono_time now = shared_.now();
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
        change_life(view, report);
    }
    view.report = report;
    view.heard = now;
    view.clock.read(report.clock_ms, now);
    if (news) {
        log::info("server_seen", {{"server", report.id.str()},
                                  {"life", report.life},
                                  {"pool", report.pool.str()},
                                  {"data_centre", report.data_centre.str()},
                                  {"rack", report.rack.str()},
                                  {"leaving", report.leaving},
                                  {"reborn", reborn}});
        view.next_look = std::min(view.next_look, now);
        if (leading_) {
            room_changed_();
        }
    }
    return news;
}

void run_driver::change_life(server_view& view, const jobs::server_report& /*report*/)
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
        tickets_.erase(e.run);
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

// ---- stops

void run_driver::stop(const task_id& task, const std::string& why)
{
    const auto [view, run] = locate(task);
    if (run == nullptr || !run->stop_why.empty()) {
        return;
    }
    run->stop_why = why;
    log::info("run_stop", {{"task", task.text()},
                           {"attempt", run->attempt},
                           {"server", view->report.id.str()},
                           {"why", why}});
    send_stop(*view, task, *run);
}

void run_driver::stop_all(const jobs::job_id& job, const std::string& why)
{
    std::vector<task_id> tasks;
    for (const auto& [id, view] : servers_) {
        const auto first = view.runs.lower_bound(task_id{job, 0, 0, 0});
        for (auto at = first; at != view.runs.end() && at->first.job == job; ++at) {
            tasks.push_back(at->first);
        }
    }
    for (const task_id& t : tasks) {
        stop(t, why);
    }
}

void run_driver::stop_gang(const task_id& task)
{
    const auto* spec = shared_.state().spec_of(task);
    if (spec == nullptr || !spec->gang) {
        return;
    }
    for (std::uint32_t i = 0; i < spec->tasks; ++i) {
        if (i != task.index) {
            stop({task.job, task.occurrence, task.step, i}, "gang_member_ended");
        }
    }
}

void run_driver::send_stop(server_view& view, const task_id& task, run_view& run)
{
    if (run.stop_under_way || view.report.address.empty() || view.left || !shared_.leads()) {
        return;
    }
    run.stop_under_way = true;
    run.stop_tried = shared_.now();
    const jobs::run_id name{task, run.attempt};
    ++under_way_;
    send_order(view, shared_.wire.stop(address_of(view), {name, term_}),
               [this, id = view.report.id, name, term = term_](auto&& response) {
                   --under_way_;
                   if (leading_ && term == term_) {
                       stop_answered(id, name, shared_.wire.read_order_reply(response));
                   }
               });
}

void run_driver::stop_answered(const server_id& id, const jobs::run_id& name,
                               const order_reply& reply)
{
    run_view* run = find_run(id, name);
    if (run == nullptr) {
        return;
    }
    run->stop_under_way = false;
    if (reply.result == order_result::accepted || reply.result == order_result::outdated) {
        run->stop_answered = true;
        run->shown_from = shared_.now();
        servers_.at(id).next_look = std::min(servers_.at(id).next_look, shared_.now());
        return;
    }
    if (!run->stop_failed) {
        run->stop_failed = true;
        log::info(
            "stop_not_taken",
            {{"task", name.task.text()}, {"server", id.str()}, {"answer", name_of(reply.result)}});
    }
}

// ---- starts

void run_driver::send_order(const server_view& view, http::client_request&& request,
                            http::client::callback done)
{
    shared_.orders.send(view.report.data_centre, std::hash<server_id>{}(view.report.id),
                        std::move(request), std::move(done));
}

server_address run_driver::address_of(const server_view& view) const
{
    return {view.report.address, view.report.id};
}

run_view* run_driver::find_run(const server_id& id, const jobs::run_id& run)
{
    const auto server = servers_.find(id);
    if (server == servers_.end()) {
        return nullptr;
    }
    const auto found = server->second.runs.find(run.task);
    const bool same = found != server->second.runs.end() && found->second.attempt == run.attempt;
    return same ? &found->second : nullptr;
}

std::int64_t run_driver::extend_lease(server_view& view, mono_time now)
{
    const auto shows = view.clock.at_least(now);
    if (!shows) {
        return 0;
    }
    const std::int64_t end = *shows + lease_for(shared_.settings.bounds);
    view.lease_end_ms = std::max(view.lease_end_ms, end);
    return view.lease_end_ms;
}

void run_driver::send_start(server_view& view, const task_id& task, run_view& run)
{
    const mono_time now = shared_.now();
    start_order order;
    order.run = {task, run.attempt};
    order.payload = shared_.state().jobs.at(task.job).spec.payload;
    order.lease_end_ms = extend_lease(view, now);
    order.fence = term_;
    order.checkpoint = shared_.state().find(task)->checkpoint;
    const auto ticket = tickets_.find(order.run);
    order.ticket = ticket == tickets_.end() ? "" : ticket->second;
    ++under_way_;
    shared_.counters.count("run_starts");
    const jobs::run_id name = order.run;
    send_order(view, shared_.wire.start(address_of(view), order),
               [this, id = view.report.id, name, now, term = term_](auto&& response) {
                   --under_way_;
                   if (leading_ && term == term_) {
                       start_answered(id, name, shared_.wire.read_order_reply(response), now);
                   }
               });
}

void run_driver::start_answered(const server_id& id, const jobs::run_id& name,
                                const order_reply& reply, mono_time sent)
{
    run_view* run = find_run(id, name);
    if (run == nullptr) {
        return;
    }
    server_view& view = servers_.at(id);
    const mono_time now = shared_.now();
    shared_.counters.observe(latency_kind::server_order, now - sent);
    if (reply.clock_ms) {
        view.clock.read(*reply.clock_ms, now);
    }
    if (reply.result == order_result::accepted) {
        run->stage = run_stage::confirmed;
        run->shown_from = now;
        view.misses = 0;
        view.next_look = std::min(view.next_look, now + look_pause());
        return;
    }
    shared_.counters.count(fmt::format("starts_refused_{}", name_of(reply.result)));
    log::info("start_not_taken",
              {{"task", name.task.text()},
               {"attempt", name.attempt},
               {"server", id.str()},
               {"answer", name_of(reply.result)},
               {"after_ms", std::chrono::duration_cast<milliseconds>(now - sent).count()}});
    view.refused_until = now + refusal_pause;
    if (reply.result == order_result::unknown) {
        ++view.misses;
        run->stage = run_stage::in_doubt;
        run->stop_why = run->stop_why.empty() ? "start_without_answer" : run->stop_why;
        send_stop(view, name.task, *run);
        return;
    }
    view.misses += reply.result == order_result::not_sent ? 1 : 0;
    propose_end(name, run_end::not_begun, "", "refused");
}

// ---- looks

milliseconds run_driver::look_pause() const
{
    const auto busy = static_cast<std::int64_t>(busy_servers_);
    return std::clamp(milliseconds{busy * look_pause_us_a_server / 1000}, least_look_pause,
                      most_look_pause);
}

bool run_driver::look_due(const server_view& view, mono_time now) const
{
    const bool worth_it = !view.runs.empty() || view.misses > 0;
    return worth_it && !view.looking && !view.left && !view.report.address.empty() &&
           now >= view.next_look;
}

void run_driver::look(server_view& view)
{
    const mono_time now = shared_.now();
    look_order order;
    order.fence = term_;
    order.acknowledged = view.acknowledged;
    // A server that does not answer keeps the lease that it has: else it would never be over.
    const bool renews = !view.runs.empty() && view.misses == 0;
    order.lease_end_ms = renews ? extend_lease(view, now) : 0;
    const bool waits = view.fenced && view.misses == 0;
    order.wait_ms = waits ? look_wait_ms : 0;
    view.looking = true;
    shared_.counters.count("looks");
    send_order(view, shared_.wire.look(address_of(view), order),
               [this, id = view.report.id, now, term = term_](auto&& response) {
                   if (leading_ && term == term_) {
                       looked(id, shared_.wire.read_look_reply(response), now);
                   }
               });
}

void run_driver::looked(const server_id& id, const result<look_reply>& reply, mono_time sent)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    server_view& view = found->second;
    const mono_time now = shared_.now();
    view.looking = false;
    if (!ok(reply)) {
        ++view.misses;
        view.next_look = now + retry_pause * std::min(view.misses, most_retry_pauses);
        if (view.misses == 1) {
            log::warning("look_failed", {{"server", id.str()},
                                         {"why", error_of(reply).detail},
                                         {"runs", view.runs.size()}});
        }
        return;
    }
    if (view.misses > 0) {
        log::info("server_answers_again", {{"server", id.str()}, {"misses", view.misses}});
    }
    view.misses = 0;
    view.looked_at = std::max(view.looked_at, sent);
    view.next_look = now + look_pause();
    const look_reply& lists = value(reply);
    if (lists.life != 0 && view.report.life != 0 && lists.life != view.report.life) {
        if (lists.life > view.report.life) {
            jobs::server_report report = view.report;
            report.life = lists.life;
            report.sequence = 0;
            report.clock_ms = lists.clock_ms;
            heard(report);
        }
        return;
    }
    view.clock.read(lists.clock_ms, now);
    take_lists(view, lists, sent);
    view.fenced = true;
}

void run_driver::take_lists(server_view& view, const look_reply& reply, mono_time sent)
{
    take_ends(view, reply);
    take_active(view, reply);
    take_absent(view, reply, sent);
}

void run_driver::take_ends(server_view& view, const look_reply& reply)
{
    jobs::end_runs batch;
    batch.server = view.report.id;
    batch.life = view.report.life;
    for (const ended_run& e : reply.ended) {
        if (e.number <= view.taken) {
            continue;
        }
        view.taken = e.number;
        batch.listed_up_to = e.number;
        run_view* run = find_run(view.report.id, e.run);
        if (run == nullptr || run->end_proposed) {
            continue;
        }
        run->end_proposed = true;
        batch.ends.push_back({e.run, e.how, e.checkpoint});
        shared_.counters.count(fmt::format("runs_ended_{}", jobs::name_of(e.how)));
        log::info("run_ended", {{"task", e.run.task.text()},
                                {"attempt", e.run.attempt},
                                {"server", view.report.id.str()},
                                {"how", jobs::name_of(e.how)}});
    }
    if (batch.listed_up_to > 0) {
        send_ends(std::move(batch));
    }
}

void run_driver::take_active(server_view& view, const look_reply& reply)
{
    const mono_time now = shared_.now();
    for (const active_run& a : reply.active) {
        run_view* run = find_run(view.report.id, a.run);
        if (run == nullptr) {
            // The log knows of no such run any more.
            log::info("stray_run", {{"task", a.run.task.text()},
                                    {"attempt", a.run.attempt},
                                    {"server", view.report.id.str()}});
            send_order(view, shared_.wire.stop(address_of(view), {a.run, term_}),
                       [](auto&& /*response*/) {});
            continue;
        }
        const jobs::task* t = shared_.state().find(a.run.task);
        if (run->stage == run_stage::inherited && t != nullptr && t->life != view.report.life) {
            stop(a.run.task, "order_of_an_earlier_life");
        }
        if (run->stage != run_stage::in_doubt) {
            run->stage = run_stage::confirmed;
        }
        run->shown_from = run->shown_from.value_or(now);
        run->percent = a.percent;
        run->figure = a.figure;
        run->checkpoint = a.checkpoint;
        if (a.percent < 100) {
            run->at_work_since.reset();
        } else if (!run->at_work_since) {
            run->at_work_since = now;
        }
    }
}

void run_driver::take_absent(server_view& view, const look_reply& reply, mono_time sent)
{
    constexpr std::size_t ends_at_a_time = 500;
    if (reply.ended.size() >= ends_at_a_time) {
        return;
    }
    std::set<jobs::run_id> listed;
    for (const active_run& a : reply.active) {
        listed.insert(a.run);
    }
    for (auto& [task, run] : view.runs) {
        const jobs::run_id name{task, run.attempt};
        const bool shown =
            run.stage == run_stage::inherited || (run.shown_from && *run.shown_from < sent);
        if (run.end_proposed || listed.contains(name) || !shown) {
            continue;
        }
        const bool began = run.stage != run_stage::in_doubt;
        propose_end(name, began ? run_end::lost : run_end::not_begun, "", "not_on_the_server");
    }
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

void run_driver::pace(const task_id& task, int percent)
{
    const auto [view, run] = locate(task);
    if (run == nullptr || run->pace == percent || run->pace_under_way ||
        run->stage != run_stage::confirmed || !shared_.leads()) {
        return;
    }
    run->pace_under_way = true;
    const jobs::run_id name{task, run->attempt};
    send_order(*view, shared_.wire.pace(address_of(*view), {name, percent, term_}),
               [this, id = view->report.id, name, percent, term = term_](auto&& response) {
                   run_view* still = leading_ && term == term_ ? find_run(id, name) : nullptr;
                   if (still == nullptr) {
                       return;
                   }
                   still->pace_under_way = false;
                   const auto reply = shared_.wire.read_order_reply(response);
                   if (reply.result == order_result::accepted) {
                       still->pace = percent;
                   }
               });
}

void run_driver::withhold(const server_id& id, bool on)
{
    const auto found = servers_.find(id);
    if (found != servers_.end()) {
        found->second.withheld = on;
    }
}

void run_driver::set_ticket(const jobs::run_id& run, std::string ticket)
{
    tickets_[run] = std::move(ticket);
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
