#include "fleet/caller_api.h"
#include "platform.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int ok_status = 200;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

const std::string job_text = "0123456789abcdef";
const std::string shop_key = "shop-key";
const std::string bank_key = "bank-key";

jobs::queue make_queue(const std::string& id, const std::string& path_prefix, bool open)
{
    jobs::queue out;
    out.id = jobs::queue_id{id};
    out.host = "shop.example";
    out.path_prefix = path_prefix;
    out.open = open;
    out.terms.pool = pool_id{"pool"};
    return out;
}

jobs::document make_document(std::uint64_t version, const std::vector<jobs::queue>& queues)
{
    jobs::document out;
    out.version = version;
    out.pools.emplace(pool_id{"pool"}, jobs::job_pool{});
    for (const jobs::queue& q : queues) {
        out.queues.emplace(q.id, q);
    }
    out.accounts.emplace(team_id{"shop"}, jobs::account{{shop_key, "shop-key-2"}, 1, {}});
    out.accounts.emplace(team_id{"bank"}, jobs::account{{bank_key}, 1, {}});
    return out;
}

/** A leader with a single-instance log that handles callers' requests. */
class leader_of_one {
public:
    leader_of_one() { start(); }
    explicit leader_of_one(manual_clock clock) : has_manual_clock{true}, loop{clock} { start(); }

    void start()
    {
        log.replica().form(7, loop.now());
        run_until([&] { return log.replica().settled(); });
        put({make_queue("orders", "/orders/", false), make_queue("more", "/more/", false),
             make_queue("open", "/open/", true)});
    }

    void put(const std::vector<jobs::queue>& queues)
    {
        const std::uint64_t version = log.state().doc.version + 1;
        log.propose_here(jobs::put_document{make_document(version, queues)});
        run_until([&] { return log.state().doc.version == version; });
    }

    void begin_call(const std::string& method, const std::string& path, const std::string& key,
                    const reply_function& reply)
    {
        wire::forwarded_call in;
        in.method = method;
        in.host = "shop.example";
        in.path = path;
        in.key = key;
        in.body = R"({"spec":"x","steps":[{"count":1,"cpu":1000}]})";
        callers->handle_call(in, reply);
    }

    /** @return the reply to a call. */
    wire::forwarded_reply call(const std::string& method, const std::string& path,
                               const std::string& key = "")
    {
        std::optional<wire::forwarded_reply> reply;
        begin_call(method, path, key,
                   [&](wire::forwarded_reply&& r) { reply.emplace(std::move(r)); });
        run_until([&] { return reply.has_value(); });
        REQUIRE(reply);
        return *reply;
    }

    int status_of(const std::string& method, const std::string& path, const std::string& key = "")
    {
        return call(method, path, key).status;
    }

    /** Elects a leader that knows only the log. */
    void replace_leader()
    {
        const term_number before = log.replica().term();
        log.replica().resign(loop.now());
        run_until([&] { return log.replica().settled() && log.replica().term() > before; });
        callers.emplace(context);
    }

    void run_until(const std::function<bool()>& condition)
    {
        const mono_time end = loop.now() + 6s;
        while (!condition() && loop.now() < end) {
            if (has_manual_clock) {
                loop.advance(5ms);
                continue;
            }
            const auto stop = loop.after(5ms, [this] { loop.stop(); });
            loop.run();
        }
        REQUIRE(condition());
    }

    bool has_manual_clock{false};
    event_loop loop;
    settings::job_service_settings settings;
    protocol wire{platform::make_protocol()};
    http::client client{loop};
    relay orders{loop, client, wire,
                 [](const instance_id&, const wire::message&) { return false; }};
    metrics counters;
    job_log log{loop,
                instance_id{"127.0.0.1"},
                1,
                replication::any_store{store::memory_store{}},
                {},
                {[](const instance_id&, const wire::message&) { return false; },
                 [](const jobs::command&, const jobs::outcome&) {}, [] {}, [](const error&) {}}};
    core_context context{loop, settings, wire, client, orders, log, counters};
    std::optional<caller_api> callers{std::in_place, context};
};

} // namespace

TEST_CASE("caller api: a job whose id another account uses is not acknowledged")
{
    leader_of_one leader;
    CHECK(leader.status_of("POST", "/orders/" + job_text, shop_key) == ok_status);
    CHECK(leader.status_of("POST", "/orders/" + job_text, bank_key) == conflict);
    CHECK(leader.status_of("POST", "/open/" + job_text) == conflict);
    CHECK(leader.status_of("GET", "/orders/" + job_text, bank_key) == gone);
    CHECK(leader.status_of("GET", "/orders/" + job_text, shop_key) == ok_status);
}

