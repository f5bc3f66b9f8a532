#include "fescuestream/jobs/state.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::jobs;

namespace {

const job_id one{0x0123456789abcdef};
const server_id server_a{"a"};
const server_id server_b{"b"};
const team_id shop{"shop"};
constexpr wall_ms noon = 43'200'000;

document two_queues()
{
    document doc;
    doc.version = 1;
    doc.pools.emplace(pool_id{"pool"}, job_pool{});
    queue q;
    q.id = queue_id{"orders"};
    q.host = "shop.example";
    q.path_prefix = "/jobs/";
    q.terms.pool = pool_id{"pool"};
    q.terms.most_failed_runs = 2;
    doc.queues.emplace(q.id, q);
    q.id = queue_id{"long"};
    q.path_prefix = "/jobs/long/";
    doc.queues.emplace(q.id, q);
    doc.accounts.emplace(shop, account{{"key"}, 1, {8000, 0, 0}});
    return doc;
}

step_spec tasks(std::uint32_t count)
{
    step_spec out;
    out.tasks = count;
    out.need = {1000, 100, 0};
    out.estimate_ms = 500;
    return out;
}

state with_job(std::vector<step_spec> steps, recurrence repeats = {})
{
    state s;
    apply(s, put_document{two_queues()});
    job_spec spec{"payload", std::move(steps), repeats};
    apply(s, submit_job{one, queue_id{"orders"}, s.doc.queues.at(queue_id{"orders"}).terms, shop,
                        spec, noon});
    return s;
}

void begin_at(state& s, const task_id& t, std::uint32_t attempt, const server_id& where = server_a)
{
    apply(s, begin_runs{{{{t, attempt}, where, 1}}});
}

void finish(state& s, const task_id& t, std::uint32_t attempt, run_end how,
            const std::string& saved = "")
{
    apply(s, end_runs{{{{t, attempt}, how, saved}}, noon, {}, 0, 0});
}

task_id task_of(std::uint32_t step, std::uint32_t index, std::uint32_t occurrence = 0)
{
    return {one, occurrence, step, index};
}

} // namespace

TEST_CASE("jobs: ids and task names are read back as they were written")
{
    CHECK(job_id::parse("0123456789abcdef") == one);
    CHECK(one.text() == "0123456789abcdef");
    CHECK_FALSE(job_id::parse("0123456789ABCDEF"));
    CHECK_FALSE(job_id::parse("0123456789abcde"));
    const task_id t{one, 3, 1, 17};
    CHECK(t.text() == "0123456789abcdef.3.1.17");
    CHECK(task_id::parse(t.text()) == t);
    CHECK_FALSE(task_id::parse("0123456789abcdef.3.1"));
    CHECK_FALSE(task_id::parse("0123456789abcdef.3.1.17.2"));
    CHECK_FALSE(task_id::parse("0123456789abcdef.3.1.x"));
}

TEST_CASE("jobs: the longest prefix routes, and faulty documents are named")
{
    document doc = two_queues();
    CHECK(doc.route("shop.example", "/jobs/long/1")->id == queue_id{"long"});
    CHECK(doc.route("shop.example", "/jobs/1")->id == queue_id{"orders"});
    CHECK(doc.route("else.example", "/jobs/1") == nullptr);
    CHECK(doc.route("shop.example", "/job") == nullptr);
    CHECK(*doc.owner_of("key") == shop);
    CHECK(doc.owner_of("kez") == nullptr);
    CHECK_FALSE(fault_in(doc));

    document shared = doc;
    shared.accounts.emplace(team_id{"other"}, account{{"key"}, 1, {}});
    CHECK(fault_in(shared));
    document same_place = doc;
    same_place.queues.at(queue_id{"long"}).path_prefix = "/jobs/";
    CHECK(fault_in(same_place));
    document no_pool = doc;
    no_pool.pools.clear();
    CHECK(fault_in(no_pool));
}

TEST_CASE("jobs: an older document changes nothing")
{
    state s;
    document newer = two_queues();
    newer.version = 7;
    newer.source = "seven";
    CHECK(apply(s, put_document{newer}).changed);
    document same = newer;
    same.source = "other content under the same number";
    CHECK_FALSE(apply(s, put_document{same}).changed);
    document older = two_queues();
    CHECK_FALSE(apply(s, put_document{older}).changed);
    CHECK(s.doc.source == "seven");
}

