#pragma once

/**
 * @file
 * Sends the leader's orders to servers through the other schedulers. Writing an order as a request,
 * the HTTP client and reading the answer take most of the time of an order, and only the leader
 * decides, so the others lend it their processors: a relay carries orders and answers, and judges
 * neither.
 */

#include "protocol.h"

#include "fescuestream/base/loop.h"
#include "fescuestream/http/client.h"
#include "fescuestream/wire/message.h"

#include <functional>
#include <map>
#include <vector>

namespace fescue::fleet {

class relay {
public:
    using send_function = std::function<bool(const instance_id&, const wire::message&)>;
    /** Gets the kind of answer that belongs to its order. */
    using callback = std::function<void(server_answer&&)>;

    relay(event_loop& loop, http::client& client, const protocol& translator, send_function send)
        : loop_{loop}, client_{client}, translator_{translator}, send_{std::move(send)}
    {
    }

    /** Schedulers that may send for this one, by data centre. */
    void set_helpers(std::map<data_centre_id, std::vector<instance_id>> helpers);
    /** Whether orders go through helpers at all. */
    void enable(bool on) noexcept { on_ = on; }
    /** Sends through a helper in the data centre, or by itself where there is none. The callback
     * is called exactly once, never from inside send(). */
    void send(const data_centre_id& near, const server_address& to, const server_order& order,
              callback done);

    void received(const instance_id& from, const wire::relayed_call& call);
    void received(const wire::relayed_answer& answer);
    /** What a helper had under way has no answer now. */
    void lost(const instance_id& helper);
    void tick();

private:
    struct open_call {
        instance_id helper;
        mono_time give_up{};
        bool look{false};
        callback done;
    };

    http::client_request request_of(const server_address& to, const server_order& order) const;
    server_answer answer_of(bool look, const http::client_response& response) const;
    /** Calls back with what no answer means for the order. */
    void give_up(std::uint64_t number, const char* why);

    event_loop& loop_;
    http::client& client_;
    const protocol& translator_;
    send_function send_;
    std::map<data_centre_id, std::vector<instance_id>> helpers_;
    std::map<std::uint64_t, open_call> open_;
    std::uint64_t next_{1};
    bool on_{false};
};

} // namespace fescue::fleet
