#pragma once

/**
 * @file
 * Backend servers for simulations, as the platform's protocol describes them: they execute orders
 * in virtual time and without a network.
 */

#include "fleet/protocol.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fescue::fakes {

/** Limits of the platform that apply to every server. */
struct server_limits {
    std::int64_t max_lease_ms{10'000};
    milliseconds max_stop_time{900};
};

/** How a run ends if nothing ends it earlier. */
struct run_plan {
    /** Nothing: the run does not end by itself. */
    std::optional<milliseconds> duration;
    jobs::run_outcome outcome{jobs::run_outcome::done};
};

class fake_server;

struct fake_server_events {
    std::function<run_plan(const jobs::run_id&)> plan_run;
    /** @return how long a stop takes. */
    std::function<milliseconds()> choose_stop_time;
    std::function<void(const fake_server&, const jobs::run_id&)> run_started;
    std::function<void(const fake_server&, const fleet::ended_run&, mono_time at)> run_ended;
    /** Called when an end is acknowledged and the lease has not expired since that end. */
    std::function<void(const fleet::ended_run&)> end_acknowledged;
};

/** The monotonic clock of one incarnation of a server. */
struct fake_server_clock {
    mono_time started_at{};
    std::int64_t first_reading_ms{0};
    double rate{1.0};

    std::int64_t read(mono_time now) const;
    /** @return the first time at which the clock reads @p reading_ms. */
    mono_time time_of(std::int64_t reading_ms) const;
};

/** One incarnation of a backend server; its end discards all that it knows. */
class fake_server {
public:
    fake_server(server_id id, std::string address, incarnation incarnation_id,
                fake_server_clock clock, const server_limits& limits,
                const fake_server_events& events)
        : id_{std::move(id)}, address_{std::move(address)},
          incarnation_id_{incarnation_id}, clock_{clock}, limits_{limits}, events_{events}
    {
    }

    const server_id& id() const noexcept { return id_; }
    incarnation incarnation_id() const noexcept { return incarnation_id_; }
    term_number fencing_token() const noexcept { return fencing_token_; }
    std::int64_t clock_ms(mono_time now) const { return clock_.read(now); }
    std::size_t run_count() const noexcept { return active_.size(); }
    /** @return the attempts of the task that run here. */
    std::vector<std::uint32_t> active_attempts(const jobs::task_id& task) const;
    /** @return whether a run lives although the lease has expired. */
    bool exceeds_lease(mono_time now) const;

    /** Ends the runs that are due and, if the lease has expired, all others. */
    void settle(mono_time now);
    fleet::order_reply execute(const fleet::start_order& order, mono_time now);
    fleet::order_reply execute(const fleet::stop_order& order, mono_time now);
    fleet::order_reply execute(const fleet::throttle_order& order, mono_time now);
    /** @return why a poll is refused, if it is; otherwise its fields take effect. */
    std::optional<error> accept(const fleet::poll_order& order, mono_time now);
    bool has_unacknowledged_ends() const noexcept { return !ended_.empty(); }
    fleet::poll_reply lists(mono_time now) const;
    jobs::server_report make_report(mono_time now, bool leaving);

private:
    struct active_state {
        mono_time started_at{};
        std::optional<mono_time> ends_at;
        jobs::run_outcome outcome{jobs::run_outcome::done};
    };

    bool is_fenced(term_number token);
    void extend_lease(std::int64_t lease_end_ms, mono_time now);
    void end_run(const jobs::run_id& run, jobs::run_outcome outcome, mono_time at);
    void refuse_up_to(const jobs::run_id& run);

    server_id id_;
    std::string address_;
    incarnation incarnation_id_;
    fake_server_clock clock_;
    const server_limits& limits_;
    const fake_server_events& events_;
    term_number fencing_token_{0};
    std::int64_t lease_end_ms_{0};
    std::uint64_t reports_{0};
    std::uint64_t ends_{0};
    /** Last end before the lease last expired. */
    std::uint64_t lapsed_ends_{0};
    std::map<jobs::run_id, active_state> active_;
    /** Highest attempt of each task that was stopped or has ended here. */
    std::map<jobs::task_id, std::uint32_t> refused_up_to_;
    std::vector<fleet::ended_run> ended_;
};

} // namespace fescue::fakes
