#pragma once

/**
 * @file
 * One incarnation of a simulated backend server: accepts runs, ends each after the configured time,
 * and reports its state to a control address. It starts without any knowledge of earlier ones.
 */

#include "delayed_calls.h"
#include "execution_checker.h"
#include "farm_options.h"
#include "varying_capacity.h"

#include "fescuestream/http/client.h"
#include "fescuestream/http/server.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace fescue::fakes {

/** An order as it arrived. */
struct server_order {
    std::string path;
    nlohmann::json body;
    /** Id of the server that the order is meant for; absent: any. */
    std::optional<std::string> expected_server;
    std::int64_t arrived_at_ms{0};
};

/** What the servers of a farm share. */
struct farm_context {
    event_loop& loop;
    http::client& client;
    execution_checker& checker;
    const farm_options& opts;
    delayed_calls& in_transit;
    /** Whether orders and reports are delayed now. */
    bool delays_calls{false};
    /** Tasks that servers had been told to start and that did not end before the servers crashed.
     */
    std::set<std::string> crashed_tasks{};
    /** Carries out an order on the server that has the port with this number by then. */
    std::function<void(int number, const server_order& order)> deliver_late{};
};

struct control_call {
    std::string method;
    std::string path;
    std::string body;
};

/** Sends a call to the schedulers in turn until one accepts it, a limited number of times. */
void send_control_call(farm_context& farm, const control_call& call, std::size_t address_index,
                       int attempts = 6);

class simulated_server {
public:
    /** @param incarnations number of earlier incarnations on the same port. */
    simulated_server(farm_context& farm, int number, std::string id, std::uint64_t incarnations);

    const std::string& id() const { return id_; }
    bool is_busy() const { return !runs_.empty(); }
    bool is_leaving() const { return leaving_until_ms_ != 0; }
    bool runs_long_tasks() const;
    /** @return whether the start of a run was left without an answer a short time ago. */
    bool has_late_start() const;
    /** @return the tasks that the schedulers may assume to run on this server. */
    std::set<std::string> assumed_tasks() const;
    /** Reports from now on that the server will end. */
    void begin_leaving(std::int64_t remaining_ms);
    /** Ends all runs without a trace; the server must be destroyed next. */
    void disappear(const char* outcome);
    /** Ends the runs that are due to end. */
    void end_due_runs();
    /** Carries out an order whose sender has given up waiting. */
    void carry_out_late(const server_order& order);

private:
    /** Task and attempt. */
    using run_key = std::pair<std::string, std::uint32_t>;
    struct active_run {
        execution_checker::run_number number{0};
        std::int64_t ends_at_ms{0};
        std::int64_t started_at_ms{0};
        std::int64_t duration_ms{1};
        bool long_running{false};
        std::int64_t cpu{0};
        bool stopping{false};
    };
    struct finished_run {
        std::uint64_t sequence{0};
        run_key key;
        execution_checker::run_number number{0};
        std::string outcome;
    };
    struct reply {
        int status{200};
        nlohmann::json body;
    };
    using run_iterator = std::map<run_key, active_run>::iterator;

    /** @return the server's monotonic clock, in milliseconds. */
    std::int64_t clock_ms() const;
    nlohmann::json with_identity(nlohmann::json body) const;
    reply conflict(const char* reason) const;
    void respond(http::exchange_id exchange, const reply& answer);
    void handle_request(http::exchange_id exchange, const http::request& request);
    bool loses_order(const std::string& path);
    void leave_unanswered(http::exchange_id exchange, const server_order& order);
    reply carry_out(const server_order& order);
    reply start_run(const server_order& order);
    reply stop_run(const nlohmann::json& body);
    reply acknowledge_ends(const nlohmann::json& body);
    nlohmann::json run_lists() const;
    run_iterator finish_run(run_iterator position, const char* outcome);
    /** Ends everything if the lease has expired. */
    void check_lease();
    void answer_due_polls();
    bool report_is_lost();
    void send_status_report();
    std::int64_t random_between(std::int64_t first, std::int64_t last);

    farm_context& farm_;
    int number_;
    std::string id_;
    std::string address_;
    varying_capacity capacity_;
    std::int64_t used_cpu_{0};
    wall_ms incarnation_;
    std::mt19937_64 random_;
    std::int64_t created_at_ms_{now_ms()};
    /** Rate of the clock relative to true time. */
    double clock_rate_{1.0};
    std::map<run_key, active_run> runs_;
    std::map<std::string, std::uint32_t> highest_attempt_;
    std::vector<finished_run> finished_runs_;
    std::vector<std::pair<http::exchange_id, std::int64_t>> pending_polls_;
    /** Exchanges without an answer, and when their callers have certainly given up. */
    std::vector<std::pair<http::exchange_id, std::int64_t>> unanswered_;
    std::uint64_t last_finished_sequence_{0};
    std::uint64_t report_sequence_{0};
    std::uint64_t highest_fencing_token_{0};
    std::int64_t lease_until_ms_{0};
    std::int64_t reports_lost_until_ms_{0};
    std::int64_t orders_lost_until_ms_{0};
    std::int64_t last_late_start_ms_{0};
    /** Tasks whose starts were left without an answer. */
    std::set<std::string> late_tasks_;
    std::int64_t leaving_until_ms_{0};
    std::size_t control_index_{0};
    std::shared_ptr<bool> exists_{std::make_shared<bool>(true)};
    http::server http_server_;
    timer_handle run_timer_;
    timer_handle report_timer_;
};

} // namespace fescue::fakes
