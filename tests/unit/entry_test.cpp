#include "fleet/entry_instance.h"
#include "fleet/peer_links.h"
#include "platform.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t peer_port = 28810;
constexpr std::uint16_t caller_port = 28811;
constexpr std::uint16_t readiness_port = 28812;
constexpr int ok_status = 200;
constexpr int not_found = 404;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

const std::string entry_address = "127.0.0.31";
const std::string first_address = "127.0.0.32";
const std::string second_address = "127.0.0.33";

settings::job_service_settings make_settings(const std::string& address)
{
    settings::job_service_settings out;
    out.id = instance_id{address};
    out.name = address;
    out.peers = {address, peer_port};
    out.callers = {address, caller_port};
    out.readiness = {address, readiness_port};
    out.seeds = {first_address, second_address};
    out.cluster_secret = "unit";
    return out;
}

/** A scheduler that records the calls that entries forward to it; the test sends the replies. */
class fake_scheduler {
public:
    fake_scheduler(event_loop& loop, const std::string& address)
        : settings_{make_settings(address)},
          links_{loop, settings_,
                 link_events{[this](const wire::hello& /*who*/, wire::message&& m) {
                                 if (const auto* call = std::get_if<wire::forwarded_call>(&m)) {
                                     calls.push_back(*call);
                                     if (!leads) {
                                         reply(call->call_id, 0);
                                     }
                                 }
                             },
                             [](const wire::hello& /*who*/) {}, [](const instance_id& /*id*/) {},
                             [](wire::hello& /*out*/) {},
                             [this](wire::ping& out) {
                                 out.leader = instance_id{leader};
                                 out.term = term;
                             }}}
    {
        REQUIRE_FALSE(links_.start());
        loop.on_iteration_end([this] { links_.flush(); });
    }

    void reply(std::uint64_t call_id, int status)
    {
        wire::forwarded_reply out;
        out.call_id = call_id;
        out.status = status;
        links_.send(instance_id{entry_address}, out);
    }
    bool is_connected() const { return links_.is_connected(instance_id{entry_address}); }

    /** Leader that its pings name; empty: none. */
    std::string leader;
    term_number term{1};
    /** If not, it replies to each call that it did not process it. */
    bool leads{true};
    std::vector<wire::forwarded_call> calls;

private:
    settings::job_service_settings settings_;
    peer_links links_;
};

/** An entry with the event loop of its process. */
struct entry_process {
    event_loop loop;
    protocol wire{platform::make_protocol()};
    settings::job_service_settings settings{make_settings(entry_address)};
    entry_instance entry{loop, settings, wire};
};

/** An entry that can be restarted, and two fake schedulers. */
class entry_fixture {
public:
    entry_fixture()
    {
        first.leader = first_address;
        start_entry();
    }

    void start_entry()
    {
        process.reset();
        run_until([&] { return !first.is_connected() && !second.is_connected(); });
        process.emplace();
        REQUIRE_FALSE(process->entry.start());
        run_until([&] { return first.is_connected() && second.is_connected(); });
    }

    void change_leader(const std::string& leader)
    {
        for (fake_scheduler* scheduler : {&first, &second}) {
            scheduler->leader = leader;
            ++scheduler->term;
        }
    }

    /** Sends a POST request through the entry. @return where its status is stored. */
    std::shared_ptr<int> post(const std::string& timeout_ms = "")
    {
        auto status = std::make_shared<int>(0);
        http::client_request request;
        request.url = "http://" + entry_address + ":" + std::to_string(caller_port) + "/q/1";
        request.body = "{}";
        request.fresh_connection = true;
        if (!timeout_ms.empty()) {
            request.headers.push_back({"Deadline-Ms", timeout_ms});
        }
        client.send(std::move(request), [status](http::client_response&& r) {
            *status = r.outcome == http::delivery::answered ? r.status : -1;
        });
        return status;
    }

    void run_until(const std::function<bool()>& condition)
    {
        const mono_time end = loop.now() + 4s;
        while (!condition() && loop.now() < end) {
            run_briefly(loop);
            if (process) {
                run_briefly(process->loop);
            }
        }
        REQUIRE(condition());
    }

    void run_for(milliseconds duration)
    {
        const mono_time end = loop.now() + duration;
        run_until([&] { return loop.now() >= end; });
    }

    /** Runs everything but the entry. */
    void stop_entry_for(milliseconds duration)
    {
        const mono_time end = loop.now() + duration;
        while (loop.now() < end) {
            run_briefly(loop);
        }
    }

    event_loop loop;
    http::client client{loop};
    fake_scheduler first{loop, first_address};
    fake_scheduler second{loop, second_address};
    std::optional<entry_process> process;

private:
    static void run_briefly(event_loop& running)
    {
        const auto stop = running.after(3ms, [&running] { running.stop(); });
        running.run();
    }
};

} // namespace

TEST_CASE("entry: a reply to a call of an earlier process does not answer another call")
{
    entry_fixture f;
    f.post();
    f.run_until([&] { return f.first.calls.size() == 1; });
    const auto earlier_call_id = f.first.calls[0].call_id;
    f.start_entry();
    const auto status = f.post();
    f.run_until([&] { return f.first.calls.size() == 2; });
    f.first.reply(earlier_call_id, ok_status);
    f.first.reply(f.first.calls[1].call_id, not_found);
    f.run_until([&] { return *status != 0; });
    CHECK(*status == not_found);
}

