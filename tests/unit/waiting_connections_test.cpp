#include "fescuestream/http/waiting_connections.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::http;
using namespace std::chrono_literals;

namespace {

const mono_time start{1h};

waiting_connections make_connections()
{
    return {3s, 15s};
}

} // namespace

TEST_CASE("waiting connections: a head that trickles expires as one that stalls")
{
    waiting_connections waiting = make_connections();
    waiting.begin(1, 0, false, start);
    CHECK_FALSE(waiting.due(start + 2999ms));
    REQUIRE(waiting.due(start + 3s) == 1);
    std::uint64_t received = 5;
    CHECK_FALSE(waiting.has_expired(1, received, start + 3s));
    CHECK_FALSE(waiting.due(start + 5s));
    REQUIRE(waiting.due(start + 6s) == 1);
    received += 10;
    CHECK(waiting.has_expired(1, received, start + 6s));
}

TEST_CASE("waiting connections: an idle connection is kept for the idle timeout")
{
    waiting_connections waiting = make_connections();
    waiting.begin(1, 700, true, start);
    mono_time now = start;
    bool expired = false;
    while (!expired) {
        now += 100ms;
        REQUIRE(now <= start + 15s);
        expired = waiting.due(now) == 1 && waiting.has_expired(1, 700, now);
    }
    CHECK(now == start + 15s);
}

TEST_CASE("waiting connections: those that were never used are closed before idle ones")
{
    waiting_connections waiting = make_connections();
    waiting.begin(1, 0, false, start);
    waiting.begin(2, 0, false, start + 1s);
    waiting.begin(3, 700, true, start);
    waiting.begin(4, 700, true, start + 1s);
    CHECK(waiting.longest_unserved() == 1);
    CHECK(waiting.longest_idle() == 3);
    waiting.end(1);
    CHECK(waiting.longest_unserved() == 2);
    waiting.end(2);
    CHECK_FALSE(waiting.longest_unserved());
    // A new wait replaces the earlier one.
    waiting.begin(3, 1400, true, start + 2s);
    CHECK(waiting.longest_idle() == 4);
    waiting.end(3);
    waiting.end(4);
    CHECK_FALSE(waiting.longest_idle());
    CHECK_FALSE(waiting.due(start + 1h));
}
