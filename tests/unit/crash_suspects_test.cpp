#include "fescuestream/jobs/state.h"
#include "fescuestream/scheduler/suspect_isolation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace fescue;
using namespace fescue::jobs;
using scheduler::server_candidate;
using scheduler::suspicion;

namespace {

run_loss make_loss(std::uint32_t attempt, bool alone, bool crashed = true)
{
    return {attempt, server_id{"s" + std::to_string(attempt)}, 1, alone, crashed};
}

/** A pool of servers that run tasks, some of which crash each server that starts them. Time passes
 * in steps of 100 ms. */
class crashing_pool {
public:
    struct simulated_task {
        bool crashes_servers{false};
        bool done{false};
        bool given_up{false};
        int starts{0};
        int server{-1};
        int remaining_steps{0};
        int duration{0};
        crash_record record;
    };

    crashing_pool(std::uint64_t seed, std::size_t server_count, std::size_t task_count,
                  int culprits)
        : random_{seed}, servers_(server_count), tasks(task_count)
    {
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            servers_[i].id = server_id{"s" + std::to_string(i)};
            servers_[i].capacity = {64'000, 64'000, 0};
        }
        for (simulated_task& t : tasks) {
            t.duration = std::uniform_int_distribution<int>{5, 30}(random_);
        }
        for (int i = 0; i < culprits; ++i) {
            tasks[random_() % tasks.size()].crashes_servers = true;
        }
    }

    void step()
    {
        ++now_;
        end_runs();
        start_tasks();
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            if (tasks[i].crashes_servers && tasks[i].server >= 0) {
                crash(tasks[i].server);
            }
        }
    }

    /** Crashes servers at once, as the failure of a rack does. */
    void crash_rack(int first, int count)
    {
        for (int i = first; i < first + count; ++i) {
            crash(i);
        }
    }

    /** Records crashes of earlier servers under all tasks. */
    void suspect_all(std::uint32_t crashes)
    {
        for (simulated_task& t : tasks) {
            for (std::uint32_t attempt = 0; attempt < crashes; ++attempt) {
                t.record.add(make_loss(1000 + attempt, false));
            }
        }
    }

    bool is_settled() const
    {
        return std::ranges::all_of(tasks,
                                   [](const simulated_task& t) { return t.done || t.given_up; });
    }

