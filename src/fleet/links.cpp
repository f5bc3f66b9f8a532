#include "links.h"

#include "fescuestream/base/log.h"

#include <sodium.h>

namespace fescue::fleet {

namespace {

constexpr milliseconds ping_period{300};
/** Several pings are missing: the connection is taken for dead. */
constexpr milliseconds longest_silence{1500};
/** A word on the leader that was not repeated for so long counts no more. */
constexpr milliseconds hint_lease{1200};

incarnation new_life()
{
    incarnation out = 0;
    randombytes_buf(&out, sizeof out);
    return out >> 1U;
}

} // namespace

links::links(event_loop& loop, const settings::job_service_settings& settings, link_events events)
    : loop_{loop}, settings_{settings}, events_{std::move(events)}, life_{new_life()}
{
    transport_ = std::make_unique<wire::transport>(
        loop_, settings_.cluster_secret, settings_.peers, std::vector<wire::peer_address>{},
        wire::transport_events{
            [this](const wire::hello& who, wire::message&& m) { take(who, std::move(m)); },
            [](const wire::heartbeat& /*beat*/) {},
            [this](const wire::hello& who) {
                log::info("peer_connected", {{"peer", who.from.str()}, {"life", who.life}});
                connected_.insert(who.from);
                events_.connected(who);
            },
            [this](const instance_id& id) {
                log::info("peer_disconnected", {{"peer", id.str()}});
                connected_.erase(id);
                events_.disconnected(id);
            },
            [this](const wire::hello& who) {
                if (!ok(http::parse_endpoint(who.from.str() + ":1"))) {
                    return false;
                }
                add_scheduler(who.from);
                return true;
            }});
    transport_->supervise(longest_silence);
    transport_->hold_writes();
}

status links::start()
{
    for (const std::string& seed : settings_.seeds) {
        add_scheduler(instance_id{seed});
    }
    ticker_ = loop_.every(ping_period, [this] { tick(); });
    return transport_->start([this] { return about_me(); });
}

wire::hello links::about_me() const
{
    wire::hello out;
    out.from = settings_.id;
    out.life = life_;
    out.data_centre = settings_.data_centre;
    events_.describe(out);
    return out;
}

void links::add_scheduler(const instance_id& id)
{
    if (id != settings_.id) {
        transport_->add_peer({id, {id.str(), settings_.peers.port}});
    }
}

void links::send_to_all(const wire::message& m)
{
    const auto to = connected_;
    for (const instance_id& id : to) {
        transport_->send(id, m);
    }
}

void links::take(const wire::hello& who, wire::message&& m)
{
    const auto* ping = std::get_if<wire::ping>(&m);
    if (ping == nullptr) {
        events_.received(who, std::move(m));
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
                                       {"told_by", who.from.str()}});
        }
        leader_ = {ping->leader, std::max(ping->term, leader_.term), loop_.now()};
    }
}

void links::tick()
{
    if (!leader_.id.empty() && loop_.now() - leader_.heard_at > hint_lease) {
        log::warning("leader_unknown", {{"last", leader_.id.str()}, {"term", leader_.term}});
        leader_.id = instance_id{};
    }
    wire::ping out;
    events_.ping(out);
    send_to_all(out);
}

} // namespace fescue::fleet
