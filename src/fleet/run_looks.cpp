#include "run_driver.h"

#include "run_limits.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace fescue::fleet {

using jobs::run_end;

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
    const bool waits = view.fenced && view.misses == 0 && !view.starts_up(now, start_up_watch);
    order.wait_ms = waits ? look_wait_ms : 0;
    view.looking = true;
    shared_.counters.count("looks");
    send_order(view, order, [this, id = view.report.id, now, term = term_](server_answer&& answer) {
        if (leading_ && term == term_) {
            looked(id, std::get<result<look_reply>>(answer), now);
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
            send_order(view, stop_order{a.run, term_}, [](server_answer&& /*answer*/) {});
            continue;
        }
        const jobs::task* t = shared_.state().find(a.run.task);
        if (run->stage == run_stage::inherited && t != nullptr && t->life != view.report.life) {
            stop(a.run.task, "order_of_an_earlier_life");
        }
        if (run->stage == run_stage::in_doubt && run->stop_why.empty()) {
            log::info("start_seen_running", {{"task", a.run.task.text()},
                                             {"attempt", a.run.attempt},
                                             {"server", view.report.id.str()}});
        }
        if (run->stage != run_stage::in_doubt || run->stop_why.empty()) {
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
        const bool unseen = run.stage == run_stage::in_doubt && !listed.contains(name);
        if (unseen && run.stop_why.empty() && run.doubted_at <= sent) {
            // It may still come, and must not any more.
            run.stop_why = "start_without_answer";
            send_stop(view, task, run);
        }
        const bool shown =
            run.stage == run_stage::inherited || (run.shown_from && *run.shown_from < sent);
        if (run.end_proposed || listed.contains(name) || !shown) {
            continue;
        }
        const bool began = run.stage != run_stage::in_doubt;
        propose_end(name, began ? run_end::lost : run_end::not_begun, "", "not_on_the_server");
    }
}

} // namespace fescue::fleet