private:
    /** Time until a crashed server is back, and until its runs may start elsewhere. */
    static constexpr int restart_steps = 33;
    static constexpr int lease_steps = 40;

    struct simulated_server : server_report {
        int up_at{0};
    };

    std::vector<std::size_t> runs_on(int server) const
    {
        std::vector<std::size_t> out;
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            if (tasks[i].server == server) {
                out.push_back(i);
            }
        }
        return out;
    }

    void crash(int server)
    {
        auto& crashed = servers_[static_cast<std::size_t>(server)];
        if (now_ < crashed.up_at) {
            return;
        }
        crashed.up_at = now_ + restart_steps;
        ++crashed.incarnation_id;
        const auto runs = runs_on(server);
        for (const std::size_t i : runs) {
            simulated_task& t = tasks[i];
            t.record.add({static_cast<std::uint32_t>(t.starts), crashed.id, crashed.incarnation_id,
                          runs.size() == 1, true});
            t.server = -1;
            t.remaining_steps = lease_steps;
            t.given_up = t.record.is_culprit();
        }
    }

    void end_runs()
    {
        for (simulated_task& t : tasks) {
            if (t.remaining_steps > 0 && --t.remaining_steps == 0 && t.server >= 0) {
                t.server = -1;
                t.done = true;
            }
        }
    }

    void start_tasks()
    {
        std::vector<server_candidate> candidates;
        std::vector<int> indexes;
        for (int i = 0; i < static_cast<int>(servers_.size()); ++i) {
            const auto& s = servers_[static_cast<std::size_t>(i)];
            if (now_ < s.up_at) {
                continue;
            }
            server_candidate c;
            c.server = &s;
            c.free = s.capacity;
            for (const std::size_t run : runs_on(i)) {
                c.free -= need_.need;
                ++c.runs;
                const auto losses = tasks[run].record.losses().size();
                if (losses > 0) {
                    ++c.suspects;
                    c.suspect_jobs.push_back(job_of(run));
                }
                c.isolates_suspect = c.isolates_suspect || losses + 1 >= max_crashes;
            }
            candidates.push_back(c);
            indexes.push_back(i);
        }
        scheduler::waiting_suspects waiting;
        for (const simulated_task& t : tasks) {
            if (is_waiting(t) && !t.record.empty()) {
                const auto losses = t.record.losses().size();
                ++(losses > 1 ? waiting.of_several_crashes : waiting.of_one_crash);
                waiting.to_isolate += losses + 1 >= max_crashes ? 1 : 0;
            }
        }
        scheduler::reserve_servers(candidates, waiting);
        const auto sizes = scheduler::group_sizes(candidates, waiting);
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            if (is_waiting(tasks[i]) && tasks[i].record.may_start()) {
                start(i, candidates, indexes, sizes);
            }
        }
    }

    static bool is_waiting(const simulated_task& t)
    {
        return !t.done && !t.given_up && t.server < 0 && t.remaining_steps == 0;
    }

    /** Each task is a job. */
    static job_id job_of(std::size_t task) { return job_id{task}; }

    void start(std::size_t task, std::vector<server_candidate>& candidates,
               const std::vector<int>& indexes, const scheduler::suspect_group_sizes& sizes)
    {
        simulated_task& t = tasks[task];
        const auto losses = t.record.losses().size();
        scheduler::placement_hints hints;
        hints.job = job_of(task);
        hints.suspected = scheduler::suspicion_of(losses, false);
        hints.max_suspect_jobs = losses + 1 >= max_crashes ? 1
                                 : losses > 1              ? sizes.of_several_crashes
                                                           : sizes.of_one_crash;
        const auto chosen = scheduler::choose(candidates, need_, hints);
        if (!chosen) {
            return;
        }
        server_candidate& c = candidates[*chosen];
        c.free -= need_.need;
        ++c.runs;
        if (hints.suspected != suspicion::none) {
            ++c.suspects;
            c.suspect_jobs.push_back(job_of(task));
        }
        c.isolates_suspect = c.isolates_suspect || losses + 1 >= max_crashes;
        ++t.starts;
        t.server = indexes[*chosen];
        t.remaining_steps = t.duration;
    }

    std::mt19937_64 random_;
    std::vector<simulated_server> servers_;
    step_spec need_{.need = {5'000, 100, 0}};
    int now_{0};

public:
    std::vector<simulated_task> tasks;
};

} // namespace

TEST_CASE("crash record: two crashes of servers that ran nothing else convict a task")
{
    crash_record record;
    CHECK(record.may_start());
    record.add(make_loss(1, true));
    CHECK_FALSE(record.is_culprit());
    record.add(make_loss(2, true));
    CHECK(record.is_culprit());
    CHECK_FALSE(record.may_start());
}

TEST_CASE("crash record: a task that never runs alone is given up before its sixth start")
{
    crash_record record;
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
        record.add(make_loss(attempt, attempt == 2));
        CHECK_FALSE(record.is_culprit());
        CHECK(record.may_start());
    }
    record.add(make_loss(4, false));
    CHECK(record.is_culprit());
}

TEST_CASE("crash record: an incarnation counts once, and only if it is known to have crashed")
{
    crash_record record;
    run_loss loss = make_loss(1, true);
    record.add(loss);
    record.add(loss);
    loss.attempt = 2;
    record.add(loss);
    CHECK(record.crashes() == 1);
    CHECK_FALSE(record.confirm(1));

    crash_record unreachable;
    for (std::uint32_t attempt = 1; attempt <= 4; ++attempt) {
        unreachable.add(make_loss(attempt, true, false));
    }
    CHECK(unreachable.crashes() == 0);
    CHECK_FALSE(unreachable.is_culprit());
    // It would be a culprit if all of these servers had crashed.
    CHECK_FALSE(unreachable.may_start());
    CHECK(unreachable.dismiss(1));
    CHECK_FALSE(unreachable.dismiss(1));
    CHECK(unreachable.may_start());
    CHECK(unreachable.confirm(2));
    CHECK(unreachable.confirm(3));
    CHECK(unreachable.is_culprit());
}

