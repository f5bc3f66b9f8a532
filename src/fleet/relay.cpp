#include "relay.h"

#include "validation.h"

#include "fescuestream/base/log.h"

#include <algorithm>

namespace fescue::fleet {

namespace {

/** A call that is older than this when it reaches the relay peer is not sent, since the leader may
 * have changed its decision by then. Shorter than every timeout after which the leader assumes that
 * an order can no longer arrive. */
constexpr std::int64_t max_call_age_ms = 1500;
/** Extra time for the round trip through the relay peer, on top of the request's timeout. */
constexpr milliseconds relay_round_trip{500};

http::client_response failed_response(http::delivery outcome, const char* error_message)
{
    http::client_response out;
    out.outcome = outcome;
    out.error_message = error_message;
    return out;
}

bool is_poll(const server_order& order) noexcept
{
    return std::holds_alternative<poll_order>(order);
}

status check_answer_to(const server_order& order, const server_answer& answer)
{
    if (std::holds_alternative<order_reply>(answer) == is_poll(order)) {
        return error{error_kind::bad_request, "the answer's type does not match the order"};
    }
    return check_answer(answer);
}

milliseconds request_timeout(const server_order& order)
{
    const auto* poll = std::get_if<poll_order>(&order);
    return order_timeout +
           milliseconds{poll == nullptr ? 0 : std::min(poll->wait_ms, max_duration_ms)};
}

} // namespace

http::client_request relay::make_request(const server_address& to, const server_order& order) const
{
    struct request_builder {
        const protocol& wire;
        const server_address& to;

        http::client_request operator()(const start_order& o) const
        {
            return wire.make_start_request(to, o);
        }
        http::client_request operator()(const stop_order& o) const
        {
            return wire.make_stop_request(to, o);
        }
        http::client_request operator()(const poll_order& o) const
        {
            return wire.make_poll_request(to, o);
        }
        http::client_request operator()(const throttle_order& o) const
        {
            return wire.make_throttle_request(to, o);
        }
    };
    return std::visit(request_builder{protocol_, to}, order);
}

server_answer relay::parse_response(bool poll, const http::client_response& response) const
{
    return poll ? server_answer{protocol_.parse_poll_reply(response)}
                : server_answer{protocol_.parse_order_reply(response)};
}

void relay::set_relay_peers(std::map<data_centre_id, std::vector<instance_id>> peers)
{
    relay_peers_ = std::move(peers);
}

void relay::send(const data_centre_id& data_centre, const server_address& to,
                 const server_order& order, callback done)
{
    const auto local_peers = enabled_ ? relay_peers_.find(data_centre) : relay_peers_.end();
    if (local_peers != relay_peers_.end() && !local_peers->second.empty()) {
        const std::size_t hash = std::hash<server_id>{}(to.id);
        const instance_id& relay_peer = local_peers->second[hash % local_peers->second.size()];
        const std::uint64_t number = next_number_++;
        if (send_(relay_peer,
                  wire::relayed_call{number, to_bytes(addressed_order{to, order}), wall_now()})) {
            const mono_time now = loop_.now();
            const mono_time deadline = now + request_timeout(order) + relay_round_trip;
            pending_calls_.emplace(
                number, pending_call{relay_peer, deadline, now, to, order, std::move(done)});
            return;
        }
    }
    send_directly(to, order, std::move(done));
}

void relay::send_directly(const server_address& to, const server_order& order, callback done)
{
    client_.send(make_request(to, order),
                 [this, poll = is_poll(order), done = std::move(done)](http::client_response&& r) {
                     done(parse_response(poll, r));
                 });
}

void relay::resend_unless_expired(pending_call&& call)
{
    // The relay peer compared two wall clocks, which may differ.
    if (loop_.now() - call.sent_at < milliseconds{max_call_age_ms}) {
        send_directly(call.to, call.order, std::move(call.done));
        return;
    }
    call.done(parse_response(is_poll(call.order),
                             failed_response(http::delivery::not_sent,
                                             "the call expired before it reached the relay peer")));
}

void relay::handle(const instance_id& from, const wire::relayed_call& call)
{
    const auto decoded = from_bytes<addressed_order>(call.order);
    const status fault =
        ok(decoded) ? check_order(value(decoded).to, value(decoded).order) : error_of(decoded);
    if (fault) {
        log::warning("relayed_call_unreadable", {{"from", from.str()}, {"why", fault->detail}});
        return;
    }
    const addressed_order& order = value(decoded);
    const bool poll = is_poll(order.order);
    const auto send_answer = [this, from, poll,
                              number = call.number](const http::client_response& r) {
        send_(from, wire::relayed_answer{number, to_bytes(parse_response(poll, r))});
    };
    const std::int64_t age = wall_now() - call.asked_at;
    if (age > max_call_age_ms) {
        log::warning("relayed_call_too_old", {{"from", from.str()}, {"age_ms", age}});
        send_(from, wire::relayed_answer{call.number, {}});
        return;
    }
    client_.send(make_request(order.to, order.order), send_answer);
}

void relay::handle(const wire::relayed_answer& answer)
{
    const auto found = pending_calls_.find(answer.number);
    if (found == pending_calls_.end()) {
        return;
    }
    if (answer.answer.empty()) {
        auto node = pending_calls_.extract(found);
        resend_unless_expired(std::move(node.mapped()));
        return;
    }
    auto decoded = from_bytes<server_answer>(answer.answer);
    const status fault =
        ok(decoded) ? check_answer_to(found->second.order, value(decoded)) : error_of(decoded);
    if (fault) {
        log::warning("relayed_answer_unreadable",
                     {{"from", found->second.relay_peer.str()}, {"why", fault->detail}});
        fail_call(answer.number, "the relay peer sent an unreadable answer");
        return;
    }
    auto node = pending_calls_.extract(found);
    node.mapped().done(std::move(value(decoded)));
}

void relay::on_disconnected(const instance_id& relay_peer)
{
    for (auto& [number, call] : pending_calls_) {
        if (call.relay_peer == relay_peer) {
            call.deadline = mono_time{};
        }
    }
}

void relay::fail_call(std::uint64_t number, const char* why)
{
    auto node = pending_calls_.extract(number);
    if (!node.empty()) {
        node.mapped().done(parse_response(is_poll(node.mapped().order),
                                          failed_response(http::delivery::lost, why)));
    }
}

void relay::tick()
{
    const mono_time now = loop_.now();
    std::vector<std::uint64_t> expired;
    for (const auto& [number, call] : pending_calls_) {
        if (now >= call.deadline) {
            expired.push_back(number);
        }
    }
    for (const std::uint64_t number : expired) {
        fail_call(number, "the relay peer did not answer");
    }
}

} // namespace fescue::fleet
