#include "fescuestream/base/codec.h"
#include "fescuestream/jobs/state.h"

#include <cereal/types/set.hpp>

#include <doctest/doctest.h>

#include <string_view>

using namespace fescue;
using namespace fescue::jobs;

namespace {

const job_id test_job_id{0x0123456789abcdef};
const server_id server_a{"a"};
const server_id server_b{"b"};
const team_id test_account{"shop"};
constexpr wall_ms noon_ms = 43'200'000;

document two_queue_document()
{
    document doc;
    doc.version = 1;
    doc.pools.emplace(pool_id{"pool"}, job_pool{});
    queue q;
    q.id = queue_id{"orders"};
    q.host = "shop.example";
    q.path_prefix = "/jobs/";
    q.terms.pool = pool_id{"pool"};
    q.terms.max_failed_runs = 2;
    doc.queues.emplace(q.id, q);
    q.id = queue_id{"long"};
    q.path_prefix = "/jobs/long/";
    doc.queues.emplace(q.id, q);
    doc.accounts.emplace(test_account, account{{"key"}, 1, {8000, 0, 0}});
    return doc;
}

step_spec make_step(std::uint32_t count)
{
    step_spec out;
    out.tasks = count;
    out.need = {1000, 100, 0};
    out.estimate_ms = 500;
    return out;
}

state state_with_job(std::vector<step_spec> steps, recurrence schedule = {})
{
    state s;
    apply(s, put_document{two_queue_document()});
    job_spec spec{"payload", std::move(steps), schedule};
    apply(s, submit_job{test_job_id, queue_id{"orders"}, s.doc.queues.at(queue_id{"orders"}).terms,
                        test_account, spec, noon_ms});
    return s;
}

void begin_task(state& s, const task_id& t, std::uint32_t attempt,
                const server_id& server = server_a)
{
    apply(s, start_runs{{{{t, attempt}, server, 1}}});
}

void end_task(state& s, const task_id& t, std::uint32_t attempt, run_outcome outcome,
              const std::string& checkpoint = "")
{
    apply(s, end_runs{{{{t, attempt}, outcome, checkpoint}}, noon_ms, {}, 0, 0});
}

task_id make_task_id(std::uint32_t step, std::uint32_t index, std::uint32_t occurrence = 0)
{
    return {test_job_id, occurrence, step, index};
}

std::string from_hexadecimal(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        out.push_back(static_cast<char>(std::stoi(std::string{text.substr(i, 2)}, nullptr, 16)));
    }
    return out;
}

/** Starts the task and ends the run with the crash of its server. */
void crash_server_of_task(state& s, const task_id& t, std::uint32_t attempt)
{
    begin_task(s, t, attempt, server_id{"s" + std::to_string(attempt)});
    end_task(s, t, attempt, run_outcome::server_crashed);
}

} // namespace

TEST_CASE("jobs: job and task ids survive a round trip through text")
{
    CHECK(job_id::parse("0123456789abcdef") == test_job_id);
    CHECK(test_job_id.text() == "0123456789abcdef");
    CHECK_FALSE(job_id::parse("0123456789ABCDEF"));
    CHECK_FALSE(job_id::parse("0123456789abcde"));
    const task_id id{test_job_id, 3, 1, 17};
    CHECK(id.text() == "0123456789abcdef.3.1.17");
    CHECK(task_id::parse(id.text()) == id);
    CHECK_FALSE(task_id::parse("0123456789abcdef.3.1"));
    CHECK_FALSE(task_id::parse("0123456789abcdef.3.1.17.2"));
    CHECK_FALSE(task_id::parse("0123456789abcdef.3.1.x"));
}

TEST_CASE("jobs: the longest matching prefix selects the queue, and faulty documents are detected")
{
    document doc = two_queue_document();
    CHECK(doc.route("shop.example", "/jobs/long/1")->id == queue_id{"long"});
    CHECK(doc.route("shop.example", "/jobs/1")->id == queue_id{"orders"});
    CHECK(doc.route("else.example", "/jobs/1") == nullptr);
    CHECK(doc.route("shop.example", "/job") == nullptr);
    CHECK(*doc.owner_of("key") == test_account);
    CHECK(doc.owner_of("kez") == nullptr);
    CHECK_FALSE(find_error(doc));

    document shared_key = doc;
    shared_key.accounts.emplace(team_id{"other"}, account{{"key"}, 1, {}});
    CHECK(find_error(shared_key));
    document same_route = doc;
    same_route.queues.at(queue_id{"long"}).path_prefix = "/jobs/";
    CHECK(find_error(same_route));
    document unknown_pool = doc;
    unknown_pool.pools.clear();
    CHECK(find_error(unknown_pool));
}

