#pragma once

/**
 * @file
 * Whether this instance may take and start work: it hears from the log's leader, or it is cut off
 * together with its data centre. An instance that is cut off alone stops.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/wire/message.h"

#include <map>
#include <set>
#include <vector>

namespace fescue::membership {

/** An instance whose heartbeats stopped for this long is not heard. */
inline constexpr milliseconds heard_lease{1500};

enum class serving : std::uint8_t {
    /** It must not start anything. */
    none,
    /** The log's leader renews its lease. */
    with_leader,
    /** Its data centre is cut off as a whole. */
    cut_off,
};

/** Who is heard, and whom they hear. */
class heartbeat_table {
public:
    /** Takes a heartbeat; one that is older than the last of the same incarnation is dropped. */
    void heard(const wire::heartbeat& beat, mono_time now);
    bool hears(const instance_id& id, mono_time now) const;
    /** @return whether the other hears this instance, as it last said. */
    bool heard_by(const instance_id& id, const instance_id& self, mono_time now) const;
    bool has_leader(const instance_id& id, mono_time now) const;
    std::vector<instance_id> all_heard(mono_time now) const;

private:
    struct entry {
        wire::heartbeat last;
        mono_time at{};
    };
    std::map<instance_id, entry> entries_;
};

/** What the decision rests on. */
struct serving_inputs {
    instance_id self;
    mono_time now{};
    mono_time leader_lease_until{};
    /** This instance was part of a formed system and has its state. */
    bool has_state{false};
    /** The other instances of this data centre, by the last committed membership. */
    std::vector<instance_id> neighbours;
};

/** @return how this instance may serve at this moment. */
serving decide_serving(const serving_inputs& in, const heartbeat_table& table);

} // namespace fescue::membership
