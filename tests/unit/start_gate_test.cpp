#include "fakes/gated_leader.h"
#include "fleet/start_gate.h"

#include <array>

using namespace fescue;
using namespace fescue::fleet;
using fakes::gated_leader;
using namespace std::chrono_literals;

namespace {

/** The ways on which a start reaches the moment at which it is sent. */
enum class start_path : std::uint8_t { first, sent_again, inherited, inherited_unsent };

constexpr std::array all_paths{start_path::first, start_path::sent_again, start_path::inherited,
                               start_path::inherited_unsent};

std::string_view name_of(start_path p)
{
    constexpr std::array names{"first", "sent again", "inherited", "inherited and not yet sent"};
    return names.at(static_cast<std::size_t>(p));
}

/** A change of the state that makes a start inadmissible. */
struct change {
    start_obstacle obstacle;
    /** Proposes a command that is applied after the start has been chosen. */
    std::function<void(gated_leader&)> propose;
    /** Changes what the leader knows of the server. */
    std::function<void(gated_leader&)> affect_server;
    /** Makes the start admissible again; none: the job ends. */
    std::function<void(gated_leader&)> undo;
};

void set_labels(gated_leader& f, const std::vector<std::string>& labels)
{
    f.report.labels = labels;
    f.send_report();
}

void set_leaving(gated_leader& f, bool leaving)
{
    f.report.leaving = leaving;
    f.report.remaining_ms = 60'000;
    f.send_report();
}

void set_capacity(gated_leader& f, std::int64_t cpu_milli)
{
    f.report.capacity.cpu_milli = cpu_milli;
    f.send_report();
}

void set_max_failed_runs(gated_leader& f, std::uint32_t runs)
{
    f.change_document(
        [&](jobs::document& d) { d.queues.at(gated_leader::queue).terms.max_failed_runs = runs; });
}

void set_pool(gated_leader& f, const pool_id& pool)
{
    f.change_document(
        [&](jobs::document& d) { d.queues.at(gated_leader::queue).terms.pool = pool; });
}

void set_in_service(gated_leader& f, bool in_service)
{
    f.log.propose_here(jobs::set_data_centre{gated_leader::data_centre, in_service});
}

const std::vector<change>& changes()
{
    static const std::vector<change> out{
        {start_obstacle::over_cap,
         [](gated_leader& f) { f.set_cpu_cap(3'000); },
         {},
         [](gated_leader& f) { f.set_cpu_cap(4'000); }},
        {start_obstacle::wrong_pool,
         [](gated_leader& f) { set_pool(f, gated_leader::other_pool); },
         {},
         [](gated_leader& f) { set_pool(f, gated_leader::pool); }},
        {start_obstacle::out_of_service,
         [](gated_leader& f) { set_in_service(f, false); },
         {},
         [](gated_leader& f) { set_in_service(f, true); }},
        {start_obstacle::job_over,
         [](gated_leader& f) {
             f.log.propose_here(jobs::cancel_job{jobs::job_id{1}, wall_now()});
         },
         {},
         {}},
        {start_obstacle::attempts_used, [](gated_leader& f) { set_max_failed_runs(f, 1); }, {}, {}},
        {start_obstacle::leaving,
         {},
         [](gated_leader& f) { set_leaving(f, true); },
         [](gated_leader& f) { set_leaving(f, false); }},
        {start_obstacle::cordoned,
         {},
         [](gated_leader& f) { f.driver.cordon(gated_leader::server_name, true); },
         [](gated_leader& f) { f.driver.cordon(gated_leader::server_name, false); }},
        {start_obstacle::draining,
         {},
         [](gated_leader& f) { f.driver.drain(gated_leader::server_name); },
         [](gated_leader& f) { f.driver.cordon(gated_leader::server_name, false); }},
        {start_obstacle::label_missing,
         {},
         [](gated_leader& f) {
             set_labels(f, {"slow", "r1"});
         },
         [](gated_leader& f) {
             set_labels(f, {"fast", "r1"});
         }},
        {start_obstacle::no_capacity,
         {},
         [](gated_leader& f) { set_capacity(f, 3'000); },
         [](gated_leader& f) { set_capacity(f, 4'000); }},
    };
    return out;
}

jobs::step_spec make_step(std::uint32_t tasks = 1)
{
    jobs::step_spec step;
    step.tasks = tasks;
    step.need = gated_leader::task_need;
    step.label = "fast";
    return step;
}

void apply(gated_leader& f, const change& c)
{
    if (c.propose) {
        c.propose(f);
    }
    if (c.affect_server) {
        c.affect_server(f);
    }
}

/** Brings a start on the path to the moment at which it would be sent, with the change in force.
 * @return the number of starts that were sent before the change. */
std::size_t bring_to_gate(gated_leader& f, const change& c, start_path path)
{
    if (path == start_path::first || path == start_path::inherited_unsent) {
        f.dispatches = false;
        f.loop.advance(200ms);
        if (path == start_path::first && c.propose) {
            c.propose(f);
        }
        f.work.request_round();
        f.work.run_if_due();
        if (path == start_path::first && c.affect_server) {
            c.affect_server(f);
        }
        if (path == start_path::inherited_unsent) {
            f.driver.on_leadership_lost();
        }
        f.loop.advance(5ms);
    } else {
        f.loop.advance(200ms);
    }
    const std::size_t sent = f.starts_sent;
    if (path == start_path::inherited || path == start_path::inherited_unsent) {
        f.change_leader();
    }
    if (path != start_path::first) {
        apply(f, c);
    }
    f.dispatches = true;
    f.loop.advance(4s);
    return sent;
}

} // namespace

// Guards against starts that leave although the state has changed since they were chosen or first
// sent (a cap, an evacuation, a route, a cancel).
TEST_CASE("start gate: an inadmissible start is withheld on every path, and starts again soon")
{
    for (const change& c : changes()) {
        for (const start_path path : all_paths) {
            CAPTURE(name_of(c.obstacle));
            CAPTURE(name_of(path));
            gated_leader f;
            f.dispatches = false;
            f.submit(1, make_step());
            if (c.obstacle == start_obstacle::attempts_used) {
                const jobs::run_id failed{{jobs::job_id{1}, 0, 0, 0}, 1};
                f.log.propose_here(jobs::start_runs{{{failed, server_id{"gone"}, 1}}});
                f.log.propose_here(
                    jobs::end_runs{{{failed, jobs::run_outcome::failed, ""}}, 1, {}, 0, 0});
                f.loop.advance(20ms);
            }
            f.loses_starts = true;
            f.dispatches = true;
            const std::size_t sent = bring_to_gate(f, c, path);
            // The start left only before the change.
            const bool was_sent = path == start_path::sent_again || path == start_path::inherited;
            CHECK(sent == (was_sent ? 1 : 0));
            CHECK(f.starts_sent == sent);
            if (!c.undo) {
                const jobs::job& ended = f.log.state().jobs.at(jobs::job_id{1});
                CHECK(has_ended(ended.phase));
                CHECK(ended.running == 0);
                continue;
            }
            // It was recorded and withdrawn once, without a failed attempt, and not chosen again.
            CHECK(f.task(1).attempt == 1);
            CHECK(f.task(1).phase == jobs::task_phase::waiting);
            CHECK(f.task(1).failed_runs == 0);
            f.loses_starts = false;
            c.undo(f);
            f.loop.advance(300ms);
            CHECK(f.runs(1));
        }
    }
}

// Guards against starts that are admissible one by one, but not together.
TEST_CASE("start gate: of several starts that were lost, as many run as the lower cap allows")
{
    for (const bool changes_leader : {false, true}) {
        CAPTURE(changes_leader);
        gated_leader f;
        f.submit(1, make_step(1));
        f.loop.advance(300ms);
        REQUIRE(f.runs(1));
        f.loses_starts = true;
        f.submit(2, make_step(4));
        f.loop.advance(200ms);
        REQUIRE(f.starts_sent == 5);
        f.set_cpu_cap(3 * gated_leader::task_need.cpu_milli);
        if (changes_leader) {
            f.change_leader();
        }
        f.loses_starts = false;
        f.loop.advance(5s);
        CHECK(f.server.run_count() == 3);
        CHECK(f.max_runs == 3);
        // The end of other work makes room, too.
        f.log.propose_here(jobs::cancel_job{jobs::job_id{1}, wall_now()});
        f.loop.advance(1s);
        CHECK(f.server.run_count() == 3);
        CHECK(f.max_runs == 3);
        f.set_cpu_cap(0);
        f.loop.advance(300ms);
        CHECK(f.server.run_count() == 4);
    }
}

// Guards against a withheld start whose copy is on its way: the task would run twice.
TEST_CASE("start gate: a withheld start waits for its copies before its task starts elsewhere")
{
    gated_leader f;
    f.loses_starts = true;
    f.submit(1, make_step());
    f.loop.advance(100ms);
    REQUIRE(f.starts_sent == 1);
    f.set_cpu_cap(3'000);
    f.loop.advance(1'100ms);
    // The start has timed out, and the server has not refused its copy yet.
    CHECK(f.task(1).phase == jobs::task_phase::running);
    f.loop.advance(500ms);
    CHECK(f.task(1).phase == jobs::task_phase::waiting);
    CHECK(f.server.fencing_token() > 0);
}

TEST_CASE("start gate: what counts against the cap is what an account's recorded runs need")
{
    jobs::state s;
    jobs::document doc;
    doc.version = 1;
    doc.accounts[team_id{"a"}].cap = {10'000, 0, 2};
    jobs::apply(s, jobs::put_document{doc});
    jobs::step_spec gang = make_step(2);
    gang.gang = true;
    jobs::step_spec speculative = make_step(1);
    speculative.speculative = true;
    jobs::step_spec filler = make_step(1);
    filler.best_effort = true;
    filler.need = {1'000, 0, 1};
    std::uint64_t number = 0;
    for (const jobs::step_spec& step : {gang, speculative, filler}) {
        jobs::job_spec spec;
        spec.steps = {step};
        jobs::apply(s, jobs::submit_job{jobs::job_id{++number}, {}, {}, team_id{"a"}, spec, 0});
    }
    const auto record = [&](std::uint64_t job, std::uint32_t index) {
        jobs::apply(
            s, jobs::start_runs{{{{{jobs::job_id{job}, 0, 0, index}, 1}, server_id{"i-1"}, 1}}});
    };
    const auto others = [&](std::uint64_t job) {
        return usage_of_others(s, {jobs::job_id{job}, 0, 0, 0});
    };
    // Each member of a gang counts, and a task that may have speculative copies counts once.
    record(1, 0);
    CHECK(others(1) == jobs::resources{});
    record(1, 1);
    CHECK(others(1) == gated_leader::task_need);
    CHECK(others(2) == jobs::resources{8'000, 2'000, 0});
    record(2, 0);
    CHECK(others(2) == jobs::resources{8'000, 2'000, 0});
    // The whole demand of a task that only uses idle time counts.
    record(3, 0);
    CHECK(others(1) == jobs::resources{9'000, 2'000, 1});
    CHECK(is_within_cap(s, team_id{"a"}, {10'000, 1'000'000, 2}));
    CHECK_FALSE(is_within_cap(s, team_id{"a"}, {10'001, 0, 0}));
    CHECK_FALSE(is_within_cap(s, team_id{"a"}, {0, 0, 3}));
    CHECK(is_within_cap(s, team_id{"without_cap"}, {1'000'000, 0, 0}));
}

TEST_CASE("start gate: a server that may not get this start, or any")
{
    gated_leader f;
    jobs::step_spec step = make_step(2);
    step.max_per_server = 1;
    f.dispatches = false;
    f.submit(1, step);
    const jobs::task_id task{jobs::job_id{1}, 0, 0, 0};
    jobs::state state = f.log.state();
    const incarnation life = f.report.incarnation_id;
    jobs::apply(state, jobs::start_runs{{{{task, 1}, gated_leader::server_name, life}}});
    server_view view = f.driver.servers().at(gated_leader::server_name);
    const auto find = [&](std::uint32_t copies = 0, bool has_leader_lease = true) {
        return find_obstacle(
            {state, f.settings.bounds, view, task, copies, has_leader_lease, false, f.loop.now()});
    };
    const server_view sound = view;
    const auto with = [&](const std::function<void(server_view&)>& alter) {
        alter(view);
        const start_obstacle found = find();
        view = sound;
        return found;
    };
    CHECK(find() == start_obstacle::none);
    CHECK(find(max_starts) == start_obstacle::copies_used);
    CHECK(find(0, false) == start_obstacle::no_leader_lease);
    CHECK(with([](auto& v) { v.misses = 1; }) == start_obstacle::no_answer);
    CHECK(with([](auto& v) { v.report.address.clear(); }) == start_obstacle::no_answer);
    CHECK(with([](auto& v) { v.has_shut_down = true; }) == start_obstacle::leaving);
    CHECK(with([](auto& v) { v.lease_frozen = true; }) == start_obstacle::leases_frozen);
    CHECK(with([](auto& v) { v.unknown_runs = 1; }) == start_obstacle::unknown_runs);
    CHECK(with([](auto& v) { ++v.report.incarnation_id; }) == start_obstacle::server_changed);
    // The task's own run does not count against it; another one of its step does.
    run_view run;
    run.attempt = 1;
    run.allocated = step.need;
    CHECK(with([&](auto& v) { v.runs[task] = run; }) == start_obstacle::none);
    CHECK(with([&](auto& v) {
              v.runs[{jobs::job_id{1}, 0, 0, 1}] = run;
          }) == start_obstacle::runs_the_step);
    CHECK(with([&](auto& v) {
              v.runs[task] = run;
              v.used = v.report.capacity;
          }) == start_obstacle::none);
    CHECK(with([&](auto& v) { v.used = v.report.capacity; }) == start_obstacle::no_capacity);
    // A pool whose servers do not guard their capacity needs a recent report.
    state.doc.pools.at(gated_leader::pool).enforces_capacity = false;
    CHECK(with([](auto& v) { v.reported_at -= 1min; }) == start_obstacle::capacity_unconfirmed);
    state.doc.pools.at(gated_leader::pool).enforces_capacity = true;
    // Reasons to choose another server only.
    CHECK(with([&](auto& v) { v.refused_until = f.loop.now() + 1s; }) == start_obstacle::none);
    CHECK(with([](auto& v) { v.last_report_at -= 1min; }) == start_obstacle::none);
    CHECK(with([](auto& v) { v.capacity_outdated = true; }) == start_obstacle::none);
}

// Guards against a stop that is sent again when it takes away more tasks than their owner allows.
TEST_CASE("stops: a stop for maintenance is sent again only while enough other tasks are at work")
{
    gated_leader f;
    jobs::step_spec step = make_step(2);
    step.long_running = true;
    step.max_unavailable = 1;
    f.submit(1, step);
    f.loop.advance(1s);
    const jobs::task_id first{jobs::job_id{1}, 0, 0, 0};
    const jobs::task_id second{jobs::job_id{1}, 0, 0, 1};
    REQUIRE(f.driver.is_ready(second));
    f.loses_stops = true;
    f.driver.drain(gated_leader::server_name);
    f.driver.stop(first, std::string{maintenance_stop});
    f.loop.advance(2s);
    const std::size_t sent_while_ready = f.stops_sent;
    CHECK(sent_while_ready >= 2);
    // The other task is not at work any more.
    f.driver.stop(second, "gang_member_ended");
    f.loop.advance(2s);
    const std::size_t sent = f.stops_sent;
    f.loop.advance(2s);
    CHECK(f.stops_sent > sent);
    CHECK(f.stops_of(first) == sent_while_ready);
    // A cancelled job has no tasks to keep at work.
    f.loses_stops = false;
    f.log.propose_here(jobs::cancel_job{jobs::job_id{1}, wall_now()});
    f.loop.advance(2s);
    CHECK(f.stops_of(first) > sent_while_ready);
    CHECK(f.server.run_count() == 0);
}

TEST_CASE("stops: a stop without an answer is withdrawn with its maintenance, once it can't arrive")
{
    gated_leader f;
    jobs::step_spec step = make_step(1);
    step.long_running = true;
    f.submit(1, step);
    f.loop.advance(1s);
    const jobs::task_id task{jobs::job_id{1}, 0, 0, 0};
    f.loses_stops = true;
    f.driver.drain(gated_leader::server_name);
    f.driver.stop(task, std::string{maintenance_stop});
    f.loop.advance(500ms);
    f.driver.cordon(gated_leader::server_name, false);
    f.loop.advance(100ms);
    const std::size_t sent = f.stops_sent;
    f.loop.advance(10s);
    CHECK_FALSE(f.driver.is_ready(task));
    f.loop.advance(4s);
    CHECK(f.driver.is_ready(task));
    CHECK(f.stops_sent == sent);
    CHECK(f.runs(1));
}

TEST_CASE("start gate: a start waits for the steps before it")
{
    gated_leader f;
    f.dispatches = false;
    jobs::job_spec spec;
    spec.steps = {make_step(), make_step()};
    spec.steps[1].depends_on = {0};
    f.log.propose_here(jobs::submit_job{
        jobs::job_id{1}, gated_leader::queue, {}, gated_leader::account, spec, wall_now()});
    f.loop.advance(20ms);
    const jobs::task_id second{jobs::job_id{1}, 0, 1, 0};
    f.log.propose_here(
        jobs::start_runs{{{{second, 1}, gated_leader::server_name, f.report.incarnation_id}}});
    f.loop.advance(200ms);
    CHECK(f.starts_sent == 0);
    CHECK(f.log.state().find(second)->phase == jobs::task_phase::waiting);
}