TEST_CASE("jobs: a document that is not newer is ignored")
{
    state s;
    document newer = two_queue_document();
    newer.version = 7;
    newer.source = "seven";
    CHECK(apply(s, put_document{newer}).changed);
    document same_version = newer;
    same_version.source = "other content under the same number";
    CHECK_FALSE(apply(s, put_document{same_version}).changed);
    document older = two_queue_document();
    CHECK_FALSE(apply(s, put_document{older}).changed);
    CHECK(s.doc.source == "seven");
}

TEST_CASE("jobs: a step waits for its dependencies, and the last task completes the job")
{
    step_spec second = make_step(1);
    second.depends_on = {0};
    state s = state_with_job({make_step(2), second});
    const job& j = s.jobs.at(test_job_id);
    CHECK(j.phase == job_phase::pending);
    CHECK(j.may_start(j.occurrences.at(0), 0));
    CHECK_FALSE(j.may_start(j.occurrences.at(0), 1));
    begin_task(s, make_task_id(0, 0), 1);
    begin_task(s, make_task_id(0, 1), 1);
    CHECK(j.phase == job_phase::in_progress);
    end_task(s, make_task_id(0, 0), 1, run_outcome::done);
    CHECK_FALSE(j.may_start(j.occurrences.at(0), 1));
    end_task(s, make_task_id(0, 1), 1, run_outcome::done);
    CHECK(j.may_start(j.occurrences.at(0), 1));
    begin_task(s, make_task_id(1, 0), 1);
    end_task(s, make_task_id(1, 0), 1, run_outcome::done);
    CHECK(j.phase == job_phase::completed);
    CHECK(s.active_jobs.empty());
    CHECK(s.in_use.at(test_account) == resources{});
}

TEST_CASE("jobs: a task has one run at a time, each with a higher attempt number")
{
    state s = state_with_job({make_step(1)});
    begin_task(s, make_task_id(0, 0), 1, server_a);
    begin_task(s, make_task_id(0, 0), 2, server_b);
    CHECK(s.find(make_task_id(0, 0))->attempt == 1);
    CHECK(s.find(make_task_id(0, 0))->server == server_a);
    end_task(s, make_task_id(0, 0), 1, run_outcome::lost);
    begin_task(s, make_task_id(0, 0), 1, server_b);
    CHECK(s.find(make_task_id(0, 0))->phase == task_phase::waiting);
    begin_task(s, make_task_id(0, 0), 2, server_b);
    CHECK(s.find(make_task_id(0, 0))->server == server_b);
    // The late end of an earlier run does not affect the current one.
    end_task(s, make_task_id(0, 0), 1, run_outcome::done);
    CHECK(s.find(make_task_id(0, 0))->phase == task_phase::running);
    CHECK(s.runs.size() == 1);
}

TEST_CASE("jobs: only failed runs count as attempts, and a checkpoint is kept for later runs")
{
    state s = state_with_job({make_step(1)});
    std::uint32_t attempt = 0;
    for (const run_outcome outcome : {run_outcome::stopped, run_outcome::lapsed, run_outcome::lost,
                                      run_outcome::not_begun, run_outcome::failed}) {
        begin_task(s, make_task_id(0, 0), ++attempt);
        end_task(s, make_task_id(0, 0), attempt, outcome,
                 outcome == run_outcome::stopped ? "half" : "");
    }
    CHECK(s.jobs.at(test_job_id).phase == job_phase::in_progress);
    CHECK(s.find(make_task_id(0, 0))->checkpoint == "half");
    begin_task(s, make_task_id(0, 0), ++attempt);
    end_task(s, make_task_id(0, 0), attempt, run_outcome::failed);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::failed);
}