TEST_CASE("jobs: a step waits for the steps before it, and the job is done with its last task")
{
    step_spec second = tasks(1);
    second.after = {0};
    state s = with_job({tasks(2), second});
    const job& j = s.jobs.at(one);
    CHECK(j.phase == job_phase::pending);
    CHECK(j.may_start(j.occurrences.at(0), 0));
    CHECK_FALSE(j.may_start(j.occurrences.at(0), 1));
    begin_at(s, task_of(0, 0), 1);
    begin_at(s, task_of(0, 1), 1);
    CHECK(j.phase == job_phase::in_progress);
    finish(s, task_of(0, 0), 1, run_end::done);
    CHECK_FALSE(j.may_start(j.occurrences.at(0), 1));
    finish(s, task_of(0, 1), 1, run_end::done);
    CHECK(j.may_start(j.occurrences.at(0), 1));
    begin_at(s, task_of(1, 0), 1);
    finish(s, task_of(1, 0), 1, run_end::done);
    CHECK(j.phase == job_phase::completed);
    CHECK(s.live.empty());
    CHECK(s.in_use.at(shop) == resources{});
}

TEST_CASE("jobs: a task has one run at a time, with a higher number each time")
{
    state s = with_job({tasks(1)});
    begin_at(s, task_of(0, 0), 1, server_a);
    begin_at(s, task_of(0, 0), 2, server_b);
    CHECK(s.find(task_of(0, 0))->attempt == 1);
    CHECK(s.find(task_of(0, 0))->server == server_a);
    finish(s, task_of(0, 0), 1, run_end::lost);
    begin_at(s, task_of(0, 0), 1, server_b);
    CHECK(s.find(task_of(0, 0))->phase == task_phase::waiting);
    begin_at(s, task_of(0, 0), 2, server_b);
    CHECK(s.find(task_of(0, 0))->server == server_b);
    // The end of a run that is over says nothing about the present one.
    finish(s, task_of(0, 0), 1, run_end::done);
    CHECK(s.find(task_of(0, 0))->phase == task_phase::running);
    CHECK(s.runs.size() == 1);
}

TEST_CASE("jobs: only failed runs count as attempts, and a checkpoint is carried on")
{
    state s = with_job({tasks(1)});
    std::uint32_t attempt = 0;
    for (const run_end how :
         {run_end::stopped, run_end::lapsed, run_end::lost, run_end::not_begun, run_end::failed}) {
        begin_at(s, task_of(0, 0), ++attempt);
        finish(s, task_of(0, 0), attempt, how, how == run_end::stopped ? "half" : "");
    }
    CHECK(s.jobs.at(one).phase == job_phase::in_progress);
    CHECK(s.find(task_of(0, 0))->checkpoint == "half");
    begin_at(s, task_of(0, 0), ++attempt);
    finish(s, task_of(0, 0), attempt, run_end::failed);
    CHECK(s.jobs.at(one).phase == job_phase::failed);
}

TEST_CASE("jobs: lasting tasks never use their attempts up")
{
    step_spec lasting = tasks(1);
    lasting.lasting = true;
    state s = with_job({lasting});
    for (std::uint32_t attempt = 1; attempt < 20; ++attempt) {
        begin_at(s, task_of(0, 0), attempt);
        finish(s, task_of(0, 0), attempt, attempt % 2 == 0 ? run_end::failed : run_end::done);
    }
    CHECK(s.jobs.at(one).phase == job_phase::in_progress);
    CHECK(s.find(task_of(0, 0))->phase == task_phase::waiting);
}

TEST_CASE("jobs: one member's good end is the gang's")
{
    step_spec gang = tasks(3);
    gang.gang = true;
    state s = with_job({gang});
    for (std::uint32_t i = 0; i < 3; ++i) {
        begin_at(s, task_of(0, i), 1);
    }
    finish(s, task_of(0, 0), 1, run_end::done);
    CHECK(s.jobs.at(one).phase == job_phase::in_progress);
    finish(s, task_of(0, 1), 1, run_end::gang_broken);
    finish(s, task_of(0, 2), 1, run_end::lost);
    CHECK(s.jobs.at(one).phase == job_phase::completed);
}

