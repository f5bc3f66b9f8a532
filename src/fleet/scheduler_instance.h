#pragma once

/**
 * @file
 * A scheduler instance: replicates the job log and, while it is the leader, sends orders to
 * backend servers.
 */

#include "fleet/protocol.h"

#include "fescuestream/base/loop.h"
#include "fescuestream/settings/job_service.h"

#include <memory>

namespace fescue::fleet {

class scheduler_instance {
public:
    scheduler_instance(event_loop& loop, const settings::job_service_settings& settings,
                       const protocol& wire);
    ~scheduler_instance();
    scheduler_instance(const scheduler_instance&) = delete;
    scheduler_instance& operator=(const scheduler_instance&) = delete;

    status start();
    /** Starts a graceful shutdown; stops the event loop when it is complete. */
    void shut_down();
    /** Applies the settings that may change at run time: additional seeds. */
    void reload(const settings::job_service_settings& updated);
    int exit_status() const noexcept;

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue::fleet
