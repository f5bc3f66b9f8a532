#include "fescuestream/http/client.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

using namespace fescue;
using namespace fescue::http;

namespace {

/**
 * A hand-written server that answers the first request on its first connection, reads the second
 * one there and closes without a byte: what a restarting backend server looks like.
 */
class closing_server {
public:
    explicit closing_server(event_loop& loop) : loop_{loop}
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* generic = reinterpret_cast<sockaddr*>(&at);
        bind(listener_, generic, sizeof at);
        ::listen(listener_, 8);
        socklen_t size = sizeof at;
        getsockname(listener_, generic, &size);
        port = ntohs(at.sin_port);
        watch_ = loop.watch(listener_, {true, false}, [this](io_interest) { accept_one(); });
    }
    closing_server(const closing_server&) = delete;
    closing_server& operator=(const closing_server&) = delete;
    ~closing_server()
    {
        for (const int fd : open_) {
            close(fd);
        }
        close(listener_);
    }

    std::uint16_t port{0};
    int requests{0};

private:
    void accept_one()
    {
        const int fd = accept(listener_, nullptr, nullptr);
        open_.push_back(fd);
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
            constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            send(fd, answer.data(), answer.size(), 0);
        } else {
            shutdown(fd, SHUT_RDWR);
        }
    }

    event_loop& loop_;
    int listener_{-1};
    io_handle watch_;
    std::vector<int> open_;
    std::vector<io_handle> watches_;
};

client_response call(event_loop& loop, client& c, client_request&& request)
{
    client_response out;
    c.send(std::move(request), [&](client_response&& r) {
        out = std::move(r);
        loop.stop();
    });
    loop.run();
    return out;
}

/** Sends two requests. @return how often the second one reached the server. */
int second_request_arrivals(bool fresh_connection)
{
    event_loop loop;
    client c{loop};
    closing_server server{loop};
    client_request request;
    request.url = "http://127.0.0.1:" + std::to_string(server.port) + "/";
    request.body = "pay";
    request.timeout = milliseconds{2000};
    request.fresh_connection = fresh_connection;
    auto first = request;
    CHECK(call(loop, c, std::move(first)).how == delivery::answered);
    CHECK(call(loop, c, std::move(request)).how == delivery::lost);
    return server.requests - 1;
}

} // namespace

TEST_CASE("the library sends again by itself on a used connection; a fresh one is sent on once")
{
    // The first line is the failure that fresh_connection is there for.
    CHECK(second_request_arrivals(false) > 1);
    CHECK(second_request_arrivals(true) == 1);
}

TEST_CASE("a refused connection is known not to have carried the request")
{
    event_loop loop;
    client c{loop};
    client_request request;
    request.url = "http://127.0.0.1:1/";
    CHECK(call(loop, c, std::move(request)).how == delivery::not_sent);
}

TEST_CASE("a body over the bound is refused, and one at the bound is taken")
{
    event_loop loop;
    client c{loop};
    std::size_t taken = 0;
    server* self = nullptr;
    server s{loop, [&](exchange_id id, http::request&& in) {
                 taken = in.body.size();
                 self->respond(id, {200, "text/plain", "ok", {}});
             }};
    self = &s;
    const endpoint at{"127.0.0.1", 19999};
    REQUIRE_FALSE(s.listen(at, {}));
    client_request request;
    request.url = "http://127.0.0.1:19999/";
    request.body.assign(server::max_body_bytes + 1, 'x');
    CHECK(call(loop, c, client_request{request}).status == 413);
    CHECK(taken == 0);
    request.body.pop_back();
    CHECK(call(loop, c, std::move(request)).status == 200);
    CHECK(taken == server::max_body_bytes);
}

TEST_CASE("only IP:PORT is an endpoint")
{
    CHECK(ok(parse_endpoint("127.0.0.1:80")));
    for (const char* text : {"", "host:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
                             "127.0.0.1:65536", "127.0.0.1:8x", "1.2.3:80"}) {
        CAPTURE(text);
        CHECK_FALSE(ok(parse_endpoint(text)));
    }
}
