/**
 * @file
 * Many hand-written backend servers in one process, and callers that hand in jobs: a stand-in for
 * the platform on loopback. It judges what it sees: a task that runs twice at one time, starts
 * after it has ended as done, or starts before the steps before it.
 */

#include "fescuestream/http/client.h"
#include "fescuestream/http/server.h"
#include "fescuestream/jobs/model.h"

#include <fmt/format.h>
#include <getopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <map>
#include <random>
#include <set>

using namespace fescue;
using nlohmann::json;

namespace {

struct options {
    std::vector<std::string> controls;
    std::vector<std::string> entries;
    int servers{20};
    int first_port{20000};
    double jobs_per_s{20};
    int tasks{6};
    int task_ms{640};
    /** Thousandths of a core that each task takes. */
    int task_cpu{1000};
    /** Servers stand in so many data centres in turn. */
    int data_centres{1};
    int seconds{10};
    std::uint64_t seed{1};
};

constexpr std::array data_centre_names{"north", "south", "west"};

std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(mono_clock::now().time_since_epoch()).count();
}

/** What all servers have seen of each task. */
class witness {
public:
    void began(const std::string& task, const std::string& server)
    {
        if (!running_.emplace(task, server).second) {
            complain("two runs at once of " + task);
        }
        if (done_.contains(task)) {
            complain("start after the end of " + task);
        }
        const auto id = jobs::task_id::parse(task);
        if (!id) {
            complain("a task without a name");
        } else if (id->step > 0 && done_steps_[{id->job.number, id->step - 1}] < tasks_a_step) {
            complain("start before its turn of " + task);
        }
        ++starts;
    }
    void ended(const std::string& task, bool done)
    {
        running_.erase(task);
        const auto id = jobs::task_id::parse(task);
        if (done && id && done_.insert(task).second) {
            ++done_steps_[{id->job.number, id->step}];
        }
    }
    void complain(const std::string& what)
    {
        ++broken;
        fmt::print("BROKEN {}\n", what);
    }

    std::uint64_t starts{0};
    std::uint64_t broken{0};
    std::uint32_t tasks_a_step{1};

private:
    std::map<std::string, std::string> running_;
    std::set<std::string> done_;
    std::map<std::pair<std::uint64_t, std::uint32_t>, std::uint32_t> done_steps_;
};

/** One backend server. */
class worker {
public:
    worker(event_loop& loop, http::client& client, witness& seen, const options& opts, int number)
        : loop_{loop}, client_{client}, seen_{seen}, opts_{opts}, number_{number},
          id_{fmt::format("i-{:04}", number)}, born_{wall_now()},
          server_{loop, [this](http::exchange_id x, http::request&& in) { take(x, in); }}
    {
        const auto port = static_cast<std::uint16_t>(opts.first_port + number);
        address_ = fmt::format("127.0.0.1:{}", port);
        if (const auto fault = server_.listen({"127.0.0.1", port}, {})) {
            fmt::print("cannot start: {}\n", fault->detail);
            std::exit(1);
        }
        ticker_ = loop.every(milliseconds{5}, [this] { tick(); });
        beat_ = loop.every(milliseconds{500}, [this] { report(); });
        report();
    }

private:
    struct run {
        std::uint32_t attempt{0};
        std::int64_t ends_at{0};
        std::int64_t began_at{0};
        std::int64_t length_ms{1};
    };
    struct end {
        std::uint64_t number{0};
        std::string task;
        std::uint32_t attempt{0};
        std::string how;
    };

    json wrap(json out) const
    {
        out["wall_clock_ms"] = now_ms();
        out["born"] = born_;
        return out;
    }
    void answer(http::exchange_id x, int status, const json& body)
    {
        server_.respond(x, {status, "application/json", body.dump(), {}});
    }
    void refuse(http::exchange_id x, const char* reason)
    {
        answer(x, 409, wrap({{"reason", reason}}));
    }

