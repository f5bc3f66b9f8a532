/**
 * @file
 * A backend server that stands in for the real ones: it announces itself, does "work" that takes
 * a given time, and writes what it saw to a history file. How it behaves can be changed by the
 * request's path, so a test can ask for a late, crossed or cut answer.
 *
 * History: one line a start or an end, "start|end TIME_US REQUEST TEAM SERVER POOL EPOCH BODY".
 */

#include "fescuestream/base/log.h"
#include "fescuestream/base/loop.h"
#include "fescuestream/http/client.h"
#include "fescuestream/http/server.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <getopt.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>

namespace {

using fescue::milliseconds;

constexpr milliseconds announce_period{1000};
constexpr milliseconds library_period{50};
/** A leaving server stays this long, to see whether it still gets work. */
constexpr milliseconds leaving_time{3000};

struct options {
    std::string id;
    std::string address;
    std::string data_centre{"dc-1"};
    std::string rack{"rack-1"};
    std::vector<std::string> entries;
    std::string history;
    std::string token;
    int slots{8};
    int run_ms{0};
    /** Answers 500 to everything. */
    bool failing{false};
};

options read_options(int argc, char** argv)
{
    const option known[] = {{"id", required_argument, nullptr, 'i'},
                            {"address", required_argument, nullptr, 'a'},
                            {"data-centre", required_argument, nullptr, 'd'},
                            {"rack", required_argument, nullptr, 'r'},
                            {"entry", required_argument, nullptr, 'e'},
                            {"history", required_argument, nullptr, 'h'},
                            {"token", required_argument, nullptr, 't'},
                            {"slots", required_argument, nullptr, 's'},
                            {"run-ms", required_argument, nullptr, 'm'},
                            {"failing", no_argument, nullptr, 'f'},
                            {nullptr, 0, nullptr, 0}};
    options out;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known, nullptr)) != -1) {
        switch (found) {
        case 'i':
            out.id = optarg;
            break;
        case 'a':
            out.address = optarg;
            break;
        case 'd':
            out.data_centre = optarg;
            break;
        case 'r':
            out.rack = optarg;
            break;
        case 'e':
            out.entries.emplace_back(optarg);
            break;
        case 'h':
            out.history = optarg;
            break;
        case 't':
            out.token = optarg;
            break;
        case 's':
            out.slots = std::stoi(optarg);
            break;
        case 'm':
            out.run_ms = std::stoi(optarg);
            break;
        case 'f':
            out.failing = true;
            break;
        default:
            std::exit(2);
        }
    }
    return out;
}

/** One request under way: answered when its time is over. */
struct task {
    MHD_Connection* connection{nullptr};
    std::string id;
    std::string team;
    std::string pool;
    std::string epoch;
    std::string path;
    std::string body;
    bool whole{false};
    bool suspended{false};
    bool over{false};
    bool counted{false};
    fescue::timer_handle timer;
};

class fake_server {
public:
    fake_server(fescue::event_loop& loop, options opts)
        : loop_{loop}, opts_{std::move(opts)}, client_{loop}
    {
        if (!opts_.history.empty()) {
            history_ = std::fopen(opts_.history.c_str(), "a");
            std::setvbuf(history_, nullptr, _IOLBF, 0);
        }
        life_ = fescue::wall_now();
    }

    bool start()
    {
        const auto at = fescue::http::parse_endpoint(opts_.address);
        if (!fescue::ok(at)) {
            return false;
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(fescue::value(at).port);
        inet_pton(AF_INET, fescue::value(at).ip.c_str(), &address.sin_addr);
        daemon_ =
            MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, fescue::value(at).port,
                             nullptr, nullptr, &handle, this, MHD_OPTION_SOCK_ADDR, &address,
                             MHD_OPTION_CONNECTION_LIMIT, 4096U, MHD_OPTION_LISTENING_ADDRESS_REUSE,
                             1U, MHD_OPTION_NOTIFY_COMPLETED, &completed, this, MHD_OPTION_END);
        if (daemon_ == nullptr) {
            return false;
        }
        const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
        io_ = loop_.watch(info->epoll_fd, {true, false}, [this](auto /*ready*/) { run(); });
        ticker_ = loop_.every(library_period, [this] { run(); });
        announcer_ = loop_.every(announce_period, [this] { announce(); });
        loop_.at_round_end([this] {
            if (needs_run_) {
                run();
            }
        });
        announce();
        return true;
    }

