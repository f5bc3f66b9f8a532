#include "fleet/relay.h"

#include "fescuestream/http/server.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

const instance_id leader_id{"127.0.0.1"};
const instance_id peer_id{"127.0.0.2"};
const data_centre_id local_data_centre{"here"};
const server_address target_server{"127.0.0.1:28790", server_id{"i-1"}};

/** A protocol that counts the requests it builds and the responses it parses. The clock in an order
 * reply is the length of the response body. */
struct counting_protocol {
    protocol functions;
    int requests_built{0};
    int responses_parsed{0};

    counting_protocol()
    {
        functions.make_start_request = [this](const server_address& to, const start_order& o) {
            return request(to, "start " + o.payload);
        };
        functions.make_stop_request = [this](const server_address& to, const stop_order& /*o*/) {
            return request(to, "stop");
        };
        functions.make_poll_request = [this](const server_address& to, const poll_order& o) {
            return request(to, "look " + std::to_string(o.acknowledged_end));
        };
        functions.parse_order_reply = [this](const http::client_response& r) {
            ++responses_parsed;
            order_reply out;
            if (r.outcome == http::delivery::not_sent) {
                out.result = order_result::not_sent;
            } else if (r.outcome == http::delivery::answered) {
                out = {order_result::accepted, static_cast<std::int64_t>(r.body.size())};
            }
            return out;
        };
        functions.parse_poll_reply = [this](const http::client_response& r) -> result<poll_reply> {
            ++responses_parsed;
            if (r.outcome != http::delivery::answered) {
                return error{error_kind::outcome_unknown, r.error_message};
            }
            poll_reply out;
            out.clock_ms = 42;
            out.ended.push_back(
                {3, {{jobs::job_id{7}, 0, 0, 1}, 2}, jobs::run_outcome::done, r.body});
            return out;
        };
    }

private:
    http::client_request request(const server_address& to, std::string body)
    {
        ++requests_built;
        http::client_request out;
        out.url = "http://" + to.address + "/order";
        out.body = std::move(body);
        out.timeout = 500ms;
        return out;
    }
};

/** A leader, its relay peer, and a server that echoes the request body. */
class relay_fixture {
public:
    relay_fixture()
    {
        REQUIRE_FALSE(server.listen({"127.0.0.1", 28790}, {}));
        leader.set_relay_peers({{local_data_centre, {peer_id}}});
        leader.enable(true);
    }