TEST_CASE("crash suspects: tasks that crash servers are given up, bystanders and racks are not")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        crashing_pool pool{seed, 12, 300, 8};
        int steps = 0;
        while (!pool.is_settled() && steps < 3000) {
            if (steps == 20 || steps == 70) {
                pool.crash_rack(steps == 20 ? 0 : 4, 4);
            }
            pool.step();
            ++steps;
        }
        CHECK(pool.is_settled());
        for (const auto& t : pool.tasks) {
            CHECK(t.given_up == t.crashes_servers);
            CHECK((!t.crashes_servers || t.starts <= 5));
        }
    }
}

TEST_CASE("crash suspects: three failures of racks, 10 s apart, give up no task")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        crashing_pool pool{seed, 12, 600, 0};
        std::mt19937_64 random{seed};
        for (int steps = 0; steps < 3000 && !pool.is_settled(); ++steps) {
            if (steps == 10 || steps == 110 || steps == 210) {
                pool.crash_rack(static_cast<int>(random() % 3) * 4, 4);
            }
            pool.step();
        }
        CHECK(pool.is_settled());
        CHECK(std::ranges::none_of(pool.tasks, [](const auto& t) { return t.given_up; }));
    }
}

TEST_CASE("crash suspects: the time to clear suspects does not grow with their number")
{
    for (const std::uint32_t crashes : {1, 2}) {
        for (const std::size_t suspects : {20, 80, 160}) {
            int most = 0;
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                CAPTURE(seed);
                crashing_pool pool{seed, 16, suspects, 1};
                pool.suspect_all(crashes);
                int steps = 0;
                for (; steps < 3000 && !pool.is_settled(); ++steps) {
                    pool.step();
                }
                most = std::max(most, steps);
                for (const auto& t : pool.tasks) {
                    CHECK(t.given_up == t.crashes_servers);
                    CHECK(t.starts + static_cast<int>(crashes) <= 5);
                }
            }
            CAPTURE(crashes);
            CAPTURE(suspects);
            // Three crashes with a restart of 4 s each, and three runs of up to 3 s.
            CHECK(most <= 210);
        }
    }
}

TEST_CASE("suspects: reserved servers run only suspects, and those of several crashes run alone")
{
    std::vector<server_report> reports(6);
    std::vector<server_candidate> servers(6);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        reports[i].id = server_id{"s" + std::to_string(i)};
        servers[i].server = &reports[i];
        servers[i].free = {10'000, 1000, 0};
        servers[i].runs = 3 - std::min<std::size_t>(i, 3);
    }
    servers[4].long_running_tasks = 1;
    step_spec spec;
    spec.need = {1000, 10, 0};

    // Two groups and one task of several crashes; half of the servers may be reserved.
    CHECK(scheduler::reserve_servers(servers, {5, 1}) == 0);
    const auto is_reserved = [](const server_candidate& c) { return c.reserved; };
    CHECK(std::ranges::count_if(servers, is_reserved) == 3);
    CHECK_FALSE(servers[0].reserved);
    CHECK_FALSE(servers[4].reserved);

    scheduler::placement_hints hints;
    const auto ordinary = scheduler::choose(servers, spec, hints);
    REQUIRE(ordinary);
    CHECK_FALSE(servers[*ordinary].reserved);
    hints.suspected = suspicion::several_crashes;
    const auto alone = scheduler::choose(servers, spec, hints);
    REQUIRE(alone);
    CHECK(servers[*alone].reserved);
    CHECK(servers[*alone].runs == 0);
    servers[*alone].runs = servers[*alone].suspects = 1;
    servers[*alone].isolates_suspect = true;
    hints.suspected = suspicion::one_crash;
    for (std::size_t placed = 0; placed < scheduler::suspects_per_server; ++placed) {
        const auto group = scheduler::choose(servers, spec, hints);
        REQUIRE(group);
        CHECK(group != alone);
        ++servers[*group].runs;
        ++servers[*group].suspects;
    }
}