    /** Says that it leaves, finishes what runs, and ends. */
    void leave()
    {
        leaving_ = true;
        announce();
        const auto until = loop_.now() + leaving_time;
        leave_timer_ = loop_.every(milliseconds{100}, [this, until] {
            if (running_.empty() && loop_.now() >= until) {
                loop_.stop();
            }
        });
    }

private:
    void run()
    {
        needs_run_ = false;
        MHD_run(daemon_);
        MHD_UNSIGNED_LONG_LONG wait_ms = 0;
        if (MHD_get_timeout(daemon_, &wait_ms) == MHD_YES && wait_ms == 0) {
            needs_run_ = true;
            loop_.soon([] {});
        }
    }

    void announce()
    {
        for (std::size_t i = 0; i < opts_.entries.size(); ++i) {
            // One instance a second, in turn; the next at once when one is silent.
            const std::string entry = opts_.entries[next_entry_ % opts_.entries.size()];
            send_announcement(entry);
            return;
        }
    }

    void send_announcement(const std::string& entry)
    {
        nlohmann::json body{{"address", opts_.address}, {"data_centre", opts_.data_centre},
                            {"rack", opts_.rack},       {"incarnation", life_},
                            {"slots", opts_.slots},     {"connections", 64},
                            {"processors", 64},         {"memory_mb", 131072},
                            {"running", running_},      {"leaving", leaving_}};
        fescue::http::client_request out;
        out.url = "http://" + entry + "/v1/servers/" + opts_.id;
        out.body = body.dump();
        out.timeout = milliseconds{500};
        if (!opts_.token.empty()) {
            out.headers.push_back({"Authorization", "Bearer " + opts_.token});
        }
        client_.send(std::move(out), [this](fescue::http::client_response&& r) {
            if (r.how != fescue::http::delivery::answered || r.status != 200) {
                ++next_entry_;
                again_ = loop_.after(milliseconds{100}, [this] { announce(); });
            }
        });
    }

    void note(const char* what, const task& t)
    {
        if (history_ != nullptr) {
            const auto us = std::chrono::duration_cast<std::chrono::microseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
            fmt::print(history_, "{} {} {} {} {} {} {} {}\n", what, us, t.id, t.team, opts_.id,
                       t.pool, t.epoch, t.body.empty() ? "-" : t.body.substr(0, 64));
        }
    }

    static std::string header(MHD_Connection* connection, const char* name)
    {
        const char* text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
        return text == nullptr ? "" : text;
    }

    int run_ms_of(const task& t) const
    {
        const auto at = t.path.find("ms-");
        return at == std::string::npos ? opts_.run_ms : std::atoi(t.path.c_str() + at + 3);
    }

    static bool asks(const task& t, const char* what)
    {
        return t.path.find(what) != std::string::npos;
    }

    MHD_Result begin(task& t)
    {
        t.whole = true;
        if (asks(t, "refuse")) {
            return answer(t.connection, 503, "busy", t.id, "no");
        }
        note("start", t);
        t.counted = true;
        running_.insert(t.id);
        const int ms = run_ms_of(t);
        if (ms <= 0) {
            return finish(t);
        }
        t.suspended = true;
        MHD_suspend_connection(t.connection);
        t.timer = loop_.after(milliseconds{ms}, [this, &t] {
            t.over = true;
            t.suspended = false;
            MHD_resume_connection(t.connection);
            needs_run_ = true;
        });
        return MHD_YES;
    }