TEST_CASE("jobs: a failed run that is reported again counts once")
{
    state s = state_with_job({make_step(1)});
    begin_task(s, make_task_id(0, 0), 1);
    end_task(s, make_task_id(0, 0), 1, run_outcome::failed);
    end_task(s, make_task_id(0, 0), 1, run_outcome::failed);
    begin_task(s, make_task_id(0, 0), 2, server_b);
    end_task(s, make_task_id(0, 0), 1, run_outcome::failed);
    CHECK(s.find(make_task_id(0, 0))->failed_runs == 1);
    CHECK(s.find(make_task_id(0, 0))->phase == task_phase::running);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::in_progress);
}

TEST_CASE("jobs: a run that was recorded as lost does not count when its server reports it failed")
{
    state s = state_with_job({make_step(1)});
    for (std::uint32_t attempt = 1; attempt < 5; ++attempt) {
        begin_task(s, make_task_id(0, 0), attempt);
        end_task(s, make_task_id(0, 0), attempt, run_outcome::lost);
        end_task(s, make_task_id(0, 0), attempt, run_outcome::failed);
    }
    CHECK(s.find(make_task_id(0, 0))->failed_runs == 0);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::in_progress);
}

TEST_CASE("jobs: members of a gang that end because another member failed do not count as attempts")
{
    step_spec gang = make_step(2);
    gang.gang = true;
    state s = state_with_job({gang});
    std::uint32_t attempt = 0;
    for (const run_outcome outcome :
         {run_outcome::gang_broken, run_outcome::gang_incomplete, run_outcome::gang_broken}) {
        ++attempt;
        begin_task(s, make_task_id(0, 0), attempt);
        begin_task(s, make_task_id(0, 1), attempt);
        end_task(s, make_task_id(0, 0), attempt,
                 attempt == 1 ? run_outcome::failed : run_outcome::lapsed);
        end_task(s, make_task_id(0, 1), attempt, outcome);
    }
    REQUIRE(s.jobs.at(test_job_id).phase == job_phase::in_progress);
    CHECK(s.find(make_task_id(0, 0))->failed_runs == 1);
    CHECK(s.find(make_task_id(0, 1))->failed_runs == 0);
}

TEST_CASE(
    "jobs: a long-running task becomes startable again after every run, however often it fails")
{
    step_spec long_running = make_step(1);
    long_running.long_running = true;
    state s = state_with_job({long_running});
    for (std::uint32_t attempt = 1; attempt < 20; ++attempt) {
        begin_task(s, make_task_id(0, 0), attempt);
        end_task(s, make_task_id(0, 0), attempt,
                 attempt % 2 == 0 ? run_outcome::failed : run_outcome::done);
    }
    CHECK(s.jobs.at(test_job_id).phase == job_phase::in_progress);
    CHECK(s.find(make_task_id(0, 0))->phase == task_phase::waiting);
}

TEST_CASE("jobs: one successful member completes the gang")
{
    step_spec gang = make_step(3);
    gang.gang = true;
    state s = state_with_job({gang});
    for (std::uint32_t i = 0; i < 3; ++i) {
        begin_task(s, make_task_id(0, i), 1);
    }
    end_task(s, make_task_id(0, 0), 1, run_outcome::done);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::in_progress);
    end_task(s, make_task_id(0, 1), 1, run_outcome::gang_broken);
    end_task(s, make_task_id(0, 2), 1, run_outcome::lost);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::completed);
}

TEST_CASE("jobs: a cancelled job starts no tasks and keeps its running ones until they end")
{
    state s = state_with_job({make_step(2)});
    begin_task(s, make_task_id(0, 0), 1);
    CHECK(apply(s, cancel_job{test_job_id, noon_ms}).changed);
    CHECK_FALSE(apply(s, cancel_job{test_job_id, noon_ms}).changed);
    begin_task(s, make_task_id(0, 1), 1);
    CHECK(s.find(make_task_id(0, 1))->phase == task_phase::waiting);
    CHECK(s.in_use.at(test_account).cpu_milli == 1000);
    end_task(s, make_task_id(0, 0), 1, run_outcome::done);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::cancelled);
    CHECK(s.in_use.at(test_account).cpu_milli == 0);
    CHECK(s.active_jobs.empty());
    CHECK(apply(s, cancel_job{job_id{9}, noon_ms}).refused->kind == error_kind::not_found);
}

