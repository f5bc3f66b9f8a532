#include "run_driver.h"

#include "run_timing.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace fescue::fleet {

using jobs::run_outcome;
using jobs::task_id;

void run_driver::stop(const task_id& task, const std::string& reason)
{
    const auto [view, run] = locate(task);
    // Unlike the other reasons, maintenance waits for other tasks and may be withdrawn.
    const bool is_final =
        run != nullptr && !run->stop_reason.empty() && run->stop_reason != maintenance_stop;
    if (run == nullptr || is_final || run->stop_reason == reason) {
        return;
    }
    run->stop_reason = reason;
    log::info("run_stop", {{"task", task.text()},
                           {"attempt", run->attempt},
                           {"server", view->report.id.str()},
                           {"why", reason}});
    send_stop(*view, task, *run);
}

void run_driver::stop_job_runs(const jobs::job_id& job, const std::string& reason)
{
    std::vector<task_id> tasks;
    for (const auto& [id, view] : servers_) {
        const auto first = view.runs.lower_bound(task_id{job, 0, 0, 0});
        for (auto at = first; at != view.runs.end() && at->first.job == job; ++at) {
            tasks.push_back(at->first);
        }
    }
    for (const task_id& t : tasks) {
        stop(t, reason);
    }
}

void run_driver::stop_gang(const task_id& task)
{
    const auto* spec = context_.state().find_step_spec(task);
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
    if (run.stop_in_flight || view.report.address.empty() || view.has_shut_down ||
        !context_.has_leader_lease()) {
        return;
    }
    run.stop_in_flight = true;
    run.last_stop_attempt = context_.now();
    const jobs::run_id name{task, run.attempt};
    ++outstanding_orders_;
    send_order(view, stop_order{name, view.fence.token()},
               [this, id = view.report.id, incarnation_id = view.report.incarnation_id, name,
                term = term_](server_answer&& answer) {
                   --outstanding_orders_;
                   if (leading_ && term == term_) {
                       on_stop_reply(id, incarnation_id, name, std::get<order_reply>(answer));
                   }
               });
}

void run_driver::order_stop_again(server_view& view, const task_id& task, run_view& run)
{
    if (run.stop_reason != maintenance_stop) {
        send_stop(view, task, run);
        return;
    }
    const bool is_wanted = view.cordoned || view.draining;
    if (is_wanted && (!run.long_running || may_be_stopped_for_maintenance(task))) {
        send_stop(view, task, run);
    } else if (!is_wanted && context_.now() - run.last_stop_attempt >= max_order_delay) {
        // No earlier copy can arrive any more.
        log::info(
            "stop_withdrawn",
            {{"task", task.text()}, {"attempt", run.attempt}, {"server", view.report.id.str()}});
        run.stop_reason.clear();
        run.stop_failure_logged = false;
    }
}

void run_driver::on_stop_reply(const server_id& id, incarnation incarnation_id,
                               const jobs::run_id& name, const order_reply& reply)
{
    run_view* run = find_run(id, name);
    if (run == nullptr) {
        return;
    }
    run->stop_in_flight = false;
    if (servers_.at(id).report.incarnation_id != incarnation_id) {
        return; // The next incarnation does not know of the stop.
    }
    if (reply.result == order_result::accepted || reply.result == order_result::outdated) {
        run->stop_acknowledged = true;
        run->visible_from = context_.now();
        servers_.at(id).next_poll = std::min(servers_.at(id).next_poll, context_.now());
        return;
    }
    if (!run->stop_failure_logged) {
        run->stop_failure_logged = true;
        log::info(
            "stop_not_taken",
            {{"task", name.task.text()}, {"server", id.str()}, {"answer", name_of(reply.result)}});
    }
}