    MHD_Result finish(task& t)
    {
        note("end", t);
        running_.erase(t.id);
        t.counted = false;
        if (asks(t, "vanish")) {
            return MHD_NO;
        }
        const std::string id = asks(t, "crossed") ? "another-request" : t.id;
        if (asks(t, "cut")) {
            return cut_answer(t.connection, id);
        }
        const int status = opts_.failing || asks(t, "fail") ? 500 : 200;
        return answer(t.connection, status, "echo:" + t.body, id, "");
    }

    static MHD_Result answer(MHD_Connection* connection, unsigned status, const std::string& body,
                             const std::string& id, const std::string& ran)
    {
        MHD_Response* r = MHD_create_response_from_buffer(
            body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY); // NOLINT
        MHD_add_response_header(r, "Fescue-Request-Id", id.c_str());
        MHD_add_response_header(r, "Content-Type", "text/plain");
        if (!ran.empty()) {
            MHD_add_response_header(r, "Fescue-Ran", ran.c_str());
        }
        const auto sent = MHD_queue_response(connection, status, r);
        MHD_destroy_response(r);
        return sent;
    }

    /** Declares a length and ends before it. */
    static MHD_Result cut_answer(MHD_Connection* connection, const std::string& id)
    {
        constexpr std::uint64_t declared = 1000;
        MHD_Response* r = MHD_create_response_from_callback(
            declared, declared,
            [](void* /*self*/, std::uint64_t at, char* out, std::size_t /*room*/) -> ssize_t {
                if (at > 0) {
                    return MHD_CONTENT_READER_END_WITH_ERROR;
                }
                out[0] = 'x';
                return 1;
            },
            nullptr, nullptr);
        MHD_add_response_header(r, "Fescue-Request-Id", id.c_str());
        const auto sent = MHD_queue_response(connection, 200, r);
        MHD_destroy_response(r);
        return sent;
    }

    static MHD_Result handle(void* self, MHD_Connection* connection, const char* url,
                             const char* /*method*/, const char* /*version*/, const char* data,
                             std::size_t* size, void** context)
    {
        auto& me = *static_cast<fake_server*>(self);
        if (*context == nullptr) {
            auto t = std::make_unique<task>();
            t->connection = connection;
            t->path = url;
            t->id = header(connection, "Fescue-Request-Id");
            t->team = header(connection, "Fescue-Team");
            t->pool = header(connection, "Fescue-Pool");
            t->epoch = header(connection, "Fescue-Epoch");
            *context = t.release();
            return MHD_YES;
        }
        auto& t = *static_cast<task*>(*context);
        if (*size > 0) {
            t.body.append(data, *size);
            *size = 0;
            return MHD_YES;
        }
        if (t.over) {
            return me.finish(t);
        }
        return t.whole ? MHD_YES : me.begin(t);
    }

    static void completed(void* self, MHD_Connection* /*connection*/, void** context,
                          MHD_RequestTerminationCode /*why*/)
    {
        const std::unique_ptr<task> t{static_cast<task*>(*context)};
        auto& me = *static_cast<fake_server*>(self);
        if (t && t->counted) {
            me.note("end", *t);
            me.running_.erase(t->id);
        }
        *context = nullptr;
    }

    fescue::event_loop& loop_;
    options opts_;
    fescue::http::client client_;
    std::FILE* history_{nullptr};
    MHD_Daemon* daemon_{nullptr};
    fescue::io_handle io_;
    fescue::timer_handle ticker_;
    fescue::timer_handle announcer_;
    fescue::timer_handle again_;
    fescue::timer_handle leave_timer_;
    std::set<std::string> running_;
    fescue::wall_ms life_{0};
    std::size_t next_entry_{0};
    bool leaving_{false};
    bool needs_run_{false};
};

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    fescue::event_loop loop;
    fake_server server{loop, read_options(argc, argv)};
    if (!server.start()) {
        fmt::print(stderr, "fake_server: cannot listen\n");
        return 1;
    }
    loop.on_signal(SIGTERM, [&] { server.leave(); });
    loop.run();
    return 0;
}