TEST_CASE("entry: a later leader's refusal does not deny a call that an earlier leader received")
{
    entry_fixture f;
    const auto status = f.post();
    f.run_until([&] { return f.first.calls.size() == 1; });
    f.change_leader(second_address);
    f.run_until([&] { return f.second.calls.size() == 1; });
    f.second.reply(f.second.calls[0].call_id, not_found);
    f.run_until([&] { return *status != 0; });
    CHECK(*status == gateway_timeout);
}

TEST_CASE("entry: the refusal of the only leader that processed a call is passed on")
{
    entry_fixture f;
    f.first.leads = false;
    const auto status = f.post();
    f.run_until([&] { return f.first.calls.size() == 1; });
    f.change_leader(second_address);
    f.run_until([&] { return f.second.calls.size() == 1; });
    f.second.reply(f.second.calls[0].call_id, not_found);
    f.run_until([&] { return *status != 0; });
    CHECK(*status == not_found);
}

TEST_CASE("entry: a call that no leader processed is refused, not in doubt")
{
    entry_fixture f;
    f.first.leads = false;
    const auto status = f.post();
    f.run_until([&] { return f.first.calls.size() == 1; });
    f.change_leader("");
    f.run_until([&] { return *status != 0; });
    CHECK(*status == service_unavailable);
}

TEST_CASE("entry: a call with a huge timeout waits for its reply")
{
    for (const char* timeout_ms : {"9223372036854775807", "99999999999999999999", "3600001"}) {
        CAPTURE(std::string{timeout_ms});
        entry_fixture f;
        const auto status = f.post(timeout_ms);
        f.run_until([&] { return !f.first.calls.empty(); });
        const mono_time sent = f.loop.now();
        f.run_until([&] { return *status != 0 || f.loop.now() - sent > 700ms; });
        CHECK(*status == 0);
        f.first.reply(f.first.calls.at(0).call_id, ok_status);
        f.run_until([&] { return *status != 0; });
        CHECK(*status == ok_status);
    }
}

/** A caller whose connection the test controls. */
class raw_caller {
public:
    raw_caller()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(caller_port);
        inet_pton(AF_INET, entry_address.c_str(), &address.sin_addr);
        REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    ~raw_caller() { close(fd_); }

    void post(const std::string& headers = "") const
    {
        const std::string request =
            "POST /q/1 HTTP/1.1\r\nHost: h\r\n" + headers + "Content-Length: 0\r\n\r\n";
        REQUIRE(send(fd_, request.data(), request.size(), 0) == std::ssize(request));
    }
    void close_sending_side() const { shutdown(fd_, SHUT_WR); }
    /** @return what the entry has sent since the last call. */
    std::string read() const
    {
        std::array<char, 1024> buffer{};
        const ssize_t size = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        return {buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
    }

private:
    int fd_{socket(AF_INET, SOCK_STREAM, 0)};
};

// Guards against a submission that a stopped entry reads after its caller has cancelled it.
TEST_CASE("entry: a submission whose caller has closed the connection is not passed on")
{
    entry_fixture f;
    std::optional<raw_caller> caller{std::in_place};
    caller->post();
    caller.reset();
    const auto later = f.post();
    f.run_until([&] { return !f.first.calls.empty(); });
    f.first.reply(f.first.calls.front().call_id, ok_status);
    f.run_until([&] { return *later != 0; });
    CHECK(*later == ok_status);
    CHECK(f.first.calls.size() == 1); // Longer than it takes to find out whether a caller that
                                      // sends nothing more still waits.
    f.run_for(1000ms);
    CHECK(f.first.calls.size() == 1);
}

TEST_CASE("entry: a caller that sends nothing more but waits gets its answer")
{
    entry_fixture f;
    const raw_caller caller;
    caller.post();
    caller.close_sending_side();
    f.run_until([&] { return !f.first.calls.empty(); });
    f.first.reply(f.first.calls.front().call_id, ok_status);
    std::string received;
    f.run_until([&] {
        received += caller.read();
        return received.ends_with("\r\n\r\n");
    });
    CHECK(received.starts_with("HTTP/1.1 200 OK\r\n"));
}

// Guards against a submission that a stopped entry reads after its caller has cancelled it, while
// the connection is still open.
TEST_CASE("entry: a call that may have timed out before it was read is not passed on")
{
    entry_fixture f;
    f.run_for(100ms);
    const raw_caller caller;
    caller.post("Deadline-Ms: 1000\r\n");
    f.stop_entry_for(1000ms);
    std::string received;
    f.run_until([&] {
        received += caller.read();
        return !received.empty();
    });
    CHECK(received.starts_with("HTTP/1.1 503 "));
    f.run_for(100ms);
    CHECK(f.first.calls.empty());
    const auto later = f.post();
    f.run_until([&] { return !f.first.calls.empty(); });
    f.first.reply(f.first.calls.front().call_id, ok_status);
    f.run_until([&] { return *later != 0; });
    CHECK(*later == ok_status);
}

TEST_CASE("entry: a call that waited for a leader is not passed on after a standstill")
{
    entry_fixture f;
    f.change_leader("");
    f.run_for(700ms);
    const raw_caller caller;
    caller.post("Deadline-Ms: 1000\r\n");
    f.run_for(100ms);
    f.change_leader(first_address);
    f.stop_entry_for(1000ms);
    f.run_for(500ms);
    CHECK(f.first.calls.empty());
    CHECK(caller.read().starts_with("HTTP/1.1 503 "));
}
