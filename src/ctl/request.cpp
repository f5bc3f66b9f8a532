#include "request.h"

#include "fescuestream/wire/frame.h"

#include <fmt/format.h>

namespace fescue::ctl {

namespace {

constexpr milliseconds call_timeout{6000};
constexpr int max_attempts = 4;
constexpr std::size_t order_id_bytes = 12;

std::string generate_order_id()
{
    std::string out = "ctl-";
    for (const char c : wire::random_bytes(order_id_bytes)) {
        out += fmt::format("{:02x}", static_cast<unsigned char>(c));
    }
    return out;
}

} // namespace

http::client_response send(const options& opts, const call& c)
{
    event_loop loop;
    http::client client{loop};
    http::client_request request;
    request.method = c.method;
    request.url = (opts.tls ? "https://" : "http://") + opts.address + c.path;
    request.body = c.body;
    request.headers = c.headers;
    request.timeout = call_timeout;
    request.ca_file = opts.ca_file;
    if (!opts.token.empty()) {
        request.headers.push_back({"Authorization", "Bearer " + opts.token});
    }
    http::client_response out;
    client.send(std::move(request), [&](http::client_response&& r) {
        out = std::move(r);
        loop.stop();
    });
    loop.run();
    return out;
}

http::client_response send_order(const options& opts, call c)
{
    const std::string id = opts.order_id.empty() ? generate_order_id() : opts.order_id;
    c.headers.push_back({"Idempotency-Key", id});
    http::client_response out;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        out = send(opts, c);
        const bool outcome_unknown =
            out.outcome != http::delivery::answered || out.ran == "unknown";
        if (!outcome_unknown) {
            return out;
        }
        fmt::print(stderr, "fescuectl: the outcome of order {} is unknown; retrying\n", id);
    }
    return out;
}

} // namespace fescue::ctl
