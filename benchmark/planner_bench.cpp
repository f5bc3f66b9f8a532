/**
 * @file
 * Benchmarks the planner at the fleet sizes of both users and at the size expected in two years.
 * Prints each figure with its bound; exits with 1 if a bound that does not depend on time is
 * exceeded.
 */

#include "fakes/fake_fleet.h"
#include "measure.h"

#include <fmt/format.h>

#include <functional>

using namespace fescue;
using benchmark::resident_mb;
using namespace fescue::planner;

namespace {

constexpr double buffer_bound = 1.05;
constexpr double rollout_bound = 1.2;
bool all_within_bounds = true;

void report(const std::string& description, double figure, double bound, const std::string& unit)
{
    const bool within_bound = figure <= bound;
    all_within_bounds = all_within_bounds && within_bound;
    fmt::print("{:<58}{:>12.3f} {:<10} bound {:>10.3f}  {}\n", description, figure, unit, bound,
               within_bound ? "held" : "BROKEN");
}

/**
 * Exhaustive search for the least number of servers, drawn from the failure domains, that leaves
 * the demand covered after the loss of any one domain. Adjacent domains of the same size are
 * interchangeable, so the later one is never tried with more servers than the earlier one.
 */
std::uint32_t least_by_search(std::uint32_t total_demand, const std::vector<std::uint32_t>& domains)
{
    std::uint32_t best = UINT32_MAX;
    const std::function<void(std::size_t, std::uint32_t, std::uint32_t, std::uint32_t)> draw =
        [&](std::size_t index, std::uint32_t total, std::uint32_t largest_draw,
            std::uint32_t previous_draw) {
            if (index == domains.size()) {
                if (total >= total_demand + largest_draw) {
                    best = std::min(best, total);
                }
                return;
            }
            const bool same_size = index > 0 && domains[index] == domains[index - 1];
            const std::uint32_t max_draw = same_size ? previous_draw : domains[index];
            for (std::uint32_t n = 0; n <= max_draw; ++n) {
                draw(index + 1, total + n, std::max(largest_draw, n), n);
            }
        };
    draw(0, 0, 0, 0);
    return best;
}

/** Servers per data centre for 50 servers, four per rack, racks assigned round-robin. */
std::vector<std::uint32_t> servers_per_data_centre(int data_centres)
{
    std::vector<std::uint32_t> out(static_cast<std::size_t>(data_centres));
    for (int i = 0; i < 50; ++i) {
        ++out[static_cast<std::size_t>(i / 4 % data_centres)];
    }
    return out;
}

/** Servers needed if each pool has a buffer of its own that covers the loss of any one domain. */
std::uint32_t separate_buffers(const std::vector<std::uint32_t>& pool_demands, std::size_t domains)
{
    std::uint32_t sum = 0;
    for (const std::uint32_t demand : pool_demands) {
        const std::vector<std::uint32_t> enough(domains, demand);
        sum += servers_to_survive(demand, enough);
    }
    return sum;
}

void bench_buffers(const char* user, int data_centres)
{
    // Demand in servers: one pool during a burst and four between bursts.
    const std::vector<std::uint32_t> pool_demands{10, 5, 5, 4, 4};
    const std::uint32_t total_demand = 28;
    const auto sizes = servers_per_data_centre(data_centres);
    const auto planned = servers_to_survive(total_demand, sizes);
    const auto optimum = least_by_search(total_demand, sizes);
    report(fmt::format("{}: servers to survive a data centre / least", user),
           static_cast<double>(planned) / optimum, buffer_bound, "ratio");
    std::vector<std::uint32_t> racks(12, 4);
    racks.push_back(2);
    const std::uint32_t planned_for_racks = servers_to_survive(total_demand, racks);
    report(fmt::format("{}: servers to survive a rack / least", user),
           static_cast<double>(planned_for_racks) / least_by_search(total_demand, racks),
           buffer_bound, "ratio");
    fmt::print("{}: {} servers for a demand of {} (each pool its own buffer: {})\n", user, planned,
               total_demand,
               separate_buffers(pool_demands, static_cast<std::size_t>(data_centres)));
}

void bench_rollout()
{
    fakes::fake_fleet fleet{50, 4};
    for (const char* name : {"quotes", "stock", "couriers", "payments"}) {
        fleet.pools[pool_id{name}] = {9, 2, false};
    }
    fleet.pools[pool_id{"office"}] = {8, 2, true};
    fleet.run(2);
    const auto all = fleet.members([](const auto&) { return true; });
    std::map<pool_id, int> sizes;
    for (const auto& [id, s] : fleet.servers) {
        ++sizes[s.pool];
    }
    int largest = 0;
    for (const auto& [id, n] : sizes) {
        largest = std::max(largest, n);
    }
    fleet.start_wave(wave_id{"w"}, all);
    const auto started_at = fleet.now;
    while (!fleet.open_wave_servers[wave_id{"w"}].empty()) {
        fleet.step();
    }
    const double round_s =
        std::chrono::duration<double>(fleet.drain_time + fleet.reboot_time).count();
    const double rounds = std::chrono::duration<double>(fleet.now - started_at).count() / round_s;
    report("roll-out of 50 reboots / lower bound of rounds", rounds / std::ceil(largest / 2.0),
           rollout_bound, "ratio");
    int max_unavailable = 0;
    for (const auto& [id, unavailable] : fleet.max_unavailable) {
        max_unavailable = std::max(max_unavailable, unavailable);
    }
    report("roll-out: most servers of a pool unavailable", max_unavailable, 2, "servers");
}

template <class function_type>
double measure_ms(function_type&& function)
{
    const auto started_at = mono_clock::now();
    function();
    return std::chrono::duration<double, std::milli>(mono_clock::now() - started_at).count();
}

void bench_plan(int servers, int pools, int data_centres, bool check_bounds)
{
    const mono_time now{std::chrono::hours{1}};
    const double memory_before = resident_mb();
    engine planning_engine;
    std::map<pool_id, pool_rule> rules;
    for (int p = 0; p < pools; ++p) {
        rules[pool_id{"pool-" + std::to_string(p)}] = {
            static_cast<std::uint32_t>(servers / pools / 2), 8, p == 0};
    }
    std::vector<server_view> views;
    for (int i = 0; i < servers; ++i) {
        server_view s;
        s.id = server_id{"server-" + std::to_string(i)};
        s.data_centre = data_centre_id{"dc-" + std::to_string(i % data_centres)};
        s.rack = rack_id{"r" + std::to_string(i / 4)};
        s.pool = pool_id{"pool-" + std::to_string(i % pools)};
        s.slots = 8;
        s.alive = true;
        s.epoch = 1;
        views.push_back(s);
    }
    std::size_t decisions = 0;
    const double full_plan_ms = measure_ms([&] {
        planning_engine.configure(rules);
        for (const auto& s : views) {
            planning_engine.upsert(s, now);
        }
        for (int p = 0; p < pools; ++p) {
            planning_engine.demand(pool_id{"pool-" + std::to_string(p)},
                                   servers * 8.0 / pools * (p % 3) * 0.6, now);
        }
        decisions = planning_engine.step(now).size();
    });
    // Runs the moves for the initial demand to completion, so that a loss is measured in isolation.
    double largest_step_ms = 0;
    mono_time step_at = now;
    for (std::size_t last_decisions = 1; last_decisions > 0;) {
        last_decisions = 0;
        for (int i = 0; i < 30; ++i) {
            step_at += milliseconds{100};
            largest_step_ms = std::max(largest_step_ms, measure_ms([&] {
                                           last_decisions += planning_engine.step(step_at).size();
                                       }));
        }
        decisions += last_decisions;
    }
    std::vector<double> loss_ms;
    for (int i = 0; i < 50; ++i) {
        views[static_cast<std::size_t>(i * 7)].alive = false;
        loss_ms.push_back(measure_ms([&] {
            planning_engine.upsert(views[static_cast<std::size_t>(i * 7)],
                                   step_at + milliseconds{i * 100});
            planning_engine.step(step_at + milliseconds{i * 100});
        }));
    }
    std::ranges::sort(loss_ms);
    const double memory_mb = resident_mb() - memory_before;
    fmt::print(
        "{} servers, {} pools: full plan {:.1f} ms, after one loss median {:.2f} ms, most "
        "{:.2f} ms, {:.0f} MB; {} moves for a change of all demand, its largest step {:.0f} ms\n",
        servers, pools, full_plan_ms, loss_ms[loss_ms.size() / 2], loss_ms.back(), memory_mb,
        decisions, largest_step_ms);
    if (check_bounds) {
        fmt::print(
            "  bounds: full plan under 1000 ms {}, one loss under 20 ms {}, memory under 256 "
            "MB {}\n",
            full_plan_ms < 1000 ? "held" : "BROKEN", loss_ms.back() < 20 ? "held" : "BROKEN",
            memory_mb < 256 ? "held" : "BROKEN");
    }
}

} // namespace

int main()
{
    bench_buffers("Kapuk Isi, four data centres", 4);
    bench_buffers("Alfombras, three data centres", 3);
    bench_rollout();
    for (const int servers : {4000, 8000, 16000}) {
        bench_plan(servers, 48, 44, false);
    }
    bench_plan(32000, 48, 44, true);
    return all_within_bounds ? 0 : 1;
}
