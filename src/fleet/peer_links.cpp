#include "peer_links.h"

#include "fescuestream/base/log.h"

#include <sodium.h>

namespace fescue::fleet {

namespace {

constexpr milliseconds ping_period{300};
/** The connection is considered dead after this: several pings are missing. */
constexpr milliseconds peer_silence_timeout{1500};
/** A leader hint expires after this unless it is repeated. */
constexpr milliseconds leader_hint_timeout{1200};

incarnation new_incarnation()
{
    incarnation out = 0;
    randombytes_buf(&out, sizeof out);
    return out >> 1U;
}

} // namespace

peer_links::peer_links(event_loop& loop, const settings::job_service_settings& settings,
                       link_events events)
    : loop_{loop}, settings_{settings}, events_{std::move(events)}, incarnation_{new_incarnation()}
{
    transport_ = std::make_unique<wire::transport>(
        loop_, settings_.cluster_secret, settings_.peers, std::vector<wire::peer_address>{},
        wire::transport_events{
            [this](const wire::hello& who, wire::message&& m) { handle(who, std::move(m)); },
            [](const wire::heartbeat& /*beat*/) {},
            [this](const wire::hello& who) {
                log::info("peer_connected",
                          {{"peer", who.from.str()}, {"life", who.incarnation_id}});
                connected_.insert(who.from);
                events_.on_connected(who);
            },
            [this](const instance_id& id) {
                log::info("peer_disconnected", {{"peer", id.str()}});
                connected_.erase(id);
                events_.on_disconnected(id);
            },
            [this](const wire::hello& who) {
                if (!ok(http::parse_endpoint(who.from.str() + ":1"))) {
                    return false;
                }
                add_scheduler(who.from);
                return true;
            }});
    transport_->supervise(peer_silence_timeout);
    transport_->hold_writes();
}

status peer_links::start()
{
    for (const std::string& seed : settings_.seeds) {
        add_scheduler(instance_id{seed});
    }
    ticker_ = loop_.every(ping_period, [this] { tick(); });
    return transport_->start([this] { return local_hello(); });
}

wire::hello peer_links::local_hello() const
{
    wire::hello out;
    out.from = settings_.id;
    out.incarnation_id = incarnation_;
    out.data_centre = settings_.data_centre;
    events_.fill_hello(out);
    return out;
}

void peer_links::add_scheduler(const instance_id& id)
{
    if (id != settings_.id) {
        transport_->add_peer({id, {id.str(), settings_.peers.port}});
    }
}

void peer_links::broadcast(const wire::message& m)
{
    const auto to = connected_;
    for (const instance_id& id : to) {
        transport_->send(id, m);
    }
}

void peer_links::handle(const wire::hello& who, wire::message&& m)
{
    const auto* ping = std::get_if<wire::ping>(&m);
    if (ping == nullptr) {
        events_.on_message(who, std::move(m));
        return;
    }
    for (const instance_id& id : ping->schedulers) {
        add_scheduler(id);
    }
    const bool newer = ping->term > leader_.term || leader_.id.empty();
    if (!ping->leader.empty() && (newer || ping->leader == leader_.id)) {
        if (ping->leader != leader_.id) {
            log::info("leader_known", {{"leader", ping->leader.str()},
                                       {"term", ping->term},
                                       {"reported_by", who.from.str()}});
        }
        leader_ = {ping->leader, std::max(ping->term, leader_.term), loop_.now()};
    }
}

void peer_links::tick()
{
    if (!leader_.id.empty() && loop_.now() - leader_.heard_at > leader_hint_timeout) {
        log::warning("leader_unknown", {{"last", leader_.id.str()}, {"term", leader_.term}});
        leader_.id = instance_id{};
    }
    wire::ping out;
    events_.fill_ping(out);
    broadcast(out);
}

} // namespace fescue::fleet