    void take(http::exchange_id x, const http::request& in)
    {
        const json body = json::parse(in.body, nullptr, false);
        const auto fence = body.value("fencing_token", std::uint64_t{0});
        if (fence < fence_) {
            refuse(x, "fence");
            return;
        }
        fence_ = fence;
        lease_ = std::max(lease_,
                          std::min(body.value("deadline_ms", std::int64_t{0}), now_ms() + 10'000));
        if (in.path == "/run-start") {
            start(x, body);
        } else if (in.path == "/run-stop") {
            stop(x, body);
        } else {
            hold(x, body);
        }
    }

    void start(http::exchange_id x, const json& body)
    {
        const std::string task = body["task"];
        const std::uint32_t attempt = body["attempt"];
        const auto here = runs_.find(task);
        if (here != runs_.end() && here->second.attempt == attempt) {
            answer(x, 200, wrap({}));
            return;
        }
        if (attempt <= highest_[task]) {
            refuse(x, "old");
            return;
        }
        if (body["deadline_ms"].get<std::int64_t>() < now_ms()) {
            refuse(x, "late");
            return;
        }
        highest_[task] = attempt;
        seen_.began(task, id_);
        const std::int64_t now = now_ms();
        runs_[task] = {attempt, now + opts_.task_ms, now, opts_.task_ms};
        answer(x, 200, wrap({}));
    }

    void stop(http::exchange_id x, const json& body)
    {
        const std::string task = body["task"];
        highest_[task] = std::max<std::uint32_t>(highest_[task], body["attempt"]);
        const auto here = runs_.find(task);
        if (here != runs_.end() && here->second.attempt == body["attempt"]) {
            finish(here, "stopped");
        }
        answer(x, 200, wrap({}));
    }

    void hold(http::exchange_id x, const json& body)
    {
        const auto upto = body.value("ack_cursor", std::uint64_t{0});
        std::erase_if(ends_, [&](const end& e) { return e.number <= upto; });
        const auto wait = body.value("poll_wait_ms", std::int64_t{0});
        if (wait == 0 || !ends_.empty()) {
            answer(x, 200, lists());
        } else {
            waiting_.emplace_back(x, now_ms() + wait);
        }
    }

    json lists() const
    {
        json out = wrap({{"active", json::array()}, {"finished", json::array()}});
        for (const auto& [task, r] : runs_) {
            const auto percent =
                std::min<std::int64_t>(100, (now_ms() - r.began_at) * 100 / r.length_ms);
            out["active"].push_back({task, r.attempt, "", percent, 1000});
        }
        for (const end& e : ends_) {
            out["finished"].push_back({e.number, e.task, e.attempt, e.how, ""});
        }
        return out;
    }

    using run_iterator = std::map<std::string, run>::iterator;
    run_iterator finish(run_iterator at, const char* how)
    {
        ends_.push_back({++last_end_, at->first, at->second.attempt, how});
        seen_.ended(at->first, std::string_view{how} == "done");
        return runs_.erase(at);
    }

    void tick()
    {
        const std::int64_t now = now_ms();
        for (auto at = runs_.begin(); at != runs_.end();) {
            if (now > lease_) {
                at = finish(at, "lapsed");
            } else if (now >= at->second.ends_at) {
                at = finish(at, "done");
            } else {
                ++at;
            }
        }
        std::erase_if(waiting_, [&](const auto& w) {
            if (ends_.empty() && now < w.second) {
                return false;
            }
            answer(w.first, 200, lists());
            return true;
        });
    }

    void report()
    {
        const json body{
            {"service", "pool"},
            {"address", address_},
            {"zone", data_centre_names[static_cast<std::size_t>(number_ % opts_.data_centres)]},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"warmup_left_ms", 0},
            {"capacity", {{"cpu", 64000}, {"mem_mb", 131072}, {"gpu", 0}}},
            {"labels", {"a", fmt::format("r1-{}", number_ / 4)}},
            {"wall_clock_ms", now_ms()},
            {"born", born_},
            {"seq", ++sequence_}};
        http::client_request out;
        out.method = "PUT";
        out.url = fmt::format("http://{}/instances/{}", opts_.controls[control_], id_);
        out.body = body.dump();
        out.timeout = milliseconds{1000};
        client_.send(std::move(out), [this](http::client_response&& r) {
            if (r.how != http::delivery::answered || r.status != 200) {
                control_ = (control_ + 1) % opts_.controls.size();
            }
        });
    }

    event_loop& loop_;
    http::client& client_;
    witness& seen_;
    const options& opts_;
    int number_;
    std::string id_;
    std::string address_;
    std::int64_t born_;
    http::server server_;
    std::map<std::string, run> runs_;
    std::map<std::string, std::uint32_t> highest_;
    std::vector<end> ends_;
    std::vector<std::pair<http::exchange_id, std::int64_t>> waiting_;
    std::uint64_t last_end_{0};
    std::uint64_t sequence_{0};
    std::uint64_t fence_{0};
    std::int64_t lease_{0};
    std::size_t control_{0};
    timer_handle ticker_;
    timer_handle beat_;
};

/** Hands jobs in, asks for their state until they are done, and counts. */
class callers {
public:
    callers(event_loop& loop, http::client& client, witness& seen, const options& opts)
        : loop_{loop}, client_{client}, seen_{seen}, opts_{opts}, random_{opts.seed}
    {
        seen_.tasks_a_step = static_cast<std::uint32_t>(opts.tasks);
        configure();
    }

private:
    struct job {
        std::int64_t since{0};
        bool accepted{false};
    };