TEST_CASE("suspects: a task that has waited too long shares a server with the fewest other runs")
{
    std::vector<server_report> reports(2);
    std::vector<server_candidate> servers(2);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        reports[i].id = server_id{"s" + std::to_string(i)};
        servers[i].server = &reports[i];
        servers[i].free = {10'000, 1000, 0};
        servers[i].runs = 2 - i;
        servers[i].long_running_tasks = 1;
    }
    step_spec spec;
    spec.need = {1000, 10, 0};
    scheduler::placement_hints hints;
    hints.suspected = suspicion::several_crashes;
    // No server can be reserved, so the pool needs others.
    CHECK(scheduler::reserve_servers(servers, {0, 1}) == 1);
    CHECK_FALSE(scheduler::choose(servers, spec, hints));
    hints.may_share_server = true;
    CHECK(scheduler::choose(servers, spec, hints) == 1);
}

TEST_CASE("suspects: a long-running task restarts as before after the loss of one server")
{
    CHECK(scheduler::suspicion_of(1, true) == suspicion::none);
    CHECK(scheduler::suspicion_of(1, false) == suspicion::one_crash);
    CHECK(scheduler::suspicion_of(2, true) == suspicion::several_crashes);
}

TEST_CASE(
    "suspects: tasks of one job that are near conviction share a server, other jobs stay away")
{
    std::vector<server_report> reports(4);
    std::vector<server_candidate> servers(4);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        reports[i].id = server_id{"s" + std::to_string(i)};
        servers[i].server = &reports[i];
        servers[i].free = {10'000, 1000, 0};
    }
    servers[0].runs = servers[0].suspects = 2;
    servers[0].suspect_jobs = {job_id{1}};
    servers[0].isolates_suspect = true;
    step_spec spec;
    spec.need = {1000, 10, 0};
    scheduler::placement_hints hints;
    hints.suspected = suspicion::several_crashes;
    hints.max_suspect_jobs = 1;
    CHECK(scheduler::reserve_servers(servers, {0, 2, 2, 4}) == 0);
    hints.job = job_id{1};
    CHECK(scheduler::choose(servers, spec, hints) == 0);
    hints.job = job_id{2};
    const auto other = scheduler::choose(servers, spec, hints);
    REQUIRE(other);
    CHECK(*other != 0);
    // Beside suspects of another job, the crash of the server would tell nothing.
    servers[0].isolates_suspect = false;
    for (std::size_t i = 1; i < servers.size(); ++i) {
        servers[i].free = {};
    }
    CHECK_FALSE(scheduler::choose(servers, spec, hints));
    hints.may_share_server = true;
    CHECK_FALSE(scheduler::choose(servers, spec, hints));
}

TEST_CASE("suspects: servers that no other task needs are reserved beyond half of the pool")
{
    std::vector<server_report> reports(8);
    std::vector<server_candidate> servers(8);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        reports[i].id = server_id{"s" + std::to_string(i)};
        servers[i].server = &reports[i];
    }
    const auto reserved = [&](std::size_t servers_for_others) {
        scheduler::reserve_servers(servers, {0, 20, 10, servers_for_others});
        return std::ranges::count_if(servers, &server_candidate::reserved);
    };
    CHECK(reserved(8) == 4);
    CHECK(reserved(1) == 7);
    CHECK(scheduler::group_sizes(servers, {0, 20, 10, 1}).of_several_crashes == 2);
    CHECK(scheduler::group_sizes(servers, {40, 20, 20, 1}).of_several_crashes == 1);
    CHECK(scheduler::group_sizes(servers, {40, 20, 20, 1}).of_one_crash == 6);
}