TEST_CASE("caller api: of two accounts that submit the same id at once, one is acknowledged")
{
    leader_of_one leader;
    std::vector<int> statuses;
    for (const std::string& key : {shop_key, bank_key}) {
        leader.begin_call("POST", "/orders/" + job_text, key,
                          [&](wire::forwarded_reply&& r) { statuses.push_back(r.status); });
    }
    leader.run_until([&] { return statuses.size() == 2; });
    CHECK(statuses == std::vector{ok_status, conflict});
}

TEST_CASE("caller api: a job that arrives again from its account is acknowledged again")
{
    leader_of_one leader;
    CHECK(leader.status_of("POST", "/orders/" + job_text, shop_key) == ok_status);
    CHECK(leader.status_of("POST", "/orders/" + job_text, shop_key) == ok_status);
    CHECK(leader.status_of("POST", "/orders/" + job_text, "shop-key-2") == ok_status);
    CHECK(leader.status_of("POST", "/more/" + job_text, shop_key) == ok_status);
    CHECK(leader.status_of("GET", "/more/" + job_text, "shop-key-2") == ok_status);
    CHECK(leader.status_of("POST", "/open/1123456789abcdef") == ok_status);
    CHECK(leader.status_of("POST", "/open/1123456789abcdef", "withdrawn-key") == ok_status);
    // An open queue accepts calls with a key as well; the key may be withdrawn later.
    CHECK(leader.status_of("POST", "/open/2123456789abcdef", shop_key) == ok_status);
    CHECK(leader.status_of("POST", "/open/2123456789abcdef") == ok_status);
    CHECK(leader.status_of("GET", "/open/2123456789abcdef") == ok_status);
    CHECK(leader.log.state().jobs.size() == 3);
}

// Guards against a job that runs although its caller was told that it does not exist.
TEST_CASE("caller api: a submission that arrives after its cancel found no job is refused")
{
    leader_of_one leader;
    CHECK(leader.status_of("DELETE", "/orders/" + job_text, shop_key) == gone);
    CHECK(leader.status_of("POST", "/orders/" + job_text, shop_key) == gone);
    CHECK(leader.log.state().jobs.empty());
    CHECK(leader.status_of("GET", "/orders/" + job_text, shop_key) == gone);
    // Another account's job of this id is another job.
    CHECK(leader.status_of("POST", "/orders/" + job_text, bank_key) == ok_status);
}

TEST_CASE("caller api: a cancel that meets a submission on its way does not deny the job")
{
    leader_of_one leader;
    std::optional<int> submitted;
    leader.begin_call("POST", "/orders/" + job_text, shop_key,
                      [&](wire::forwarded_reply&& r) { submitted = r.status; });
    std::optional<int> cancelled;
    leader.begin_call("DELETE", "/orders/" + job_text, shop_key,
                      [&](wire::forwarded_reply&& r) { cancelled = r.status; });
    leader.run_until([&] { return submitted && cancelled; });
    CHECK(*submitted == ok_status);
    CHECK(*cancelled == gateway_timeout);
    CHECK(leader.status_of("DELETE", "/orders/" + job_text, shop_key) == ok_status);
}

// Guards against a job that runs although its caller was told that it does not exist: the leader
// that said so is gone when the submission arrives.
TEST_CASE("caller api: the next leader refuses a submission whose cancel found no job")
{
    leader_of_one leader;
    CHECK(leader.status_of("DELETE", "/orders/" + job_text, shop_key) == gone);
    leader.replace_leader();
    CHECK(leader.status_of("POST", "/orders/" + job_text, shop_key) == gone);
    CHECK(leader.status_of("GET", "/orders/" + job_text, shop_key) == gone);
    CHECK(leader.log.state().jobs.empty());
}

// Guards against a submission that an earlier leader proposes after a later one has denied the job.
TEST_CASE("caller api: a submission that enters the log after a refusal is refused")
{
    leader_of_one leader;
    std::optional<int> cancelled;
    leader.begin_call("DELETE", "/orders/" + job_text, shop_key,
                      [&](wire::forwarded_reply&& r) { cancelled = r.status; });
    std::optional<int> submitted;
    leader.begin_call("POST", "/orders/" + job_text, shop_key,
                      [&](wire::forwarded_reply&& r) { submitted = r.status; });
    leader.run_until([&] { return submitted && cancelled; });
    CHECK(*cancelled == gone);
    CHECK(*submitted == gone);
    CHECK(leader.log.state().jobs.empty());
}

