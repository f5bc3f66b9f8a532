#pragma once

/**
 * @file
 * A scheduler: keeps the job log, and while it leads, gives orders to backend servers.
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
    /** Begins a planned stop; the loop ends when it is through. */
    void shut_down();
    /** Takes over what may change while running: further seeds. */
    void reload(const settings::job_service_settings& now);
    int exit_status() const noexcept;

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue::fleet
