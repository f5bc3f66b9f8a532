#include "fescuestream/jobs/state.h"

#include "fescuestream/base/codec.h"

#include <cereal/types/set.hpp>

#include <algorithm>

namespace fescue::jobs {

namespace {

task* find_task(state& s, const task_id& id)
{
    return const_cast<task*>(std::as_const(s).find(id)); // NOLINT: s itself is not const.
}

occurrence make_occurrence(const job_spec& spec)
{
    occurrence opened;
    opened.steps.resize(spec.steps.size());
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        opened.steps[i].tasks.resize(spec.steps[i].tasks);
    }
    return opened;
}

void remove_crash_records(state& s, const job_id& id)
{
    const auto first = s.crash_records.lower_bound(task_id{id, 0, 0, 0});
    const auto last = std::find_if(first, s.crash_records.end(),
                                   [&](const auto& entry) { return entry.first.job != id; });
    s.crash_records.erase(first, last);
}

void remove_crash_records(state& s, const job_id& id, std::uint32_t occurrence)
{
    const auto first = s.crash_records.lower_bound(task_id{id, occurrence, 0, 0});
    const auto last = std::find_if(first, s.crash_records.end(), [&](const auto& entry) {
        return entry.first.job != id || entry.first.occurrence != occurrence;
    });
    s.crash_records.erase(first, last);
}

void set_checkpoint(state& s, task& t, const std::string& checkpoint)
{
    s.checkpoint_bytes += checkpoint.size();
    s.checkpoint_bytes -= t.checkpoint.size();
    t.checkpoint = checkpoint;
}

std::size_t count_checkpoint_bytes(const job& j)
{
    std::size_t bytes = 0;
    for (const auto& [number, o] : j.occurrences) {
        for (const step& st : o.steps) {
            for (const task& t : st.tasks) {
                bytes += t.checkpoint.size();
            }
        }
    }
    return bytes;
}

/** Frees the spec and the occurrences of an ended job once none of its tasks run. */
void release_ended_job(state& s, const job_id& id, job& j)
{
    if (has_ended(j.phase)) {
        s.recurring_jobs.erase(id);
    }
    if (has_ended(j.phase) && j.running == 0) {
        s.checkpoint_bytes -= count_checkpoint_bytes(j);
        j.spec = {};
        j.occurrences.clear();
        s.active_jobs.erase(id);
        if (j.phase != job_phase::failed) {
            remove_crash_records(s, id);
        }
    }
}

void end_job(state& s, const job_id& id, job& j, job_phase phase, wall_ms now)
{
    j.phase = phase;
    j.ended_at = now;
    release_ended_job(s, id, j);
}

void add_to_run_index(state& s, const task_id& id, const task& t, const job& j)
{
    s.runs[t.server].insert(id);
    s.in_use[j.account] += j.spec.steps[id.step].need;
}

void remove_from_run_index(state& s, const task_id& id, const task& t, const job& j)
{
    const auto server_runs = s.runs.find(t.server);
    if (server_runs != s.runs.end()) {
        server_runs->second.erase(id);
        if (server_runs->second.empty()) {
            s.runs.erase(server_runs);
            s.frozen_leases.erase(t.server);
        }
    }
    s.in_use[j.account] -= j.spec.steps[id.step].need;
}

void apply_begin_run(state& s, const start_run& cmd)
{
    const task_id& id = cmd.run.task;
    task* started = find_task(s, id);
    const auto found = s.jobs.find(id.job);
    if (started == nullptr || has_ended(found->second.phase) ||
        started->phase != task_phase::waiting || cmd.run.attempt <= started->attempt) {
        return;
    }
    job& owner = found->second;
    step& task_step = owner.occurrences.at(id.occurrence).steps[id.step];
    started->phase = task_phase::running;
    started->attempt = cmd.run.attempt;
    started->server = cmd.server;
    started->incarnation_id = cmd.incarnation_id;
    ++task_step.running;
    ++owner.running;
    if (owner.phase == job_phase::pending) {
        owner.phase = job_phase::in_progress;
    }
    add_to_run_index(s, id, *started, owner);
}

void mark_task_done(state& s, step& st, task& t)
{
    t.phase = task_phase::done;
    set_checkpoint(s, t, {});
    ++st.done;
}

/** Counts the task's occurrence if it is done, frees it, and completes the job after the last one.
 */
void complete_occurrence_if_done(state& s, const task_id& id, job& j, wall_ms now)
{
    const auto current = j.occurrences.find(id.occurrence);
    if (has_ended(j.phase) || !current->second.is_done()) {
        return;
    }
    ++j.occurrences_done;
    if (j.occurrences_done >= std::max<std::uint32_t>(1, j.spec.schedule.times)) {
        end_job(s, id.job, j, job_phase::completed, now);
    } else {
        j.occurrences.erase(current);
        remove_crash_records(s, id.job, id.occurrence);
    }
}

/** Marks the waiting members of a gang as done: one successful run completes the whole gang. */
void mark_waiting_members_done(state& s, step& st)
{
    for (task& t : st.tasks) {
        if (t.phase == task_phase::waiting) {
            mark_task_done(s, st, t);
        }
    }
}

void record_failed_run(state& s, const task_id& id, job& j, task& t, wall_ms now)
{
    ++t.failed_runs;
    const bool attempts_exhausted = s.has_used_attempts(j, j.spec.steps[id.step], t);
    if (attempts_exhausted && !has_ended(j.phase)) {
        end_job(s, id.job, j, job_phase::failed, now);
    }
}

void fail_job_of_culprit(state& s, const task_id& id, wall_ms now)
{
    job& j = s.jobs.at(id.job);
    if (s.crash_records[id].is_culprit() && !has_ended(j.phase)) {
        end_job(s, id.job, j, job_phase::failed, now);
    }
}

/** Applies what became known of the server of a run that has already ended as lost. */
bool correct_lost_run(state& s, const end_run& cmd, const task& t, wall_ms now)
{
    const auto found = s.crash_records.find(cmd.run.task);
    if (found == s.crash_records.end() || t.phase == task_phase::done) {
        return false;
    }
    if (cmd.outcome == run_outcome::lost_unsuspected) {
        const bool changed = found->second.dismiss(cmd.run.attempt);
        if (found->second.empty()) {
            s.crash_records.erase(found);
        }
        return changed;
    }
    const bool changed = has_crashed(cmd.outcome) && found->second.confirm(cmd.run.attempt);
    if (changed) {
        fail_job_of_culprit(s, cmd.run.task, now);
    }
    return changed;
}

/** @return whether the server incarnation of the run has no run of another job. */
bool is_alone(const state& s, const task_id& id, const task& t)
{
    return std::ranges::all_of(s.runs.at(t.server), [&](const task_id& other) {
        return other.job == id.job || s.find(other)->incarnation_id != t.incarnation_id;
    });
}

void record_loss(state& s, const end_run& cmd, const task& t)
{
    const task_id& id = cmd.run.task;
    if (may_have_crashed(cmd.outcome)) {
        // Of two servers that crash together, each is evidence against a cause on the other.
        const bool alone = is_alone(s, id, t) && !was_lost_with_others(cmd.outcome);
        const bool crashed = has_crashed(cmd.outcome);
        s.crash_records[id].add({t.attempt, t.server, t.incarnation_id, alone, crashed});
    } else if (const auto found = s.crash_records.find(id); found != s.crash_records.end()) {
        found->second.dismiss(t.attempt);
        if (found->second.empty()) {
            s.crash_records.erase(found);
        }
    }
}

/** Records that the runs still on a server shared it with a lost run. They may be ended later, when
 * the others are no longer listed. */
void record_companions(state& s, const server_id& server, incarnation incarnation_id)
{
    const auto found = s.runs.find(server);
    if (found == s.runs.end()) {
        return;
    }
    for (const task_id& id : found->second) {
        const task& t = *s.find(id);
        if (t.incarnation_id == incarnation_id) {
            s.crash_records[id].add({t.attempt, server, incarnation_id, false, false});
        }
    }
}

/** @return the task if the run that the command ends is its current one, or nullptr. */
const task* find_current_run(const state& s, const run_id& run)
{
    const task* t = s.find(run.task);
    return t != nullptr && t->phase == task_phase::running && t->attempt == run.attempt ? t
                                                                                        : nullptr;
}

bool apply_end_run(state& s, const end_run& cmd, wall_ms now)
{
    const task_id& id = cmd.run.task;
    task* ended = find_task(s, id);
    if (ended == nullptr) {
        return false;
    }
    if (ended->phase != task_phase::running || ended->attempt != cmd.run.attempt) {
        return correct_lost_run(s, cmd, *ended, now);
    }
    job& owner = s.jobs.at(id.job);
    step& task_step = owner.occurrences.at(id.occurrence).steps[id.step];
    remove_from_run_index(s, id, *ended, owner);
    --task_step.running;
    --owner.running;
    ended->phase = task_phase::waiting;
    if (!cmd.checkpoint.empty()) {
        set_checkpoint(s, *ended, cmd.checkpoint);
    }
    const step_spec& spec = owner.spec.steps[id.step];
    const bool succeeded = cmd.outcome == run_outcome::done && !spec.long_running;
    // One successful member completes the gang; the others count as done however they end.
    const bool gang_is_done = spec.gang && task_step.done > 0;
    if (succeeded || gang_is_done) {
        mark_task_done(s, task_step, *ended);
        s.crash_records.erase(id);
        if (spec.gang) {
            mark_waiting_members_done(s, task_step);
        }
        complete_occurrence_if_done(s, id, owner, now);
    } else if (cmd.outcome == run_outcome::failed) {
        record_failed_run(s, id, owner, *ended, now);
    } else if (has_crashed(cmd.outcome)) {
        fail_job_of_culprit(s, id, now);
    }
    release_ended_job(s, id.job, owner);
    return true;
}

outcome apply_command(state& /*s*/, const no_operation& /*cmd*/)
{
    return {};
}

outcome apply_command(state& s, const put_document& cmd)
{
    if (cmd.doc.version <= s.doc.version) {
        return {};
    }
    s.doc = cmd.doc;
    return {std::nullopt, true};
}

outcome apply_command(state& s, const set_data_centre& cmd)
{
    const bool changed = cmd.in_service ? s.out_of_service.erase(cmd.id) > 0
                                        : s.out_of_service.insert(cmd.id).second;
    return {std::nullopt, changed};
}

outcome apply_command(state& s, const submit_job& cmd)
{
    if (s.jobs.contains(cmd.id)) {
        return {};
    }
    if (s.refused.contains(cmd.account, cmd.id)) {
        return {error{error_kind::not_found, "the job was cancelled before it arrived"}, false};
    }
    job new_job;
    new_job.queue = cmd.queue;
    new_job.terms = cmd.terms;
    new_job.account = cmd.account;
    new_job.spec = cmd.spec;
    new_job.accepted_at = cmd.now;
    if (cmd.spec.schedule.times == 0) {
        new_job.occurrences.emplace(0, make_occurrence(cmd.spec));
        new_job.occurrences_opened = 1;
    }
    s.jobs.emplace(cmd.id, std::move(new_job));
    s.active_jobs.insert(cmd.id);
    if (cmd.spec.schedule.times > 0) {
        s.recurring_jobs.insert(cmd.id);
    }
    return {std::nullopt, true};
}

outcome apply_command(state& s, const cancel_job& cmd)
{
    const auto found = s.jobs.find(cmd.id);
    if (found == s.jobs.end()) {
        return {error{error_kind::not_found, "the job does not exist"}, false};
    }
    if (has_ended(found->second.phase)) {
        return {};
    }
    end_job(s, cmd.id, found->second, job_phase::cancelled, cmd.now);
    return {std::nullopt, true};
}

outcome apply_command(state& s, const refuse_job& cmd)
{
    if (const auto found = s.jobs.find(cmd.id);
        found != s.jobs.end() && found->second.account == cmd.account) {
        return {error{error_kind::conflict, "the job was accepted meanwhile"}, false};
    }
    if (s.refused.contains(cmd.account, cmd.id)) {
        return {};
    }
    if (!s.refused.has_room(cmd.account)) {
        return {error{error_kind::at_limit, "too many jobs were cancelled before they arrived"},
                false};
    }
    s.refused.add(cmd.account, cmd.id);
    return {std::nullopt, true};
}

outcome apply_command(state& s, const rotate_refused_jobs& cmd)
{
    s.refused.rotate(cmd.number);
    return {std::nullopt, true};
}

outcome apply_command(state& s, const fail_exhausted_job& cmd)
{
    const auto found = s.jobs.find(cmd.id);
    if (found == s.jobs.end() || has_ended(found->second.phase)) {
        return {};
    }
    job& j = found->second;
    for (const auto& [number, o] : j.occurrences) {
        for (std::size_t i = 0; i < o.steps.size(); ++i) {
            const auto is_exhausted = [&](const task& t) {
                return t.phase == task_phase::waiting && s.has_used_attempts(j, j.spec.steps[i], t);
            };
            if (std::ranges::any_of(o.steps[i].tasks, is_exhausted)) {
                end_job(s, cmd.id, j, job_phase::failed, cmd.now);
                return {std::nullopt, true};
            }
        }
    }
    return {};
}

outcome apply_command(state& s, const start_occurrence& cmd)
{
    const auto found = s.jobs.find(cmd.id);
    if (found == s.jobs.end() || has_ended(found->second.phase) ||
        cmd.occurrence != found->second.occurrences_opened ||
        cmd.occurrence >= found->second.spec.schedule.times) {
        return {};
    }
    job& j = found->second;
    j.occurrences.emplace(cmd.occurrence, make_occurrence(j.spec));
    ++j.occurrences_opened;
    if (j.occurrences_opened >= j.spec.schedule.times) {
        s.recurring_jobs.erase(cmd.id);
    }
    return {std::nullopt, true};
}

outcome apply_command(state& s, const start_runs& cmd)
{
    for (const start_run& run : cmd.runs) {
        apply_begin_run(s, run);
    }
    return {std::nullopt, true};
}

outcome apply_command(state& s, const end_runs& cmd)
{
    bool changed = false;
    // Before any of the runs ends, since the runs that share a server end together.
    std::set<std::pair<server_id, incarnation>> lost_servers;
    for (const end_run& run : cmd.ends) {
        if (const task* t = find_current_run(s, run.run)) {
            record_loss(s, run, *t);
            if (may_have_crashed(run.outcome)) {
                lost_servers.emplace(t->server, t->incarnation_id);
            }
        }
    }
    for (const end_run& run : cmd.ends) {
        changed = apply_end_run(s, run, cmd.now) || changed;
    }
    for (const auto& [server, incarnation_id] : lost_servers) {
        record_companions(s, server, incarnation_id);
    }
    return {std::nullopt, changed};
}

outcome apply_command(state& s, const start_maintenance& cmd)
{
    if (s.waves.contains(cmd.id)) {
        return {};
    }
    maintenance_wave wave;
    for (const std::string& machine_name : cmd.machines) {
        wave.machines.emplace(machine_name, maintenance_machine{});
    }
    wave.duration_ms = cmd.duration_ms;
    wave.max_concurrent = cmd.max_concurrent;
    wave.asked_at = cmd.now;
    s.waves.emplace(cmd.id, std::move(wave));
    return {std::nullopt, true};
}

outcome apply_command(state& s, const step_maintenance& cmd)
{
    const auto wave = s.waves.find(cmd.id);
    if (wave == s.waves.end()) {
        return {};
    }
    const auto found = wave->second.machines.find(cmd.machine);
    if (found == wave->second.machines.end()) {
        return {};
    }
    found->second.started = true;
    found->second.done = found->second.done || cmd.done || cmd.gone;
    if (wave->second.is_done()) {
        // An empty wave is done. Only its state is asked for from now on.
        wave->second.machines.clear();
    }
    return {std::nullopt, true};
}

outcome apply_command(state& s, const order_machine& cmd)
{
    s.machine_orders[cmd.machine] = {cmd.term, cmd.now};
    return {std::nullopt, true};
}

outcome apply_command(state& s, const remove_jobs& cmd)
{
    for (const job_id& id : cmd.ids) {
        const auto found = s.jobs.find(id);
        if (found != s.jobs.end() && has_ended(found->second.phase) && found->second.running == 0) {
            s.jobs.erase(found);
            remove_crash_records(s, id);
        }
    }
    return {std::nullopt, true};
}

outcome apply_command(state& s, const freeze_leases& cmd)
{
    for (const lease_bound& bound : cmd.frozen) {
        if (s.runs.contains(bound.server)) {
            s.frozen_leases[bound.server] = bound;
        }
    }
    for (const server_id& server : cmd.unfrozen) {
        s.frozen_leases.erase(server);
    }
    return {std::nullopt, true};
}

} // namespace