TEST_CASE("jobs: occurrences open in order, and the last one completes the job")
{
    state s = state_with_job({make_step(1)}, {2, noon_ms, 1000});
    CHECK(s.jobs.at(test_job_id).occurrences.empty());
    apply(s, start_occurrence{test_job_id, 1});
    CHECK(s.jobs.at(test_job_id).occurrences.empty());
    apply(s, start_occurrence{test_job_id, 0});
    apply(s, start_occurrence{test_job_id, 0});
    CHECK(s.jobs.at(test_job_id).occurrences_opened == 1);
    begin_task(s, make_task_id(0, 0, 0), 1);
    end_task(s, make_task_id(0, 0, 0), 1, run_outcome::done);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::in_progress);
    apply(s, start_occurrence{test_job_id, 1});
    begin_task(s, make_task_id(0, 0, 1), 1);
    end_task(s, make_task_id(0, 0, 1), 1, run_outcome::done);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::completed);
}

TEST_CASE("jobs: submitting the same job again has no effect")
{
    state s = state_with_job({make_step(1)});
    begin_task(s, make_task_id(0, 0), 1);
    CHECK_FALSE(
        apply(s, submit_job{test_job_id, queue_id{"long"}, {}, test_account, {}, noon_ms + 1})
            .changed);
    CHECK(s.jobs.at(test_job_id).queue == queue_id{"orders"});
    CHECK(s.jobs.at(test_job_id).running == 1);
}

TEST_CASE("jobs: a job whose queue was removed uses its stored terms")
{
    state s = state_with_job({make_step(1)});
    document without_queue = two_queue_document();
    without_queue.version = 2;
    without_queue.queues.erase(queue_id{"orders"});
    apply(s, put_document{without_queue});
    CHECK(s.current_terms(s.jobs.at(test_job_id)).pool == pool_id{"pool"});
    begin_task(s, make_task_id(0, 0), 1);
    end_task(s, make_task_id(0, 0), 1, run_outcome::failed);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::in_progress);
}

TEST_CASE("jobs: a snapshot restores the whole state, and a truncated one is refused")
{
    step_spec second = make_step(1);
    second.depends_on = {0};
    state s = state_with_job({make_step(2), second});
    begin_task(s, make_task_id(0, 0), 1, server_a);
    begin_task(s, make_task_id(0, 1), 1, server_b);
    end_task(s, make_task_id(0, 1), 1, run_outcome::stopped, "saved");
    apply(s, set_data_centre{data_centre_id{"north"}, false});
    apply(s, start_maintenance{"1", {"m"}, 1000, 1, noon_ms});
    apply(s, step_maintenance{"1", "m", false, false});
    apply(s, order_machine{"m", pool_id{"pool"}, 3, noon_ms});
    const auto decoded = machine::decode_state(machine::encode_state(s));
    REQUIRE(ok(decoded));
    const state& restored = value(decoded);
    CHECK(machine::encode_state(restored) == machine::encode_state(s));
    CHECK(restored.runs == s.runs);
    CHECK(restored.in_use == s.in_use);
    CHECK(restored.active_jobs == s.active_jobs);
    CHECK(restored.find(make_task_id(0, 1))->checkpoint == "saved");
    CHECK(restored.waves.at("1").machines.at("m").started);
    CHECK_FALSE(restored.waves.at("1").is_done());
    CHECK(restored.machine_orders.at("m").term == 3);
    CHECK_FALSE(ok(machine::decode_state(machine::encode_state(s).substr(0, 40))));
}

TEST_CASE("jobs: frozen leases last until they are unfrozen or the server's last run ends")
{
    const task_id first{test_job_id, 0, 0, 0};
    const task_id second{test_job_id, 0, 0, 1};
    state s = state_with_job({make_step(2)});
    apply(s, freeze_leases{{{server_a, 1, 500, false, {}}}, {}});
    // A bound on a server without runs would apply to runs that start later.
    CHECK(s.frozen_leases.empty());
    begin_task(s, first, 1);
    begin_task(s, second, 1);
    apply(s, freeze_leases{{{server_a, 1, 500, true, {{first, 1}}}}, {}});
    end_task(s, first, 1, run_outcome::lost);
    REQUIRE(s.frozen_leases.contains(server_a));
    const auto restored = machine::decode_state(machine::encode_state(s));
    REQUIRE(ok(restored));
    const lease_bound& bound = value(restored).frozen_leases.at(server_a);
    CHECK(bound.remaining_ms == 500);
    CHECK(bound.ended);
    CHECK(bound.unanswered_starts == std::vector<run_id>{{first, 1}});
    state unfrozen = s;
    apply(unfrozen, freeze_leases{{}, {server_a}});
    CHECK(unfrozen.frozen_leases.empty());
    end_task(s, second, 1, run_outcome::lost);
    CHECK(s.frozen_leases.empty());
}

