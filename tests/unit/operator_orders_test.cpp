#include "fleet/order_fence.h"
#include "fleet/protocol.h"
#include "fleet/received_orders.h"
#include "platform.h"

#include "fescuestream/jobs/state.h"
#include "fescuestream/replication/replicated.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <vector>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

const instance_id leader_id{"127.0.0.1"};
constexpr std::uint64_t call_number = 5;
constexpr http::exchange_id exchange = 9;
constexpr term_number term = 3;
const mono_time start{100s};

wire::forwarded_order with_stamp(const wire::order_stamp& stamp)
{
    wire::forwarded_order out;
    out.call.call_id = stamp.call_id;
    out.stamp = stamp;
    return out;
}

/** A scheduler that received one order, with a connection to the leader. */
struct receiving_scheduler {
    bool sender_waits{true};
    bool is_sender_unknown{false};
    bool leads{false};
    std::vector<wire::message> sent;
    std::vector<int> answers;
    int carried_out{0};
    received_orders orders{
        {[this](http::exchange_id) {
             if (is_sender_unknown) {
                 return http::client_presence::unknown;
             }
             return sender_waits ? http::client_presence::waiting : http::client_presence::gone;
         },
         [this](http::exchange_id, const wire::forwarded_reply& r) { answers.push_back(r.status); },
         [this](const instance_id&, const wire::message& m) {
             sent.push_back(m);
             return true;
         },
         [this](const wire::forwarded_call&, http::exchange_id) {
             carried_out += leads ? 1 : 0;
             return leads;
         }}};

    void receive(const instance_id& leader, mono_time arrived_after = start)
    {
        wire::forwarded_call call;
        call.call_id = call_number;
        orders.receive(exchange, std::move(call), leader, arrived_after, start);
    }
    std::size_t count_forwarded() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(sent, [](const wire::message& m) {
            return std::holds_alternative<wire::forwarded_order>(m);
        }));
    }
};

} // namespace

// Guards against an order that undoes a later one, since a partition had held it back.
TEST_CASE("order fence: an order is refused if a later one was accepted after its stamp")
{
    order_fence fence;
    const auto stamp = fence.issue(call_number, term, start);
    CHECK(fence.admits(with_stamp(stamp), term, start + 1ms));
    fence.record_accepted(term);
    CHECK_FALSE(fence.admits(with_stamp(stamp), term, start + 1ms));
    const auto renewed = fence.issue(call_number, term, start + 2ms);
    CHECK(fence.admits(with_stamp(renewed), term, start + 3ms));
}

TEST_CASE("order fence: an order is refused by the leader of another term")
{
    order_fence fence;
    fence.record_accepted(term);
    const auto stamp = fence.issue(call_number, term, start);
    CHECK_FALSE(fence.admits(with_stamp(stamp), term + 1, start + 1ms));
    order_fence replaced;
    CHECK_FALSE(replaced.admits(with_stamp(stamp), term + 1, start + 1ms));
    CHECK_FALSE(replaced.admits(with_stamp(stamp), term, start + 1ms));
}

// Guards against an order that takes effect after its sender was told 503.
TEST_CASE("order fence: an order is refused once its receiver has answered 503")
{
    order_fence fence;
    auto order = with_stamp(fence.issue(call_number, term, start));
    CHECK(fence.admits(order, term, start + max_order_age - 1ms));
    CHECK_FALSE(fence.admits(order, term, start + max_order_age));
    order.age_at_stamp_ms = max_order_age.count() - 1;
    CHECK(fence.admits(order, term, start));
    CHECK_FALSE(fence.admits(order, term, start + 1ms));
    CHECK_FALSE(fence.admits(order, term, start - 1ms));
    order.age_at_stamp_ms = -1;
    CHECK_FALSE(fence.admits(order, term, start));
    for (const std::int64_t odd :
         {std::numeric_limits<std::int64_t>::min(), std::numeric_limits<std::int64_t>::max()}) {
        order = with_stamp(fence.issue(call_number, term, start));
        order.age_at_stamp_ms = odd;
        CHECK_FALSE(fence.admits(order, term, start));
        order.age_at_stamp_ms = 0;
        order.stamp.issued_at_ms = odd;
        CHECK_FALSE(fence.admits(order, term, start));
    }
}

TEST_CASE("received orders: an order whose sender has gone is not forwarded")
{
    for (const bool leads : {false, true}) {
        receiving_scheduler scheduler;
        scheduler.leads = leads;
        scheduler.receive(leads ? instance_id{} : leader_id);
        scheduler.orders.handle(leader_id, {call_number, term, 0, 0}, start + 2ms);
        scheduler.orders.tick(start + 15ms);
        CHECK(scheduler.count_forwarded() + static_cast<std::size_t>(scheduler.carried_out) == 0);
        scheduler.sender_waits = false;
        scheduler.orders.tick(start + 60ms);
        CHECK(scheduler.count_forwarded() + static_cast<std::size_t>(scheduler.carried_out) == 0);
        CHECK(scheduler.orders.size() == 0);
        CHECK(scheduler.answers == std::vector<int>{0});
    }
}

