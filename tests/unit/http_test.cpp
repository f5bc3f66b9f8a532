#include "fescuestream/http/client.h"
#include "fescuestream/http/server.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <thread>

using namespace fescue;
using namespace fescue::http;

namespace {

/**
 * Server that responds to the first request only. It reads later requests and closes their
 * connection without sending a byte, as a restarting backend server does.
 */
class disconnecting_server {
public:
    explicit disconnecting_server(event_loop& loop) : loop_{loop}
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        bind(listener_, generic, sizeof address);
        ::listen(listener_, 8);
        socklen_t size = sizeof address;
        getsockname(listener_, generic, &size);
        port = ntohs(address.sin_port);
        watch_ = loop.watch(listener_, {true, false}, [this](io_interest) { accept_connection(); });
    }
    disconnecting_server(const disconnecting_server&) = delete;
    disconnecting_server& operator=(const disconnecting_server&) = delete;
    ~disconnecting_server()
    {
        for (const int fd : connections_) {
            close(fd);
        }
        close(listener_);
    }

    std::uint16_t port{0};
    int requests{0};

private:
    void accept_connection()
    {
        const int fd = accept(listener_, nullptr, nullptr);
        connections_.push_back(fd);
        watches_.push_back(loop_.watch(fd, {true, false}, [this, fd](io_interest) { serve(fd); }));
    }

    void serve(int fd)
    {
        std::array<char, 4096> buffer{};
        if (recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT) <= 0) {
            return;
        }
        ++requests;
        if (requests == 1) {
            constexpr std::string_view response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            send(fd, response.data(), response.size(), 0);
        } else {
            shutdown(fd, SHUT_RDWR);
        }
    }

    event_loop& loop_;
    int listener_{-1};
    io_handle watch_;
    std::vector<int> connections_;
    std::vector<io_handle> watches_;
};

client_response send_and_wait(event_loop& loop, client& c, client_request&& request)
{
    client_response out;
    c.send(std::move(request), [&](client_response&& r) {
        out = std::move(r);
        loop.stop();
    });
    loop.run();
    return out;
}

/** Sends two requests. @return the number of times that the second one reached the server. */
int count_second_request_arrivals(bool fresh_connection, bool idempotent)
{
    event_loop loop;
    client c{loop};
    disconnecting_server server{loop};
    client_request request;
    request.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
    request.body = "pay";
    request.timeout = milliseconds{2000};
    request.fresh_connection = fresh_connection;
    request.idempotent = idempotent;
    auto first = request;
    CHECK(send_and_wait(loop, c, std::move(first)).outcome == delivery::answered);
    CHECK(send_and_wait(loop, c, std::move(request)).outcome == delivery::lost);
    return server.requests - 1;
}

void run_for(event_loop& loop, milliseconds duration)
{
    const timer_handle end = loop.after(duration, [&] { loop.stop(); });
    loop.run();
}

/** A connection whose requests the test writes byte by byte. */
class raw_connection {
public:
    explicit raw_connection(const endpoint& to) : fd_{socket(AF_INET, SOCK_STREAM, 0)}
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
        REQUIRE(connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    ~raw_connection() { close(fd_); }

    void write(std::string_view bytes) const
    {
        REQUIRE(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == std::ssize(bytes));
    }
    /** @return what has arrived since the last call. */
    std::string read() const
    {
        std::array<char, 4096> buffer{};
        const ssize_t size = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        return {buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(size, 0))};
    }

    void close_sending_side() const { shutdown(fd_, SHUT_WR); }
    bool is_at_end() const
    {
        char next = 0;
        return recv(fd_, &next, sizeof next, MSG_DONTWAIT) == 0;
    }

private:
    int fd_;
};

/** A server that keeps the exchanges which it has received. */
struct holding_server {
    explicit holding_server(event_loop& loop)
        : http{loop, [this](exchange_id id, http::request&&) { held.push_back(id); }}
    {
        REQUIRE_FALSE(http.listen(address, {}));
    }
    void respond_to_held()
    {
        for (const exchange_id id : held) {
            http.respond(id, {200, "text/plain", "ok", {}});
        }
        held.clear();
    }

    static inline const endpoint address{"127.0.0.1", 19998};
    std::vector<exchange_id> held;
    server http;
};

constexpr std::string_view simple_request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
/** Longer than a draining server waits for further requests. */
constexpr milliseconds quiet_time{200};

} // namespace

TEST_CASE("http client: a request that may not be executed twice is not sent again when a reused "
          "connection closes")
{
    // The first check shows that this server makes libcurl resend.
    CHECK(count_second_request_arrivals(false, true) > 1);
    CHECK(count_second_request_arrivals(false, false) == 1);
    CHECK(count_second_request_arrivals(true, false) == 1);
}

