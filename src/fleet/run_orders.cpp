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
    if (run == nullptr || !run->stop_reason.empty()) {
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
    send_order(view, stop_order{name, term_},
               [this, id = view.report.id, name, term = term_](server_answer&& answer) {
                   --outstanding_orders_;
                   if (leading_ && term == term_) {
                       on_stop_reply(id, name, std::get<order_reply>(answer));
                   }
               });
}

void run_driver::on_stop_reply(const server_id& id, const jobs::run_id& name,
                               const order_reply& reply)
{
    run_view* run = find_run(id, name);
    if (run == nullptr) {
        return;
    }
    run->stop_in_flight = false;
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

void run_driver::send_start(server_view& view, const task_id& task, run_view& run)
{
    const mono_time now = context_.now();
    start_order order;
    order.run = {task, run.attempt};
    order.payload = context_.state().jobs.at(task.job).spec.payload;
    order.lease_end_ms = renew_lease(view, now);
    order.fencing_token = term_;
    order.checkpoint = context_.state().find(task)->checkpoint;
    ++outstanding_orders_;
    context_.counters.count("run_starts");
    const jobs::run_id name = order.run;
    log::info("run_ordered", {{"task", task.text()},
                              {"attempt", run.attempt},
                              {"server", view.report.id.str()},
                              {"life", view.report.incarnation_id},
                              {"term", term_},
                              {"lease_end_ms", order.lease_end_ms}});
    send_order(view, order,
               [this, id = view.report.id, name, now, term = term_](server_answer&& answer) {
                   --outstanding_orders_;
                   if (leading_ && term == term_) {
                       on_start_reply(id, name, std::get<order_reply>(answer), now);
                   }
               });
}

void run_driver::on_start_reply(const server_id& id, const jobs::run_id& name,
                                const order_reply& reply, mono_time sent)
{
    run_view* run = find_run(id, name);
    if (run == nullptr) {
        return;
    }
    server_view& view = servers_.at(id);
    const mono_time now = context_.now();
    context_.counters.observe(latency_kind::server_order, now - sent);
    if (reply.clock_ms) {
        view.clock.record_reading(*reply.clock_ms, now);
    }
    if (reply.result == order_result::accepted) {
        run->stage = run_stage::confirmed;
        run->visible_from = now;
        view.misses = 0;
        view.next_poll = std::min(view.next_poll, now + poll_interval());
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
        // The run may have started; it is stopped only if a later poll does not list it.
        ++view.misses;
        run->stage = run_stage::in_doubt;
        run->in_doubt_since = now;
        view.next_poll = now;
        return;
    }
    view.misses += reply.result == order_result::not_sent ? 1 : 0;
    propose_end(name, run_outcome::not_begun, "", "refused");
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
    send_order(*view, throttle_order{name, percent, term_},
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