// Guards against an order that a stopped scheduler reads after a later one was confirmed, while its
// connection is still open.
TEST_CASE("received orders: an order that may have arrived long ago is not carried out")
{
    for (const bool leads : {false, true}) {
        receiving_scheduler scheduler;
        scheduler.leads = leads;
        scheduler.receive(leads ? instance_id{} : leader_id, start - max_order_age);
        scheduler.orders.handle(leader_id, {call_number, term, 0, 0}, start + 2ms);
        scheduler.orders.tick(start + 60ms);
        CHECK(scheduler.count_forwarded() + static_cast<std::size_t>(scheduler.carried_out) == 0);
        CHECK(scheduler.answers == std::vector<int>{0});
    }
    receiving_scheduler scheduler;
    scheduler.receive(leader_id, start - 200ms);
    scheduler.orders.handle(leader_id, {call_number, term, 0, 0}, start + 2ms);
    scheduler.orders.tick(start + 60ms);
    REQUIRE(scheduler.count_forwarded() == 1);
    CHECK(std::get<wire::forwarded_order>(scheduler.sent.back()).age_at_stamp_ms == 202);
}

TEST_CASE("received orders: an order waits until it is known whether its sender has gone")
{
    receiving_scheduler scheduler;
    scheduler.is_sender_unknown = true;
    scheduler.receive(leader_id);
    scheduler.orders.handle(leader_id, {call_number, term, 0, 0}, start + 2ms);
    scheduler.orders.tick(start + 500ms);
    CHECK(scheduler.count_forwarded() == 0);
    CHECK(scheduler.answers.empty());
    scheduler.is_sender_unknown = false;
    scheduler.orders.tick(start + 515ms);
    CHECK(scheduler.count_forwarded() == 1);
}

TEST_CASE("received orders: an order whose stamp was refused is sent again while its sender waits")
{
    receiving_scheduler scheduler;
    scheduler.receive(leader_id);
    scheduler.orders.handle(leader_id, {call_number, term, 0, 0}, start + 2ms);
    scheduler.orders.tick(start + 60ms);
    REQUIRE(scheduler.count_forwarded() == 1);
    scheduler.orders.tick(start + 75ms);
    CHECK(scheduler.count_forwarded() == 1);
    scheduler.orders.handle(leader_id, {call_number, term, 1, 90}, start + 90ms);
    scheduler.orders.tick(start + 105ms);
    REQUIRE(scheduler.count_forwarded() == 2);
    const auto& again = std::get<wire::forwarded_order>(scheduler.sent.back());
    CHECK(again.stamp.accepted_orders == 1);
    CHECK(again.age_at_stamp_ms == 90);
    scheduler.orders.handle(leader_id, {call_number, term, 2, 120}, start + 120ms);
    scheduler.sender_waits = false;
    scheduler.orders.tick(start + 135ms);
    CHECK(scheduler.count_forwarded() == 2);
}

TEST_CASE("received orders: an order without an answer gets 503 in time, and its reply is dropped")
{
    receiving_scheduler scheduler;
    scheduler.receive(leader_id);
    scheduler.orders.tick(start + max_order_age - 1ms);
    CHECK(scheduler.answers.empty());
    scheduler.orders.tick(start + max_order_age);
    CHECK(scheduler.answers == std::vector<int>{0});
    scheduler.orders.handle(leader_id, {call_number, term, 0, 0}, start + 2s);
    scheduler.orders.tick(start + 2s);
    CHECK(scheduler.count_forwarded() == 0);
    wire::forwarded_reply late;
    late.call_id = call_number;
    CHECK_FALSE(scheduler.orders.handle(late));
}

// Guards against a copy of an order in a proposal that reaches the next leader late.
TEST_CASE("job log: an order that is proposed once is not passed on to the next leader")
{
    event_loop loop;
    std::size_t passed_on = 0;
    const auto send = [&](const instance_id&, const wire::message& m) {
        passed_on += std::holds_alternative<wire::propose_request>(m) ? 1 : 0;
        return true;
    };
    const replication::replicated_events<jobs::machine> events{
        send, [](const jobs::command&, const jobs::outcome&) {}, [] {}, [](const error&) {}, {}};
    replication::replicated<jobs::machine> log{
        loop, leader_id, 1, replication::any_store{store::memory_store{}}, {}, events};
    consensus::append_request heartbeat;
    heartbeat.term = term;
    log.received(instance_id{"127.0.0.2"}, consensus::message{heartbeat});
    REQUIRE(log.replica().leader() == instance_id{"127.0.0.2"});
    bool failed = false;
    log.propose_once(jobs::set_data_centre{data_centre_id{"z"}, false}, 900ms,
                     [&](const result<jobs::outcome>& outcome) { failed = !ok(outcome); });
    const auto stop = loop.after(100ms, [&] { loop.stop(); });
    loop.run();
    CHECK(failed);
    CHECK(passed_on == 0);
}

TEST_CASE("platform: orders without a version are drains, their withdrawals and waves")
{
    const protocol wire = platform::make_protocol();
    CHECK(wire.is_unversioned_order("POST", "/drain/z"));
    CHECK(wire.is_unversioned_order("DELETE", "/drain/z"));
    CHECK(wire.is_unversioned_order("POST", "/wave-start"));
    CHECK_FALSE(wire.is_unversioned_order("GET", "/drain/z"));
    CHECK_FALSE(wire.is_unversioned_order("GET", "/wave-get/1"));
    CHECK_FALSE(wire.is_unversioned_order("PUT", "/config"));
    CHECK_FALSE(wire.is_unversioned_order("PUT", "/instances/i-1"));
}
