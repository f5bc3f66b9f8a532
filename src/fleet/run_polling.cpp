#include "run_driver.h"

#include "run_timing.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace fescue::fleet {

using jobs::run_outcome;

void run_driver::measure_load(mono_time now)
{
    const auto elapsed = now - load_measured_at_;
    if (elapsed < load_measuring_period) {
        return;
    }
    const auto busy_time = context_.loop.busy_time();
    const std::chrono::duration<double> busy = busy_time - measured_busy_time_;
    load_ = busy / elapsed;
    load_measured_at_ = now;
    measured_busy_time_ = busy_time;
}

bool run_driver::poll_due(const server_view& view, mono_time now) const
{
    const bool needs_poll = !view.runs.empty() || view.misses > 0 || view.unknown_runs > 0 ||
                            view.capacity_outdated || view.fence_pending;
    return needs_poll && !view.poll_in_flight && !view.end_confirmed &&
           !view.report.address.empty() && now >= view.next_poll;
}

void run_driver::poll_server(server_view& view)
{
    const mono_time now = context_.now();
    poll_order order;
    order.fencing_token = view.fence.token();
    // Repeating a number would make the server's next incarnation, if it has begun, discard ends
    // that nobody has read.
    order.acknowledged_end =
        view.acknowledged_end > view.confirmed_acknowledgement ? view.acknowledged_end : 0;
    // The lease of a server that does not answer is not renewed; otherwise it would never expire.
    const bool renew =
        !view.runs.empty() && view.misses == 0 && view.may_renew_lease() && !view.has_shut_down;
    order.lease_end_ms = renew ? renew_lease(view, now) : 0;
    const bool long_poll = view.fenced && view.fence.is_confirmed() && view.misses == 0 &&
                           view.may_renew_lease() && !view.has_shut_down &&
                           !view.has_starting_task(now, startup_poll_window);
    order.wait_ms = long_poll ? max_poll_wait_ms : 0;
    view.poll_in_flight = true;
    context_.counters.count("looks");
    send_order(view, order,
               [this, id = view.report.id, order, now, term = term_](server_answer&& answer) {
                   if (leading_ && term == term_) {
                       on_poll_reply(id, std::get<result<poll_reply>>(answer), order, now);
                   }
               });
}

