#pragma once

/**
 * @file
 * The status report that a backend server sends about once a second.
 */

#include "fescuestream/jobs/model.h"

#include <string>
#include <vector>

namespace fescue::jobs {

struct server_report {
    server_id id;
    /** Start time of the process as Unix time in milliseconds; identifies the incarnation. */
    incarnation incarnation_id{0};
    /** Increases with each report of the same incarnation. */
    std::uint64_t sequence{0};
    /** IP:PORT on which the server accepts orders. */
    std::string address;
    pool_id pool;
    data_centre_id data_centre;
    rack_id rack;
    std::vector<std::string> labels;
    resources capacity;
    /** Whether the server is about to shut down and accepts no new tasks. */
    bool leaving{false};
    /** Minimum time until the shutdown in milliseconds, if leaving. */
    std::int64_t remaining_ms{0};
    /** Reading of the server's monotonic clock in milliseconds. Lease ends are expressed in it. */
    std::int64_t clock_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, incarnation_id, sequence, address, pool, data_centre, rack, labels, capacity,
                leaving, remaining_ms, clock_ms);
    }
};

} // namespace fescue::jobs
