/**
 * @file
 * Simulates the platform on loopback: many backend servers in one process, and a load generator
 * that submits jobs. Reports a violation when a task runs twice at the same time, starts again
 * after it completed, or starts before the preceding step completed, when an accepted job is lost,
 * and when a start exceeds the capacity of a server that does not enforce it.
 */

#include "varying_capacity.h"

#include "fescuestream/http/client.h"
#include "fescuestream/http/server.h"
#include "fescuestream/jobs/model.h"

#include <fmt/format.h>
#include <getopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <map>
#include <random>
#include <set>

using namespace fescue;
using nlohmann::json;

namespace {

struct options {
    std::vector<std::string> control_addresses;
    std::vector<std::string> entry_addresses;
    int servers{20};
    int first_port{20000};
    double jobs_per_s{20};
    int tasks{6};
    int task_ms{640};
    /** CPU request of each task, in millicores. */
    int task_cpu{1000};
    /** CPU capacity of a server, in millicores. */
    int server_cpu{64'000};
    /** The capacity of every other server changes while it runs, and its reports are interrupted
     * now and then. */
    bool capacity_varies{false};
    /** Servers refuse starts that exceed their capacity; otherwise such a start is a violation. */
    bool enforces_capacity{true};
    /** Servers are assigned round-robin to this many data centres. */
    int data_centres{1};
    /** Time for which jobs are submitted; 0: until SIGTERM. */
    int seconds{10};
    std::uint64_t seed{1};
};

constexpr std::array data_centre_names{"north", "south", "west"};
/** Runs with this text in their job's spec last until they are stopped, or fail after this time. */
constexpr std::string_view long_running_spec = "long-running";
const std::string load_generator_spec(500, 'x');
constexpr std::int64_t shortest_lifetime_ms = 2'000;
constexpr std::int64_t longest_lifetime_ms = 9'000;
constexpr std::int64_t unlimited_ms = 1LL << 40;
/** CPU request of the tasks whose jobs are submitted by other programs, in millicores. */
constexpr int foreign_task_cpu = 500;
constexpr milliseconds report_period{500};
/** How long a scheduler may assume a capacity that has shrunk: 3 s until it can have learnt of it,
 * and one report period. */
constexpr std::int64_t assumable_ms = 3'000 + report_period.count();
/** Share of the reports of a server with a varying capacity after which no more arrive for a time.
 */
constexpr std::uint64_t percentage_of_cuts = 8;
constexpr std::int64_t min_cut_ms = 500;
constexpr std::int64_t max_cut_ms = 6'000;
/** Longest time that a run takes to stop if the capacity varies. */
constexpr std::int64_t max_stop_ms = 400;

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(mono_clock::now().time_since_epoch()).count();
}

/** Records the task executions of all servers and checks them for violations. */
class execution_checker {
public:
    void task_started(const std::string& task, const std::string& server)
    {
        if (!running_on_.emplace(task, server).second) {
            report_violation("task started while already running: " + task);
        }
        if (completed_tasks_.contains(task)) {
            report_violation("task started after it completed: " + task);
        }
        const auto id = jobs::task_id::parse(task);
        if (!id) {
            report_violation("task id cannot be parsed");
        } else if (id->step > 0 &&
                   completed_per_step_[{id->job.number, id->step - 1}] < tasks_per_step) {
            report_violation("task started before the preceding step completed: " + task);
        }
        ++starts;
    }
    void task_ended(const std::string& task, bool completed)
    {
        running_on_.erase(task);
        const auto id = jobs::task_id::parse(task);
        if (completed && id && completed_tasks_.insert(task).second) {
            ++completed_per_step_[{id->job.number, id->step}];
        }
    }
    void report_violation(const std::string& description)
    {
        ++violations;
        fmt::print("VIOLATION {}\n", description);
    }

