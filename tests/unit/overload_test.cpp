#include "fescuestream/scheduler/poll_pacing.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace fescue;
using namespace fescue::scheduler;
using namespace std::chrono_literals;

namespace {

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
