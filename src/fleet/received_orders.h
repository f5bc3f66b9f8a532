#pragma once

/**
 * @file
 * Operators' orders without a version, at the scheduler that received them. Each is carried out
 * only while its sender waits for the answer: an old copy, which a partition or a stopped process
 * held back, has lost its sender.
 */

#include "order_fence.h"

#include "fescuestream/http/server.h"
#include "fescuestream/wire/message.h"

#include <functional>
#include <map>
#include <optional>

namespace fescue::fleet {

/** What received_orders needs of its scheduler. */
struct order_route {
    /** @return whether the sender of the request still waits for its answer; asked again while that
     * is unknown. */
    std::function<http::client_presence(http::exchange_id)> check_sender;
    /** Answers the sender; a reply with status 0 tells it that there is no leader. */
    std::function<void(http::exchange_id, const wire::forwarded_reply&)> answer;
    /** Sends to an instance. @return whether it is connected. */
    std::function<bool(const instance_id&, const wire::message&)> send;
    /** Carries out an order at this instance. @return false if this is not the leader. */
    std::function<bool(const wire::forwarded_call&, http::exchange_id)> carry_out_here;
};

class received_orders {
public:
    explicit received_orders(order_route route) : route_{std::move(route)} {}

    /**
     * @param leader where the order is carried out; empty: at this instance.
     * @param arrived_after earliest time at which the order may have arrived.
     */
    void receive(http::exchange_id exchange, wire::forwarded_call&& call, const instance_id& leader,
                 mono_time arrived_after, mono_time now);
    /** Handles the stamp that a forwarded order needs, or needs anew. */
    void handle(const instance_id& from, const wire::order_stamp& stamp, mono_time now);
    /** Handles the answer to a forwarded order. @return whether it is one. */
    bool handle(const wire::forwarded_reply& reply);
    /** Forwards the orders whose senders are still there, and answers the overdue ones. */
    void tick(mono_time now);
    /** Answers the orders that were forwarded to an instance: their replies are lost. */
    void on_disconnected(const instance_id& id);
    std::size_t size() const noexcept { return orders_.size(); }

private:
    struct order {
        http::exchange_id exchange{0};
        wire::forwarded_call call;
        instance_id leader;
        mono_time arrived_after{};
        mono_time received_at{};
        /** Present while the order waits to be forwarded with it. */
        std::optional<wire::order_stamp> stamp;
        mono_time stamped_at{};
    };

    bool is_due(const order& o, mono_time now) const;
    /** @return whether the order has been answered or handed over. */
    bool advance(order& o, mono_time now);
    void refuse(const order& o, const char* why);

    order_route route_;
    std::map<std::uint64_t, order> orders_;
};

} // namespace fescue::fleet