TEST_CASE("jobs: frozen leases and crash records are kept in a snapshot, alone or together")
{
    for (const bool frozen : {false, true}) {
        for (const bool crashed : {false, true}) {
            CAPTURE(frozen);
            CAPTURE(crashed);
            state s = state_with_job({make_step(2)});
            begin_task(s, make_task_id(0, 0), 1);
            if (crashed) {
                crash_server_of_task(s, make_task_id(0, 1), 2);
            }
            if (frozen) {
                apply(s, freeze_leases{{{server_a, 1, 500, false, {}}}, {}});
            }
            const std::string bytes = machine::encode_state(s);
            const auto restored = machine::decode_state(bytes);
            REQUIRE(ok(restored));
            CHECK(value(restored).frozen_leases.contains(server_a) == frozen);
            CHECK(value(restored).frozen_leases.size() == (frozen ? 1 : 0));
            CHECK(value(restored).crash_records.contains(make_task_id(0, 1)) == crashed);
            CHECK(value(restored).crash_records.size() == (crashed ? 1 : 0));
            CHECK(machine::encode_state(value(restored)) == bytes);
        }
    }
}

TEST_CASE("jobs: a snapshot without frozen leases has the format of versions before them")
{
    state s = state_with_job({make_step(1)});
    begin_task(s, {test_job_id, 0, 0, 0}, 1);
    const std::string before = to_bytes(s.doc) + to_bytes(s.out_of_service) + to_bytes(s.jobs) +
                               to_bytes(s.waves) + to_bytes(s.machine_orders);
    CHECK(machine::encode_state(s) == before);
    CHECK(ok(machine::decode_state(before)));
}

TEST_CASE("jobs: only ended jobs without running tasks can be removed")
{
    state s = state_with_job({make_step(1)});
    apply(s, remove_jobs{{test_job_id}});
    CHECK(s.jobs.contains(test_job_id));
    begin_task(s, make_task_id(0, 0), 1);
    apply(s, cancel_job{test_job_id, noon_ms});
    apply(s, remove_jobs{{test_job_id}});
    CHECK(s.jobs.contains(test_job_id));
    end_task(s, make_task_id(0, 0), 1, run_outcome::stopped);
    apply(s, remove_jobs{{test_job_id}});
    CHECK_FALSE(s.jobs.contains(test_job_id));
}

TEST_CASE("jobs: a job is given up after its task crashed two servers that ran nothing else")
{
    step_spec long_running = make_step(2);
    long_running.long_running = true;
    step_spec gang = make_step(2);
    gang.gang = true;
    for (const step_spec& step : {make_step(2), long_running, gang}) {
        state s = state_with_job({step});
        crash_server_of_task(s, make_task_id(0, 0), 1);
        CHECK(s.jobs.at(test_job_id).phase == job_phase::in_progress);
        // The same end may be proposed again by a new leader.
        end_task(s, make_task_id(0, 0), 1, run_outcome::server_crashed);
        CHECK(s.crash_records.at(make_task_id(0, 0)).crashes() == 1);
        begin_task(s, make_task_id(0, 1), 2);
        crash_server_of_task(s, make_task_id(0, 0), 2);
        CHECK(s.jobs.at(test_job_id).phase == job_phase::failed);
        end_task(s, make_task_id(0, 1), 2, run_outcome::stopped);
        CHECK(s.active_jobs.empty());
        // The record tells why until the job is removed.
        CHECK(s.crash_records.contains(make_task_id(0, 0)));
        apply(s, remove_jobs{{test_job_id}});
        CHECK(s.crash_records.empty());
    }
}

