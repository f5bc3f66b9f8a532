#include "fescuestream/membership/serving_lease.h"

#include <algorithm>

namespace fescue::membership {

void heartbeat_table::record(const wire::heartbeat& message, mono_time now)
{
    entry& record = entries_[message.from];
    if (record.last.incarnation_id == message.incarnation_id &&
        message.sequence <= record.last.sequence) {
        return;
    }
    record.last = message;
    record.received_at = now;
}

bool heartbeat_table::is_alive(const instance_id& id, mono_time now) const
{
    const auto found = entries_.find(id);
    return found != entries_.end() && now - found->second.received_at < heartbeat_timeout;
}

bool heartbeat_table::is_heard_by(const instance_id& id, const instance_id& self,
                                  mono_time now) const
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || now - found->second.received_at >= heartbeat_timeout) {
        return false;
    }
    const auto& heard_instances = found->second.last.heard_instances;
    return std::ranges::find(heard_instances, self) != heard_instances.end();
}

bool heartbeat_table::has_leader_lease(const instance_id& id, mono_time now) const
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || now - found->second.received_at >= heartbeat_timeout) {
        return false;
    }
    return now < found->second.received_at + milliseconds{found->second.last.lease_remaining_ms};
}

std::vector<instance_id> heartbeat_table::alive_instances(mono_time now) const
{
    std::vector<instance_id> out;
    for (const auto& [id, record] : entries_) {
        if (now - record.received_at < heartbeat_timeout) {
            out.push_back(id);
        }
    }
    return out;
}

serving decide_serving(const serving_inputs& in, const heartbeat_table& heartbeats)
{
    if (!in.has_state) {
        return serving::not_serving;
    }
    if (in.now < in.leader_lease_until) {
        return serving::leader_lease;
    }
    for (const instance_id& id : in.neighbours) {
        // A neighbour with one-way connectivity does not count as reachable.
        const bool mutually_heard =
            heartbeats.is_alive(id, in.now) && heartbeats.is_heard_by(id, in.self, in.now);
        if (!mutually_heard || heartbeats.has_leader_lease(id, in.now)) {
            return serving::not_serving;
        }
    }
    return serving::partitioned;
}

} // namespace fescue::membership
