/**
 * @file
 * A simulated backend server: it announces itself, holds each request for a configurable time, and
 * appends every start and end to a history file. Words in the request's path select the behaviour:
 * "ms-N" runs for N ms, "refuse" answers 503 without running, "fail" answers 500, "vanish" closes
 * the connection without an answer, "crossed" answers with the id of another request, and "cut"
 * truncates the body.
 *
 * History format, one line per event: "start|end TIME_US REQUEST TEAM SERVER POOL EPOCH BODY".
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
constexpr milliseconds daemon_poll_period{50};
/** A leaving server keeps listening this long, so that a test sees requests sent to it late. */
constexpr milliseconds leaving_grace{3000};

struct options {
    std::string id;
    std::string address;
    std::string data_centre{"dc-1"};
    std::string rack{"rack-1"};
    std::vector<std::string> entry_addresses;
    std::string history_path;
    std::string token;
    int slots{8};
    int run_ms{0};
    /** Answers every request with status 500. */
    bool failing{false};
};

options read_options(int argc, char** argv)
{
    const option known_options[] = {{"id", required_argument, nullptr, 'i'},
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
    while ((found = getopt_long(argc, argv, "", known_options, nullptr)) != -1) {
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
            out.entry_addresses.emplace_back(optarg);
            break;
        case 'h':
            out.history_path = optarg;
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

/** A request in progress; it is answered when its run time has elapsed. */
struct request_state {
    MHD_Connection* connection{nullptr};
    std::string id;
    std::string team;
    std::string pool;
    std::string epoch;
    std::string path;
    std::string body;
    bool received{false};
    bool suspended{false};
    bool finished{false};
    bool is_running{false};
    fescue::timer_handle timer;
};

class fake_server {
public:
    fake_server(fescue::event_loop& loop, options opts)
        : loop_{loop}, opts_{std::move(opts)}, client_{loop}
    {
        if (!opts_.history_path.empty()) {
            history_ = std::fopen(opts_.history_path.c_str(), "a");
            std::setvbuf(history_, nullptr, _IOLBF, 0);
        }
        incarnation_ = fescue::wall_now();
    }

    bool start()
    {
        const auto endpoint = fescue::http::parse_endpoint(opts_.address);
        if (!fescue::ok(endpoint)) {
            return false;
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(fescue::value(endpoint).port);
        inet_pton(AF_INET, fescue::value(endpoint).ip.c_str(), &address.sin_addr);
        daemon_ =
            MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, fescue::value(endpoint).port,
                             nullptr, nullptr, &handle, this, MHD_OPTION_SOCK_ADDR, &address,
                             MHD_OPTION_CONNECTION_LIMIT, 4096U, MHD_OPTION_LISTENING_ADDRESS_REUSE,
                             1U, MHD_OPTION_NOTIFY_COMPLETED, &completed, this, MHD_OPTION_END);
        if (daemon_ == nullptr) {
            return false;
        }
        const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
        daemon_watch_ =
            loop_.watch(info->epoll_fd, {true, false}, [this](auto /*ready*/) { run_daemon(); });
        daemon_timer_ = loop_.every(daemon_poll_period, [this] { run_daemon(); });
        announce_timer_ = loop_.every(announce_period, [this] { announce(); });
        loop_.on_iteration_end([this] {
            if (needs_run_) {
                run_daemon();
            }
        });
        announce();
        return true;
    }

    /** Announces that the server is leaving and stops the loop once no request is running. */
    void start_leaving()
    {
        leaving_ = true;
        announce();
        const auto until = loop_.now() + leaving_grace;
        leave_timer_ = loop_.every(milliseconds{100}, [this, until] {
            if (running_ids_.empty() && loop_.now() >= until) {
                loop_.stop();
            }
        });
    }

private:
    void run_daemon()
    {
        needs_run_ = false;
        MHD_run(daemon_);
        MHD_UNSIGNED_LONG_LONG wait_ms = 0;
        if (MHD_get_timeout(daemon_, &wait_ms) == MHD_YES && wait_ms == 0) {
            needs_run_ = true;
            loop_.defer([] {});
        }
    }

    void announce()
    {
        for (std::size_t i = 0; i < opts_.entry_addresses.size(); ++i) {
            // Announces to one instance per period; moves on to the next when it does not answer.
            const std::string entry =
                opts_.entry_addresses[next_entry_index_ % opts_.entry_addresses.size()];
            send_announcement(entry);
            return;
        }
    }

    void send_announcement(const std::string& entry)
    {
        nlohmann::json body{{"address", opts_.address}, {"data_centre", opts_.data_centre},
                            {"rack", opts_.rack},       {"incarnation", incarnation_},
                            {"slots", opts_.slots},     {"connections", 64},
                            {"processors", 64},         {"memory_mb", 131072},
                            {"running", running_ids_},  {"leaving", leaving_}};
        fescue::http::client_request out;
        out.url = "http://" + entry + "/v1/servers/" + opts_.id;
        out.body = body.dump();
        out.timeout = milliseconds{500};
        if (!opts_.token.empty()) {
            out.headers.push_back({"Authorization", "Bearer " + opts_.token});
        }
        client_.send(std::move(out), [this](fescue::http::client_response&& response) {
            if (response.outcome != fescue::http::delivery::answered || response.status != 200) {
                ++next_entry_index_;
                retry_timer_ = loop_.after(milliseconds{100}, [this] { announce(); });
            }
        });
    }

    void write_history(const char* kind, const request_state& request)
    {
        if (history_ != nullptr) {
            const auto us = std::chrono::duration_cast<std::chrono::microseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
            fmt::print(history_, "{} {} {} {} {} {} {} {}\n", kind, us, request.id, request.team,
                       opts_.id, request.pool, request.epoch,
                       request.body.empty() ? "-" : request.body.substr(0, 64));
        }
    }

    static std::string header(MHD_Connection* connection, const char* name)
    {
        const char* text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
        return text == nullptr ? "" : text;
    }

    int run_ms_of(const request_state& request) const
    {
        const auto position = request.path.find("ms-");
        return position == std::string::npos ? opts_.run_ms
                                             : std::atoi(request.path.c_str() + position + 3);
    }

    static bool path_contains(const request_state& request, const char* word)
    {
        return request.path.find(word) != std::string::npos;
    }

    MHD_Result start_request(request_state& request)
    {
        request.received = true;
        if (path_contains(request, "refuse")) {
            return respond(request.connection, 503, "busy", request.id, "no");
        }
        write_history("start", request);
        request.is_running = true;
        running_ids_.insert(request.id);
        const int ms = run_ms_of(request);
        if (ms <= 0) {
            return finish_request(request);
        }
        request.suspended = true;
        MHD_suspend_connection(request.connection);
        request.timer = loop_.after(milliseconds{ms}, [this, &request] {
            request.finished = true;
            request.suspended = false;
            MHD_resume_connection(request.connection);
            needs_run_ = true;
        });
        return MHD_YES;
    }

    MHD_Result finish_request(request_state& request)
    {
        write_history("end", request);
        running_ids_.erase(request.id);
        request.is_running = false;
        if (path_contains(request, "vanish")) {
            return MHD_NO;
        }
        const std::string id = path_contains(request, "crossed") ? "another-request" : request.id;
        if (path_contains(request, "cut")) {
            return respond_truncated(request.connection, id);
        }
        const int status = opts_.failing || path_contains(request, "fail") ? 500 : 200;
        return respond(request.connection, status, "echo:" + request.body, id, "");
    }

    static MHD_Result respond(MHD_Connection* connection, unsigned status, const std::string& body,
                              const std::string& id, const std::string& ran)
    {
        MHD_Response* response = MHD_create_response_from_buffer(
            body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY); // NOLINT
        MHD_add_response_header(response, "Fescue-Request-Id", id.c_str());
        MHD_add_response_header(response, "Content-Type", "text/plain");
        if (!ran.empty()) {
            MHD_add_response_header(response, "Fescue-Ran", ran.c_str());
        }
        const auto sent = MHD_queue_response(connection, status, response);
        MHD_destroy_response(response);
        return sent;
    }

    /** Declares a Content-Length and closes the connection before that many bytes are sent. */
    static MHD_Result respond_truncated(MHD_Connection* connection, const std::string& id)
    {
        constexpr std::uint64_t declared_length = 1000;
        MHD_Response* response = MHD_create_response_from_callback(
            declared_length, declared_length,
            [](void* /*self*/, std::uint64_t position, char* out,
               std::size_t /*capacity*/) -> ssize_t {
                if (position > 0) {
                    return MHD_CONTENT_READER_END_WITH_ERROR;
                }
                out[0] = 'x';
                return 1;
            },
            nullptr, nullptr);
        MHD_add_response_header(response, "Fescue-Request-Id", id.c_str());
        const auto sent = MHD_queue_response(connection, 200, response);
        MHD_destroy_response(response);
        return sent;
    }

    static MHD_Result handle(void* self, MHD_Connection* connection, const char* url,
                             const char* /*method*/, const char* /*version*/, const char* data,
                             std::size_t* size, void** context)
    {
        auto& server = *static_cast<fake_server*>(self);
        if (*context == nullptr) {
            auto request = std::make_unique<request_state>();
            request->connection = connection;
            request->path = url;
            request->id = header(connection, "Fescue-Request-Id");
            request->team = header(connection, "Fescue-Team");
            request->pool = header(connection, "Fescue-Pool");
            request->epoch = header(connection, "Fescue-Epoch");
            *context = request.release();
            return MHD_YES;
        }
        auto& request = *static_cast<request_state*>(*context);
        if (*size > 0) {
            request.body.append(data, *size);
            *size = 0;
            return MHD_YES;
        }
        if (request.finished) {
            return server.finish_request(request);
        }
        return request.received ? MHD_YES : server.start_request(request);
    }

    static void completed(void* self, MHD_Connection* /*connection*/, void** context,
                          MHD_RequestTerminationCode /*why*/)
    {
        const std::unique_ptr<request_state> request{static_cast<request_state*>(*context)};
        auto& server = *static_cast<fake_server*>(self);
        if (request && request->is_running) {
            server.write_history("end", *request);
            server.running_ids_.erase(request->id);
        }
        *context = nullptr;
    }

    fescue::event_loop& loop_;
    options opts_;
    fescue::http::client client_;
    std::FILE* history_{nullptr};
    MHD_Daemon* daemon_{nullptr};
    fescue::io_handle daemon_watch_;
    fescue::timer_handle daemon_timer_;
    fescue::timer_handle announce_timer_;
    fescue::timer_handle retry_timer_;
    fescue::timer_handle leave_timer_;
    std::set<std::string> running_ids_;
    fescue::wall_ms incarnation_{0};
    std::size_t next_entry_index_{0};
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
    loop.on_signal(SIGTERM, [&] { server.start_leaving(); });
    loop.run();
    return 0;
}
