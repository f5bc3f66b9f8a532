#include "server_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>

namespace fescue::fakes {

namespace {

/** Servers that may disappear for good, so that the others have room for the tasks. */
constexpr int max_servers_gone = 3;
constexpr std::int64_t min_absence_ms = 500;
constexpr std::int64_t max_absence_ms = 5'000;

/** Times between and during the restarts of forgetful servers. */
constexpr std::int64_t min_restart_interval_ms = 300;
constexpr std::int64_t max_restart_interval_ms = 1'500;
constexpr std::int64_t min_restart_ms = 200;
constexpr std::int64_t max_restart_ms = 3'000;
/** Share of the restarts with a shutdown notice, and of those under a new id. */
constexpr std::int64_t percentage_leaving = 25;
constexpr std::int64_t percentage_of_new_ids = 25;
constexpr std::int64_t min_drain_ms = 300;
constexpr std::int64_t max_drain_ms = 1'500;
constexpr std::int64_t max_notice_delay_ms = 4'000;

} // namespace

server_fleet::server_fleet(event_loop& loop, http::client& client, execution_checker& checker,
                           const farm_options& opts)
    : opts_{opts},
      in_transit_{loop}, farm_{loop, client, checker, opts, in_transit_}, random_{opts.seed},
      slots_(static_cast<std::size_t>(opts.servers))
{
    farm_.delays_calls = opts.forgetful;
    farm_.deliver_late = [this](int number, const server_order& order) {
        if (slot_at(number).server) {
            slot_at(number).server->carry_out_late(order);
        }
    };
    checker.before_judging([this] {
        for (slot& s : slots_) {
            if (s.server) {
                s.server->end_due_runs();
            }
        }
    });
    for (int i = 0; i < opts.servers; ++i) {
        slot_at(i).id = fmt::format("i-{:04}", i);
        start_server(i);
    }
    loop.on_signal(SIGUSR1, [this] { remove_random_server(); });
    if (opts.forgetful) {
        schedule_restart();
        loop.on_signal(SIGUSR2, [this] {
            farm_.delays_calls = false;
            restart_timer_ = timer_handle{};
        });
    }
}

std::int64_t server_fleet::random_between(std::int64_t first, std::int64_t last)
{
    return std::uniform_int_distribution{first, last}(random_);
}

server_fleet::slot& server_fleet::slot_at(int number)
{
    return slots_.at(static_cast<std::size_t>(number));
}

void server_fleet::start_server(int number)
{
    slot& s = slot_at(number);
    s.server = std::make_unique<simulated_server>(farm_, number, s.id, s.incarnations++);
}

void server_fleet::remove_random_server()
{
    std::vector<int> busy;
    std::vector<int> with_long_tasks;
    for (int i = 0; i < opts_.servers; ++i) {
        const auto& server = slot_at(i).server;
        if (server && server->is_busy()) {
            busy.push_back(i);
        }
        if (server && server->runs_long_tasks()) {
            with_long_tasks.push_back(i);
        }
    }
    const auto& candidates = with_long_tasks.empty() ? busy : with_long_tasks;
    if (candidates.empty()) {
        return;
    }
    const int number = candidates[random_() % candidates.size()];
    if (servers_gone_ < max_servers_gone && random_() % 2 == 0) {
        ++servers_gone_;
        slot& s = slot_at(number);
        s.server->disappear("disappeared");
        s.server.reset();
        return;
    }
    restart(number, "disappeared", random_between(min_absence_ms, max_absence_ms));
}

void server_fleet::schedule_restart()
{
    const milliseconds interval{random_between(min_restart_interval_ms, max_restart_interval_ms)};
    restart_timer_ = farm_.loop.after(interval, [this] {
        restart_random_server();
        schedule_restart();
    });
}

void server_fleet::restart_random_server()
{
    std::vector<int> running;
    std::vector<int> with_late_starts;
    for (int i = 0; i < opts_.servers; ++i) {
        const auto& server = slot_at(i).server;
        if (!server || server->is_leaving()) {
            continue;
        }
        running.push_back(i);
        if (server->has_late_start()) {
            with_late_starts.push_back(i);
        }
    }
    // At most half of the servers are down or leaving.
    if (running.size() * 2 <= slots_.size()) {
        return;
    }
    const bool prefers_late_starts = random_() % 2 == 0 && !with_late_starts.empty();
    const auto& candidates = prefers_late_starts ? with_late_starts : running;
    const int number = candidates[random_() % candidates.size()];
    // The schedulers may give up a task whose servers crash twice.
    const auto tasks = slot_at(number).server->assumed_tasks();
    const bool crashes_again = std::ranges::any_of(
        tasks, [&](const std::string& task) { return farm_.crashed_tasks.contains(task); });
    if (crashes_again || random_between(0, 99) < percentage_leaving) {
        leave(number);
    } else {
        farm_.crashed_tasks.insert(tasks.begin(), tasks.end());
        restart(number, "crashed", random_between(min_restart_ms, max_restart_ms));
    }
}

void server_fleet::leave(int number)
{
    slot& s = slot_at(number);
    const std::int64_t drain_ms = random_between(min_drain_ms, max_drain_ms);
    s.server->begin_leaving(drain_ms);
    s.leave_timer = farm_.loop.after(milliseconds{drain_ms}, [this, number] {
        const std::int64_t absence_ms = random_between(min_restart_ms, max_restart_ms);
        const std::string path = "/instances/" + slot_at(number).id;
        const auto first_address = static_cast<std::size_t>(random_());
        // Half of the notices arrive after the next incarnation has reported.
        const std::int64_t delay_ms =
            random_() % 2 == 0 ? 0 : absence_ms + random_between(0, max_notice_delay_ms);
        restart(number, "left", absence_ms);
        in_transit_.add(delay_ms, [this, path, first_address] {
            fmt::print("NOTICE {} at {}\n", path, wall_now());
            send_control_call(farm_, {"DELETE", path, ""}, first_address);
        });
    });
}

void server_fleet::restart(int number, const char* outcome, std::int64_t absence_ms)
{
    slot& s = slot_at(number);
    s.server->disappear(outcome);
    s.server.reset();
    if (opts_.forgetful && random_between(0, 99) < percentage_of_new_ids) {
        s.id = fmt::format("i-{:04}-{}", number, ++s.ids);
    }
    in_transit_.add(absence_ms, [this, number] { start_server(number); });
}

} // namespace fescue::fakes
