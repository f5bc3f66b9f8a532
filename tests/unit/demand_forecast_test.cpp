#include "fescuestream/scheduler/demand_forecast.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace fescue;
using namespace fescue::scheduler;
using namespace std::chrono_literals;

namespace {

const pool_id pool{"p"};
constexpr milliseconds lead_time{1600};
constexpr milliseconds step{100};
constexpr std::int64_t core = 1000;

/** CPU in use while a queue's burst rises for three seconds, lasts for three, and falls for two. */
std::int64_t burst_cpu(milliseconds at)
{
    constexpr std::int64_t idle = 100 * core;
    constexpr std::int64_t peak = 2000 * core;
    const auto ramp = [](milliseconds part, milliseconds whole) {
        return idle + (peak - idle) * part.count() / whole.count();
    };
    if (at < 0ms || at >= 8s) {
        return idle;
    }
    if (at < 3s) {
        return ramp(at, 3s);
    }
    return at < 6s ? peak : ramp(8s - at, 2s);
}

/** Feeds the burst to a forecast. @param arrival_factor measured arrival rate relative to what the
 * jobs use. @return the forecasts, one for each step from 2 s before the burst to 2 s after it. */
std::vector<std::int64_t> forecasts_of_burst(double arrival_factor)
{
    demand_forecast forecast{lead_time};
    std::vector<std::int64_t> out;
    for (milliseconds at{-2000}; at < 10s; at += step) {
        const std::int64_t used = burst_cpu(at);
        const auto arriving = static_cast<std::int64_t>(static_cast<double>(used) * arrival_factor);
        out.push_back(forecast.expected_cpu(pool, {used, arriving, 0}, mono_time{1h} + at));
    }
    return out;
}

std::int64_t forecast_at(const std::vector<std::int64_t>& forecasts, milliseconds at)
{
    return forecasts.at(static_cast<std::size_t>((at + 2s) / step));
}

} // namespace

// Fails if machines are ordered only for the present demand: they arrive when it has doubled.
TEST_CASE("forecast: while a burst rises, the demand at the end of the lead time is expected")
{
    const auto forecasts = forecasts_of_burst(1.0);
    for (milliseconds at = 800ms; at <= 3s - lead_time; at += step) {
        CAPTURE(at.count());
        const std::int64_t then = burst_cpu(at + lead_time);
        CHECK(forecast_at(forecasts, at) >= then * 95 / 100);
        CHECK(forecast_at(forecasts, at) <= then * 105 / 100);
    }
}

// Fails if the estimate of the arrival rate alone sets the target: run times that callers
// overestimate by a factor of three filled a pool with three times the machines that it used.
TEST_CASE(
    "forecast: overestimated arrivals do not raise the forecast above what a steady burst uses")
{
    const auto forecasts = forecasts_of_burst(3.0);
    for (milliseconds at = 4s; at < 6s; at += step) {
        CAPTURE(at.count());
        CHECK(forecast_at(forecasts, at) == burst_cpu(at));
    }
}

// Fails if a backlog, which is worked off once, is taken for a lasting increase of the demand.
TEST_CASE("forecast: a growing backlog does not raise the forecast above the arrival rate")
{
    demand_forecast forecast{lead_time};
    std::int64_t backlog = 0;
    for (milliseconds at{0}; at < 3s; at += step) {
        backlog += 50 * core;
        const pool_demand seen{1000 * core + backlog, 1000 * core, 0};
        const std::int64_t expected = forecast.expected_cpu(pool, seen, mono_time{1h} + at);
        CHECK(expected == seen.demand_cpu);
    }
}

TEST_CASE("forecast: the demand at present is the least that is expected")
{
    for (const double arrival_factor : {0.0, 0.5, 1.0, 3.0}) {
        const auto forecasts = forecasts_of_burst(arrival_factor);
        for (milliseconds at{-2000}; at < 10s; at += step) {
            CHECK(forecast_at(forecasts, at) >= burst_cpu(at));
        }
    }
}

// Fails if long-running tasks, which never arrive as work, cut off the forecast of a burst.
TEST_CASE("forecast: long-running tasks are expected in addition to arriving work")
{
    demand_forecast forecast{lead_time};
    std::int64_t expected = 0;
    for (milliseconds at{0}; at <= 1s; at += step) {
        const std::int64_t rising = 100 * core * (at / step);
        expected = forecast.expected_cpu(pool, {500 * core + rising, rising, 500 * core},
                                         mono_time{1h} + at);
    }
    CHECK(expected == 500 * core + 1000 * core + 100 * core * (lead_time / step));
}

// Fails if the calls of a restarted leader, which has no history, are extrapolated from nothing.
TEST_CASE("forecast: without history the demand at present is expected")
{
    demand_forecast forecast{lead_time};
    CHECK(forecast.expected_cpu(pool, {700 * core, 2000 * core, 0}, mono_time{1h}) == 700 * core);
}
