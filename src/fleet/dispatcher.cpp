#include "dispatcher.h"

#include "slow_log.h"

#include "fescuestream/base/log.h"

#include <algorithm>

namespace fescue::fleet {

namespace {

using jobs::task_id;
using scheduler::candidate;
using scheduler::standing;

/** Least time between two rounds: several ends and jobs share one. */
constexpr milliseconds round_pause{8};
/** A round runs at least this often, for what only time changes. */
constexpr milliseconds round_period{100};
constexpr milliseconds load_log_period{1000};
constexpr double milli = 1000.0;
/** Jobs in a row for which there is no room, after which a round looks no further in a pool. */
constexpr std::size_t most_in_vain = 24;
/** A server that has not reported for so long, three of its periods, gets nothing new. */
constexpr milliseconds report_lease{4500};
/** A batch of starts that was not applied for so long is lost with its leader. */
constexpr milliseconds batch_timeout{3000};

bool usable(const server_view& view, mono_time now)
{
    return view.reachable() && now - view.heard < report_lease && !view.report.leaving &&
           !view.withheld && now >= view.refused_until && !view.report.address.empty() &&
           view.clock.at_least(now) && (view.fenced || view.runs.empty());
}

} // namespace

/** What one round works on. */
struct dispatcher::round {
    mono_time now{};
    wall_ms wall{0};
    std::map<pool_id, std::vector<candidate>> servers;
    std::map<pool_id, std::vector<standing>> waiting;
    /** Tasks that wait in each pool and whose turn has come. */
    std::map<pool_id, std::size_t> tasks_waiting;
    std::map<team_id, jobs::resources> added;
    jobs::begin_runs batch;
    std::size_t most_starts{0};
};

dispatcher::dispatcher(core_context& shared, run_driver& driver) : shared_{shared}, driver_{driver}
{
}

void dispatcher::lead()
{
    batch_under_way_ = false;
    begun_.clear();
    failed_on_.clear();
    due_ = true;
}

void dispatcher::applied(const jobs::command& cmd)
{
    if (std::holds_alternative<jobs::begin_runs>(cmd)) {
        batch_under_way_ = false;
        const auto logging = std::chrono::duration_cast<milliseconds>(shared_.now() - last_run_);
        sums_.longest_logging = std::max(sums_.longest_logging, logging);
        for (const jobs::begin_run& r : std::get<jobs::begin_runs>(cmd).runs) {
            begun_[r.run.task] = {r.run.attempt, r.server, shared_.now()};
        }
    } else if (const auto* ends = std::get_if<jobs::end_runs>(&cmd)) {
        learn(*ends);
    } else if (const auto* job = std::get_if<jobs::submit_job>(&cmd)) {
        note_arrival(*job);
    }
    due_ = true;
}

void dispatcher::note_arrival(const jobs::submit_job& cmd)
{
    if (cmd.spec.lasting() || cmd.spec.repeats.times > 0) {
        return;
    }
    double core_ms = 0;
    for (const jobs::step_spec& step : cmd.spec.steps) {
        core_ms += times_.expect(cmd.queue, step.estimate_ms) * step.tasks *
                   static_cast<double>(step.room_needed().cpu_milli) / milli;
    }
    arrivals_.arrived(cmd.terms.pool, core_ms, shared_.now());
}

void dispatcher::learn(const jobs::end_runs& cmd)
{
    const mono_time now = shared_.now();
    for (const jobs::end_run& e : cmd.ends) {
        const auto begun = begun_.find(e.run.task);
        if (begun == begun_.end() || begun->second.attempt != e.run.attempt) {
            continue;
        }
        const begun_run run = begun->second;
        begun_.erase(begun);
        const auto* spec = shared_.state().spec_of(e.run.task);
        if (e.how == jobs::run_end::done) {
            health_.succeeded(run.server);
            failed_on_.erase(e.run.task);
            if (spec != nullptr && !spec->lasting) {
                const auto& queue = shared_.state().jobs.at(e.run.task.job).queue;
                const double took = std::chrono::duration<double, std::milli>(now - run.at).count();
                times_.learn(queue, spec->estimate_ms, took);
            }
        } else if (e.how == jobs::run_end::failed) {
            health_.failed(run.server, now);
            failed_on_[e.run.task] = run.server;
        }
    }
}

void dispatcher::run_if_due()
{
    if (!driver_.leading() || !shared_.leads()) {
        return;
    }
    const auto since = shared_.now() - last_run_;
    if (batch_under_way_ && since > batch_timeout) {
        batch_under_way_ = false;
    }
    if (batch_under_way_ || since < round_pause || (!due_ && since < round_period)) {
        return;
    }
    run();
}

void dispatcher::run()
{
    due_ = false;
    last_run_ = shared_.now();
    open_occurrences();
    round r;
    r.now = shared_.now();
    r.wall = wall_now();
    r.most_starts = scheduler::starts_allowed(driver_.orders_under_way());
    gather_servers(r);
    gather_jobs(r);
    for (const auto& [id, pool] : shared_.state().doc.pools) {
        loads_[id].arriving_cpu = arrivals_.cpu_milli(id, r.now);
    }
    start_by_pools(r);
    ++sums_.rounds;
    sums_.starts += r.batch.runs.size();
    sums_.bounded += !r.batch.runs.empty() && r.batch.runs.size() >= r.most_starts ? 1 : 0;
    sums_.most_under_way = std::max(sums_.most_under_way, driver_.orders_under_way());
    log_loads();
    if (r.batch.runs.empty()) {
        return;
    }
    batch_under_way_ = shared_.log.propose_here(r.batch);
}

void dispatcher::start_by_pools(round& r)
{
    std::vector<std::size_t> wanted;
    for (auto& [pool, jobs] : r.waiting) {
        scheduler::sort_by_urgency(jobs);
        wanted.push_back(r.tasks_waiting.at(pool));
    }
    if (wanted.empty()) {
        return;
    }
    const auto shares = scheduler::share_starts(r.most_starts, wanted, turn_++);
    std::size_t i = 0;
    r.most_starts = 0;
    for (const auto& [pool, jobs] : r.waiting) {
        // A pool without room leaves its share to those after it.
        r.most_starts += shares[i++];
        start_tasks(r, pool);
    }
}

void dispatcher::log_loads()
{
    if (last_run_ - loads_logged_ < load_log_period) {
        return;
    }
    loads_logged_ = last_run_;
    log::info("scheduling_rounds", {{"rounds", sums_.rounds},
                                    {"starts", sums_.starts},
                                    {"bounded", sums_.bounded},
                                    {"most_under_way", sums_.most_under_way},
                                    {"longest_logging_ms", sums_.longest_logging.count()}});
    sums_ = {};
    for (const auto& [pool, load] : loads_) {
        if (load.wanted_cpu > 0 || load.free_cpu < load.capacity_cpu) {
            log::info("pool_load",
                      {{"pool", pool.str()},
                       {"servers", load.servers},
                       {"cpu_milli", load.capacity_cpu},
                       {"free_cpu_milli", load.free_cpu},
                       {"wanted_cpu_milli", load.wanted_cpu},
                       {"arriving_cpu_milli", load.arriving_cpu},
                       {"lasting_cpu_milli", load.lasting_cpu},
                       {"backlog_core_ms", static_cast<std::int64_t>(load.backlog_core_ms)}});
        }
    }
}

void dispatcher::open_occurrences()
{
    const wall_ms now = wall_now();
    for (const jobs::job_id& id : shared_.state().repeating) {
        const jobs::job& j = shared_.state().jobs.at(id);
        const auto& repeats = j.spec.repeats;
        const wall_ms due = repeats.first_at + repeats.interval_ms * j.occurrences_opened;
        if (now >= due) {
            shared_.log.propose_here(jobs::open_occurrence{id, j.occurrences_opened});
        }
    }
}

void dispatcher::gather_servers(round& r)
{
    const slow_log timing{"gather_servers"};
    loads_.clear();
    const auto& state = shared_.state();
    for (const auto& [id, view] : driver_.servers()) {
        if (!usable(view, r.now) || state.out_of_service.contains(view.report.data_centre) ||
            health_.held_back(id, r.now)) {
            continue;
        }
        candidate c;
        c.server = &view.report;
        c.free = view.free();
        c.lasting_tasks = view.lasting_runs;
        c.serves = view.serving_runs > 0;
        c.demerits = health_.demerits(id);
        c.on_trial = health_.on_trial(id);
        c.maintenance_due = view.maintenance_due;
        pool_load& load = loads_[view.report.pool];
        load.capacity_cpu += view.report.capacity.cpu_milli;
        load.free_cpu += c.free.cpu_milli;
        ++load.servers;
        r.servers[view.report.pool].push_back(std::move(c));
    }
}

void dispatcher::gather_jobs(round& r)
{
    const slow_log timing{"gather_jobs"};
    const auto& state = shared_.state();
    for (const jobs::job_id& id : state.live) {
        const jobs::job& j = state.jobs.at(id);
        if (is_over(j.phase)) {
            continue;
        }
        const pool_id& pool = state.terms_of(j).pool;
        pool_load& load = loads_[pool];
        bool waits = false;
        for (const auto& [number, o] : j.occurrences) {
            for (std::size_t i = 0; i < o.steps.size(); ++i) {
                const auto& st = o.steps[i];
                const auto waiting =
                    static_cast<std::int64_t>(st.tasks.size() - st.done - st.running);
                if (j.spec.steps[i].lasting) {
                    load.lasting_cpu += static_cast<std::int64_t>(st.tasks.size()) *
                                        j.spec.steps[i].room_needed().cpu_milli;
                }
                if (waiting > 0 && j.may_start(o, i)) {
                    waits = true;
                    r.tasks_waiting[pool] += static_cast<std::size_t>(waiting);
                    load.wanted_cpu += waiting * j.spec.steps[i].room_needed().cpu_milli;
                }
            }
        }
        if (waits) {
            const standing s = standing_of(id, j);
            load.backlog_core_ms += s.lasting ? 0 : s.work_core_ms;
            r.waiting[pool].push_back(s);
        }
    }
}

standing dispatcher::standing_of(const jobs::job_id& id, const jobs::job& j) const
{
    standing s;
    s.job = id;
    const jobs::queue_terms& terms = shared_.state().terms_of(j);
    s.priority = terms.priority;
    s.lasting = j.spec.lasting();
    s.begun = j.phase == jobs::job_phase::in_progress;
    std::vector<double> whole;
    std::vector<double> left;
    for (std::size_t i = 0; i < j.spec.steps.size(); ++i) {
        const jobs::step_spec& spec = j.spec.steps[i];
        const double expected = times_.expect(j.queue, spec.estimate_ms);
        std::uint64_t open = 0;
        for (const auto& [number, o] : j.occurrences) {
            open += o.steps[i].tasks.size() - o.steps[i].done;
        }
        whole.push_back(expected);
        left.push_back(open > 0 ? expected : 0);
        s.work_core_ms += static_cast<double>(open) * expected *
                          static_cast<double>(spec.need.cpu_milli) / 1000.0;
    }
    const double chain = scheduler::longest_chain_ms(j.spec.steps, whole);
    s.chain_ms = scheduler::longest_chain_ms(j.spec.steps, left);
    const auto age = static_cast<double>(wall_now() - j.accepted_at);
    s.due_in_ms = terms.stretch * chain + static_cast<double>(terms.extra_ms) - age;
    return s;
}

bool dispatcher::within_cap(const round& r, const team_id& account,
                            const jobs::resources& need) const
{
    const auto& state = shared_.state();
    const auto known = state.doc.accounts.find(account);
    if (known == state.doc.accounts.end()) {
        return true;
    }
    jobs::resources sum = need;
    if (const auto used = state.in_use.find(account); used != state.in_use.end()) {
        sum += used->second;
    }
    if (const auto added = r.added.find(account); added != r.added.end()) {
        sum += added->second;
    }
    const jobs::resources& cap = known->second.cap;
    const auto below = [](std::int64_t amount, std::int64_t limit) {
        return limit == 0 || amount <= limit;
    };
    return below(sum.cpu_milli, cap.cpu_milli) && below(sum.memory_mb, cap.memory_mb) &&
           below(sum.accelerators, cap.accelerators);
}

void dispatcher::start_tasks(round& r, const pool_id& pool)
{
    const slow_log timing{"start_tasks"};
    const auto found = r.servers.find(pool);
    if (found == r.servers.end()) {
        return;
    }
    auto& servers = found->second;
    std::size_t in_vain = 0;
    for (const standing& s : r.waiting.at(pool)) {
        if (r.batch.runs.size() >= r.most_starts || in_vain >= most_in_vain) {
            return;
        }
        const std::size_t before = r.batch.runs.size();
        start_job(r, s.job, servers);
        in_vain = r.batch.runs.size() > before ? 0 : in_vain + 1;
    }
}

void dispatcher::start_job(round& r, const jobs::job_id& id, std::vector<candidate>& servers)
{
    const jobs::job& j = shared_.state().jobs.at(id);
    for (const auto& [number, o] : j.occurrences) {
        for (std::uint32_t i = 0; i < o.steps.size(); ++i) {
            if (o.steps[i].running + o.steps[i].done < o.steps[i].tasks.size() &&
                j.may_start(o, i)) {
                start_step(r, id, j, number, i, servers);
            }
        }
    }
}

void dispatcher::start_step(round& r, const jobs::job_id& id, const jobs::job& j,
                            std::uint32_t occurrence, std::uint32_t step,
                            std::vector<candidate>& servers)
{
    const jobs::step_spec& spec = j.spec.steps[step];
    const auto& tasks = j.occurrences.at(occurrence).steps[step].tasks;
    if (spec.gang && j.occurrences.at(occurrence).steps[step].running > 0) {
        return;
    }
    std::vector<std::pair<server_id, std::uint32_t>> placed;
    scheduler::placement_hints hints;
    hints.step_on_server = &placed;
    const auto note = [&](const server_id& server) {
        const auto known = std::ranges::find(placed, server, [](const auto& p) { return p.first; });
        if (known == placed.end()) {
            placed.emplace_back(server, 1);
        } else {
            ++known->second;
        }
    };
    for (const jobs::task& t : tasks) {
        if (t.phase == jobs::task_phase::running) {
            note(t.server);
            const auto view = driver_.servers().find(t.server);
            if (view != driver_.servers().end()) {
                hints.step_rack = view->second.report.rack;
            }
        }
    }
    const std::size_t batch_before = r.batch.runs.size();
    const auto servers_before = spec.gang ? servers : std::vector<candidate>{};
    const jobs::resources added_before = r.added[j.account];
    std::uint32_t attempt = 0;
    for (const jobs::task& t : tasks) {
        attempt = std::max(attempt, t.attempt + 1);
    }
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].phase != jobs::task_phase::waiting) {
            continue;
        }
        const task_id task{id, occurrence, step, i};
        const auto failed = failed_on_.find(task);
        hints.avoid = failed == failed_on_.end() ? server_id{} : failed->second;
        const bool allowed = within_cap(r, j.account, spec.need);
        const auto at = allowed ? scheduler::choose(servers, spec, hints) : std::nullopt;
        if (!at) {
            if (spec.gang) {
                r.batch.runs.resize(batch_before);
                servers = servers_before;
                r.added[j.account] = added_before;
            }
            return;
        }
        candidate& c = servers[*at];
        c.free -= spec.room_needed();
        c.lasting_tasks += spec.lasting ? 1 : 0;
        c.serves = c.serves || spec.tail_limit_ms > 0;
        r.added[j.account] += spec.need;
        note(c.server->id);
        hints.step_rack = c.server->rack;
        const std::uint32_t number = spec.gang ? attempt : tasks[i].attempt + 1;
        r.batch.runs.push_back({{task, number}, c.server->id, c.server->life});
    }
}

} // namespace fescue::fleet