bool occurrence::is_done() const noexcept
{
    return std::ranges::all_of(steps, [](const step& s) { return s.is_done(); });
}

bool job::may_start(const occurrence& o, std::size_t step) const
{
    return std::ranges::all_of(spec.steps[step].depends_on, [&](std::uint32_t dependency) {
        return o.steps[dependency].is_done();
    });
}

bool maintenance_wave::is_done() const
{
    return std::ranges::all_of(machines, [](const auto& m) { return m.second.done; });
}

const task* state::find(const task_id& id) const
{
    const auto j = jobs.find(id.job);
    if (j == jobs.end()) {
        return nullptr;
    }
    const auto o = j->second.occurrences.find(id.occurrence);
    if (o == j->second.occurrences.end() || id.step >= o->second.steps.size() ||
        id.index >= o->second.steps[id.step].tasks.size()) {
        return nullptr;
    }
    return &o->second.steps[id.step].tasks[id.index];
}

const step_spec* state::find_step_spec(const task_id& id) const
{
    const auto j = jobs.find(id.job);
    return j == jobs.end() || id.step >= j->second.spec.steps.size()
               ? nullptr
               : &j->second.spec.steps[id.step];
}

const queue_terms& state::current_terms(const job& j) const
{
    const auto q = doc.queues.find(j.queue);
    return q == doc.queues.end() ? j.terms : q->second.terms;
}

