#pragma once

/**
 * @file
 * Decides whether this instance may accept and start work. It may while it holds a lease from the
 * log's leader, or while its whole data centre is partitioned from the leader. An instance that is
 * partitioned alone stops.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/wire/message.h"

#include <map>
#include <set>
#include <vector>

namespace fescue::membership {

/** An instance counts as alive until this time after its last heartbeat. */
inline constexpr milliseconds heartbeat_timeout{1500};

enum class serving : std::uint8_t {
    /** The instance must not start any work. */
    not_serving,
    /** The instance holds a lease from the log's leader. */
    leader_lease,
    /** The whole data centre is partitioned from the leader. */
    partitioned,
};

/** Latest heartbeat of each instance; a heartbeat lists the instances that its sender considers
 * alive. */
class heartbeat_table {
public:
    /** Records a heartbeat; one that is not newer than the last of its incarnation is dropped. */
    void record(const wire::heartbeat& message, mono_time now);
    /** @return whether a heartbeat of the instance arrived within heartbeat_timeout. */
    bool is_alive(const instance_id& id, mono_time now) const;
    /** @return whether instance id is alive and its last heartbeat lists self as alive. */
    bool is_heard_by(const instance_id& id, const instance_id& self, mono_time now) const;
    /** @return whether the instance is alive and its lease from the leader has not expired. */
    bool has_leader_lease(const instance_id& id, mono_time now) const;
    /** @return the instances that are currently alive. */
    std::vector<instance_id> alive_instances(mono_time now) const;

private:
    struct entry {
        wire::heartbeat last;
        mono_time received_at{};
    };
    std::map<instance_id, entry> entries_;
};

/** Input of decide_serving(). */
struct serving_inputs {
    instance_id self;
    mono_time now{};
    mono_time leader_lease_until{};
    /** Whether this instance is a member of a formed cluster and has its replicated state. */
    bool has_state{false};
    /** The other instances of this data centre, from the last committed membership. */
    std::vector<instance_id> neighbours;
};

/** @return whether and on what grounds this instance may serve at time in.now. */
serving decide_serving(const serving_inputs& in, const heartbeat_table& heartbeats);

} // namespace fescue::membership
