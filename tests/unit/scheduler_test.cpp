#include "fescuestream/scheduler/arrival_rate.h"
#include "fescuestream/scheduler/failed_searches.h"
#include "fescuestream/scheduler/job_order.h"
#include "fescuestream/scheduler/maintenance_plan.h"
#include "fescuestream/scheduler/placement.h"
#include "fescuestream/scheduler/pool_plan.h"
#include "fescuestream/scheduler/run_times.h"
#include "fescuestream/scheduler/search_rotation.h"
#include "fescuestream/scheduler/server_health.h"
#include "fescuestream/scheduler/start_limits.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <sstream>

using namespace fescue;
using namespace fescue::scheduler;
using namespace std::chrono_literals;

namespace {

queued_job make_job(std::uint64_t id, double time_to_deadline_ms, double critical_path_ms,
                    double work = 1000)
{
    queued_job s;
    s.job = jobs::job_id{id};
    s.time_to_deadline_ms = time_to_deadline_ms;
    s.critical_path_ms = critical_path_ms;
    s.remaining_core_ms = work;
    return s;
}

std::vector<std::uint64_t> sorted_ids(std::vector<queued_job> jobs)
{
    sort_by_urgency(jobs);
    std::vector<std::uint64_t> out;
    for (const queued_job& s : jobs) {
        out.push_back(s.job.number);
    }
    return out;
}

/** Creates a candidate whose server report exists until the end of the program. */
server_candidate make_candidate(const std::string& id, std::int64_t free_cpu,
                                const std::string& rack = "r1")
{
    static std::deque<jobs::server_report> reports;
    jobs::server_report& r = reports.emplace_back();
    r.id = server_id{id};
    r.rack = rack_id{rack};
    r.labels = {"kind", rack};
    r.capacity = {64'000, 128'000, 0};
    server_candidate c;
    c.server = &r;
    c.free = {free_cpu, 128'000, 0};
    return c;
}

jobs::step_spec short_step(std::int64_t cpu = 4000)
{
    jobs::step_spec s;
    s.need = {cpu, 1000, 0};
    return s;
}

std::string chosen_server(const std::vector<server_candidate>& servers, const jobs::step_spec& step,
                          const placement_hints& hints = {})
{
    const auto at = choose(servers, step, hints);
    return at ? servers[*at].server->id.str() : "none";
}

} // namespace

TEST_CASE("order: long-running jobs first, then jobs in progress, then least slack first")
{
    queued_job long_running = make_job(1, 5000, 100);
    long_running.long_running = true;
    queued_job started = make_job(2, 5000, 1000);
    started.started = true;
    CHECK(sorted_ids({make_job(3, 2000, 1000), make_job(4, 1500, 1000), started, long_running}) ==
          std::vector<std::uint64_t>{1, 2, 4, 3});
}

TEST_CASE("order: jobs that can't meet their deadline wait behind those that can")
{
    queued_job late_in_progress = make_job(2, 100, 500, 9000);
    late_in_progress.started = true;
    CHECK(sorted_ids({make_job(1, 400, 500, 100), late_in_progress, make_job(3, 900, 500)}) ==
          std::vector<std::uint64_t>{3, 2, 1});
}

TEST_CASE("starts: unanswered orders reduce the allowed starts, down to zero")
{
    CHECK(starts_allowed(0) > starts_allowed(100));
    CHECK(starts_allowed(1'000'000) == 0);
}

TEST_CASE("starts: 2,800 a second are sustained with 0.2 s per order and 70 ms per round")
{
    constexpr int round_ms = 70;
    constexpr int order_ms = 200;
    std::size_t waiting = 0;
    std::deque<std::pair<int, std::size_t>> unanswered;
    for (int now = 0; now < 8000; now += round_ms) {
        waiting += 2800 * round_ms / 1000;
        std::size_t unanswered_orders = 0;
        std::erase_if(unanswered, [&](const auto& o) { return now - o.first >= order_ms; });
        for (const auto& [at, orders] : unanswered) {
            unanswered_orders += orders;
        }
        const std::size_t starts = std::min(waiting, starts_allowed(unanswered_orders));
        unanswered.emplace_back(now, starts);
        waiting -= starts;
    }
    CHECK(waiting < 2800 * round_ms / 1000);
}

TEST_CASE(
    "placement: short tasks go to the fullest server with room, so that idle servers stay idle")
{
    const std::vector<server_candidate> servers{
        make_candidate("idle", 64'000), make_candidate("half", 30'000),
        make_candidate("full", 3000), make_candidate("fuller", 10'000)};
    CHECK(chosen_server(servers, short_step()) == "fuller");
}

TEST_CASE("placement: long-running tasks are packed, up to the step's limit per server")
{
    jobs::step_spec step = short_step();
    step.long_running = true;
    step.max_per_server = 1;
    std::vector<server_candidate> servers{make_candidate("idle", 64'000),
                                          make_candidate("a", 50'000), make_candidate("b", 40'000)};
    servers[1].long_running_tasks = 2;
    CHECK(chosen_server(servers, step) == "a");
    const std::vector<std::pair<server_id, std::uint32_t>> placed{{server_id{"a"}, 1}};
    placement_hints hints;
    hints.step_on_server = &placed;
    CHECK(chosen_server(servers, step, hints) != "a");
}

TEST_CASE("placement: long-running tasks avoid servers due for maintenance, short ones do not")
{
    jobs::step_spec long_running = short_step();
    long_running.long_running = true;
    std::vector<server_candidate> servers{make_candidate("due", 30'000),
                                          make_candidate("idle", 64'000)};
    servers[0].long_running_tasks = 3;
    CHECK(chosen_server(servers, long_running) == "due");
    servers[0].maintenance_due = true;
    CHECK(chosen_server(servers, long_running) == "idle");
    CHECK(chosen_server(servers, short_step()) == "due");
    servers.pop_back();
    CHECK(chosen_server(servers, long_running) == "due");
}

TEST_CASE("placement: respects label, free resources, rack and the server to avoid")
{
    jobs::step_spec step = short_step();
    const std::vector<server_candidate> servers{make_candidate("a", 64'000, "r1"),
                                                make_candidate("b", 64'000, "r2")};
    step.label = "r2";
    CHECK(chosen_server(servers, step) == "b");
    step.label = "nowhere";
    CHECK(chosen_server(servers, step) == "none");
    step.label.clear();
    step.preferred_rack = "r2";
    CHECK(chosen_server(servers, step) == "b");
    step.preferred_rack.clear();
    placement_hints hints;
    hints.avoid = server_id{"a"};
    CHECK(chosen_server(servers, step, hints) == "b");
    step.need = {65'000, 1, 0};
    CHECK(chosen_server(servers, step) == "none");
    step.best_effort = true;
    CHECK(chosen_server(servers, step) != "none");
}

TEST_CASE("placement: best-effort tasks avoid servers with latency-limited tasks")
{
    jobs::step_spec best_effort = short_step();
    best_effort.best_effort = true;
    std::vector<server_candidate> servers{make_candidate("serving", 20'000),
                                          make_candidate("plain", 60'000)};
    servers[0].latency_limited = true;
    servers[0].long_running_tasks = 1;
    CHECK(chosen_server(servers, best_effort) == "plain");
}

TEST_CASE("health: a server that fails every task is blocked, then gets single trial tasks")
{
    server_health health;
    const server_id bad{"bad"};
    mono_time now{1h};
    health.record_failure(bad, now);
    health.record_failure(bad, now);
    CHECK_FALSE(health.is_backed_off(bad, now));
    health.record_failure(bad, now);
    CHECK(health.is_backed_off(bad, now));
    CHECK(health.is_on_trial(bad));
    CHECK_FALSE(health.is_backed_off(bad, now + 5s));
    CHECK(health.is_on_trial(bad));
    health.record_success(bad);
    CHECK_FALSE(health.is_on_trial(bad));
}

TEST_CASE("run times: estimates follow completed runs, with little effect of outliers")
{
    run_times times;
    const jobs::queue_id q{"q"};
    CHECK(times.expected_ms(q, 400) == doctest::Approx(400));
    for (int i = 0; i < 200; ++i) {
        times.record(q, 400, 800);
    }
    CHECK(times.expected_ms(q, 400) == doctest::Approx(800).epsilon(0.01));
    times.record(q, 400, 400'000);
    CHECK(times.expected_ms(q, 400) < 900);
    CHECK(times.expected_ms(jobs::queue_id{"other"}, 400) == doctest::Approx(400));
}

TEST_CASE("run times: the critical path follows the dependencies")
{
    std::vector<jobs::step_spec> steps(3);
    steps[2].depends_on = {0};
    CHECK(compute_critical_path_ms(steps, {100, 500, 200}) == doctest::Approx(500));
    CHECK(compute_critical_path_ms(steps, {400, 500, 200}) == doctest::Approx(600));
}

TEST_CASE("maintenance: takes down no more machines than allowed or needed")
{
    maintenance_view wave;
    wave.max_concurrent = 9;
    wave.time_per_machine = 5s;
    wave.time_left = 27s;
    for (int i = 0; i < 22; ++i) {
        maintenance_candidate m;
        m.machine = "m" + std::to_string(i);
        m.ready = true;
        wave.machines.push_back(m);
    }
    auto first = plan_maintenance(wave);
    CHECK(first.start.empty());
    CHECK(first.cordon.size() == 7);
    CHECK_FALSE(first.deadline_at_risk);
    for (const std::size_t i : first.cordon) {
        wave.machines[i].cordoned = true;
    }
    wave.machines[first.cordon[0]].other_tasks = 3;
    auto second = plan_maintenance(wave);
    CHECK(second.start.size() == 6);
    for (const std::size_t i : second.start) {
        wave.machines[i].started = true;
    }
    wave.time_left = 6s;
    const auto late = plan_maintenance(wave);
    CHECK(late.deadline_at_risk);
    std::size_t down = late.start.size();
    for (const maintenance_candidate& m : wave.machines) {
        down += m.started ? 1 : 0;
    }
    CHECK(down <= wave.max_concurrent);
}

TEST_CASE("maintenance: a machine with tasks or not ready is not taken down")
{
    maintenance_view wave;
    wave.time_left = 1s;
    wave.time_per_machine = 5s;
    maintenance_candidate m;
    m.ready = true;
    m.cordoned = true;
    m.long_running_tasks = 1;
    wave.machines = {m};
    CHECK(plan_maintenance(wave).start.empty());
    wave.machines[0].long_running_tasks = 0;
    CHECK(plan_maintenance(wave).start.size() == 1);
    wave.machines[0].ready = false;
    CHECK(plan_maintenance(wave).start.empty());
}

namespace {

/** Replays a recorded load trace and applies the planner's moves to simulated machines. */
class pool_replay {
public:
    explicit pool_replay(const std::string& file)
    {
        std::ifstream in{file};
        REQUIRE(in);
        std::string line;
        while (std::getline(in, line)) {
            std::istringstream args{line};
            std::string command;
            args >> command;
            if (command == "pool") {
                std::string name;
                std::size_t machines = 0;
                bool standby = false;
                args >> name >> machines >> standby;
                for (std::size_t i = 0; i < machines; ++i) {
                    machines_[name + "-" + std::to_string(i)] = {pool_id{name}, {}};
                }
                pools_[pool_id{name}] = {standby, machines, 0, 0};
            } else if (command == "load") {
                int ms = 0;
                std::string name;
                args >> ms >> name;
                run_until(mono_time{1h} + milliseconds{ms});
                pool& p = pools_.at(pool_id{name});
                args >> p.demand >> p.arriving;
            } else if (command == "expect") {
                std::string name;
                std::string key;
                std::int64_t limit = 0;
                args >> key >> limit;
                expected_[key] = limit;
            }
        }
        run_until(now_ + 4s);
    }

    /** Unserved demand in core-milliseconds. */
    std::int64_t unserved_demand() const { return unserved_demand_; }
    std::int64_t moves() const { return moves_; }
    /** Machine-milliseconds in pools other than standby. */
    std::int64_t pool_machine_ms() const { return pool_machine_ms_; }
    std::int64_t all_machine_ms() const
    {
        return static_cast<std::int64_t>(machines_.size()) *
               std::chrono::duration_cast<milliseconds>(now_ - mono_time{1h}).count();
    }
    std::int64_t expected(const std::string& key) const { return expected_.at(key); }

private:
    static constexpr std::int64_t machine_cpu = 64'000;
    static constexpr milliseconds step{100};
    /** What the machine service accepts in a step. */
    static constexpr std::size_t max_moves{16};
    static constexpr milliseconds move_time{1500};
    struct pool {
        bool standby{false};
        std::size_t own{0};
        std::int64_t demand{0};
        std::int64_t arriving{0};
    };
    struct machine {
        pool_id pool;
        mono_time arrives_at;
    };

    void run_until(mono_time end)
    {
        for (; now_ < end; now_ += step) {
            simulate_step();
        }
    }

    void simulate_step()
    {
        std::vector<pool_need> needs;
        std::vector<movable_machine> movable;
        for (const auto& [id, p] : pools_) {
            pool_need n{id, p.standby, p.demand, 0, p.arriving, p.own, 0};
            std::int64_t ready = 0;
            std::int64_t left = p.demand;
            for (const auto& [name, m] : machines_) {
                if (m.pool != id) {
                    continue;
                }
                ++n.machines;
                n.capacity_cpu += machine_cpu;
                if (now_ >= m.arrives_at) {
                    ready += machine_cpu;
                    // Tasks are packed, so the remaining machines are idle.
                    movable.push_back({name, id, {{machine_cpu, 0, 0}, {}}, left <= 0});
                    left -= machine_cpu;
                }
            }
            if (!p.standby) {
                unserved_demand_ +=
                    std::max<std::int64_t>(0, p.demand - ready) / 1000 * step.count();
                pool_machine_ms_ += static_cast<std::int64_t>(n.machines) * step.count();
            }
            needs.push_back(n);
        }
        for (const pool_move& m : planner_.plan(needs, movable, max_moves, now_)) {
            machines_.at(m.machine) = {m.to, now_ + move_time};
            ++moves_;
        }
    }

    pool_planner planner_;
    std::map<pool_id, pool> pools_;
    std::map<std::string, machine> machines_;
    std::map<std::string, std::int64_t> expected_;
    mono_time now_{1h};
    std::int64_t unserved_demand_{0};
    std::int64_t moves_{0};
    std::int64_t pool_machine_ms_{0};
};

} // namespace

TEST_CASE("pools: bursts in turn are served by machines of pools whose burst has ended")
{
    const pool_replay replay{std::string{FESCUE_TRACES} + "/pool_bursts_in_turn.trace"};
    CHECK(replay.unserved_demand() <= replay.expected("missing_core_ms"));
    // The cost must be lower than that of keeping all machines in pools all day. The platform's
    // price of a move equals that of 1.16 s of a machine in a pool, hence 1160 ms.
    CHECK(replay.pool_machine_ms() + replay.moves() * 1160 < replay.all_machine_ms());
}

TEST_CASE("arrivals: a burst is detected within a second, a single large job is ignored")
{
    arrival_rate rate;
    const pool_id pool{"p"};
    mono_time now{1h};
    rate.record_arrival(pool, 800'000, now);
    CHECK(rate.cpu_milli(pool, now) == 0);
    CHECK(rate.cpu_milli(pool_id{"other"}, now) == 0);
    now += 10s;
    for (int i = 0; i < 8; ++i) {
        now += 100ms;
        rate.record_arrival(pool, 20'000, now);
    }
    CHECK(rate.cpu_milli(pool, now) == 200'000);
    CHECK(rate.cpu_milli(pool, now + 1s) == 0);
}

TEST_CASE("pools: a pool short of capacity gets idle machines, standby first, and never busy ones")
{
    pool_planner planner;
    const mono_time now{1h};
    const std::vector<pool_need> pools{
        {pool_id{"busy"}, false, 128'000, 64'000, 0, 1, 1},
        {pool_id{"calm"}, false, 10'000, 192'000, 0, 3, 3},
        {pool_id{"off"}, true, 0, 0, 0, 1, 1},
    };
    const std::vector<movable_machine> machines{
        {"calm-1", pool_id{"calm"}, {{64'000, 0, 0}, {}}, true},
        {"calm-2", pool_id{"calm"}, {{64'000, 0, 0}, {}}, false},
        {"off-1", pool_id{"off"}, {{64'000, 0, 0}, {}}, true}};
    const auto moves = planner.plan(pools, machines, 16, now);
    REQUIRE(moves.size() == 2);
    CHECK(moves[0].machine == "off-1");
    CHECK(moves[1].machine == "calm-1");
    CHECK(moves[1].to == pool_id{"busy"});
}

TEST_CASE("shares: a burst in one pool gets the starts that other pools leave unused")
{
    const std::vector<std::size_t> wanted{900, 3, 0, 5};
    for (std::size_t first = 0; first < wanted.size(); ++first) {
        const auto shares = share_starts(200, wanted, first);
        CHECK(shares == std::vector<std::size_t>{192, 3, 0, 5});
    }
}

TEST_CASE("shares: simultaneous bursts get equal shares, and the first pool gets the remainder")
{
    const std::vector<std::size_t> wanted{900, 900, 900};
    const auto sum = [](const std::vector<std::size_t>& s) { return s[0] + s[1] + s[2]; };
    for (std::size_t first = 0; first < wanted.size(); ++first) {
        const auto shares = share_starts(200, wanted, first);
        CHECK(sum(shares) == 200);
        CHECK(shares[first] == 67);
    }
    const std::vector<std::size_t> one = share_starts(1, wanted, 1);
    CHECK(one == std::vector<std::size_t>{0, 1, 0});
}

TEST_CASE("searches: a failed search rules out larger and more constrained ones, and no others")
{
    failed_searches failed;
    jobs::step_spec step = short_step(8000);
    step.label = "a";
    placement_hints hints;
    CHECK_FALSE(failed.rule_out(step, hints));
    failed.add(step, hints);
    CHECK(failed.rule_out(step, hints));
    jobs::step_spec larger = step;
    larger.need.cpu_milli += 1;
    larger.max_per_server = 1;
    CHECK(failed.rule_out(larger, hints));
    jobs::step_spec other = step;
    other.need.cpu_milli -= 1;
    CHECK_FALSE(failed.rule_out(other, hints));
    other = larger;
    other.need.memory_mb -= 1;
    CHECK_FALSE(failed.rule_out(other, hints));
    for (const char* label : {"", "b"}) {
        other = larger;
        other.label = label;
        CHECK_FALSE(failed.rule_out(other, hints));
    }
    hints.may_share_server = true;
    CHECK_FALSE(failed.rule_out(larger, hints));
    hints.may_share_server = false;
    hints.may_use_draining = true;
    // Short tasks never use a server that is being drained.
    CHECK(failed.rule_out(larger, hints));
    larger.long_running = true;
    CHECK_FALSE(failed.rule_out(larger, hints));
    other = step;
    other.label.clear();
    failed.add(other, {});
    other.label = "b";
    CHECK(failed.rule_out(other, {}));
}

TEST_CASE("searches: the limit of a step's tasks per server rules out nothing else")
{
    failed_searches failed;
    jobs::step_spec step = short_step();
    step.max_per_server = 1;
    const std::vector<std::pair<server_id, std::uint32_t>> placed{{server_id{"i-1"}, 1}};
    placement_hints hints;
    hints.step_on_server = &placed;
    failed.add(step, hints);
    CHECK_FALSE(failed.rule_out(step, hints));
    CHECK_FALSE(failed.rule_out(short_step(), {}));
}

// Fails if the jobs behind many that find no server are never searched for.
TEST_CASE("searches: every waiting job is searched for, and no round searches without bound")
{
    constexpr std::size_t max_failures = 10;
    constexpr std::uint64_t waiting = 500;
    search_rotation rotation{max_failures};
    std::vector<int> searches(waiting);
    for (int round = 1; round <= 60; ++round) {
        std::size_t failures = 0;
        rotation.begin_round();
        for (std::uint64_t job = 0; job < waiting && !rotation.is_exhausted(); ++job) {
            if (rotation.may_search(jobs::job_id{job})) {
                ++searches[job];
                ++failures;
                rotation.record_failure();
            }
        }
        rotation.end_round();
        CHECK(failures <= 2 * max_failures);
        // The most urgent jobs are searched for in every round.
        CHECK(searches[max_failures - 1] == round);
    }
    CHECK(*std::ranges::min_element(searches) >= 1);
}
