#include "fescuestream/membership/serving_lease.h"

#include <algorithm>

namespace fescue::membership {

void heartbeat_table::heard(const wire::heartbeat& beat, mono_time now)
{
    entry& e = entries_[beat.from];
    if (e.last.life == beat.life && beat.sequence <= e.last.sequence) {
        return;
    }
    e.last = beat;
    e.at = now;
}

bool heartbeat_table::hears(const instance_id& id, mono_time now) const
{
    const auto found = entries_.find(id);
    return found != entries_.end() && now - found->second.at < heard_lease;
}

bool heartbeat_table::heard_by(const instance_id& id, const instance_id& self, mono_time now) const
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || now - found->second.at >= heard_lease) {
        return false;
    }
    const auto& list = found->second.last.hears;
    return std::ranges::find(list, self) != list.end();
}

bool heartbeat_table::has_leader(const instance_id& id, mono_time now) const
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || now - found->second.at >= heard_lease) {
        return false;
    }
    return now < found->second.at + milliseconds{found->second.last.lease_left_ms};
}

std::vector<instance_id> heartbeat_table::all_heard(mono_time now) const
{
    std::vector<instance_id> out;
    for (const auto& [id, e] : entries_) {
        if (now - e.at < heard_lease) {
            out.push_back(id);
        }
    }
    return out;
}

serving decide_serving(const serving_inputs& in, const heartbeat_table& table)
{
    if (!in.has_state) {
        return serving::none;
    }
    if (in.now < in.leader_lease_until) {
        return serving::with_leader;
    }
    for (const instance_id& id : in.neighbours) {
        // Both ways: what hears us but is not heard, or the other way round, is not with us.
        const bool together = table.hears(id, in.now) && table.heard_by(id, in.self, in.now);
        if (!together || table.has_leader(id, in.now)) {
            return serving::none;
        }
    }
    return serving::cut_off;
}

} // namespace fescue::membership