    /** Runs the loop without delivering the calls in flight. */
    void delay_calls(milliseconds time)
    {
        const auto stop = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    void run_for(milliseconds time)
    {
        for (const wire::relayed_call& call : std::exchange(calls_in_flight, {})) {
            peer.handle(leader_id, call);
        }
        const auto stop = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    bool send_to_peer(const wire::message& m)
    {
        if (connected && delivers_calls) {
            wire::relayed_call call = std::get<wire::relayed_call>(m);
            call.asked_at -= peer_clock_ahead_ms;
            calls_in_flight.push_back(call);
        }
        return connected;
    }

    bool send_to_leader(const wire::message& m)
    {
        wire::relayed_answer answer = std::get<wire::relayed_answer>(m);
        if (!answer_override.empty()) {
            answer.answer = answer_override;
        }
        leader.handle(answer);
        return true;
    }

    event_loop loop;
    http::client client{loop};
    counting_protocol leader_protocol;
    counting_protocol peer_protocol;
    bool connected{true};
    bool delivers_calls{true};
    /** Difference of the relay peer's wall clock to the leader's. */
    std::int64_t peer_clock_ahead_ms{0};
    std::string answer_override;
    std::vector<wire::relayed_call> calls_in_flight;
    relay leader{loop, client, leader_protocol.functions,
                 [this](const instance_id&, const wire::message& m) { return send_to_peer(m); }};
    relay peer{loop, client, peer_protocol.functions,
               [this](const instance_id&, const wire::message& m) { return send_to_leader(m); }};
    std::vector<std::string> bodies;
    http::server server{loop, [this](http::exchange_id x, http::request&& in) {
                            bodies.push_back(in.body);
                            server.respond(x, {200, "text/plain", in.body, {}});
                        }};
    std::vector<server_answer> answers;
    relay::callback collect_answer{[this](server_answer&& a) { answers.push_back(std::move(a)); }};
};

start_order make_start_order(const std::string& payload)
{
    start_order out;
    out.run = {{jobs::job_id{7}, 0, 0, 1}, 2};
    out.payload = payload;
    return out;
}

} // namespace

TEST_CASE("relay: the relay peer builds the request and parses the response instead of the leader")
{
    relay_fixture fixture;
    fixture.leader.send(local_data_centre, target_server, make_start_order("work"),
                        fixture.collect_answer);
    fixture.leader.send(local_data_centre, target_server, poll_order{0, 5, 9, 0},
                        fixture.collect_answer);
    CHECK(fixture.answers.empty());
    fixture.run_for(200ms);
    REQUIRE(fixture.answers.size() == 2);
    CHECK(fixture.bodies.size() == 2);
    CHECK(fixture.leader_protocol.requests_built + fixture.leader_protocol.responses_parsed == 0);
    CHECK(fixture.peer_protocol.requests_built == 2);
    const bool first_is_start = std::holds_alternative<order_reply>(fixture.answers[0]);
    const auto& reply = std::get<order_reply>(fixture.answers[first_is_start ? 0 : 1]);
    CHECK(reply.result == order_result::accepted);
    CHECK(reply.clock_ms == 10); // Length of "start work".
    const auto& poll = std::get<result<poll_reply>>(fixture.answers[first_is_start ? 1 : 0]);
    REQUIRE(ok(poll));
    CHECK(value(poll).clock_ms == 42);
    REQUIRE(value(poll).ended.size() == 1);
    CHECK(value(poll).ended[0].sequence == 3);
    CHECK(value(poll).ended[0].run == jobs::run_id{{jobs::job_id{7}, 0, 0, 1}, 2});
    CHECK(value(poll).ended[0].checkpoint == "look 9");
}

TEST_CASE("relay: the leader sends directly if no relay peer is connected in the data centre")
{
    relay_fixture fixture;
    fixture.connected = false;
    fixture.leader.send(local_data_centre, target_server, make_start_order("work"),
                        fixture.collect_answer);
    fixture.leader.send(data_centre_id{"elsewhere"}, target_server, stop_order{},
                        fixture.collect_answer);
    fixture.run_for(200ms);
    CHECK(fixture.answers.size() == 2);
    CHECK(fixture.leader_protocol.requests_built == 2);
    CHECK(fixture.peer_protocol.requests_built == 0);
}

TEST_CASE("relay: an order that has expired when it reaches the relay peer is reported as not sent")
{
    relay_fixture fixture;
    fixture.leader.send(local_data_centre, target_server, make_start_order("late"),
                        fixture.collect_answer);
    fixture.delay_calls(1600ms);
    fixture.run_for(100ms);
    REQUIRE(fixture.answers.size() == 1);
    CHECK(std::get<order_reply>(fixture.answers[0]).result == order_result::not_sent);
    CHECK(fixture.bodies.empty());
}

TEST_CASE("relay: orders reach the server although the relay peer's wall clock is ahead")
{
    relay_fixture fixture;
    fixture.peer_clock_ahead_ms = 2000;
    fixture.leader.send(local_data_centre, target_server, make_start_order("work"),
                        fixture.collect_answer);
    fixture.leader.send(local_data_centre, target_server, poll_order{}, fixture.collect_answer);
    fixture.run_for(200ms);
    CHECK(fixture.bodies.size() == 2);
    REQUIRE(fixture.answers.size() == 2);
    const bool first_is_start = std::holds_alternative<order_reply>(fixture.answers[0]);
    CHECK(std::get<order_reply>(fixture.answers[first_is_start ? 0 : 1]).result ==
          order_result::accepted);
    CHECK(ok(std::get<result<poll_reply>>(fixture.answers[first_is_start ? 1 : 0])));
}

TEST_CASE("relay: orders at a disconnected relay peer complete as unanswered, with the order's "
          "answer type")
{
    relay_fixture fixture;
    fixture.delivers_calls = false;
    fixture.leader.send(local_data_centre, target_server, make_start_order("work"),
                        fixture.collect_answer);
    fixture.leader.send(local_data_centre, target_server, poll_order{}, fixture.collect_answer);
    fixture.leader.on_disconnected(instance_id{"127.0.0.3"});
    fixture.leader.tick();
    CHECK(fixture.answers.empty());
    fixture.leader.on_disconnected(peer_id);
    fixture.leader.tick();
    REQUIRE(fixture.answers.size() == 2);
    CHECK(std::get<order_reply>(fixture.answers[0]).result == order_result::unknown);
    CHECK_FALSE(ok(std::get<result<poll_reply>>(fixture.answers[1])));
}

TEST_CASE("relay: an unreadable answer or one of the wrong type counts as no answer")
{
    const std::string encoded_poll_reply =
        to_bytes(server_answer{result<poll_reply>{poll_reply{}}});
    for (const std::string& bytes : {std::string{"\x01"}, encoded_poll_reply}) {
        relay_fixture fixture;
        fixture.answer_override = bytes;
        fixture.leader.send(local_data_centre, target_server, make_start_order("work"),
                            fixture.collect_answer);
        fixture.run_for(200ms);
        REQUIRE(fixture.answers.size() == 1);
        CHECK(std::get<order_reply>(fixture.answers[0]).result == order_result::unknown);
    }
}

TEST_CASE("relay: an answer to a call of an earlier process is not taken for another call's")
{
    relay_fixture fixture;
    fixture.leader.send(local_data_centre, target_server, make_start_order("earlier"),
                        [](server_answer&& /*answer*/) {});
    const std::uint64_t earlier = fixture.calls_in_flight.at(0).number;
    relay restarted{fixture.loop, fixture.client, fixture.leader_protocol.functions,
                    [](const instance_id&, const wire::message&) { return true; }};
    restarted.set_relay_peers({{local_data_centre, {peer_id}}});
    restarted.enable(true);
    restarted.send(local_data_centre, target_server, make_start_order("later"),
                   fixture.collect_answer);
    const order_reply accepted{order_result::accepted, std::nullopt};
    restarted.handle(wire::relayed_answer{earlier, to_bytes(server_answer{accepted})});
    CHECK(fixture.answers.empty());
}

namespace {

/** @return encoded answers, each with an entry that is out of range. */
std::vector<std::string> odd_answers(bool poll)
{
    std::vector<std::string> out;
    if (!poll) {
        out.push_back(to_bytes(server_answer{order_reply{static_cast<order_result>(200), 7}}));
        out.push_back(to_bytes(server_answer{order_reply{order_result::accepted, INT64_MAX}}));
        return out;
    }
    const jobs::run_id run{{jobs::job_id{7}, 0, 0, 1}, 2};
    poll_reply reply;
    reply.ended.push_back({1, run, static_cast<jobs::run_outcome>(200), ""});
    out.push_back(to_bytes(server_answer{result<poll_reply>{reply}}));
    reply.ended = {{1, run, jobs::run_outcome::done, "\xc3\x28"}};
    out.push_back(to_bytes(server_answer{result<poll_reply>{reply}}));
    reply.ended.clear();
    reply.active.push_back({run, "\xff", 50, 0});
    out.push_back(to_bytes(server_answer{result<poll_reply>{reply}}));
    reply.active = {{run, "", INT32_MIN, 0}};
    out.push_back(to_bytes(server_answer{result<poll_reply>{reply}}));
    reply.active.clear();
    reply.clock_ms = INT64_MAX;
    out.push_back(to_bytes(server_answer{result<poll_reply>{reply}}));
    reply.clock_ms = 0;
    reply.incarnation_id = UINT64_MAX;
    out.push_back(to_bytes(server_answer{result<poll_reply>{reply}}));
    out.push_back(
        to_bytes(server_answer{result<poll_reply>{error{static_cast<error_kind>(200), "x"}}}));
    return out;
}

} // namespace

TEST_CASE("relay: an answer with an entry out of range counts as no answer")
{
    for (const bool poll : {false, true}) {
        for (const std::string& bytes : odd_answers(poll)) {
            relay_fixture fixture;
            fixture.answer_override = bytes;
            fixture.leader.send(local_data_centre, target_server,
                                poll ? server_order{poll_order{}}
                                     : server_order{make_start_order("work")},
                                fixture.collect_answer);
            fixture.run_for(100ms);
            REQUIRE(fixture.answers.size() == 1);
            if (poll) {
                CHECK_FALSE(ok(std::get<result<poll_reply>>(fixture.answers[0])));
            } else {
                CHECK(std::get<order_reply>(fixture.answers[0]).result == order_result::unknown);
            }
        }
    }
}

TEST_CASE("relay: a call that no server could be sent is not sent")
{
    const start_order good = make_start_order("work");
    std::vector<std::pair<server_address, server_order>> odd;
    for (const char* address : {"127.0.0.1:99999", "127.0.0.1", "localhost:28790", ""}) {
        odd.push_back({{address, server_id{"i-1"}}, good});
    }
    odd.push_back({{target_server.address, server_id{"i-1\r\nKey: k"}}, good});
    odd.push_back({{target_server.address, server_id{}}, good});
    odd.push_back({target_server, make_start_order("\xff")});
    odd.push_back({target_server, throttle_order{good.run, 101, 1}});
    odd.push_back({target_server, throttle_order{good.run, -1, 1}});
    odd.push_back({target_server, poll_order{0, 1, 0, INT64_MAX}});
    start_order odd_checkpoint = good;
    odd_checkpoint.checkpoint = "\xc3\x28";
    odd.push_back({target_server, odd_checkpoint});
    for (const auto& [to, order] : odd) {
        relay_fixture fixture;
        fixture.leader.send(local_data_centre, to, order, fixture.collect_answer);
        REQUIRE(fixture.calls_in_flight.size() == 1);
        fixture.run_for(20ms);
        CHECK(fixture.peer_protocol.requests_built == 0);
    }
}
