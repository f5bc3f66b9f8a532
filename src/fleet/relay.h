#pragma once

/**
 * @file
 * Sends the leader's HTTP requests through the other schedulers. The HTTP client takes most of the
 * time of an order, and only the leader decides, so the others lend it their processors: a relay
 * knows nothing of what it sends.
 */

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

    relay(event_loop& loop, http::client& client, send_function send)
        : loop_{loop}, client_{client}, send_{std::move(send)}
    {
    }

    /** Schedulers that may send for this one, by data centre. */
    void set_helpers(std::map<data_centre_id, std::vector<instance_id>> helpers);
    /** Whether requests go through helpers at all. */
    void enable(bool on) noexcept { on_ = on; }
    /** Sends through a helper in the data centre, or by itself where there is none. The callback
     * is called exactly once, never from inside send(). @param key spreads over the helpers. */
    void send(const data_centre_id& near, std::size_t key, http::client_request&& request,
              http::client::callback done);

    void received(const instance_id& from, wire::relayed_call&& call);
    void received(wire::relayed_answer&& answer);
    /** What a helper had under way has no answer now. */
    void lost(const instance_id& helper);
    void tick();

private:
    struct open_call {
        instance_id helper;
        mono_time give_up{};
        http::client::callback done;
    };

    event_loop& loop_;
    http::client& client_;
    send_function send_;
    std::map<data_centre_id, std::vector<instance_id>> helpers_;
    std::map<std::uint64_t, open_call> open_;
    std::uint64_t next_{1};
    bool on_{false};
};

} // namespace fescue::fleet
