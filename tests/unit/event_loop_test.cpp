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
