#pragma once

/**
 * @file
 * Load generator of worker_farm: submits jobs at a fixed rate, polls each until it completes, and
 * prints a summary.
 */

#include "execution_checker.h"
#include "farm_options.h"

#include "fescuestream/http/client.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <map>
#include <random>

namespace fescue::fakes {

class load_generator {
public:
    load_generator(event_loop& loop, http::client& client, execution_checker& checker,
                   const farm_options& opts)
        : loop_{loop}, client_{client}, checker_{checker}, opts_{opts}, random_{opts.seed}
    {
        checker_.tasks_per_step = static_cast<std::uint32_t>(opts.tasks);
        if (opts.seconds > 0) {
            submission_ms_ = opts.seconds * std::int64_t{1000};
        }
        loop_.on_signal(SIGTERM, [this] { submission_ms_ = now_ms() - started_at_ms_; });
        put_config();
    }

private:
    struct job {
        std::int64_t submitted_at_ms{0};
        bool accepted{false};
    };

    void put_config()
    {
        const nlohmann::json config{{"version", 1},
                                    {"routes",
                                     {{{"name", "r"},
                                       {"host", "jobs.example"},
                                       {"path_prefix", "/j/"},
                                       {"kind", "non_idempotent"},
                                       {"timeout_ms", 3000},
                                       {"target_latency_ms", 600},
                                       {"priority", 0},
                                       {"service", "pool"},
                                       {"max_attempts", 3},
                                       {"slack_factor", 1.6},
                                       {"public", true}}}},
                                    {"services",
                                     {{{"name", "pool"},
                                       {"health_path", "/healthz"},
                                       {"enforce_capacity", opts_.enforces_capacity},
                                       {"standby", false}}}},
                                    {"limits", nlohmann::json::object()},
                                    {"tenants", nlohmann::json::array()}};
        send("PUT", opts_.control_addresses[config_attempts_++ % opts_.control_addresses.size()],
             "/config", config.dump(), [this](http::client_response&& response) {
                 if (response.status == 200) {
                     start_submitting();
                 } else {
                     retry_timer_ = loop_.after(milliseconds{200}, [this] { put_config(); });
                 }
             });
    }

    void send(const char* method, const std::string& address, const std::string& path,
              std::string body, http::client::callback on_response)
    {
        http::client_request out;
        out.method = method;
        out.url = "http://" + address + path;
        out.body = std::move(body);
        out.headers = {{"Host", "jobs.example"}, {"Deadline-Ms", "3000"}};
        out.timeout = milliseconds{3000};
        client_.send(std::move(out), std::move(on_response));
    }

    const std::string& random_entry()
    {
        return opts_.entry_addresses[random_() % opts_.entry_addresses.size()];
    }

    void start_submitting()
    {
        const auto period = milliseconds{10};
        started_at_ms_ = now_ms();
        submit_timer_ = loop_.every(period, [this] { submit_due_jobs(); });
    }

    void submit_due_jobs()
    {
        const std::int64_t elapsed_ms = now_ms() - started_at_ms_;
        const bool submission_over = elapsed_ms > submission_ms_;
        const auto due = static_cast<std::uint64_t>(
            static_cast<double>(std::min<std::int64_t>(elapsed_ms, submission_ms_)) / 1000.0 *
            opts_.jobs_per_s);
        while (submitted_ < due) {
            ++submitted_;
            submit_job(fmt::format("{:016x}", random_()), now_ms());
        }
        constexpr std::int64_t completion_grace_ms = 30'000;
        if (submission_over &&
            (jobs_.empty() || elapsed_ms > submission_ms_ + completion_grace_ms)) {
            print_summary();
        }
    }

    void submit_job(const std::string& id, std::int64_t submitted_at_ms)
    {
        jobs_[id].submitted_at_ms = submitted_at_ms;
        const nlohmann::json first_step{{"count", opts_.tasks},
                                        {"cpu", opts_.task_cpu},
                                        {"mem_mb", 100},
                                        {"estimate_ms", opts_.task_ms}};
        nlohmann::json second_step = first_step;
        second_step["depends_on"] = {0};
        const nlohmann::json body{{"spec", load_generator_spec},
                                  {"steps", {first_step, second_step}}};
        send("POST", random_entry(), "/j/" + id, body.dump(),
             [this, id, submitted_at_ms](http::client_response&& response) {
                 if (response.status == 200) {
                     jobs_[id].accepted = true;
                     poll_job(id);
                 } else if (response.status == 429 || response.status == 503) {
                     ++refused_;
                     jobs_.erase(id);
                 } else {
                     // The outcome is unknown: submit the same job again, under the same id.
                     submit_job(id, submitted_at_ms);
                 }
             });
    }

    void poll_job(const std::string& id)
    {
        poll_timers_[id] = loop_.after(milliseconds{100}, [this, id] {
            send("GET", random_entry(), "/j/" + id, "",
                 [this, id](http::client_response&& response) {
                     if (response.status == 410) {
                         checker_.report_violation("accepted job is unknown to the service: " + id);
                         jobs_.erase(id);
                     } else if (response.body.find("completed") != std::string::npos) {
                         latencies_ms_.push_back(now_ms() - jobs_[id].submitted_at_ms);
                         jobs_.erase(id);
                     } else if (response.body.find("failed") != std::string::npos ||
                                response.body.find("canceled") != std::string::npos) {
                         checker_.report_violation("valid job failed: " + id);
                         jobs_.erase(id);
                     } else {
                         poll_job(id);
                     }
                 });
        });
    }

    void print_summary()
    {
        std::ranges::sort(latencies_ms_);
        const auto percentile = [&](double fraction) {
            return latencies_ms_.empty()
                       ? 0
                       : latencies_ms_[static_cast<std::size_t>(
                             fraction * static_cast<double>(latencies_ms_.size() - 1))];
        };
        for (const auto& [id, submitted_job] : jobs_) {
            if (submitted_job.accepted) {
                checker_.report_violation("accepted job did not complete: " + id);
            }
        }
        fmt::print("jobs {} done {} refused {} starts {} refused_starts {} p50_ms {} p99_ms {} "
                   "broken {}\n",
                   submitted_, latencies_ms_.size(), refused_, checker_.starts,
                   checker_.refused_starts, percentile(0.5), percentile(0.99), checker_.violations);
        loop_.stop();
    }

    event_loop& loop_;
    http::client& client_;
    execution_checker& checker_;
    const farm_options& opts_;
    std::mt19937_64 random_;
    std::map<std::string, job> jobs_;
    std::map<std::string, timer_handle> poll_timers_;
    std::vector<std::int64_t> latencies_ms_;
    std::uint64_t submitted_{0};
    std::uint64_t refused_{0};
    std::size_t config_attempts_{0};
    std::int64_t started_at_ms_{0};
    /** Without a limit until SIGTERM. */
    std::int64_t submission_ms_{std::int64_t{1} << 40};
    timer_handle submit_timer_;
    timer_handle retry_timer_;
};

} // namespace fescue::fakes