    void configure()
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
                             {"enforce_capacity", true},
                             {"standby", false}}}},
                          {"limits", json::object()},
                          {"tenants", json::array()}};
        send("PUT", opts_.controls[tries_++ % opts_.controls.size()], "/config", config.dump(),
             [this](http::client_response&& r) {
                 if (r.status == 200) {
                     begin();
                 } else {
                     later_ = loop_.after(milliseconds{200}, [this] { configure(); });
                 }
             });
    }

    void send(const char* method, const std::string& to, const std::string& path, std::string body,
              http::client::callback done)
    {
        http::client_request out;
        out.method = method;
        out.url = "http://" + to + path;
        out.body = std::move(body);
        out.headers = {{"Host", "jobs.example"}, {"Deadline-Ms", "3000"}};
        out.timeout = milliseconds{3000};
        client_.send(std::move(out), std::move(done));
    }

    const std::string& entry() { return opts_.entries[random_() % opts_.entries.size()]; }

    void begin()
    {
        const auto period = milliseconds{10};
        began_ = now_ms();
        ticker_ = loop_.every(period, [this] { tick(); });
    }

    void tick()
    {
        const std::int64_t passed = now_ms() - began_;
        const bool over = passed > opts_.seconds * 1000;
        const auto due = static_cast<std::uint64_t>(
            static_cast<double>(std::min<std::int64_t>(passed, opts_.seconds * 1000)) / 1000.0 *
            opts_.jobs_per_s);
        while (handed_in_ < due) {
            ++handed_in_;
            hand_in(fmt::format("{:016x}", random_()), now_ms());
        }
        constexpr std::int64_t patience_ms = 30'000;
        if (over && (jobs_.empty() || passed > opts_.seconds * 1000 + patience_ms)) {
            finish();
        }
    }

    void hand_in(const std::string& id, std::int64_t since)
    {
        jobs_[id].since = since;
        const json step{{"count", opts_.tasks},
                        {"cpu", opts_.task_cpu},
                        {"mem_mb", 100},
                        {"estimate_ms", opts_.task_ms}};
        json second = step;
        second["depends_on"] = {0};
        const json body{{"spec", std::string(500, 'x')}, {"steps", {step, second}}};
        send("POST", entry(), "/j/" + id, body.dump(),
             [this, id, since](http::client_response&& r) {
                 if (r.status == 200) {
                     jobs_[id].accepted = true;
                     ask(id);
                 } else if (r.status == 429 || r.status == 503) {
                     ++refused_;
                     jobs_.erase(id);
                 } else {
                     // No clear answer: the same again.
                     hand_in(id, since);
                 }
             });
    }

    void ask(const std::string& id)
    {
        timers_[id] = loop_.after(milliseconds{100}, [this, id] {
            send("GET", entry(), "/j/" + id, "", [this, id](http::client_response&& r) {
                if (r.status == 410) {
                    seen_.complain("an accepted job is not known: " + id);
                    jobs_.erase(id);
                } else if (r.body.find("completed") != std::string::npos) {
                    took_.push_back(now_ms() - jobs_[id].since);
                    jobs_.erase(id);
                } else if (r.body.find("failed") != std::string::npos) {
                    seen_.complain("a sound job failed: " + id);
                    jobs_.erase(id);
                } else {
                    ask(id);
                }
            });
        });
    }

    void finish()
    {
        std::ranges::sort(took_);
        const auto part = [&](double p) {
            return took_.empty()
                       ? 0
                       : took_[static_cast<std::size_t>(p * static_cast<double>(took_.size() - 1))];
        };
        for (const auto& [id, j] : jobs_) {
            if (j.accepted) {
                seen_.complain("an accepted job was not done: " + id);
            }
        }
        fmt::print("jobs {} done {} refused {} starts {} p50_ms {} p99_ms {} broken {}\n",
                   handed_in_, took_.size(), refused_, seen_.starts, part(0.5), part(0.99),
                   seen_.broken);
        loop_.stop();
    }

    event_loop& loop_;
    http::client& client_;
    witness& seen_;
    const options& opts_;
    std::mt19937_64 random_;
    std::map<std::string, job> jobs_;
    std::map<std::string, timer_handle> timers_;
    std::vector<std::int64_t> took_;
    std::uint64_t handed_in_{0};
    std::uint64_t refused_{0};
    std::size_t tries_{0};
    std::int64_t began_{0};
    timer_handle ticker_;
    timer_handle later_;
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
                            {"data-centres", required_argument, nullptr, 'd'},
                            {"seconds", required_argument, nullptr, 'n'},
                            {"seed", required_argument, nullptr, 'x'},
                            {nullptr, 0, nullptr, 0}};
    options out;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known, nullptr)) != -1) {
        switch (found) {
        case 'c':
            out.controls.emplace_back(optarg);
            break;
        case 'e':
            out.entries.emplace_back(optarg);
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
    if (out.controls.empty() || out.entries.empty()) {
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
    event_loop loop;
    http::client client{loop};
    witness seen;
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < opts.servers; ++i) {
        workers.push_back(std::make_unique<worker>(loop, client, seen, opts, i));
    }
    callers load{loop, client, seen, opts};
    loop.run();
    return seen.broken == 0 ? 0 : 1;
}