void run_driver::send_order(const server_view& view, const server_order& order,
                            relay::callback done)
{
    context_.order_relay.send(view.report.data_centre, {view.report.address, view.report.id}, order,
                              std::move(done));
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

void run_driver::order_start(server_view& view, const task_id& task, run_view& run)
{
    const bool is_first = run.starts_sent == 0;
    const start_check check{context_.state(),
                            context_.settings.bounds,
                            view,
                            task,
                            run.starts_sent,
                            context_.has_leader_lease(),
                            is_first || run.started_while_draining,
                            context_.now()};
    const start_obstacle obstacle = find_obstacle(check);
    if (obstacle == start_obstacle::none) {
        send_start(view, task, run);
    } else if (is_first || !clears_with_next_poll(obstacle)) {
        log_withheld_start(check, run, obstacle);
        context_.counters.count(fmt::format("starts_withheld_{}", name_of(obstacle)));
        propose_end({task, run.attempt}, run_outcome::not_begun, "", "start_withheld");
    }
}

void run_driver::log_withheld_start(const start_check& c, const run_view& run,
                                    start_obstacle obstacle)
{
    const jobs::job& job = c.state.jobs.at(c.task.job);
    const jobs::resources need = c.state.find_step_spec(c.task)->need;
    const jobs::resources others = usage_of_others(c.state, c.task);
    const jobs::resources* found = find_cap(c.state, job.account);
    const jobs::resources cap = found == nullptr ? jobs::resources{} : *found;
    const jobs::resources free = c.server.free();
    log::info("start_withheld", {{"task", c.task.text()},
                                 {"attempt", run.attempt},
                                 {"server", c.server.report.id.str()},
                                 {"why", name_of(obstacle)},
                                 {"copies", c.copies},
                                 {"version", c.state.doc.version},
                                 {"account", job.account.str()},
                                 {"need_cpu", need.cpu_milli},
                                 {"others_cpu", others.cpu_milli},
                                 {"cap_cpu", cap.cpu_milli},
                                 {"need_mb", need.memory_mb},
                                 {"others_mb", others.memory_mb},
                                 {"cap_mb", cap.memory_mb},
                                 {"others_accelerators", others.accelerators},
                                 {"cap_accelerators", cap.accelerators},
                                 {"free_cpu", free.cpu_milli},
                                 {"free_mb", free.memory_mb},
                                 {"pool", c.state.current_terms(job).pool.str()},
                                 {"server_pool", c.server.report.pool.str()}});
}

void run_driver::send_start(server_view& view, const task_id& task, run_view& run)
{
    const mono_time now = context_.now();
    run.stage = run_stage::ordered;
    run.start_token = view.fence.token();
    ++run.starts_sent;
    start_order order;
    order.run = {task, run.attempt};
    order.payload = context_.state().jobs.at(task.job).spec.payload;
    order.lease_end_ms = renew_lease(view, now);
    order.fencing_token = run.start_token;
    order.checkpoint = context_.state().find(task)->checkpoint;
    ++outstanding_orders_;
    context_.counters.count("run_starts");
    const jobs::run_id name = order.run;
    log::info("run_ordered", {{"task", task.text()},
                              {"attempt", run.attempt},
                              {"server", view.report.id.str()},
                              {"life", view.report.incarnation_id},
                              {"copy", run.starts_sent},
                              {"term", term_},
                              {"token", order.fencing_token},
                              {"lease_end_ms", order.lease_end_ms}});
    send_order(view, order,
               [this, id = view.report.id, name, now, token = order.fencing_token,
                term = term_](server_answer&& answer) {
                   --outstanding_orders_;
                   if (leading_ && term == term_) {
                       on_start_reply(id, name, std::get<order_reply>(answer), {now, token});
                   }
               });
}

void run_driver::on_start_reply(const server_id& id, const jobs::run_id& name,
                                const order_reply& reply, const sent_order& order)
{
    run_view* run = find_run(id, name);
    if (run == nullptr) {
        return;
    }
    server_view& view = servers_.at(id);
    const mono_time now = context_.now();
    const mono_time sent = order.at;
    context_.counters.observe(latency_kind::server_order, now - sent);
    const bool from_later_incarnation =
        reply.clock_ms && sent >= view.restarted_at && view.clock.is_before(*reply.clock_ms, sent);
    // Another server's reply carries another clock.
    const bool from_this_server = reply.result != order_result::wrong_server;
    if (reply.clock_ms && from_this_server && sent >= view.restarted_at) {
        view.clock.record_reading(*reply.clock_ms, now);
    }
    if (reply.result == order_result::accepted) {
        run->stage = run_stage::confirmed;
        if (sent >= view.restarted_at) {
            view.confirm_fence(order.fencing_token, now, max_run_lease());
        }
        if (from_later_incarnation) {
            run->started_by_later_incarnation = true;
            log::info("start_taken_after_restart", {{"task", name.task.text()},
                                                    {"attempt", name.attempt},
                                                    {"server", id.str()},
                                                    {"life", view.report.incarnation_id},
                                                    {"clock_ms", *reply.clock_ms}});
        }
        run->visible_from = now;
        view.misses = 0;
        view.next_poll = std::min(view.next_poll, now + scheduler::poll_interval(busy_servers_));
        return;
    }
    if (reply.result == order_result::fenced && order.fencing_token < view.fence.token()) {
        // An order of this leader with a higher token has overtaken the start.
        run->stage = run_stage::in_doubt;
        run->in_doubt_since = now;
        view.next_poll = now;
        return;
    }
    context_.counters.count(fmt::format("starts_refused_{}", name_of(reply.result)));
    log::info("start_not_taken",
              {{"task", name.task.text()},
               {"attempt", name.attempt},
               {"server", id.str()},
               {"answer", name_of(reply.result)},
               {"after_ms", std::chrono::duration_cast<milliseconds>(now - sent).count()}});
    view.refused_until = now + refusal_backoff;
    view.capacity_outdated = view.capacity_outdated || reply.result == order_result::no_room;
    if (reply.result == order_result::unknown) {
        ++view.misses;
        if (run->listed_in == view.report.incarnation_id && run->starts_sent == 1) {
            // A poll has listed the run, so the only copy has been executed.
            view.next_poll = now;
            return;
        }
        // The run may have started, which a later poll shows.
        run->record_unanswered_start(order.fencing_token, sent + max_order_delay);
        run->stage = run_stage::in_doubt;
        run->in_doubt_since = now;
        if (order.fencing_token == view.fence.token()) {
            view.raise_fence(tokens_.issue());
        }
        view.next_poll = now;
        return;
    }
    view.misses += reply.result == order_result::not_sent ? 1 : 0;
    if (reply.result == order_result::outdated) {
        // The run has ended or was stopped; only the lists of a later poll tell how.
        run->stage = run_stage::in_doubt;
        run->stop_acknowledged = true;
        run->visible_from = now;
        view.next_poll = now;
        return;
    }
    if (run->starts_unanswered > 0) {
        // The refusal does not cover the copies without an answer.
        run->stage = run_stage::in_doubt;
        run->in_doubt_since = now;
        view.next_poll = std::min(view.next_poll, now + refusal_backoff);
        return;
    }
    propose_end(name, run_outcome::not_begun, "", "refused");
}

void run_driver::resolve_missing_start(server_view& view, const task_id& task, run_view& run)
{
    if (view.may_execute_start(run, context_.now())) {
        // A poll with a higher fencing token decides.
        return;
    }
    const jobs::run_id name{task, run.attempt};
    if (is_of_earlier_incarnation(view, task) || run.listed_in != 0) {
        propose_end(name, outcome_of_lost_run(view, run, true), "", "not_on_the_server");
        return;
    }
    if (!run.stop_reason.empty()) {
        propose_end(name, run_outcome::not_begun, "", "not_on_the_server");
        return;
    }
    // The server refuses the earlier copies.
    order_start(view, task, run);
}

void run_driver::throttle(const task_id& task, int percent)
{
    const auto [view, run] = locate(task);
    if (run == nullptr || run->speed_percent == percent || run->throttle_in_flight ||
        run->stage != run_stage::confirmed || !context_.has_leader_lease()) {
        return;
    }
    run->throttle_in_flight = true;
    const jobs::run_id name{task, run->attempt};
    send_order(*view, throttle_order{name, percent, view->fence.token()},
               [this, id = view->report.id, name, percent, term = term_](server_answer&& answer) {
                   run_view* current = leading_ && term == term_ ? find_run(id, name) : nullptr;
                   if (current == nullptr) {
                       return;
                   }
                   current->throttle_in_flight = false;
                   const auto reply = std::get<order_reply>(answer);
                   if (reply.result == order_result::accepted) {
                       current->speed_percent = percent;
                   }
               });
}

} // namespace fescue::fleet
