#pragma once

/**
 * @file
 * Sends the leader's orders to backend servers through other schedulers. Most of the CPU time of an
 * order goes to encoding the request, the HTTP client and parsing the answer. Only the leader makes
 * decisions, so the other schedulers take over this work: a relay forwards orders and answers
 * without acting on them.
 */

#include "protocol.h"

#include "fescuestream/base/loop.h"
#include "fescuestream/http/client.h"
#include "fescuestream/wire/frame.h"
#include "fescuestream/wire/message.h"

#include <functional>
#include <map>
#include <vector>

namespace fescue::fleet {

class relay {
public:
    using send_function = std::function<bool(const instance_id&, const wire::message&)>;
    /** Receives the alternative of server_answer that corresponds to the order. */
    using callback = std::function<void(server_answer&&)>;

    relay(event_loop& loop, http::client& client, const protocol& wire_protocol, send_function send)
        : loop_{loop}, client_{client}, protocol_{wire_protocol}, send_{std::move(send)}
    {
    }

    /** Sets the schedulers that may send orders for this one, by data centre. */
    void set_relay_peers(std::map<data_centre_id, std::vector<instance_id>> peers);
    /** Sets whether orders go through relay peers; otherwise they are sent directly. */
    void enable(bool on) noexcept { enabled_ = on; }
    /** Sends an order through a relay peer in the data centre, or directly if there is none. The
     * callback is called exactly once, never from inside send(). */
    void send(const data_centre_id& data_centre, const server_address& to,
              const server_order& order, callback done);

    void handle(const instance_id& from, const wire::relayed_call& call);
    void handle(const wire::relayed_answer& answer);
    /** Makes the pending calls of a disconnected relay peer fail at the next tick(). */
    void on_disconnected(const instance_id& relay_peer);
    void tick();

private:
    struct pending_call {
        instance_id relay_peer;
        mono_time deadline{};
        mono_time sent_at{};
        server_address to;
        server_order order;
        callback done;
    };

    http::client_request make_request(const server_address& to, const server_order& order) const;
    server_answer parse_response(bool poll, const http::client_response& response) const;
    void send_directly(const server_address& to, const server_order& order, callback done);
    /** Handles a call that the relay peer did not send, because it seemed to have expired. */
    void resend_unless_expired(pending_call&& call);
    /** Completes a pending call as one whose answer was lost. */
    void fail_call(std::uint64_t number, const char* why);

    event_loop& loop_;
    http::client& client_;
    const protocol& protocol_;
    send_function send_;
    std::map<data_centre_id, std::vector<instance_id>> relay_peers_;
    std::map<std::uint64_t, pending_call> pending_calls_;
    std::uint64_t next_number_{wire::random_first_number()};
    bool enabled_{false};
};

} // namespace fescue::fleet
