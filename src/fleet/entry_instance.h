#pragma once

/**
 * @file
 * An entry instance: accepts callers' requests and forwards them to the leader. It holds no job
 * state.
 */

#include "fleet/protocol.h"

#include "fescuestream/base/loop.h"
#include "fescuestream/settings/job_service.h"

#include <memory>

namespace fescue::fleet {

class entry_instance {
public:
    entry_instance(event_loop& loop, const settings::job_service_settings& settings,
                   const protocol& wire);
    ~entry_instance();
    entry_instance(const entry_instance&) = delete;
    entry_instance& operator=(const entry_instance&) = delete;

    status start();
    /** Starts a graceful shutdown: reports not ready, so that new connections go to other entries,
     * and answers the open calls. */
    void shut_down();
    /** Applies the settings that may change at run time: additional seeds. */
    void reload(const settings::job_service_settings& updated);

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue::fleet