TEST_CASE("jobs: a lost run counts as a crash only once its server is known to have crashed")
{
    state s = state_with_job({make_step(1)});
    const task_id t = make_task_id(0, 0);
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
        begin_task(s, t, attempt, server_id{"s" + std::to_string(attempt)});
        end_task(s, t, attempt, run_outcome::lost);
    }
    CHECK(s.crash_records.at(t).crashes() == 0);
    end_task(s, t, 1, run_outcome::lost_unsuspected);
    CHECK(s.crash_records.at(t).losses().size() == 2);
    begin_task(s, t, 4);
    end_task(s, t, 2, run_outcome::server_crashed);
    end_task(s, t, 2, run_outcome::server_crashed);
    CHECK(s.crash_records.at(t).crashes() == 1);
    CHECK(s.find(t)->phase == task_phase::running);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::in_progress);
    end_task(s, t, 3, run_outcome::server_crashed);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::failed);
    CHECK(s.jobs.at(test_job_id).running == 1);
}

TEST_CASE("jobs: runs of other jobs on a crashed server make a crash inconclusive")
{
    state s = state_with_job({make_step(1)});
    const job_id other_job{2};
    job_spec spec{"payload", {make_step(1)}, {}};
    apply(s, submit_job{other_job, queue_id{"orders"}, {}, test_account, spec, noon_ms});
    const task_id t = make_task_id(0, 0);
    const task_id other{other_job, 0, 0, 0};
    begin_task(s, t, 1);
    begin_task(s, other, 1);
    // The second run ends in a later command, when the first one has left the server.
    end_task(s, t, 1, run_outcome::server_crashed);
    end_task(s, other, 1, run_outcome::server_crashed);
    for (const task_id& suspect : {t, other}) {
        CHECK(s.crash_records.at(suspect).crashes() == 1);
        CHECK(s.crash_records.at(suspect).crashes_alone() == 0);
    }
    // Both run on servers of their own; success clears one of them, the other is convicted.
    begin_task(s, other, 2, server_b);
    end_task(s, other, 2, run_outcome::done);
    CHECK_FALSE(s.crash_records.contains(other));
    crash_server_of_task(s, t, 2);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::in_progress);
    crash_server_of_task(s, t, 3);
    CHECK(s.jobs.at(test_job_id).phase == job_phase::failed);
    CHECK(s.jobs.at(other_job).phase == job_phase::completed);
}

TEST_CASE("jobs: crashes of several servers at once do not convict a task, but bound its restarts")
{
    state s = state_with_job({make_step(1)});
    const task_id t = make_task_id(0, 0);
    for (std::uint32_t attempt = 1; attempt <= max_crashes; ++attempt) {
        CHECK(s.jobs.at(test_job_id).phase != job_phase::failed);
        begin_task(s, t, attempt, server_id{"s" + std::to_string(attempt)});
        if (attempt == 2) {
            end_task(s, t, attempt, run_outcome::lost_with_others);
            end_task(s, t, attempt, run_outcome::server_crashed);
        } else {
            end_task(s, t, attempt, run_outcome::server_crashed_with_others);
        }
        CHECK(s.crash_records.at(t).crashes() == attempt);
        CHECK(s.crash_records.at(t).crashes_alone() == 0);
    }
    CHECK(s.jobs.at(test_job_id).phase == job_phase::failed);
}

TEST_CASE("jobs: crashes of servers are kept in a snapshot")
{
    state s = state_with_job({make_step(1)});
    crash_server_of_task(s, make_task_id(0, 0), 1);
    const auto decoded = machine::decode_state(machine::encode_state(s));
    REQUIRE(ok(decoded));
    state restored = value(decoded);
    CHECK(machine::encode_state(restored) == machine::encode_state(s));
    crash_server_of_task(restored, make_task_id(0, 0), 2);
    CHECK(restored.jobs.at(test_job_id).phase == job_phase::failed);
}

