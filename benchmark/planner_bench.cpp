/**
 * @file
 * The planner at both users' sizes and at the size expected in two years. Prints each figure with
 * its bound; ends with 1 when a bound that does not depend on time is broken.
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
bool all_held = true;

void row(const std::string& what, double figure, double bound, const std::string& unit)
{
    const bool held = figure <= bound;
    all_held = all_held && held;
    fmt::print("{:<58}{:>12.3f} {:<10} bound {:>10.3f}  {}\n", what, figure, unit, bound,
               held ? "held" : "BROKEN");
}

/**
 * Least total over all ways to draw from domains, found by trying them. Domains of one size are
 * alike, so the later of two such never draws more than the one before.
 */
std::uint32_t search(std::uint32_t wanted, const std::vector<std::uint32_t>& domains)
{
    std::uint32_t best = UINT32_MAX;
    const std::function<void(std::size_t, std::uint32_t, std::uint32_t, std::uint32_t)> draw =
        [&](std::size_t at, std::uint32_t total, std::uint32_t most, std::uint32_t before) {
            if (at == domains.size()) {
                if (total >= wanted + most) {
                    best = std::min(best, total);
                }
                return;
            }
            const bool alike = at > 0 && domains[at] == domains[at - 1];
            const std::uint32_t room = alike ? before : domains[at];
            for (std::uint32_t n = 0; n <= room; ++n) {
                draw(at + 1, total + n, std::max(most, n), n);
            }
        };
    draw(0, 0, 0, 0);
    return best;
}

/** Domains of 50 servers, four to a rack, racks dealt out over the places. */
std::vector<std::uint32_t> places_of(int places)
{
    std::vector<std::uint32_t> out(static_cast<std::size_t>(places));
    for (int i = 0; i < 50; ++i) {
        ++out[static_cast<std::size_t>(i / 4 % places)];
    }
    return out;
}

/** Each pool with a buffer of its own: the loss of any domain leaves it its demand. */
std::uint32_t naive(const std::vector<std::uint32_t>& wants, std::size_t domains)
{
    std::uint32_t sum = 0;
    for (const std::uint32_t want : wants) {
        const std::vector<std::uint32_t> enough(domains, want);
        sum += servers_to_survive(want, enough);
    }
    return sum;
}

void buffers(const char* user, int places)
{
    // A pool in its burst and four between bursts: the stated demand, in servers.
    const std::vector<std::uint32_t> wants{10, 5, 5, 4, 4};
    const std::uint32_t wanted = 28;
    const auto sizes = places_of(places);
    const auto ours = servers_to_survive(wanted, sizes);
    const auto least = search(wanted, sizes);
    row(fmt::format("{}: servers to survive a data centre / least", user),
        static_cast<double>(ours) / least, buffer_bound, "ratio");
    std::vector<std::uint32_t> racks(12, 4);
    racks.push_back(2);
    const std::uint32_t rack_ours = servers_to_survive(wanted, racks);
    row(fmt::format("{}: servers to survive a rack / least", user),
        static_cast<double>(rack_ours) / search(wanted, racks), buffer_bound, "ratio");
    fmt::print("{}: {} servers for a demand of {} (each pool its own buffer: {})\n", user, ours,
               wanted, naive(wants, static_cast<std::size_t>(places)));
}

void rollout()
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
    const auto began = fleet.now;
    while (!fleet.waves[wave_id{"w"}].empty()) {
        fleet.step();
    }
    const double round_s =
        std::chrono::duration<double>(fleet.drain_time + fleet.reboot_time).count();
    const double rounds = std::chrono::duration<double>(fleet.now - began).count() / round_s;
    row("roll-out of 50 reboots / lower bound of rounds", rounds / std::ceil(largest / 2.0),
        rollout_bound, "ratio");
    int worst = 0;
    for (const auto& [id, away] : fleet.worst_away) {
        worst = std::max(worst, away);
    }
    row("roll-out: most servers of a pool away", worst, 2, "servers");
}

template <class F>
double milliseconds_of(F&& f)
{
    const auto began = mono_clock::now();
    f();
    return std::chrono::duration<double, std::milli>(mono_clock::now() - began).count();
}

void at_size(int servers, int pools, int places, bool bounded)
{
    const mono_time now{std::chrono::hours{1}};
    const double before = resident_mb();
    engine plan;
    std::map<pool_id, pool_rule> rules;
    for (int p = 0; p < pools; ++p) {
        rules[pool_id{"pool-" + std::to_string(p)}] = {
            static_cast<std::uint32_t>(servers / pools / 2), 8, p == 0};
    }
    std::vector<server_view> views;
    for (int i = 0; i < servers; ++i) {
        server_view s;
        s.id = server_id{"server-" + std::to_string(i)};
        s.data_centre = data_centre_id{"dc-" + std::to_string(i % places)};
        s.rack = rack_id{"r" + std::to_string(i / 4)};
        s.pool = pool_id{"pool-" + std::to_string(i % pools)};
        s.slots = 8;
        s.alive = true;
        s.epoch = 1;
        views.push_back(s);
    }
    std::size_t decisions = 0;
    const double full = milliseconds_of([&] {
        plan.configure(rules);
        for (const auto& s : views) {
            plan.upsert(s, now);
        }
        for (int p = 0; p < pools; ++p) {
            plan.demand(pool_id{"pool-" + std::to_string(p)}, servers * 8.0 / pools * (p % 3) * 0.6,
                        now);
        }
        decisions = plan.step(now).size();
    });
    // Moves that the first demand calls for come first; a loss is then a change of its own.
    double rebalance = 0;
    mono_time later = now;
    for (std::size_t last = 1; last > 0;) {
        last = 0;
        for (int i = 0; i < 30; ++i) {
            later += milliseconds{100};
            rebalance =
                std::max(rebalance, milliseconds_of([&] { last += plan.step(later).size(); }));
        }
        decisions += last;
    }
    std::vector<double> losses;
    for (int i = 0; i < 50; ++i) {
        views[static_cast<std::size_t>(i * 7)].alive = false;
        losses.push_back(milliseconds_of([&] {
            plan.upsert(views[static_cast<std::size_t>(i * 7)], later + milliseconds{i * 100});
            plan.step(later + milliseconds{i * 100});
        }));
    }
    std::ranges::sort(losses);
    const double memory = resident_mb() - before;
    fmt::print(
        "{} servers, {} pools: full plan {:.1f} ms, after one loss median {:.2f} ms, most "
        "{:.2f} ms, {:.0f} MB; {} moves for a change of all demand, its largest step {:.0f} ms\n",
        servers, pools, full, losses[losses.size() / 2], losses.back(), memory, decisions,
        rebalance);
    if (bounded) {
        fmt::print(
            "  bounds: full plan under 1000 ms {}, one loss under 20 ms {}, memory under 256 "
            "MB {}\n",
            full < 1000 ? "held" : "BROKEN", losses.back() < 20 ? "held" : "BROKEN",
            memory < 256 ? "held" : "BROKEN");
    }
}

} // namespace

int main()
{
    buffers("Kapuk Isi, four data centres", 4);
    buffers("Alfombras, three data centres", 3);
    rollout();
    for (const int servers : {4000, 8000, 16000}) {
        at_size(servers, 48, 44, false);
    }
    at_size(32000, 48, 44, true);
    return all_held ? 0 : 1;
}