TEST_CASE("jobs: a cancelled job keeps what runs until it has ended, and starts nothing")
{
    state s = with_job({tasks(2)});
    begin_at(s, task_of(0, 0), 1);
    CHECK(apply(s, cancel_job{one, noon}).changed);
    CHECK_FALSE(apply(s, cancel_job{one, noon}).changed);
    begin_at(s, task_of(0, 1), 1);
    CHECK(s.find(task_of(0, 1))->phase == task_phase::waiting);
    CHECK(s.in_use.at(shop).cpu_milli == 1000);
    finish(s, task_of(0, 0), 1, run_end::done);
    CHECK(s.jobs.at(one).phase == job_phase::cancelled);
    CHECK(s.in_use.at(shop).cpu_milli == 0);
    CHECK(s.live.empty());
    CHECK(apply(s, cancel_job{job_id{9}, noon}).refused->kind == error_kind::not_found);
}

TEST_CASE("jobs: occurrences open one by one and the job ends with the last")
{
    state s = with_job({tasks(1)}, {2, noon, 1000});
    CHECK(s.jobs.at(one).occurrences.empty());
    apply(s, open_occurrence{one, 1});
    CHECK(s.jobs.at(one).occurrences.empty());
    apply(s, open_occurrence{one, 0});
    apply(s, open_occurrence{one, 0});
    CHECK(s.jobs.at(one).occurrences_opened == 1);
    begin_at(s, task_of(0, 0, 0), 1);
    finish(s, task_of(0, 0, 0), 1, run_end::done);
    CHECK(s.jobs.at(one).phase == job_phase::in_progress);
    apply(s, open_occurrence{one, 1});
    begin_at(s, task_of(0, 0, 1), 1);
    finish(s, task_of(0, 0, 1), 1, run_end::done);
    CHECK(s.jobs.at(one).phase == job_phase::completed);
}

TEST_CASE("jobs: the same job handed in again stays one job")
{
    state s = with_job({tasks(1)});
    begin_at(s, task_of(0, 0), 1);
    CHECK_FALSE(apply(s, submit_job{one, queue_id{"long"}, {}, shop, {}, noon + 1}).changed);
    CHECK(s.jobs.at(one).queue == queue_id{"orders"});
    CHECK(s.jobs.at(one).running == 1);
}

TEST_CASE("jobs: a job whose queue is gone keeps its own terms")
{
    state s = with_job({tasks(1)});
    document next = two_queues();
    next.version = 2;
    next.queues.erase(queue_id{"orders"});
    apply(s, put_document{next});
    CHECK(s.terms_of(s.jobs.at(one)).pool == pool_id{"pool"});
    begin_at(s, task_of(0, 0), 1);
    finish(s, task_of(0, 0), 1, run_end::failed);
    CHECK(s.jobs.at(one).phase == job_phase::in_progress);
}

TEST_CASE("jobs: a snapshot holds all that was there")
{
    step_spec second = tasks(1);
    second.after = {0};
    state s = with_job({tasks(2), second});
    begin_at(s, task_of(0, 0), 1, server_a);
    begin_at(s, task_of(0, 1), 1, server_b);
    finish(s, task_of(0, 1), 1, run_end::stopped, "saved");
    apply(s, set_data_centre{data_centre_id{"north"}, false});
    apply(s, start_upkeep{"1", {"m"}, 1000, 1, noon});
    apply(s, step_upkeep{"1", "m", false, false});
    apply(s, order_machine{"m", pool_id{"pool"}, 3, noon});
    const auto read = machine::decode_state(machine::encode_state(s));
    REQUIRE(ok(read));
    const state& t = value(read);
    CHECK(machine::encode_state(t) == machine::encode_state(s));
    CHECK(t.runs == s.runs);
    CHECK(t.in_use == s.in_use);
    CHECK(t.live == s.live);
    CHECK(t.find(task_of(0, 1))->checkpoint == "saved");
    CHECK(t.waves.at("1").machines.at("m").begun);
    CHECK_FALSE(t.waves.at("1").is_done());
    CHECK(t.machine_orders.at("m").term == 3);
    CHECK_FALSE(ok(machine::decode_state(machine::encode_state(s).substr(0, 40))));
}

TEST_CASE("jobs: only what is over and still may be forgotten")
{
    state s = with_job({tasks(1)});
    apply(s, forget_jobs{{one}});
    CHECK(s.jobs.contains(one));
    begin_at(s, task_of(0, 0), 1);
    apply(s, cancel_job{one, noon});
    apply(s, forget_jobs{{one}});
    CHECK(s.jobs.contains(one));
    finish(s, task_of(0, 0), 1, run_end::stopped);
    apply(s, forget_jobs{{one}});
    CHECK_FALSE(s.jobs.contains(one));
}
