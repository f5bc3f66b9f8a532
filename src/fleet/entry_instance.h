#pragma once

/**
 * @file
 * An entry: takes callers' calls and has the leader answer them. It keeps no job state.
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
    /** Begins a planned stop: new connections go elsewhere, open calls are answered. */
    void shut_down();
    /** Takes over what may change while running: further seeds. */
    void reload(const settings::job_service_settings& now);

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue::fleet
