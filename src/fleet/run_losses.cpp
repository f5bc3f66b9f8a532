#include "run_driver.h"

#include "run_timing.h"

#include "fescuestream/base/log.h"

#include <fmt/format.h>

#include <algorithm>

namespace fescue::fleet {

using jobs::run_outcome;

bool run_driver::is_replaced(const server_view& view) const
{
    return !view.report.address.empty() && std::ranges::any_of(servers_, [&](const auto& entry) {
        const jobs::server_report& other = entry.second.report;
        return other.address == view.report.address &&
               other.incarnation_id > view.report.incarnation_id;
    });
}

bool run_driver::ran_only_sound_jobs(const server_view& view, const jobs::job_id& except) const
{
    const auto& records = context_.state().crash_records;
    const auto is_this_loss = [&](const jobs::run_loss& loss) {
        return loss.server == view.report.id && loss.incarnation_id == view.report.incarnation_id;
    };
    bool has_sound_run = false;
    for (const auto& [task, run] : view.runs) {
        const auto record = records.find(task);
        has_sound_run = has_sound_run || record == records.end() ||
                        std::ranges::all_of(record->second.losses(), is_this_loss);
        if (task.job == except) {
            return false;
        }
    }
    // Runs that have ended as lost are known from their records.
    for (const auto& [task, record] : records) {
        if (std::ranges::any_of(record.losses(), is_this_loss)) {
            if (task.job == except) {
                return false;
            }
            has_sound_run = has_sound_run || record.losses().size() == 1;
        }
    }
    return has_sound_run;
}

bool run_driver::was_lost_with_others(const server_view& view) const
{
    const auto runs_one_job = [&] {
        return std::ranges::all_of(view.runs, [&](const auto& entry) {
            return entry.first.job == view.runs.begin()->first.job;
        });
    };
    if (view.runs.empty() || view.last_poll_sent == mono_time{} || !runs_one_job()) {
        return false;
    }
    const jobs::job_id& job = view.runs.begin()->first.job;
    return std::ranges::any_of(servers_, [&](const auto& entry) {
        const server_view& other = entry.second;
        const auto apart = std::chrono::abs(other.last_poll_sent - view.last_poll_sent);
        return &other != &view && other.last_poll_sent != mono_time{} &&
               apart <= max_loss_interval && (other.unresponsive() || is_replaced(other)) &&
               ran_only_sound_jobs(other, job);
    });
}

run_outcome run_driver::outcome_of_lost_run(const server_view& view, const run_view& run,
                                            bool has_crashed) const
{
    const bool announced = view.has_shut_down || view.report.leaving;
    const bool was_at_work =
        run.long_running && run.ready_since && context_.now() - *run.ready_since >= trial_run_time;
    if (announced || was_at_work) {
        return run_outcome::lost_unsuspected;
    }
    if (was_lost_with_others(view)) {
        return has_crashed ? run_outcome::server_crashed_with_others
                           : run_outcome::lost_with_others;
    }
    return has_crashed ? run_outcome::server_crashed : run_outcome::lost;
}

bool run_driver::is_of_earlier_incarnation(const server_view& view, const jobs::task_id& task) const
{
    const jobs::task* t = context_.state().find(task);
    return t != nullptr && t->incarnation_id != 0 && t->incarnation_id < view.report.incarnation_id;
}

std::optional<run_outcome> run_driver::corrected_outcome(const jobs::run_loss& loss,
                                                         mono_time known_since) const
{
    const auto found = servers_.find(loss.server);
    if (found != servers_.end()) {
        const server_view& view = found->second;
        if (view.report.incarnation_id > loss.incarnation_id || is_replaced(view)) {
            return run_outcome::server_crashed;
        }
        // The server was unreachable when the run was lost and has been polled since.
        if (view.report.incarnation_id == loss.incarnation_id && view.fenced && view.misses == 0) {
            return run_outcome::lost_unsuspected;
        }
    }
    return context_.now() - known_since >= max_restart_time
               ? std::optional{run_outcome::lost_unsuspected}
               : std::nullopt;
}

bool run_driver::has_passed_trial(const jobs::task_id& task) const
{
    const run_view* run = find_run_view(task);
    return run != nullptr && run->long_running && run->ready_since &&
           context_.now() - *run->ready_since >= trial_run_time;
}

void run_driver::resolve_lost_runs()
{
    const mono_time now = context_.now();
    if (now < next_loss_check_) {
        return;
    }
    next_loss_check_ = now + loss_check_interval;
    std::map<jobs::run_id, mono_time> unresolved;
    for (const auto& [task, record] : context_.state().crash_records) {
        const jobs::task* t = context_.state().find(task);
        if (t == nullptr || t->phase == jobs::task_phase::done) {
            continue;
        }
        const bool cleared = has_passed_trial(task);
        for (const jobs::run_loss& loss : record.losses()) {
            const bool current =
                t->phase == jobs::task_phase::running && t->attempt == loss.attempt;
            if (current || (loss.crashed && !cleared)) {
                continue;
            }
            const jobs::run_id run{task, loss.attempt};
            const auto known = unresolved_losses_.find(run);
            const mono_time since = known == unresolved_losses_.end() ? now : known->second;
            unresolved.emplace(run, since);
            const auto outcome = cleared ? std::optional{run_outcome::lost_unsuspected}
                                         : corrected_outcome(loss, since);
            if (outcome) {
                log::info("lost_run_resolved", {{"task", task.text()},
                                                {"attempt", loss.attempt},
                                                {"server", loss.server.str()},
                                                {"life", loss.incarnation_id},
                                                {"how", jobs::name_of(*outcome)}});
                pending_ends_.ends.push_back({run, *outcome, ""});
            }
        }
    }
    unresolved_losses_ = std::move(unresolved);
}

void run_driver::log_suspects(const jobs::end_runs& cmd) const
{
    const jobs::state& state = context_.state();
    for (const jobs::end_run& e : cmd.ends) {
        const auto found = state.crash_records.find(e.run.task);
        if (!jobs::has_crashed(e.outcome) || found == state.crash_records.end()) {
            continue;
        }
        const jobs::crash_record& record = found->second;
        std::string servers;
        bool alone = false;
        for (const jobs::run_loss& loss : record.losses()) {
            servers += fmt::format("{}{}:{}", servers.empty() ? "" : ",", loss.server.str(),
                                   loss.incarnation_id);
            alone = alone || (loss.attempt == e.run.attempt && loss.alone);
        }
        log::info("task_suspected", {{"task", e.run.task.text()},
                                     {"attempt", e.run.attempt},
                                     {"alone", alone},
                                     {"crashes", record.crashes()},
                                     {"crashes_alone", record.crashes_alone()},
                                     {"losses", record.losses().size()},
                                     {"servers", servers}});
        const auto job = state.jobs.find(e.run.task.job);
        if (record.is_culprit() && job != state.jobs.end() &&
            job->second.phase == jobs::job_phase::failed) {
            log::warning("job_given_up", {{"job", e.run.task.job.text()},
                                          {"task", e.run.task.text()},
                                          {"why", "its task crashes servers"},
                                          {"crashes", record.crashes()},
                                          {"crashes_alone", record.crashes_alone()},
                                          {"servers", servers}});
            context_.counters.count("jobs_given_up");
        }
    }
}

} // namespace fescue::fleet
