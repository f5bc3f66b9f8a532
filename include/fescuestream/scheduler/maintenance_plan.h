#pragma once

/**
 * @file
 * Decides which machines of a maintenance wave are drained and taken down next.
 *
 * Load pattern: a wave covers a large part of the machines and is due within seconds. Taking down
 * as many at once as the wave allows removes that capacity during a burst; taking down one at a
 * time misses the deadline. The plan uses the lowest concurrency that finishes with time to spare,
 * starts with the machines with the fewest tasks, and drains the next ones while these are down.
 */

#include "fescuestream/base/ids.h"

#include <string>
#include <vector>

namespace fescue::scheduler {

struct maintenance_candidate {
    std::string machine;
    /** The maintenance order is in the log; the machine may be down. */
    bool started{false};
    /** The machine is cordoned: its server gets no new tasks. */
    bool cordoned{false};
    /** The machine's server is known and up, or there is no server to drain. */
    bool ready{false};
    std::uint32_t long_running_tasks{0};
    std::uint32_t other_tasks{0};

    bool empty() const noexcept { return long_running_tasks == 0 && other_tasks == 0; }
};

struct maintenance_view {
    /** Machines whose maintenance is not finished. */
    std::vector<maintenance_candidate> machines;
    std::uint32_t max_concurrent{1};
    /** Time until the wave's deadline; may be negative. */
    milliseconds time_left{0};
    /** Time to drain and maintain one machine. */
    milliseconds time_per_machine{0};
};

struct maintenance_decision {
    /** Indices into maintenance_view::machines. */
    std::vector<std::size_t> cordon;
    std::vector<std::size_t> start;
    /** The deadline is at risk: tasks still running on cordoned machines are to be stopped. */
    bool deadline_at_risk{false};
};

maintenance_decision plan_maintenance(const maintenance_view& wave);

} // namespace fescue::scheduler