// Guards against an account whose cancels make the leader forget what it has answered to others.
TEST_CASE("caller api: a flood of cancels of unknown ids does not bring a refused job back")
{
    leader_of_one leader;
    CHECK(leader.status_of("DELETE", "/orders/" + job_text, shop_key) == gone);
    CHECK(leader.status_of("DELETE", "/open/" + job_text) == gone);
    std::size_t confirmed = 0;
    std::size_t refused = 0;
    for (std::uint64_t i = 1; i <= 30'000; ++i) {
        leader.begin_call("DELETE", "/orders/" + jobs::job_id{i}.text(), bank_key,
                          [&](wire::forwarded_reply&& r) {
                              confirmed += r.status == gone ? 1 : 0;
                              refused += r.status == service_unavailable ? 1 : 0;
                              CHECK((r.status == gone || r.retry_after_ms > 0));
                          });
        if (i % 1000 == 0) {
            leader.run_until([&] { return confirmed + refused == i; });
        }
    }
    CHECK(confirmed >= 12'000);
    CHECK(refused > 0);
    CHECK(leader.log.state().refused.size() <= jobs::refused_jobs::max_ids);
    CHECK(leader.status_of("POST", "/orders/" + job_text, shop_key) == gone);
    CHECK(leader.status_of("POST", "/open/" + job_text) == gone);
    CHECK(leader.status_of("POST", "/orders/" + jobs::job_id{1}.text(), bank_key) == gone);
    // The others' cancels are still confirmed.
    CHECK(leader.status_of("DELETE", "/orders/1123456789abcdef", shop_key) == gone);
    CHECK(leader.status_of("POST", "/orders/1123456789abcdef", shop_key) == gone);
}

TEST_CASE("caller api: refused ids are not written to the log while a scheduler can't read them")
{
    leader_of_one leader;
    leader.context.all_commands_known = false;
    CHECK(leader.status_of("DELETE", "/orders/" + job_text, shop_key) == gone);
    CHECK(leader.log.state().refused.empty());
    CHECK(leader.status_of("POST", "/orders/" + job_text, shop_key) == gone);
}

TEST_CASE("caller api: refused ids are kept for a minute, and dropped after two")
{
    for (const bool in_log : {true, false}) {
        leader_of_one leader{manual_clock{mono_time{1h}}};
        leader.callers->on_leadership_gained();
        leader.context.all_commands_known = in_log;
        CHECK(leader.status_of("DELETE", "/orders/" + job_text, shop_key) == gone);
        const auto is_refused_after = [&](milliseconds duration) {
            for (milliseconds passed{0}; passed < duration; passed += 1s) {
                leader.callers->drop_old_refusals();
                leader.loop.advance(1s);
            }
            return leader.status_of("POST", "/orders/" + job_text, shop_key) == gone;
        };
        CHECK(is_refused_after(59s));
        CHECK(is_refused_after(2s));
        CHECK_FALSE(is_refused_after(62s));
    }
}

TEST_CASE("caller api: a call without a key cannot cancel an account's job through an open queue")
{
    leader_of_one leader;
    CHECK(leader.status_of("POST", "/orders/" + job_text, shop_key) == ok_status);
    CHECK(leader.status_of("DELETE", "/open/" + job_text) == gone);
    CHECK(leader.status_of("GET", "/open/" + job_text) == gone);
    CHECK(leader.call("GET", "/orders/" + job_text, shop_key).body == R"({"state":"pending"})");
    CHECK(leader.status_of("DELETE", "/orders/" + job_text, shop_key) == ok_status);
    CHECK(leader.call("GET", "/orders/" + job_text, shop_key).body == R"({"state":"canceled"})");
}

TEST_CASE("caller api: a job stays known when its queue closes, moves or is removed")
{
    leader_of_one leader;
    const std::string open_job = "1123456789abcdef";
    CHECK(leader.status_of("POST", "/orders/" + job_text, shop_key) == ok_status);
    CHECK(leader.status_of("POST", "/open/" + open_job) == ok_status);

    leader.put({make_queue("orders", "/moved/", false), make_queue("open", "/open/", false)});
    CHECK(leader.status_of("GET", "/moved/" + job_text, shop_key) == ok_status);
    CHECK(leader.status_of("GET", "/open/" + open_job, shop_key) == ok_status);
    CHECK(leader.status_of("GET", "/orders/" + job_text, shop_key) == not_found);

    leader.put({make_queue("renamed", "/orders/", false), make_queue("opened", "/open/", true)});
    CHECK(leader.status_of("GET", "/orders/" + job_text, shop_key) == ok_status);
    CHECK(leader.status_of("GET", "/open/" + open_job) == ok_status);
}

TEST_CASE(
    "caller api: a job whose queue was removed is not reported as unknown by a shorter prefix")
{
    leader_of_one leader;
    leader.put(
        {make_queue("orders", "/orders/", false), make_queue("nested", "/orders/nested/", false)});
    CHECK(leader.status_of("POST", "/orders/nested/" + job_text, shop_key) == ok_status);
    leader.put({make_queue("orders", "/orders/", false)});
    CHECK(leader.status_of("GET", "/orders/nested/" + job_text, shop_key) == not_found);
    CHECK(leader.status_of("DELETE", "/orders/nested/" + job_text, shop_key) == not_found);
    CHECK(leader.status_of("GET", "/orders/nested/", shop_key) == not_found);
    CHECK(leader.status_of("GET", "/orders/fedcba9876543210", shop_key) == gone);
}

TEST_CASE("caller api: a job of an open queue stays known when the queue is renamed")
{
    leader_of_one leader;
    CHECK(leader.status_of("POST", "/open/1123456789abcdef", shop_key) == ok_status);
    CHECK(leader.status_of("POST", "/open/2123456789abcdef") == ok_status);
    leader.put({make_queue("opened", "/open/", true)});
    CHECK(leader.status_of("GET", "/open/1123456789abcdef") == ok_status);
    CHECK(leader.status_of("POST", "/open/1123456789abcdef") == ok_status);
    CHECK(leader.status_of("GET", "/open/2123456789abcdef", shop_key) == ok_status);
}

// Fails if a refusal says that a job never runs while an earlier copy of it is on its way to the
// log.
TEST_CASE("caller api: a job whose first submission is on its way is not refused for lack of room")
{
    leader_of_one leader;
    leader.settings.max_log_bytes = 1;
    std::vector<int> statuses;
    for (int i = 0; i < 2; ++i) {
        leader.begin_call("POST", "/orders/" + job_text, shop_key,
                          [&](wire::forwarded_reply&& r) { statuses.push_back(r.status); });
    }
    // Another job has no copy on its way.
    leader.begin_call("POST", "/orders/1123456789abcdef", shop_key,
                      [&](wire::forwarded_reply&& r) { CHECK(r.status == 503); });
    leader.run_until([&] { return statuses.size() == 2; });
    CHECK(std::ranges::count(statuses, ok_status) >= 1);
    CHECK(std::ranges::count(statuses, 503) == 0);
    CHECK(leader.status_of("GET", "/orders/" + job_text, shop_key) == ok_status);
    CHECK(leader.status_of("GET", "/orders/1123456789abcdef", shop_key) == gone);
}

// Fails if small documents that describe many tasks can fill the memory of every scheduler.
TEST_CASE("callers: jobs are refused while those that have not ended hold the maximum of memory")
{
    constexpr std::uint32_t tasks = 100;
    jobs::job_spec spec;
    spec.steps.resize(10);
    for (jobs::step_spec& s : spec.steps) {
        s.tasks = tasks;
    }
    const std::size_t bytes = estimate_memory(spec);
    CHECK(bytes > 10 * tasks * sizeof(jobs::task));
    jobs::state state;
    job_memory memory{2 * bytes + bytes / 2};
    const auto submit = [&](std::uint64_t id, mono_time now) {
        const memory_verdict verdict = memory.admit(jobs::job_id{id}, spec, state, now);
        if (verdict == memory_verdict::fits) {
            jobs::apply(state, jobs::submit_job{jobs::job_id{id}, {}, {}, {}, spec, 0});
        }
        return verdict;
    };
    CHECK(submit(1, mono_time{1h}) == memory_verdict::fits);
    CHECK(submit(2, mono_time{1h}) == memory_verdict::fits);
    CHECK(submit(3, mono_time{1h}) == memory_verdict::no_room);
    CHECK(submit(3, mono_time{1h} + 1s) == memory_verdict::no_room);
    jobs::apply(state, jobs::cancel_job{jobs::job_id{1}, 0});
    CHECK(submit(3, mono_time{1h} + 2s) == memory_verdict::fits);
    job_memory small{bytes - 1};
    CHECK(small.admit(jobs::job_id{4}, spec, state, mono_time{1h}) ==
          memory_verdict::job_too_large);
}

// Fails if one small document with many occurrences can fill the memory of every scheduler.
TEST_CASE(
    "callers: occurrences of a job are postponed while the stored jobs hold the maximum of memory")
{
    jobs::job_spec spec;
    spec.steps.resize(1);
    spec.steps[0].tasks = 1000;
    spec.schedule = {1000, 1, 1};
    const std::size_t bytes = estimate_memory(spec);
    jobs::state state;
    job_memory memory{10 * bytes};
    const jobs::job_id id{1};
    mono_time now{1h};
    REQUIRE(memory.admit(id, spec, state, now) == memory_verdict::fits);
    jobs::apply(state, jobs::submit_job{id, {}, {}, {}, spec, 0});
    const auto open_next = [&] {
        now += 1s;
        if (memory.admit_occurrence(id, state, now)) {
            jobs::apply(state, jobs::start_occurrence{id, state.jobs.at(id).occurrences_opened});
        }
    };
    for (int i = 0; i < 50; ++i) {
        open_next();
    }
    const std::size_t open = state.jobs.at(id).occurrences.size();
    CHECK(open >= 5);
    CHECK(open <= 9);
    // An occurrence that is done makes room for the next one.
    for (std::uint32_t i = 0; i < 1000; ++i) {
        const jobs::run_id run{{id, 0, 0, i}, 1};
        jobs::apply(state, jobs::start_runs{{{run, server_id{"s"}, 1}}});
        jobs::apply(state, jobs::end_runs{{{run, jobs::run_outcome::done, ""}}, 0});
    }
    CHECK(state.jobs.at(id).occurrences.size() == open - 1);
    CHECK(state.jobs.at(id).occurrences_done == 1);
    open_next();
    CHECK(state.jobs.at(id).occurrences.size() == open);
}

TEST_CASE("callers: ended jobs, and jobs whose command is not applied yet, count as stored")
{
    jobs::job_spec spec;
    spec.steps.resize(1);
    spec.steps[0].tasks = 1;
    const std::size_t bytes = estimate_memory(spec);
    jobs::state state;
    job_memory memory{1000 * bytes};
    mono_time now{1h};
    std::uint64_t admitted = 0;
    while (memory.admit(jobs::job_id{admitted + 1}, spec, state, now) == memory_verdict::fits) {
        ++admitted;
        now += 5ms;
        REQUIRE(admitted <= 1000);
    }
    CHECK(admitted == 1000);
    // A repeated submission is not counted again.
    CHECK(memory.admit(jobs::job_id{1}, spec, state, now) == memory_verdict::fits);
    for (std::uint64_t id = 1; id <= admitted; ++id) {
        jobs::apply(state, jobs::submit_job{jobs::job_id{id}, {}, {}, {}, spec, 0});
        jobs::apply(state, jobs::cancel_job{jobs::job_id{id}, 0});
    }
    now += 1min;
    std::uint64_t more = 0;
    while (memory.admit(jobs::job_id{10'000 + more}, spec, state, now) == memory_verdict::fits) {
        ++more;
    }
    // An ended job keeps its state, but not its steps and tasks.
    CHECK(more > 0);
    CHECK(more < admitted / 2);
}

// Fails if what servers report about the tasks of small jobs can fill the memory of every
// scheduler.
TEST_CASE("callers: checkpoints and lost runs of stored jobs count as stored")
{
    constexpr std::uint32_t tasks = 1000;
    jobs::job_spec spec;
    spec.steps.resize(1);
    spec.steps[0].tasks = tasks;
    spec.steps[0].long_running = true;
    const std::size_t bytes = estimate_memory(spec);
    const jobs::job_id id{1};
    for (const auto outcome : {jobs::run_outcome::lapsed, jobs::run_outcome::lost}) {
        jobs::state state;
        job_memory memory{4 * bytes};
        mono_time now{1h};
        REQUIRE(memory.admit(id, spec, state, now) == memory_verdict::fits);
        jobs::apply(state, jobs::submit_job{id, {}, {}, {}, spec, 0});
        now += 1s;
        CHECK(memory.admit(jobs::job_id{2}, spec, state, now) == memory_verdict::fits);
        for (std::uint32_t i = 0; i < tasks; ++i) {
            const jobs::run_id run{{id, 0, 0, i}, 1};
            const std::string checkpoint(outcome == jobs::run_outcome::lapsed ? 1000 : 0, 'c');
            jobs::apply(state, jobs::start_runs{{{run, server_id{"s" + std::to_string(i)}, 1}}});
            jobs::apply(state, jobs::end_runs{{{run, outcome, checkpoint}}, 0});
        }
        now += 1min;
        CHECK(memory.admit(jobs::job_id{3}, spec, state, now) == memory_verdict::no_room);
        // They go with the job.
        jobs::apply(state, jobs::cancel_job{id, 0});
        now += 1min;
        CHECK(memory.admit(jobs::job_id{3}, spec, state, now) == memory_verdict::fits);
    }
}
