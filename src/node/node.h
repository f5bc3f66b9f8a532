#pragma once

/**
 * @file
 * One instance: its parts put together.
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

    /** Opens the data folder and the ports. */
    status start();
    /** Begins a planned stop; the loop is stopped once nothing is left to do. */
    void shut_down();
    /** @return the process's exit status. */
    int exit_status() const noexcept;

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue::node