TEST_CASE("http client: a refused connection is reported as not sent")
{
    event_loop loop;
    client c{loop};
    client_request request;
    request.url = "http://127.0.0.1:1/";
    const client_response response = send_and_wait(loop, c, std::move(request));
    CHECK(response.outcome == delivery::not_sent);
    CHECK(response.connection_refused);
}

TEST_CASE("http server: a body over the size limit is rejected, one at the limit is accepted")
{
    event_loop loop;
    client c{loop};
    std::size_t received_bytes = 0;
    server* self = nullptr;
    server s{loop, [&](exchange_id id, http::request&& in) {
                 received_bytes = in.body.size();
                 self->respond(id, {200, "text/plain", "ok", {}});
             }};
    self = &s;
    const endpoint address{"127.0.0.1", 19999};
    REQUIRE_FALSE(s.listen(address, {}));
    client_request request;
    request.url = "http://127.0.0.1:19999/";
    request.body.assign(request_limits{}.max_body_bytes + 1, 'x');
    CHECK(send_and_wait(loop, c, client_request{request}).status == 413);
    CHECK(received_bytes == 0);
    request.body.pop_back();
    CHECK(send_and_wait(loop, c, std::move(request)).status == 200);
    CHECK(received_bytes == request_limits{}.max_body_bytes);
}

