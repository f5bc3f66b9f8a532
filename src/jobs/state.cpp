#include "fescuestream/jobs/state.h"

#include "fescuestream/base/codec.h"

#include <cereal/types/set.hpp>

#include <algorithm>

namespace fescue::jobs {

namespace {

task* find_task(state& s, const task_id& id)
{
    return const_cast<task*>(std::as_const(s).find(id)); // NOLINT: the state itself is mutable.
}

occurrence open_steps(const job_spec& spec)
{
    occurrence out;
    out.steps.resize(spec.steps.size());
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        out.steps[i].tasks.resize(spec.steps[i].tasks);
    }
    return out;
}

/** Drops what no one asks for once nothing of an ended job runs. */
void strip_if_over(state& s, const job_id& id, job& j)
{
    if (is_over(j.phase)) {
        s.repeating.erase(id);
    }
    if (is_over(j.phase) && j.running == 0) {
        j.spec = {};
        j.occurrences.clear();
        s.live.erase(id);
    }
}

void end_job(state& s, const job_id& id, job& j, job_phase phase, wall_ms now)
{
    j.phase = phase;
    j.over_at = now;
    strip_if_over(s, id, j);
}

void enter_run(state& s, const task_id& id, const task& t, const job& j)
{
    s.runs[t.server].insert(id);
    s.in_use[j.account] += j.spec.steps[id.step].need;
}

void leave_run(state& s, const task_id& id, const task& t, const job& j)
{
    const auto on_server = s.runs.find(t.server);
    if (on_server != s.runs.end()) {
        on_server->second.erase(id);
        if (on_server->second.empty()) {
            s.runs.erase(on_server);
        }
    }
    s.in_use[j.account] -= j.spec.steps[id.step].need;
}

void begin(state& s, const begin_run& cmd)
{
    const task_id& id = cmd.run.task;
    task* t = find_task(s, id);
    const auto found = s.jobs.find(id.job);
    if (t == nullptr || is_over(found->second.phase) || t->phase != task_phase::waiting ||
        cmd.run.attempt <= t->attempt) {
        return;
    }
    job& j = found->second;
    step& st = j.occurrences.at(id.occurrence).steps[id.step];
    t->phase = task_phase::running;
    t->attempt = cmd.run.attempt;
    t->server = cmd.server;
    t->life = cmd.life;
    ++st.running;
    ++j.running;
    if (j.phase == job_phase::pending) {
        j.phase = job_phase::in_progress;
    }
    enter_run(s, id, *t, j);
}

void mark_done(step& st, task& t)
{
    t.phase = task_phase::done;
    t.checkpoint.clear();
    ++st.done;
}

/** Ends the job if this was its last occurrence. */
void close_if_done(state& s, const task_id& id, job& j, wall_ms now)
{
    const auto o = j.occurrences.find(id.occurrence);
    if (is_over(j.phase) || !o->second.is_done()) {
        return;
    }
    ++j.occurrences_done;
    if (j.occurrences_done >= std::max<std::uint32_t>(1, j.spec.repeats.times)) {
        end_job(s, id.job, j, job_phase::completed, now);
    }
}

/** A run of a gang ended as done: that stands for all of its members. */
void mark_gang_done(step& st)
{
    for (task& t : st.tasks) {
        if (t.phase == task_phase::waiting) {
            mark_done(st, t);
        }
    }
}

void count_failure(state& s, const task_id& id, job& j, task& t, wall_ms now)
{
    ++t.failed_runs;
    const step_spec& spec = j.spec.steps[id.step];
    const bool hopeless = !spec.lasting && t.failed_runs >= s.terms_of(j).most_failed_runs;
    if (hopeless && !is_over(j.phase)) {
        end_job(s, id.job, j, job_phase::failed, now);
    }
}

bool end(state& s, const end_run& cmd, wall_ms now)
{
    const task_id& id = cmd.run.task;
    task* t = find_task(s, id);
    if (t == nullptr || t->phase != task_phase::running || t->attempt != cmd.run.attempt) {
        return false;
    }
    job& j = s.jobs.at(id.job);
    step& st = j.occurrences.at(id.occurrence).steps[id.step];
    leave_run(s, id, *t, j);
    --st.running;
    --j.running;
    t->phase = task_phase::waiting;
    if (!cmd.checkpoint.empty()) {
        t->checkpoint = cmd.checkpoint;
    }
    const step_spec& spec = j.spec.steps[id.step];
    const bool succeeded = cmd.how == run_end::done && !spec.lasting;
    // Once one member has ended as done the gang is done as a whole.
    const bool gang_is_done = spec.gang && st.done > 0;
    if (succeeded || gang_is_done) {
        mark_done(st, *t);
        if (spec.gang) {
            mark_gang_done(st);
        }
        close_if_done(s, id, j, now);
    } else if (cmd.how == run_end::failed) {
        count_failure(s, id, j, *t, now);
    }
    strip_if_over(s, id.job, j);
    return true;
}

outcome act(state& /*s*/, const no_change& /*cmd*/)
{
    return {};
}

outcome act(state& s, const put_document& cmd)
{
    if (cmd.doc.version <= s.doc.version) {
        return {};
    }
    s.doc = cmd.doc;
    return {std::nullopt, true};
}

outcome act(state& s, const set_data_centre& cmd)
{
    const bool changed = cmd.in_service ? s.out_of_service.erase(cmd.id) > 0
                                        : s.out_of_service.insert(cmd.id).second;
    return {std::nullopt, changed};
}

outcome act(state& s, const submit_job& cmd)
{
    if (s.jobs.contains(cmd.id)) {
        return {};
    }
    job j;
    j.queue = cmd.queue;
    j.terms = cmd.terms;
    j.account = cmd.account;
    j.spec = cmd.spec;
    j.accepted_at = cmd.now;
    if (cmd.spec.repeats.times == 0) {
        j.occurrences.emplace(0, open_steps(cmd.spec));
        j.occurrences_opened = 1;
    }
    s.jobs.emplace(cmd.id, std::move(j));
    s.live.insert(cmd.id);
    if (cmd.spec.repeats.times > 0) {
        s.repeating.insert(cmd.id);
    }
    return {std::nullopt, true};
}

outcome act(state& s, const cancel_job& cmd)
{
    const auto found = s.jobs.find(cmd.id);
    if (found == s.jobs.end()) {
        return {error{error_kind::not_found, "no such job"}, false};
    }
    if (is_over(found->second.phase)) {
        return {};
    }
    end_job(s, cmd.id, found->second, job_phase::cancelled, cmd.now);
    return {std::nullopt, true};
}

outcome act(state& s, const open_occurrence& cmd)
{
    const auto found = s.jobs.find(cmd.id);
    if (found == s.jobs.end() || is_over(found->second.phase) ||
        cmd.occurrence != found->second.occurrences_opened ||
        cmd.occurrence >= found->second.spec.repeats.times) {
        return {};
    }
    job& j = found->second;
    j.occurrences.emplace(cmd.occurrence, open_steps(j.spec));
    ++j.occurrences_opened;
    if (j.occurrences_opened >= j.spec.repeats.times) {
        s.repeating.erase(cmd.id);
    }
    return {std::nullopt, true};
}

outcome act(state& s, const begin_runs& cmd)
{
    for (const begin_run& r : cmd.runs) {
        begin(s, r);
    }
    return {std::nullopt, true};
}

outcome act(state& s, const end_runs& cmd)
{
    bool changed = false;
    for (const end_run& e : cmd.ends) {
        changed = end(s, e, cmd.now) || changed;
    }
    return {std::nullopt, changed};
}

outcome act(state& s, const start_upkeep& cmd)
{
    if (s.waves.contains(cmd.id)) {
        return {};
    }
    upkeep_wave wave;
    for (const std::string& m : cmd.machines) {
        wave.machines.emplace(m, upkeep_machine{});
    }
    wave.duration_ms = cmd.duration_ms;
    wave.most_at_once = cmd.most_at_once;
    wave.asked_at = cmd.now;
    s.waves.emplace(cmd.id, std::move(wave));
    return {std::nullopt, true};
}

outcome act(state& s, const step_upkeep& cmd)
{
    const auto wave = s.waves.find(cmd.id);
    if (wave == s.waves.end()) {
        return {};
    }
    const auto m = wave->second.machines.find(cmd.machine);
    if (m == wave->second.machines.end()) {
        return {};
    }
    m->second.begun = true;
    m->second.done = m->second.done || cmd.done || cmd.gone;
    return {std::nullopt, true};
}

outcome act(state& s, const order_machine& cmd)
{
    s.machine_orders[cmd.machine] = {cmd.term, cmd.now};
    return {std::nullopt, true};
}

outcome act(state& s, const forget_jobs& cmd)
{
    for (const job_id& id : cmd.ids) {
        const auto found = s.jobs.find(id);
        if (found != s.jobs.end() && is_over(found->second.phase) && found->second.running == 0) {
            s.jobs.erase(found);
        }
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
    return std::ranges::all_of(spec.steps[step].after,
                               [&](std::uint32_t before) { return o.steps[before].is_done(); });
}

bool upkeep_wave::is_done() const
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

const step_spec* state::spec_of(const task_id& id) const
{
    const auto j = jobs.find(id.job);
    return j == jobs.end() || id.step >= j->second.spec.steps.size()
               ? nullptr
               : &j->second.spec.steps[id.step];
}

const queue_terms& state::terms_of(const job& j) const
{
    const auto q = doc.queues.find(j.queue);
    return q == doc.queues.end() ? j.terms : q->second.terms;
}

void state::index()
{
    live.clear();
    repeating.clear();
    runs.clear();
    in_use.clear();
    for (const auto& [id, j] : jobs) {
        if (!is_over(j.phase) || j.running > 0) {
            live.insert(id);
        }
        if (!is_over(j.phase) && j.occurrences_opened < j.spec.repeats.times) {
            repeating.insert(id);
        }
        for (const auto& [number, o] : j.occurrences) {
            for (std::uint32_t s = 0; s < o.steps.size(); ++s) {
                for (std::uint32_t t = 0; t < o.steps[s].tasks.size(); ++t) {
                    if (o.steps[s].tasks[t].phase == task_phase::running) {
                        enter_run(*this, {id, number, s, t}, o.steps[s].tasks[t], j);
                    }
                }
            }
        }
    }
}

outcome apply(state& s, const command& cmd)
{
    return std::visit([&](const auto& body) { return act(s, body); }, cmd);
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
    return to_bytes(s);
}

result<state> machine::decode_state(const std::string& bytes)
{
    auto read = from_bytes<state>(bytes);
    if (ok(read)) {
        value(read).index();
    }
    return read;
}

outcome machine::apply(state& s, log_index /*index*/, const command& cmd)
{
    return jobs::apply(s, cmd);
}

} // namespace fescue::jobs
