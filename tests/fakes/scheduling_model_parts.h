#pragma once

/**
 * @file
 * Schedulers and machines of the simulation in scheduling_model.h.
 */

#include "fakes/scheduling_model.h"
#include "platform.h"

namespace fescue::fakes {

/** One scheduler. All share the committed log, so a follower never lags. */
struct scheduling_model::scheduler {
    scheduler(scheduling_model& model, std::size_t number)
        : id{"s" + std::to_string(number)},
          order_relay{model.loop_, client, wire,
                      [&model, this](const instance_id&, const wire::message& m) {
                          const auto& c = std::get<wire::relayed_call>(m);
                          model.send({this, c.number,
                                      value(from_bytes<fleet::addressed_order>(c.order)),
                                      model.loop_.now()});
                          return true;
                      }},
          client{model.loop_}, context{model.loop_, settings,   wire,    client,
                                       order_relay, model.log_, counters}
    {
        settings.bounds.max_lease_ms = model.limits_.max_lease_ms;
        order_relay.set_relay_peers({{data_centre_id{}, {instance_id{"relay"}}}});
        order_relay.enable(true);
    }

    std::string id;
    settings::job_service_settings settings;
    fleet::protocol wire{platform::make_protocol()};
    fleet::relay order_relay;
    http::client client;
    metrics counters;
    fleet::core_context context;
    fleet::run_driver driver{context, [] {}, 0};
    /** Its orders leave only when it goes on. */
    bool holds_calls{false};
    bool stopped{false};
    std::vector<call> held_calls;
    /** What reaches it while it is stopped. */
    std::vector<std::function<void()>> backlog;
};

struct scheduling_model::machine {
    struct waiting_poll {
        call order;
        mono_time until{};
    };

    std::string address;
    std::unique_ptr<fake_server> server;
    /** Id of the last server on the machine. */
    server_id last_id;
    bool draining{false};
    /** Between the crash and the final loss of its server. */
    bool relapsing{false};
    /** When a draining server ends. */
    mono_time ends_at{};
    std::vector<waiting_poll> polls;
    mono_time inbound_cut_until{};
    mono_time outbound_cut_until{};
    mono_time next_report{};
};

} // namespace fescue::fakes
