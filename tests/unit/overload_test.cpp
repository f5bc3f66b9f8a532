#include "fescuestream/scheduler/job_order.h"
#include "fescuestream/scheduler/poll_pacing.h"
#include "fescuestream/scheduler/pool_plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace fescue;
using namespace fescue::scheduler;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t machine_cpu = 64'000;

pool_need make_need(const std::string& id, std::int64_t demand, std::int64_t late,
                    std::size_t machines)
{
    pool_need need;
    need.pool = pool_id{id};
    need.demand_cpu = demand;
    need.late_cpu = late;
    need.own_machines = machines;
    need.machines = machines;
    need.capacity_cpu = static_cast<std::int64_t>(machines) * machine_cpu;
    return need;
}

std::vector<movable_machine> make_idle_machines(const std::string& pool, std::size_t count)
{
    std::vector<movable_machine> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({pool + std::to_string(i), pool_id{pool}, {{machine_cpu, 0, 0}, {}}, true});
    }
    return out;
}

std::size_t count_moves_to(const std::vector<pool_move>& moves, const std::string& pool)
{
    return static_cast<std::size_t>(std::ranges::count(moves, pool_id{pool}, &pool_move::to));
}

} // namespace

TEST_CASE("polls: ends are collected early enough for jobs with a second of slack")
{
    // At a millisecond per server, 350 and 542 servers were polled every 250 ms, which cost a job
    // of two steps of 0.64 s half of its slack.
    CHECK(poll_interval(50) == 20ms);
    CHECK(poll_interval(350) <= 60ms);
    CHECK(poll_interval(542) <= 60ms);
}

TEST_CASE("polls: the polls of a fleet of any size leave half of the leader's time to other work")
{
    for (const std::size_t servers : {50U, 350U, 542U, 5000U}) {
        CAPTURE(servers);
        constexpr double ms_per_poll = 0.05;
        const auto interval_ms = static_cast<double>(poll_interval(servers).count());
        CHECK(static_cast<double>(servers) / interval_ms * ms_per_poll <= 0.51);
    }
    CHECK(poll_interval(50'000) == 500ms);
}

TEST_CASE("moves: pools that are short at once share the machines by their relative shortage")
{
    // On the small twin of a large fleet the first pool took all machines, and another one with the
    // same shortage was left with five for half a minute.
    pool_planner planner;
    pool_need standby = make_need("off", 0, 0, 30);
    standby.standby = true;
    const std::vector<pool_need> pools{make_need("a", 100 * machine_cpu, 0, 10),
                                       make_need("b", 50 * machine_cpu, 0, 5), standby};
    const auto moves = planner.plan(pools, make_idle_machines("off", 30), 1000, mono_time{1h});
    CHECK(count_moves_to(moves, "a") == 20);
    CHECK(count_moves_to(moves, "b") == 10);
}

TEST_CASE("moves: work that is late gets the machines that nobody needs for work on time")
{
    pool_planner planner;
    pool_need standby = make_need("off", 0, 0, 10);
    standby.standby = true;
    const std::vector<pool_need> pools{make_need("late", 100 * machine_cpu, 100 * machine_cpu, 1),
                                       make_need("on_time", 5 * machine_cpu, 0, 1), standby};
    const auto moves = planner.plan(pools, make_idle_machines("off", 10), 1000, mono_time{1h});
    CHECK(count_moves_to(moves, "on_time") == 5);
    CHECK(count_moves_to(moves, "late") == 5);
}

TEST_CASE("moves: the machine service's rate bounds the moves, at every fleet size")
{
    // Sixteen moves to a pool in each round took a fleet of 542 servers three seconds into a burst.
    for (const std::size_t servers : {50U, 350U, 542U, 5000U}) {
        CAPTURE(servers);
        pool_planner planner;
        const std::size_t idle = servers * 3 / 4;
        pool_need standby = make_need("off", 0, 0, idle);
        standby.standby = true;
        const std::vector<pool_need> pools{
            make_need("burst", static_cast<std::int64_t>(servers) * machine_cpu, 0, servers - idle),
            standby};
        const std::size_t max_moves = servers / 10;
        const auto machines = make_idle_machines("off", idle);
        CHECK(planner.plan(pools, machines, max_moves, mono_time{1h}).size() == max_moves);
        CHECK(planner.plan(pools, machines, servers, mono_time{1h}).size() == idle);
    }
}

TEST_CASE("order: jobs whose results are of no use any more wait behind those that are late")
{
    // On the small twin of a large fleet, short expired jobs kept longer ones from being completed
    // while their callers still waited for them.
    queued_job expired;
    expired.job = jobs::job_id{1};
    expired.started = true;
    expired.time_to_deadline_ms = -5000;
    expired.time_to_expiry_ms = 400;
    expired.critical_path_ms = 500;
    expired.remaining_core_ms = 10;
    queued_job late = expired;
    late.job = jobs::job_id{2};
    late.started = false;
    late.time_to_expiry_ms = 600;
    late.remaining_core_ms = 10'000;
    CHECK(urgency_of(expired) == urgency::expired);
    CHECK(urgency_of(late) == urgency::late);
    std::vector<queued_job> jobs{expired, late};
    sort_by_urgency(jobs);
    CHECK(jobs.front().job == late.job);
}
