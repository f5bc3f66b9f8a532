#pragma once

/**
 * @file
 * What a backend server says of itself, about once a second.
 */

#include "fescuestream/jobs/model.h"

#include <string>
#include <vector>

namespace fescue::jobs {

struct server_report {
    server_id id;
    /** Unix time of the process's start, in milliseconds: tells its lives apart. */
    incarnation life{0};
    /** Grows with each report of one life. */
    std::uint64_t sequence{0};
    /** IP:PORT that takes orders. */
    std::string address;
    pool_id pool;
    data_centre_id data_centre;
    rack_id rack;
    std::vector<std::string> labels;
    resources capacity;
    /** The server will end; it takes no new work. */
    bool leaving{false};
    /** Least time until it ends, in milliseconds, while leaving. */
    std::int64_t remaining_ms{0};
    /** The server's own steady clock, in milliseconds; leases are told in it. */
    std::int64_t clock_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, life, sequence, address, pool, data_centre, rack, labels, capacity, leaving,
                remaining_ms, clock_ms);
    }
};

} // namespace fescue::jobs
