#pragma once

/**
 * @file
 * Finds servers that fail or stall what they start, from the ends of runs and not from what the
 * servers say of themselves.
 *
 * Load pattern: some servers of a pool fail all that they start, at once, and so look free and draw
 * still more work; others let it stand still. A server whose failures stand out against its
 * peers' gets single trial tasks after a pause that grows; a good end clears it. At most a share
 * of the servers is held back, so a fault of the work itself does not empty the pool.
 */

#include "fescuestream/base/ids.h"

#include <map>

namespace fescue::scheduler {

class server_health {
public:
    /** A run on the server ended well. */
    void succeeded(const server_id& id);
    /** A run failed there, was refused, or stood still. */
    void failed(const server_id& id, mono_time now);
    void forget(const server_id& id);

    /** @return whether the server gets no work at present. @param pool_servers servers that could
     * take work, to bound how many are held back. */
    bool held_back(const server_id& id, mono_time now) const;
    /** @return whether it gets single tasks only. */
    bool on_trial(const server_id& id) const;
    /** @return failures in a row, for choosing among servers. */
    std::uint32_t demerits(const server_id& id) const;

private:
    struct record {
        std::uint32_t failures_in_a_row{0};
        mono_time not_before{};
    };
    std::map<server_id, record> records_;
};

} // namespace fescue::scheduler