void run_driver::on_poll_reply(const server_id& id, const result<poll_reply>& reply,
                               const poll_order& order, mono_time sent)
{
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    server_view& view = found->second;
    const mono_time now = context_.now();
    const bool sent_before_restart = sent < view.restarted_at;
    view.poll_in_flight = view.poll_in_flight && sent_before_restart;
    if (!ok(reply) && sent_before_restart) {
        return;
    }
    if (!ok(reply)) {
        if (view.has_shut_down && error_of(reply).kind == error_kind::no_server) {
            confirm_shutdown(view);
        }
        ++view.misses;
        view.next_poll = now + retry_delay * std::min(view.misses, max_retry_delay_factor);
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
    view.last_poll_sent = std::max(view.last_poll_sent, sent);
    view.next_poll = now + scheduler::poll_interval(busy_servers_);
    const poll_reply& lists = value(reply);
    if (lists.incarnation_id != 0 && view.report.incarnation_id != 0 &&
        lists.incarnation_id != view.report.incarnation_id) {
        if (lists.incarnation_id > view.report.incarnation_id) {
            jobs::server_report report = view.report;
            report.incarnation_id = lists.incarnation_id;
            report.sequence = 0;
            report.clock_ms = lists.clock_ms;
            // The new incarnation may be of another kind; nothing starts before its own report.
            report.capacity = {};
            report.leaving = false;
            report.remaining_ms = 0;
            on_report(report);
        }
        return;
    }
    view.clock.record_reading(lists.clock_ms, now);
    view.confirm_fence(order.fencing_token, now, max_run_lease());
    apply_poll_reply(view, lists, sent);
    view.confirmed_acknowledgement =
        std::max(view.confirmed_acknowledgement, order.acknowledged_end);
    view.fenced = true;
    view.fence_pending = !view.fence.is_confirmed();
}

void run_driver::apply_poll_reply(server_view& view, const poll_reply& reply, mono_time sent)
{
    apply_ended_runs(view, reply);
    apply_active_runs(view, reply);
    end_missing_runs(view, reply, sent);
}

void run_driver::apply_ended_runs(server_view& view, const poll_reply& reply)
{
    jobs::end_runs batch;
    batch.server = view.report.id;
    batch.incarnation_id = view.report.incarnation_id;
    for (const ended_run& e : reply.ended) {
        if (e.sequence <= view.last_collected_end) {
            continue;
        }
        view.last_collected_end = e.sequence;
        batch.last_reported_end = e.sequence;
        run_view* run = find_run(view.report.id, e.run);
        if (run == nullptr) {
            log::info("unknown_run_ended", {{"task", e.run.task.text()},
                                            {"attempt", e.run.attempt},
                                            {"server", view.report.id.str()},
                                            {"life", view.report.incarnation_id},
                                            {"how", jobs::name_of(e.outcome)}});
        }
        if (run == nullptr || run->end_proposed) {
            continue;
        }
        run->end_proposed = true;
        run->record_execution(view.report.incarnation_id);
        batch.ends.push_back(
            {e.run, e.outcome, may_store(e.checkpoint) ? e.checkpoint : run->checkpoint});
        context_.counters.count(fmt::format("runs_ended_{}", jobs::name_of(e.outcome)));
        log::info("run_ended", {{"task", e.run.task.text()},
                                {"attempt", e.run.attempt},
                                {"server", view.report.id.str()},
                                {"life", view.report.incarnation_id},
                                {"how", jobs::name_of(e.outcome)}});
    }
    if (batch.last_reported_end > 0) {
        propose_ends(std::move(batch));
    }
}

void run_driver::apply_active_runs(server_view& view, const poll_reply& reply)
{
    const mono_time now = context_.now();
    view.unknown_runs = 0;
    for (const active_run& a : reply.active) {
        run_view* run = find_run(view.report.id, a.run);
        if (run == nullptr && !context_.has_leader_lease()) {
            // Another leader may have started it.
            ++view.unknown_runs;
            continue;
        }
        if (run == nullptr) {
            // The log has no such run, or has recorded its end.
            const jobs::task* known = context_.state().find(a.run.task);
            log::warning("stray_run", {{"task", a.run.task.text()},
                                       {"attempt", a.run.attempt},
                                       {"server", view.report.id.str()},
                                       {"life", view.report.incarnation_id},
                                       {"term", term_},
                                       {"clock_ms", reply.clock_ms},
                                       {"logged_attempt", known == nullptr ? 0 : known->attempt}});
            context_.counters.count("stray_runs");
            ++view.unknown_runs;
            send_order(view, stop_order{a.run, view.fence.token()},
                       [](server_answer&& /*answer*/) {});
            continue;
        }
        if (run->listed_in == 0 && is_of_earlier_incarnation(view, a.run.task)) {
            // The server restarted before it executed the start, so the run is where the log says.
            log::info("start_taken_by_later_life", {{"task", a.run.task.text()},
                                                    {"attempt", a.run.attempt},
                                                    {"server", view.report.id.str()},
                                                    {"life", view.report.incarnation_id}});
        }
        if (run->stage == run_stage::in_doubt && run->stop_reason.empty()) {
            log::info("start_seen_running", {{"task", a.run.task.text()},
                                             {"attempt", a.run.attempt},
                                             {"server", view.report.id.str()}});
        }
        if (run->stage != run_stage::in_doubt || run->stop_reason.empty()) {
            run->stage = run_stage::confirmed;
        }
        run->record_execution(view.report.incarnation_id);
        run->visible_from = run->visible_from.value_or(now);
        run->percent = a.percent;
        run->load_metric = a.load_metric;
        if (may_store(a.checkpoint)) {
            run->checkpoint = a.checkpoint;
        }
        if (a.percent < 100) {
            run->ready_since.reset();
        } else if (!run->ready_since) {
            run->ready_since = now;
        }
    }
}

void run_driver::end_missing_runs(server_view& view, const poll_reply& reply, mono_time sent)
{
    // A reply with this many ends may not list all of them, so a missing run may have ended.
    constexpr std::size_t ends_per_reply = 500;
    if (reply.ended.size() >= ends_per_reply) {
        return;
    }
    std::set<jobs::run_id> listed;
    for (const active_run& a : reply.active) {
        listed.insert(a.run);
    }
    for (auto& [task, run] : view.runs) {
        if (run.end_proposed) {
            continue;
        }
        const jobs::run_id name{task, run.attempt};
        if (run.stage == run_stage::inherited && run.stop_reason.empty() &&
            !listed.contains(name) && !is_of_earlier_incarnation(view, task)) {
            // The server refuses the starts of the earlier leader, whose token is lower.
            run.stage = run_stage::in_doubt;
            run.in_doubt_since = sent;
            run.starts_sent = 1;
            run.record_unanswered_start(0, leading_since_ + max_order_delay);
        }
        const bool unconfirmed = run.stage == run_stage::in_doubt && !listed.contains(name);
        if (unconfirmed && !run.stop_acknowledged && run.in_doubt_since <= sent) {
            resolve_missing_start(view, task, run);
        }
        const bool must_be_listed =
            run.stage == run_stage::inherited || (run.visible_from && *run.visible_from < sent);
        if (run.end_proposed || listed.contains(name) || !must_be_listed) {
            continue;
        }
        const bool started = run.stage != run_stage::in_doubt;
        const bool restarted = run.listed_in == 0 ? is_of_earlier_incarnation(view, task)
                                                  : run.listed_in < view.report.incarnation_id;
        const run_outcome outcome = restarted ? outcome_of_lost_run(view, run, true)
                                    : started ? run_outcome::lost_unsuspected
                                              : run_outcome::not_begun;
        propose_end(name, outcome, "", "not_on_the_server");
    }
}

} // namespace fescue::fleet
