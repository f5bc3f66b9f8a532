#include "fescuestream/scheduler/reservations.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <string>

using namespace fescue;
using namespace fescue::scheduler;
using namespace std::chrono_literals;

namespace {

constexpr mono_time start{1h};
const jobs::resources server_capacity{16'000, 32'768, 0};

/** Servers with the given free CPU, and the ends of their runs. */
class server_set {
public:
    void add(std::int64_t free_cpu, std::vector<expected_end> ends = {})
    {
        jobs::server_report report;
        report.id = server_id{"s" + std::to_string(reports_.size())};
        report.capacity = server_capacity;
        reports_.push_back(report);
        server_candidate c;
        c.server = &reports_.back();
        c.free = {free_cpu, server_capacity.memory_mb, 0};
        candidates.push_back(c);
        ends_.push_back(std::move(ends));
    }

    reservations::ends_of_server ends() const
    {
        return [this](std::size_t i) { return ends_[i]; };
    }

    std::vector<server_candidate> candidates;

private:
    std::deque<jobs::server_report> reports_;
    std::vector<std::vector<expected_end>> ends_;
};

jobs::step_spec make_step(std::int64_t cpu)
{
    jobs::step_spec out;
    out.need = {cpu, 100, 0};
    return out;
}

expected_end end_after(milliseconds time, std::int64_t cpu)
{
    return {start + time, {cpu, 100, 0}};
}

} // namespace

TEST_CASE("reservations: the server on which a task fits earliest is reserved")
{
    server_set servers;
    servers.add(2000, {end_after(500ms, 4000), end_after(100ms, 4000)});
    servers.add(1000, {end_after(300ms, 8000)});
    servers.add(9000, {end_after(900ms, 7000)});
    reservations r;
    const reservation* made =
        r.reserve(servers.candidates, servers.ends(), make_step(8000), {}, 1s, start);
    REQUIRE(made != nullptr);
    CHECK(made->server == 1);
    CHECK(made->start == start + 300ms);
    CHECK(made->spare.cpu_milli == 1000);
}

// Fails if small tasks fill the gaps of a reserved server and postpone the large one for ever.
TEST_CASE("reservations: a reserved server takes only tasks that end in time or fit beside")
{
    server_set servers;
    servers.add(3000, {end_after(400ms, 8000)});
    reservations r;
    REQUIRE(r.reserve(servers.candidates, servers.ends(), make_step(10'000), {}, 1s, start));
    const jobs::resources small{1500, 100, 0};
    CHECK(r.allows(0, small, 400ms, start));
    CHECK_FALSE(r.allows(0, small, 401ms, start));
    CHECK_FALSE(r.allows(0, small, unlimited_run_time, start));
    const jobs::resources fitting{1000, 100, 0};
    CHECK(r.allows(0, fitting, 5s, start));
    r.record_placement(0, fitting, 5s, start);
    CHECK_FALSE(r.allows(0, fitting, 5s, start));
    CHECK(r.allows(1, small, 5s, start));
}

TEST_CASE("reservations: none is made for an end that comes too late")
{
    server_set servers;
    servers.add(3000, {end_after(600ms, 8000)});
    reservations r;
    CHECK(r.reserve(servers.candidates, servers.ends(), make_step(10'000), {}, 599ms, start) ==
          nullptr);
    CHECK(r.reserve(servers.candidates, servers.ends(), make_step(10'000), {}, -1s, start) ==
          nullptr);
    CHECK(r.reserve(servers.candidates, servers.ends(), make_step(12'000), {}, 1s, start) ==
          nullptr);
    CHECK(r.empty());
}

// Fails if a reservation is made where the rules forbid the task.
TEST_CASE("reservations: only servers that may run the step are reserved")
{
    server_set servers;
    for (int i = 0; i < 3; ++i) {
        servers.add(3000, {end_after(100ms * (i + 1), 8000)});
    }
    servers.candidates[0].draining = true;
    servers.candidates[1].maintenance_due = true;
    reservations r;
    const reservation* made =
        r.reserve(servers.candidates, servers.ends(), make_step(10'000), {}, 1s, start);
    REQUIRE(made != nullptr);
    CHECK(made->server == 2);
    CHECK(r.reserve(servers.candidates, servers.ends(), make_step(10'000), {}, 1s, start) ==
          nullptr);
    jobs::step_spec labelled = make_step(10'000);
    labelled.label = "b";
    reservations other;
    CHECK(other.reserve(servers.candidates, servers.ends(), labelled, {}, 1s, start) == nullptr);
}

TEST_CASE("reservations: a run beyond its expected time is expected to take as long again")
{
    CHECK(predict_end(start, 500ms, start + 200ms) == start + 500ms);
    CHECK(predict_end(start, 500ms, start + 800ms) == start + 1100ms);
}

namespace {

/** Replays a pool of ten servers that small tasks keep full, with a large task once a second.
 * @return the longest wait of a large task. */
milliseconds longest_wait_of_large_tasks(bool reserve)
{
    struct run {
        mono_time end{};
        std::size_t server{0};
        std::int64_t cpu{0};
    };
    constexpr std::int64_t large_cpu = 10'000;
    constexpr std::int64_t small_cpu = 1500;
    server_set servers;
    for (int i = 0; i < 10; ++i) {
        servers.add(server_capacity.cpu_milli);
    }
    std::mt19937 random{1};
    std::uniform_int_distribution<int> small_ms{300, 900};
    std::vector<run> runs;
    std::vector<mono_time> large_since;
    milliseconds longest{0};
    for (mono_time now = start; now < start + 20s; now += 10ms) {
        std::erase_if(runs, [&](const run& r) {
            if (r.end > now) {
                return false;
            }
            servers.candidates[r.server].free.cpu_milli += r.cpu;
            return true;
        });
        if ((now - start) % 1s == 0ms) {
            large_since.push_back(now);
        }
        reservations reserved;
        const auto ends = [&](std::size_t server) {
            std::vector<expected_end> out;
            for (const run& r : runs) {
                if (r.server == server) {
                    out.push_back({r.end, {r.cpu, 0, 0}});
                }
            }
            return out;
        };
        const auto place = [&](std::int64_t cpu, milliseconds time) {
            placement_hints hints;
            hints.reserved = &reserved;
            hints.run_time = time;
            hints.now = now;
            const auto chosen = choose(servers.candidates, make_step(cpu), hints);
            if (chosen) {
                servers.candidates[*chosen].free.cpu_milli -= cpu;
                reserved.record_placement(*chosen, {cpu, 0, 0}, time, now);
                runs.push_back({now + time, *chosen, cpu});
            }
            return chosen.has_value();
        };
        std::erase_if(large_since, [&](mono_time since) {
            longest = std::max(longest, std::chrono::duration_cast<milliseconds>(now - since));
            if (place(large_cpu, 500ms)) {
                return true;
            }
            if (reserve) {
                reserved.reserve(servers.candidates, ends, make_step(large_cpu), {}, 1s, now);
            }
            return false;
        });
        while (place(small_cpu, milliseconds{small_ms(random)})) {
        }
    }
    return longest;
}

} // namespace

// Fails if a stream of small tasks keeps large ones from starting although the pool frees ten times
// the capacity that they need in a second.
TEST_CASE("reservations: large tasks start in a pool that small tasks keep full")
{
    CHECK(longest_wait_of_large_tasks(false) > 5s);
    CHECK(longest_wait_of_large_tasks(true) <= 1s);
}