bool state::has_used_attempts(const job& j, const step_spec& spec, const task& t) const
{
    return !spec.long_running && t.failed_runs > 0 &&
           t.failed_runs >= current_terms(j).max_failed_runs;
}

void state::rebuild_indexes()
{
    active_jobs.clear();
    recurring_jobs.clear();
    runs.clear();
    in_use.clear();
    checkpoint_bytes = 0;
    for (const auto& [id, j] : jobs) {
        if (!has_ended(j.phase) || j.running > 0) {
            active_jobs.insert(id);
        }
        if (!has_ended(j.phase) && j.occurrences_opened < j.spec.schedule.times) {
            recurring_jobs.insert(id);
        }
        checkpoint_bytes += count_checkpoint_bytes(j);
        for (const auto& [number, o] : j.occurrences) {
            for (std::uint32_t s = 0; s < o.steps.size(); ++s) {
                for (std::uint32_t t = 0; t < o.steps[s].tasks.size(); ++t) {
                    if (o.steps[s].tasks[t].phase == task_phase::running) {
                        add_to_run_index(*this, {id, number, s, t}, o.steps[s].tasks[t], j);
                    }
                }
            }
        }
    }
}

outcome apply(state& s, const command& cmd)
{
    return std::visit([&](const auto& body) { return apply_command(s, body); }, cmd);
}

std::string machine::encode(const command& cmd)
{
    return to_bytes(cmd);
}

result<command> machine::decode(const std::string& bytes)
{
    return from_bytes<command>(bytes);
}

std::string machine::encode_state(const state& s)
{
    return to_bytes_without_growth(s);
}

result<state> machine::decode_state(const std::string& bytes)
{
    auto read = from_bytes<state>(bytes);
    if (ok(read)) {
        value(read).rebuild_indexes();
    }
    return read;
}

outcome machine::apply(state& s, log_index /*index*/, const command& cmd)
{
    return jobs::apply(s, cmd);
}

} // namespace fescue::jobs