    std::uint64_t starts{0};
    /** Starts that were refused for lack of capacity. */
    std::uint64_t refused_starts{0};
    std::uint64_t violations{0};
    std::uint32_t tasks_per_step{1};

private:
    std::map<std::string, std::string> running_on_;
    std::set<std::string> completed_tasks_;
    std::map<std::pair<std::uint64_t, std::uint32_t>, std::uint32_t> completed_per_step_;
};

/**
 * A simulated backend server: accepts runs, ends each after the configured time, and reports its
 * state to the control address.
 */
class simulated_server {
public:
    simulated_server(event_loop& loop, http::client& client, execution_checker& checker,
                     const options& opts, int number)
        : loop_{loop}, client_{client}, checker_{checker}, opts_{opts}, number_{number},
          id_{fmt::format("i-{:04}", number)}, capacity_{opts.server_cpu,
                                                         opts.capacity_varies && number % 2 == 1,
                                                         assumable_ms,
                                                         opts.seed * 1000 +
                                                             static_cast<std::uint64_t>(number)},
          incarnation_{wall_now()}, random_{opts.seed + static_cast<std::uint64_t>(number)},
          http_server_{loop, [this](http::exchange_id exchange, http::request&& request) {
                           handle_request(exchange, request);
                       }}
    {
        const auto port = static_cast<std::uint16_t>(opts.first_port + number);
        address_ = fmt::format("127.0.0.1:{}", port);
        if (const auto fault = http_server_.listen({"127.0.0.1", port}, {})) {
            fmt::print("cannot listen: {}\n", fault->detail);
            std::exit(1);
        }
        run_timer_ = loop.every(milliseconds{5}, [this] { end_due_runs(); });
        report_timer_ = loop.every(report_period, [this] { send_status_report(); });
        send_status_report();
    }

private:
    struct active_run {
        std::uint32_t attempt{0};
        std::int64_t ends_at_ms{0};
        std::int64_t started_at_ms{0};
        std::int64_t duration_ms{1};
        bool long_running{false};
        std::int64_t cpu{0};
        bool stopping{false};
    };
    struct finished_run {
        std::uint64_t sequence{0};
        std::string task;
        std::uint32_t attempt{0};
        std::string outcome;
    };

    json with_identity(json body) const
    {
        body["wall_clock_ms"] = now_ms();
        body["born"] = incarnation_;
        return body;
    }
    void respond(http::exchange_id exchange, int status, const json& body)
    {
        http_server_.respond(exchange, {status, "application/json", body.dump(), {}});
    }
    void respond_conflict(http::exchange_id exchange, const char* reason)
    {
        respond(exchange, 409, with_identity({{"reason", reason}}));
    }

