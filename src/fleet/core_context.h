#pragma once

/**
 * @file
 * State and services shared by the components of a scheduler instance.
 */

#include "job_memory.h"
#include "protocol.h"
#include "relay.h"

#include "fescuestream/base/loop.h"
#include "fescuestream/base/metrics.h"
#include "fescuestream/http/client.h"
#include "fescuestream/jobs/state.h"
#include "fescuestream/replication/replicated.h"
#include "fescuestream/settings/job_service.h"

namespace fescue::fleet {

using job_log = replication::replicated<jobs::machine>;

struct core_context {
    event_loop& loop;
    const settings::job_service_settings& settings;
    const protocol& server_protocol;
    http::client& client;
    relay& order_relay;
    job_log& log;
    metrics& counters;
    job_memory stored_jobs{settings.max_job_bytes};
    /** Whether every scheduler knows the commands on refused and exhausted jobs. */
    bool all_commands_known{true};

    mono_time now() const noexcept { return loop.now(); }
    const jobs::state& state() const noexcept { return log.state(); }
    term_number fencing_token() const noexcept { return log.replica().term(); }
    /** @return whether this instance holds a valid leader lease, so that it may send orders and
     * serve consistent reads. */
    bool has_leader_lease() const { return log.replica().has_leader_lease(loop.now()); }
    /** @return whether the log may take a command of this size; one command always fits. */
    bool log_has_room(std::size_t bytes) const
    {
        const std::size_t unapplied = log.replica().unapplied_bytes();
        return unapplied == 0 || unapplied + bytes <= settings.max_log_bytes;
    }
};

} // namespace fescue::fleet
