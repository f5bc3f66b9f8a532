#include "fescuestream/base/loop.h"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

using namespace fescue;
using namespace std::chrono_literals;

TEST_CASE("event loop: an iteration is reported as slow with the time it took, waiting excluded")
{
    event_loop loop;
    std::vector<milliseconds> reported;
    loop.on_slow_iteration(50ms, [&](milliseconds took) { reported.push_back(took); });
    // The wait of 120 ms for the first timer is not part of an iteration.
    const auto slow = loop.after(120ms, [] { std::this_thread::sleep_for(60ms); });
    const auto quick = loop.after(240ms, [] {});
    const auto end = loop.after(260ms, [&] { loop.stop(); });
    loop.run();
    REQUIRE(reported.size() == 1);
    CHECK(reported.front() >= 60ms);
    CHECK(reported.front() < 120ms);
}

TEST_CASE("event loop: the busy time excludes the waits for events")
{
    event_loop loop;
    const auto busy = loop.after(100ms, [] { std::this_thread::sleep_for(60ms); });
    const auto end = loop.after(200ms, [&] { loop.stop(); });
    const mono_time start = loop.now();
    loop.run();
    CHECK(loop.busy_time() >= 60ms);
    CHECK(loop.busy_time() <= loop.now() - start - 60ms);
}

TEST_CASE("event loop: a manual clock runs the timers in the order of their times")
{
    const mono_time start{1000s};
    event_loop loop{manual_clock{start}};
    std::vector<std::pair<char, mono_clock::duration>> calls;
    const auto record = [&](char name) { calls.emplace_back(name, loop.now() - start); };
    const auto repeated = loop.every(20ms, [&] { record('r'); });
    timer_handle cancelled = loop.after(45ms, [&] { record('c'); });
    const auto canceller = loop.after(30ms, [&] {
        record('a');
        cancelled = {};
        loop.defer([&] { record('d'); });
    });
    loop.advance(50ms);
    CHECK(loop.now() == start + 50ms);
    const decltype(calls) expected{{'r', 20ms}, {'a', 30ms}, {'d', 30ms}, {'r', 40ms}};
    CHECK(calls == expected);
}

TEST_CASE("event loop: what arrives during a long iteration may date from its beginning")
{
    event_loop loop;
    mono_time before;
    const auto regular = loop.every(10ms, [] {});
    const auto block = loop.after(100ms, [&] {
        before = loop.now();
        std::this_thread::sleep_for(300ms);
    });
    const auto next = loop.after(101ms, [&] { loop.stop(); });
    loop.run();
    CHECK(loop.events_since() <= before);
    CHECK(loop.events_since() > before - 100ms);
}
