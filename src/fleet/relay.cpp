#include "relay.h"

#include "fescuestream/base/log.h"

namespace fescue::fleet {

namespace {

/** A call that is older than this when it reaches the helper is not sent: what it was to do may
 * have been decided otherwise. Shorter than any time in which an order must not come any more. */
constexpr std::int64_t oldest_call_ms = 1500;
/** A helper's answer takes this much longer than the request itself may. */
constexpr milliseconds way_and_back{500};

/** What relayed_call::order holds. */
struct addressed_order {
    server_address to;
    server_order order;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(to, order);
    }
};

http::client_response no_answer(http::delivery how, const char* fault)
{
    http::client_response out;
    out.how = how;
    out.fault = fault;
    return out;
}

bool is_look(const server_order& order) noexcept
{
    return std::holds_alternative<look_order>(order);
}

milliseconds longest_wait(const server_order& order)
{
    const auto* look = std::get_if<look_order>(&order);
    return order_timeout + milliseconds{look == nullptr ? 0 : look->wait_ms};
}

} // namespace

http::client_request relay::request_of(const server_address& to, const server_order& order) const
{
    struct translation {
        const protocol& by;
        const server_address& to;

        http::client_request operator()(const start_order& o) const { return by.start(to, o); }
        http::client_request operator()(const stop_order& o) const { return by.stop(to, o); }
        http::client_request operator()(const look_order& o) const { return by.look(to, o); }
        http::client_request operator()(const pace_order& o) const { return by.pace(to, o); }
    };
    return std::visit(translation{translator_, to}, order);
}

server_answer relay::answer_of(bool look, const http::client_response& response) const
{
    return look ? server_answer{translator_.read_look_reply(response)}
                : server_answer{translator_.read_order_reply(response)};
}

void relay::set_helpers(std::map<data_centre_id, std::vector<instance_id>> helpers)
{
    helpers_ = std::move(helpers);
}

void relay::send(const data_centre_id& near, const server_address& to, const server_order& order,
                 callback done)
{
    const bool look = is_look(order);
    const auto here = on_ ? helpers_.find(near) : helpers_.end();
    if (here != helpers_.end() && !here->second.empty()) {
        const std::size_t key = std::hash<server_id>{}(to.id);
        const instance_id& helper = here->second[key % here->second.size()];
        const std::uint64_t number = next_++;
        if (send_(helper,
                  wire::relayed_call{number, to_bytes(addressed_order{to, order}), wall_now()})) {
            const mono_time give_up = loop_.now() + longest_wait(order) + way_and_back;
            open_.emplace(number, open_call{helper, give_up, look, std::move(done)});
            return;
        }
    }
    client_.send(request_of(to, order),
                 [this, look, done = std::move(done)](http::client_response&& r) {
                     done(answer_of(look, r));
                 });
}

void relay::received(const instance_id& from, const wire::relayed_call& call)
{
    const auto read = from_bytes<addressed_order>(call.order);
    if (!ok(read)) {
        log::warning("relayed_call_unreadable",
                     {{"from", from.str()}, {"why", error_of(read).detail}});
        return;
    }
    const addressed_order& order = value(read);
    const bool look = is_look(order.order);
    const auto answer = [this, from, look, number = call.number](const http::client_response& r) {
        send_(from, wire::relayed_answer{number, to_bytes(answer_of(look, r))});
    };
    const std::int64_t age = wall_now() - call.asked_at;
    if (age > oldest_call_ms) {
        log::warning("relayed_call_too_old", {{"from", from.str()}, {"age_ms", age}});
        answer(no_answer(http::delivery::not_sent, "too old when it reached its helper"));
        return;
    }
    client_.send(request_of(order.to, order.order), answer);
}

void relay::received(const wire::relayed_answer& answer)
{
    const auto open = open_.find(answer.number);
    if (open == open_.end()) {
        return;
    }
    auto read = from_bytes<server_answer>(answer.answer);
    const bool fits =
        ok(read) && std::holds_alternative<order_reply>(value(read)) != open->second.look;
    if (!fits) {
        log::warning("relayed_answer_unreadable",
                     {{"from", open->second.helper.str()},
                      {"why", ok(read) ? "of another kind of order" : error_of(read).detail}});
        give_up(answer.number, "its helper's answer was not readable");
        return;
    }
    auto node = open_.extract(open);
    node.mapped().done(std::move(value(read)));
}

void relay::lost(const instance_id& helper)
{
    for (auto& [number, call] : open_) {
        if (call.helper == helper) {
            call.give_up = mono_time{};
        }
    }
}

void relay::give_up(std::uint64_t number, const char* why)
{
    auto node = open_.extract(number);
    if (!node.empty()) {
        node.mapped().done(answer_of(node.mapped().look, no_answer(http::delivery::lost, why)));
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
        give_up(number, "its helper did not answer");
    }
}

} // namespace fescue::fleet
