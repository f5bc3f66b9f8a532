#pragma once

/**
 * @file
 * One instance, composed of its components.
 */

#include "fescuestream/base/loop.h"
#include "fescuestream/settings/settings.h"

#include <memory>

namespace fescue::node {

class instance {
public:
    instance(event_loop& loop, settings::instance_settings settings);
    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /** Opens the data folder and the listening ports. */
    status start();
    /** Begins a graceful shutdown; the event loop stops once no work and no role is left. */
    void shut_down();
    /** @return the exit status for the process. */
    int exit_status() const noexcept;

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue::node
