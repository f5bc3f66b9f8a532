#include "received_orders.h"

#include "fescuestream/base/log.h"

#include <iterator>

namespace fescue::fleet {

namespace {

/** Wait before an order is carried out: the end of the stream of a sender that has given up follows
 * its order within a round trip. */
constexpr milliseconds sender_check_delay{50};

std::int64_t ms_between(mono_time from, mono_time to)
{
    return std::chrono::ceil<milliseconds>(to - from).count();
}

} // namespace

void received_orders::receive(http::exchange_id exchange, wire::forwarded_call&& call,
                              const instance_id& leader, mono_time arrived_after, mono_time now)
{
    order o{exchange, std::move(call), leader, arrived_after, now, std::nullopt, {}};
    const std::uint64_t number = o.call.call_id;
    if (!leader.empty() && !route_.send(leader, wire::order_stamp_request{number})) {
        refuse(o, "leader_not_connected");
        return;
    }
    orders_.emplace(number, std::move(o));
}

void received_orders::handle(const instance_id& from, const wire::order_stamp& stamp, mono_time now)
{
    const auto found = orders_.find(stamp.call_id);
    if (found == orders_.end() || found->second.leader != from) {
        return;
    }
    if (stamp.term == 0) {
        refuse(found->second, "not_leader");
        orders_.erase(found);
        return;
    }
    found->second.stamp = stamp;
    found->second.stamped_at = now;
}

bool received_orders::handle(const wire::forwarded_reply& reply)
{
    const auto found = orders_.find(reply.call_id);
    if (found == orders_.end()) {
        return false;
    }
    route_.answer(found->second.exchange, reply);
    orders_.erase(found);
    return true;
}

bool received_orders::is_due(const order& o, mono_time now) const
{
    return now - o.received_at >= sender_check_delay && (o.leader.empty() || o.stamp);
}

void received_orders::tick(mono_time now)
{
    for (auto at = orders_.begin(); at != orders_.end();) {
        at = advance(at->second, now) ? orders_.erase(at) : std::next(at);
    }
}

bool received_orders::advance(order& o, mono_time now)
{
    if (now - o.arrived_after >= max_order_age) {
        log::info("control_call_timed_out",
                  {{"number", o.call.call_id}, {"age_ms", ms_between(o.arrived_after, now)}});
        route_.answer(o.exchange, {});
        return true;
    }
    if (!is_due(o, now)) {
        return false;
    }
    // After the stamp: an order that its sender gave up before the stamp was issued ends here, and
    // the leader refuses the stamp if it has accepted a later order since.
    const http::client_presence sender = route_.check_sender(o.exchange);
    if (sender == http::client_presence::gone) {
        refuse(o, "sender_gone");
        return true;
    }
    if (sender == http::client_presence::unknown) {
        return false;
    }
    if (o.leader.empty()) {
        if (!route_.carry_out_here(o.call, o.exchange)) {
            refuse(o, "not_leader");
        }
        return true;
    }
    const wire::forwarded_order m{o.call, *o.stamp, ms_between(o.arrived_after, o.stamped_at)};
    if (!route_.send(o.leader, m)) {
        refuse(o, "leader_not_connected");
        return true;
    }
    log::info("order_forwarded", {{"number", o.call.call_id}, {"leader", o.leader.str()}});
    o.stamp.reset();
    return false;
}

void received_orders::refuse(const order& o, const char* why)
{
    log::info("order_not_carried_out", {{"number", o.call.call_id},
                                        {"method", o.call.method},
                                        {"path", o.call.path},
                                        {"why", why}});
    route_.answer(o.exchange, {});
}

void received_orders::on_disconnected(const instance_id& id)
{
    std::erase_if(orders_, [&](const auto& entry) {
        if (entry.second.leader != id) {
            return false;
        }
        refuse(entry.second, "leader_not_connected");
        return true;
    });
}

} // namespace fescue::fleet