    void handle_request(http::exchange_id exchange, const http::request& request)
    {
        const json body = json::parse(request.body, nullptr, false);
        const auto token = body.value("fencing_token", std::uint64_t{0});
        if (token < highest_fencing_token_) {
            respond_conflict(exchange, "fence");
            return;
        }
        highest_fencing_token_ = token;
        lease_until_ms_ =
            std::max(lease_until_ms_,
                     std::min(body.value("deadline_ms", std::int64_t{0}), now_ms() + 10'000));
        if (request.path == "/run-start") {
            handle_run_start(exchange, body);
        } else if (request.path == "/run-stop") {
            handle_run_stop(exchange, body);
        } else {
            handle_hold(exchange, body);
        }
    }

    void handle_run_start(http::exchange_id exchange, const json& body)
    {
        const std::string task = body["task"];
        const std::uint32_t attempt = body["attempt"];
        const auto current = runs_.find(task);
        if (current != runs_.end() && current->second.attempt == attempt) {
            respond(exchange, 200, with_identity({}));
            return;
        }
        if (attempt <= highest_attempt_[task]) {
            respond_conflict(exchange, "old");
            return;
        }
        if (body["deadline_ms"].get<std::int64_t>() < now_ms()) {
            respond_conflict(exchange, "late");
            return;
        }
        const std::int64_t now = now_ms();
        const std::int64_t cpu =
            body["spec"] == load_generator_spec ? opts_.task_cpu : foreign_task_cpu;
        if (opts_.enforces_capacity && used_cpu_ + cpu > capacity_.current()) {
            ++checker_.refused_starts;
            respond_conflict(exchange, "room");
            return;
        }
        if (used_cpu_ + cpu > capacity_.assumable(now)) {
            checker_.report_violation(fmt::format("start exceeds the capacity: {} on {}: {} of {}",
                                                  task, id_, used_cpu_ + cpu,
                                                  capacity_.assumable(now)));
        }
        highest_attempt_[task] = attempt;
        checker_.task_started(task, id_);
        used_cpu_ += cpu;
        const bool long_running = body["spec"] == long_running_spec;
        const std::int64_t duration_ms =
            long_running
                ? std::uniform_int_distribution{shortest_lifetime_ms, longest_lifetime_ms}(random_)
                : opts_.task_ms;
        runs_[task] = {attempt, now + duration_ms, now, duration_ms, long_running, cpu, false};
        if (long_running) {
            fmt::print("LONG-RUNNING started {} {}\n", task, now);
        }
        respond(exchange, 200, with_identity({}));
    }

    void handle_run_stop(http::exchange_id exchange, const json& body)
    {
        const std::string task = body["task"];
        highest_attempt_[task] = std::max<std::uint32_t>(highest_attempt_[task], body["attempt"]);
        const auto current = runs_.find(task);
        if (current != runs_.end() && current->second.attempt == body["attempt"] &&
            !current->second.stopping) {
            current->second.stopping = true;
            current->second.ends_at_ms =
                now_ms() +
                (opts_.capacity_varies
                     ? std::uniform_int_distribution{std::int64_t{0}, max_stop_ms}(random_)
                     : 0);
            end_due_runs();
        }
        respond(exchange, 200, with_identity({}));
    }

    void handle_hold(http::exchange_id exchange, const json& body)
    {
        const auto acknowledged = body.value("ack_cursor", std::uint64_t{0});
        std::erase_if(finished_runs_, [&](const finished_run& finished) {
            return finished.sequence <= acknowledged;
        });
        const auto wait_ms = body.value("poll_wait_ms", std::int64_t{0});
        if (wait_ms == 0 || !finished_runs_.empty()) {
            respond(exchange, 200, run_lists());
        } else {
            pending_polls_.emplace_back(exchange, now_ms() + wait_ms);
        }
    }

    json run_lists() const
    {
        json out = with_identity({{"active", json::array()}, {"finished", json::array()}});
        for (const auto& [task, current_run] : runs_) {
            const std::int64_t percent =
                current_run.long_running
                    ? 100
                    : std::min<std::int64_t>(100, (now_ms() - current_run.started_at_ms) * 100 /
                                                      current_run.duration_ms);
            out["active"].push_back({task, current_run.attempt, "", percent, 1000});
        }
        for (const finished_run& finished : finished_runs_) {
            out["finished"].push_back(
                {finished.sequence, finished.task, finished.attempt, finished.outcome, ""});
        }
        return out;
    }

    using run_iterator = std::map<std::string, active_run>::iterator;
    run_iterator finish_run(run_iterator position, const char* outcome)
    {
        finished_runs_.push_back(
            {++last_finished_sequence_, position->first, position->second.attempt, outcome});
        checker_.task_ended(position->first, std::string_view{outcome} == "done");
        used_cpu_ -= position->second.cpu;
        if (position->second.long_running) {
            fmt::print("LONG-RUNNING {} {} {}\n", outcome, position->first, now_ms());
        }
        return runs_.erase(position);
    }

    void end_due_runs()
    {
        const std::int64_t now = now_ms();
        capacity_.advance(now);
        for (auto position = runs_.begin(); position != runs_.end();) {
            if (now > lease_until_ms_) {
                position = finish_run(position, "lapsed");
            } else if (now >= position->second.ends_at_ms) {
                position = finish_run(position, position->second.stopping       ? "stopped"
                                                : position->second.long_running ? "failed"
                                                                                : "done");
            } else {
                ++position;
            }
        }
        std::erase_if(pending_polls_, [&](const auto& poll) {
            if (finished_runs_.empty() && now < poll.second) {
                return false;
            }
            respond(poll.first, 200, run_lists());
            return true;
        });
    }

    /** @return whether this report fails to reach the schedulers, as in a cut of a few seconds. */
    bool report_is_lost()
    {
        if (!has_varying_capacity()) {
            return false;
        }
        const std::int64_t now = now_ms();
        if (now >= reports_lost_until_ms_ && random_() % 100 < percentage_of_cuts) {
            reports_lost_until_ms_ =
                now + std::uniform_int_distribution{min_cut_ms, max_cut_ms}(random_);
        }
        return now < reports_lost_until_ms_;
    }

    bool has_varying_capacity() const { return opts_.capacity_varies && number_ % 2 == 1; }

    void send_status_report()
    {
        if (report_is_lost()) {
            return;
        }
        const json body{
            {"service", "pool"},
            {"address", address_},
            {"zone", data_centre_names[static_cast<std::size_t>(number_ % opts_.data_centres)]},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"warmup_left_ms", 0},
            {"capacity", {{"cpu", capacity_.current()}, {"mem_mb", 131072}, {"gpu", 0}}},
            {"labels", {"a", fmt::format("r1-{}", number_ / 4)}},
            {"wall_clock_ms", now_ms()},
            {"born", incarnation_},
            {"seq", ++report_sequence_}};
        http::client_request out;
        out.method = "PUT";
        out.url =
            fmt::format("http://{}/instances/{}", opts_.control_addresses[control_index_], id_);
        out.body = body.dump();
        out.timeout = milliseconds{1000};
        client_.send(std::move(out), [this](http::client_response&& response) {
            if (response.outcome != http::delivery::answered || response.status != 200) {
                control_index_ = (control_index_ + 1) % opts_.control_addresses.size();
            }
        });
    }

    event_loop& loop_;
    http::client& client_;
    execution_checker& checker_;
    const options& opts_;
    int number_;
    std::string id_;
    std::string address_;
    fakes::varying_capacity capacity_;
    std::int64_t used_cpu_{0};
    std::int64_t incarnation_;
    std::mt19937_64 random_;
    http::server http_server_;
    std::map<std::string, active_run> runs_;
    std::map<std::string, std::uint32_t> highest_attempt_;
    std::vector<finished_run> finished_runs_;
    std::vector<std::pair<http::exchange_id, std::int64_t>> pending_polls_;
    std::uint64_t last_finished_sequence_{0};
    std::uint64_t report_sequence_{0};
    std::uint64_t highest_fencing_token_{0};
    std::int64_t lease_until_ms_{0};
    std::int64_t reports_lost_until_ms_{0};
    std::size_t control_index_{0};
    timer_handle run_timer_;
    timer_handle report_timer_;
};

/** Submits jobs at a fixed rate, polls each until it completes, and prints a summary. */
class load_generator {
public:
    load_generator(event_loop& loop, http::client& client, execution_checker& checker,
                   const options& opts)
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
        const json config{{"version", 1},
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
                          {"limits", json::object()},
                          {"tenants", json::array()}};
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
        const json first_step{{"count", opts_.tasks},
                              {"cpu", opts_.task_cpu},
                              {"mem_mb", 100},
                              {"estimate_ms", opts_.task_ms}};
        json second_step = first_step;
        second_step["depends_on"] = {0};
        const json body{{"spec", load_generator_spec}, {"steps", {first_step, second_step}}};
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
    const options& opts_;
    std::mt19937_64 random_;
    std::map<std::string, job> jobs_;
    std::map<std::string, timer_handle> poll_timers_;
    std::vector<std::int64_t> latencies_ms_;
    std::uint64_t submitted_{0};
    std::uint64_t refused_{0};
    std::size_t config_attempts_{0};
    std::int64_t started_at_ms_{0};
    std::int64_t submission_ms_{unlimited_ms};
    timer_handle submit_timer_;
    timer_handle retry_timer_;
};

options read_options(int argc, char** argv)
{
    const option known[] = {{"control", required_argument, nullptr, 'c'},
                            {"entry", required_argument, nullptr, 'e'},
                            {"servers", required_argument, nullptr, 's'},
                            {"first-port", required_argument, nullptr, 'p'},
                            {"rate", required_argument, nullptr, 'r'},
                            {"tasks", required_argument, nullptr, 't'},
                            {"task-ms", required_argument, nullptr, 'm'},
                            {"task-cpu", required_argument, nullptr, 'u'},
                            {"server-cpu", required_argument, nullptr, 'k'},
                            {"varying-capacity", no_argument, nullptr, 'v'},
                            {"unenforced-capacity", no_argument, nullptr, 'f'},
                            {"data-centres", required_argument, nullptr, 'd'},
                            {"seconds", required_argument, nullptr, 'n'},
                            {"seed", required_argument, nullptr, 'x'},
                            {nullptr, 0, nullptr, 0}};
    options out;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known, nullptr)) != -1) {
        switch (found) {
        case 'c':
            out.control_addresses.emplace_back(optarg);
            break;
        case 'e':
            out.entry_addresses.emplace_back(optarg);
            break;
        case 's':
            out.servers = std::stoi(optarg);
            break;
        case 'p':
            out.first_port = std::stoi(optarg);
            break;
        case 'r':
            out.jobs_per_s = std::stod(optarg);
            break;
        case 't':
            out.tasks = std::stoi(optarg);
            break;
        case 'm':
            out.task_ms = std::stoi(optarg);
            break;
        case 'u':
            out.task_cpu = std::stoi(optarg);
            break;
        case 'k':
            out.server_cpu = std::stoi(optarg);
            break;
        case 'v':
            out.capacity_varies = true;
            break;
        case 'f':
            out.enforces_capacity = false;
            break;
        case 'd':
            out.data_centres =
                std::clamp(std::stoi(optarg), 1, static_cast<int>(data_centre_names.size()));
            break;
        case 'n':
            out.seconds = std::stoi(optarg);
            break;
        case 'x':
            out.seed = std::stoull(optarg);
            break;
        default:
            std::exit(2);
        }
    }
    if (out.control_addresses.empty() || out.entry_addresses.empty()) {
        fmt::print(
            stderr,
            "worker_farm --control IP:PORT... --entry IP:PORT... [--servers N] [--rate JOBS/S]\n");
        std::exit(2);
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    const options opts = read_options(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    // The log writes to the same file past the buffer.
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    event_loop loop;
    http::client client{loop};
    execution_checker checker;
    std::vector<std::unique_ptr<simulated_server>> servers;
    for (int i = 0; i < opts.servers; ++i) {
        servers.push_back(std::make_unique<simulated_server>(loop, client, checker, opts, i));
    }
    load_generator load{loop, client, checker, opts};
    loop.run();
    return checker.violations == 0 ? 0 : 1;
}