// Fails if a handled request is answered with a refusal that says that it has not run.
TEST_CASE("http server: a response that finds no memory closes its connection without an answer")
{
    event_loop loop;
    client c{loop};
    server* self = nullptr;
    int handled = 0;
    server s{loop, [&](exchange_id id, http::request&& in) {
                 ++handled;
                 const std::size_t bytes = in.path == "/large" ? 100'000 : 30'000;
                 self->respond(id, {200, "text/plain", std::string(bytes, 'x'), {}});
             }};
    self = &s;
    request_limits limits;
    limits.max_body_bytes = limits.max_held_body_bytes = 64U << 10U;
    s.set_limits(limits);
    REQUIRE_FALSE(s.listen({"127.0.0.1", 19999}, {}));
    client_request request;
    request.url = "http://127.0.0.1:19999/large";
    const client_response refused = send_and_wait(loop, c, client_request{request});
    CHECK(handled == 1);
    CHECK(refused.outcome == delivery::lost);
    CHECK_FALSE(refused.ran);
    request.url = "http://127.0.0.1:19999/small";
    const client_response answered = send_and_wait(loop, c, std::move(request));
    CHECK(answered.status == 200);
    CHECK(answered.body.size() == 30'000);
}

TEST_CASE(
    "http server: a request that has arrived but is not read keeps the server from being drained")
{
    event_loop loop;
    holding_server s{loop};
    const raw_connection connection{holding_server::address};
    run_for(loop, quiet_time);
    s.http.stop_accepting();
    run_for(loop, quiet_time);
    connection.write(simple_request);
    CHECK_FALSE(s.http.is_drained());
    REQUIRE(s.held.size() == 1);
    s.respond_to_held();
    run_for(loop, quiet_time);
    CHECK(s.http.is_drained());
    CHECK(connection.read().starts_with("HTTP/1.1 200 OK"));
}

TEST_CASE("http server: connections that wait to be accepted are served when it stops accepting")
{
    event_loop loop;
    holding_server s{loop};
    run_for(loop, milliseconds{20});
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (int i = 0; i < 30; ++i) {
        connections.push_back(std::make_unique<raw_connection>(holding_server::address));
        connections.back()->write(simple_request);
    }
    s.http.stop_accepting();
    run_for(loop, quiet_time);
    CHECK(s.held.size() == connections.size());
    s.respond_to_held();
    run_for(loop, quiet_time);
    CHECK(std::ranges::all_of(connections, [](const auto& connection) {
        return connection->read().starts_with("HTTP/1.1 200 OK");
    }));
    CHECK(s.http.is_drained());
}

TEST_CASE("http server: a response that was just queued is written before the server is drained")
{
    event_loop loop;
    holding_server s{loop};
    const raw_connection connection{holding_server::address};
    connection.write(simple_request);
    run_for(loop, quiet_time);
    REQUIRE(s.held.size() == 1);
    s.http.stop_accepting();
    run_for(loop, quiet_time);
    s.respond_to_held();
    CHECK(s.http.open_exchanges() == 0);
    CHECK_FALSE(s.http.is_drained());
    run_for(loop, quiet_time);
    CHECK(s.http.is_drained());
    CHECK(connection.read().starts_with("HTTP/1.1 200 OK"));
}

TEST_CASE("http server: it is not drained while a request is half received")
{
    event_loop loop;
    holding_server s{loop};
    const raw_connection connection{holding_server::address};
    connection.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
    run_for(loop, quiet_time);
    s.http.stop_accepting();
    run_for(loop, quiet_time);
    CHECK_FALSE(s.http.is_drained());
    connection.write("cd");
    run_for(loop, quiet_time);
    REQUIRE(s.held.size() == 1);
    s.respond_to_held();
    run_for(loop, quiet_time);
    CHECK(s.http.is_drained());
    CHECK(connection.read().starts_with("HTTP/1.1 200 OK"));
}

TEST_CASE("http server: a later request on an open connection is answered with Connection: close")
{
    event_loop loop;
    holding_server s{loop};
    const raw_connection connection{holding_server::address};
    connection.write(simple_request);
    run_for(loop, quiet_time);
    s.respond_to_held();
    run_for(loop, quiet_time);
    const std::string first = connection.read();
    CHECK(first.starts_with("HTTP/1.1 200 OK"));
    CHECK(first.find("Connection: close") == std::string::npos);
    s.http.stop_accepting();
    connection.write(simple_request);
    run_for(loop, quiet_time);
    REQUIRE(s.held.size() == 1);
    s.respond_to_held();
    run_for(loop, quiet_time);
    const std::string second = connection.read();
    CHECK(second.starts_with("HTTP/1.1 200 OK"));
    CHECK(second.find("Connection: close") != std::string::npos);
}

TEST_CASE("http server: a client that sends nothing more but waits gets a whole response")
{
    for (const std::string version : {"HTTP/1.1", "HTTP/1.0"}) {
        CAPTURE(version);
        event_loop loop;
        holding_server s{loop};
        const raw_connection client{holding_server::address};
        client.write("POST / " + version + "\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
        client.close_sending_side();
        run_for(loop, milliseconds{50});
        REQUIRE(s.held.size() == 1);
        const exchange_id id = s.held.front();
        const mono_time end = loop.now() + milliseconds{900};
        while (s.http.check_client(id) == client_presence::unknown && loop.now() < end) {
            run_for(loop, milliseconds{15});
        }
        REQUIRE(s.http.check_client(id) == client_presence::waiting);
        s.http.respond(id, {200, "application/json", "{}", {{"Retry-After", "1"}}});
        run_for(loop, milliseconds{50});
        CHECK(client.read() ==
              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n"
              "Retry-After: 1\r\nConnection: close\r\n\r\n{}");
        CHECK(client.is_at_end());
    }
}

// Guards against an order that is carried out after its sender has gone elsewhere.
TEST_CASE("http server: a client that has closed its connection never counts as waiting")
{
    event_loop loop;
    holding_server s{loop};
    {
        const raw_connection client{holding_server::address};
        client.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    }
    run_for(loop, milliseconds{50});
    REQUIRE(s.held.size() == 1);
    const exchange_id id = s.held.front();
    client_presence presence = client_presence::unknown;
    for (int i = 0; i < 40 && presence == client_presence::unknown; ++i) {
        presence = s.http.check_client(id);
        run_for(loop, milliseconds{15});
    }
    CHECK(presence == client_presence::gone);
}

TEST_CASE("http server: a client that keeps its connection open waits and gets no probe")
{
    event_loop loop;
    holding_server s{loop};
    const raw_connection client{holding_server::address};
    client.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    run_for(loop, milliseconds{50});
    REQUIRE(s.held.size() == 1);
    CHECK(s.http.check_client(s.held.front()) == client_presence::waiting);
    run_for(loop, milliseconds{20});
    CHECK(client.read().empty());
}

// Guards against a call that counts as new although it was read after a standstill.
TEST_CASE("http server: requests that are read after a standstill may be as old as that")
{
    event_loop loop;
    std::vector<mono_time> arrivals;
    server port{loop, [&](exchange_id, request&& in) { arrivals.push_back(in.arrived_after); }};
    REQUIRE_FALSE(port.listen(holding_server::address, {}));
    run_for(loop, milliseconds{50});
    const raw_connection open{holding_server::address};
    run_for(loop, milliseconds{50});
    const mono_time stopped_at = loop.now();
    // More than the library accepts at a time.
    std::vector<std::unique_ptr<raw_connection>> waiting;
    for (int i = 0; i < 60; ++i) {
        waiting.push_back(std::make_unique<raw_connection>(holding_server::address));
        waiting.back()->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    open.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(milliseconds{600});
    run_for(loop, milliseconds{300});
    REQUIRE(arrivals.size() == 61);
    CHECK(std::ranges::all_of(arrivals, [&](mono_time at) { return at <= stopped_at; }));
    const raw_connection later{holding_server::address};
    later.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    run_for(loop, milliseconds{50});
    REQUIRE(arrivals.size() == 62);
    CHECK(loop.now() - arrivals.back() < milliseconds{250});
}

TEST_CASE("parse_endpoint accepts only IP:PORT")
{
    CHECK(ok(parse_endpoint("127.0.0.1:80")));
    for (const char* text : {"", "host:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
                             "127.0.0.1:65536", "127.0.0.1:8x", "1.2.3:80"}) {
        CAPTURE(text);
        CHECK_FALSE(ok(parse_endpoint(text)));
    }
}