TEST_CASE("jobs: snapshots and log entries without crash records are read")
{
    // Written by a version without crash records: job 7 with one task, running on server a.
    const std::string snapshot = from_hexadecimal(
        "010000000000000001000000000000000100000000000000710100000000000000710100000000000000"
        "6801000000000000002f000100000000000000700000000001000000000000000000f03f000000000000"
        "000000000000000000000000000000000000000000000000000000010000000000000001000000000000"
        "007001000000000000000000000000000000000000000000000000000000000000000000010000000000"
        "000007000000000000000100000000000000710100000000000000700000000001000000000000000000"
        "f03f00000000000000000000000000000000000000000000000000000000000000000001000000000000"
        "007400000000000000000100000000000000010000000000000000000000000000000000000000000000"
        "000000000000000000000000000000000000000000000000000000000000000000000000000000000000"
        "000000000000000000000000000000000000000000000000000000000000000000000000000000000000"
        "000001050000000000000000000000000000000100000000000000000000000100000000000000010000"
        "000000000001010000000000000001000000000000006103000000000000000000000000000000000000"
        "000100000001000000000000000100000000000000000000000000000000000000");
    const auto decoded = machine::decode_state(snapshot);
    REQUIRE(ok(decoded));
    state s = value(decoded);
    const task_id t{job_id{7}, 0, 0, 0};
    REQUIRE(s.find(t) != nullptr);
    CHECK(s.find(t)->phase == task_phase::running);
    CHECK(s.find(t)->server == server_a);
    CHECK(s.crash_records.empty());
    // The earlier version can also read a snapshot without crash records.
    CHECK(machine::encode_state(s) == snapshot);

    const auto entry = machine::decode(from_hexadecimal(
        "070000000100000000000000070000000000000000000000000000000000000001000000070100000000"
        "00000063090000000000000001000000000000006103000000000000000200000000000000"));
    REQUIRE(ok(entry));
    const auto& ends = std::get<end_runs>(value(entry));
    REQUIRE(ends.ends.size() == 1);
    CHECK(ends.ends[0].outcome == run_outcome::lost);
    apply(s, value(entry));
    CHECK(s.find(t)->phase == task_phase::waiting);
    CHECK(s.find(t)->checkpoint == "c");
}

TEST_CASE("jobs: a refused id is kept for one to two rotations, for its account only")
{
    state s;
    const team_id account{"a"};
    const submit_job submission{test_job_id, {}, {}, account, {}, 0};
    CHECK(apply(s, refuse_job{account, test_job_id}).changed);
    CHECK_FALSE(apply(s, refuse_job{account, test_job_id}).changed);
    apply(s, rotate_refused_jobs{1});
    // A rotation that is applied again has no effect.
    apply(s, rotate_refused_jobs{1});
    CHECK(apply(s, submission).refused);
    CHECK(s.jobs.empty());
    apply(s, rotate_refused_jobs{2});
    CHECK(s.refused.empty());
    CHECK(apply(s, submission).changed);
    // An accepted job is not refused later, but another account's cancel is recorded.
    CHECK(apply(s, refuse_job{account, test_job_id}).refused);
    CHECK(apply(s, refuse_job{team_id{"b"}, test_job_id}).changed);
}

TEST_CASE("jobs: accounts that fill the refused ids leave room to others, and nothing is dropped")
{
    refused_jobs refused;
    const auto fill = [&](const team_id& account) {
        std::uint64_t ids = 0;
        while (refused.has_room(account)) {
            refused.add(account, job_id{++ids});
        }
        return ids;
    };
    const std::uint64_t first = fill(team_id{"a"});
    CHECK(first == refused_jobs::max_ids / 2);
    CHECK(fill(team_id{"b"}) == refused_jobs::max_ids / 4);
    refused.rotate(1);
    CHECK_FALSE(refused.has_room(team_id{"a"}));
    CHECK(refused.has_room(team_id{"c"}));
    CHECK(refused.contains(team_id{"a"}, job_id{1}));
    CHECK(refused.contains(team_id{"a"}, job_id{first}));
    refused.rotate(2);
    CHECK(refused.has_room(team_id{"a"}));
    CHECK(refused.size() == 0);
}

TEST_CASE("jobs: refused ids are kept in a snapshot, which omits them if there are none")
{
    state s = state_with_job({make_step(1)});
    const std::string before = machine::encode_state(s);
    apply(s, refuse_job{team_id{"a"}, job_id{5}});
    apply(s, rotate_refused_jobs{1});
    apply(s, refuse_job{team_id{"a"}, job_id{6}});
    const auto decoded = machine::decode_state(machine::encode_state(s));
    REQUIRE(ok(decoded));
    state restored = value(decoded);
    CHECK(restored.refused.size() == 2);
    CHECK(restored.refused.contains(team_id{"a"}, job_id{5}));
    CHECK(machine::encode_state(restored) == machine::encode_state(s));
    apply(restored, rotate_refused_jobs{2});
    apply(restored, rotate_refused_jobs{3});
    CHECK(machine::encode_state(restored) == before);
}
