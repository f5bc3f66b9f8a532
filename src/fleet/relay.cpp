#include "relay.h"

#include "fescuestream/base/log.h"

namespace fescue::fleet {

namespace {

/** A call that is older than this when it reaches the helper is not sent: what it was to do may
 * have been decided otherwise. Shorter than any time in which an order must not come any more. */
constexpr std::int64_t oldest_call_ms = 1500;
/** A helper's answer takes this much longer than the request itself may. */
constexpr milliseconds way_and_back{500};

http::client_response no_answer(http::delivery how, const char* fault)
{
    http::client_response out;
    out.how = how;
    out.fault = fault;
    return out;
}

} // namespace

void relay::set_helpers(std::map<data_centre_id, std::vector<instance_id>> helpers)
{
    helpers_ = std::move(helpers);
}

void relay::send(const data_centre_id& near, std::size_t key, http::client_request&& request,
                 http::client::callback done)
{
    const auto here = on_ ? helpers_.find(near) : helpers_.end();
    if (here == helpers_.end() || here->second.empty()) {
        client_.send(std::move(request), std::move(done));
        return;
    }
    const instance_id& helper = here->second[key % here->second.size()];
    wire::relayed_call call;
    call.number = next_++;
    call.method = request.method;
    call.url = request.url;
    call.body = request.body;
    for (const http::header& h : request.headers) {
        call.headers.emplace_back(h.name, h.value);
    }
    call.timeout_ms = request.timeout.count();
    call.asked_at = wall_now();
    if (!send_(helper, call)) {
        client_.send(std::move(request), std::move(done));
        return;
    }
    open_.emplace(call.number,
                  open_call{helper, loop_.now() + request.timeout + way_and_back, std::move(done)});
}

void relay::received(const instance_id& from, wire::relayed_call&& call)
{
    const auto answer = [this, from, number = call.number](http::client_response&& r) {
        send_(from, wire::relayed_answer{number, static_cast<std::uint8_t>(r.how), r.status,
                                         std::move(r.body), std::move(r.fault)});
    };
    const std::int64_t age = wall_now() - call.asked_at;
    if (age > oldest_call_ms) {
        log::warning("relayed_call_too_old", {{"from", from.str()}, {"age_ms", age}});
        answer(no_answer(http::delivery::not_sent, "too old when it reached its helper"));
        return;
    }
    http::client_request request;
    request.method = std::move(call.method);
    request.url = std::move(call.url);
    request.body = std::move(call.body);
    for (auto& [name, value] : call.headers) {
        request.headers.push_back({std::move(name), std::move(value)});
    }
    request.timeout = milliseconds{call.timeout_ms};
    client_.send(std::move(request), answer);
}

void relay::received(wire::relayed_answer&& answer)
{
    auto node = open_.extract(answer.number);
    if (node.empty()) {
        return;
    }
    http::client_response out;
    out.how = answer.how <= static_cast<std::uint8_t>(http::delivery::lost)
                  ? static_cast<http::delivery>(answer.how)
                  : http::delivery::lost;
    out.status = answer.status;
    out.body = std::move(answer.body);
    out.fault = std::move(answer.fault);
    node.mapped().done(std::move(out));
}

void relay::lost(const instance_id& helper)
{
    for (auto& [number, call] : open_) {
        if (call.helper == helper) {
            call.give_up = mono_time{};
        }
    }
}

void relay::tick()
{
    const mono_time now = loop_.now();
    std::vector<std::uint64_t> over;
    for (const auto& [number, call] : open_) {
        if (now >= call.give_up) {
            over.push_back(number);
        }
    }
    for (const std::uint64_t number : over) {
        auto node = open_.extract(number);
        if (!node.empty()) {
            node.mapped().done(no_answer(http::delivery::lost, "its helper did not answer"));
        }
    }
}

} // namespace fescue::fleet
