#pragma once

/**
 * @file
 * Limits on what the requests of one listening port may hold.
 */

#include "fescuestream/base/ids.h"

#include <cstddef>

namespace fescue::http {

/** The defaults exceed what callers within the platform's documented limits need: bodies of 256 KiB
 * that pause for less than 15 s. */
struct request_limits {
    /** Larger bodies are rejected with status 413. */
    std::size_t max_body_bytes{8U << 20U};
    /** Memory of the bodies of all exchanges that have not ended, in bytes. A body may exist three
     * times in a process, and the smallest instances have 160 MB. */
    std::size_t max_held_body_bytes{32U << 20U};
    /** An unfinished body that receives nothing for this long is dropped. */
    milliseconds body_stall_time{15'000};
    /** A connection is closed if a part of a request head has been there for this long. */
    milliseconds header_timeout{10'000};
    /** A connection on which nothing is sent or received for this long is closed. */
    milliseconds idle_timeout{60'000};
    std::size_t max_connections{8192};
    /** Memory of each connection for the head of a request and its parsed form, which takes 64
     * bytes for each line beside its text. */
    std::size_t head_buffer_bytes{32U << 10U};
    /** Longer header lines together are rejected with status 431; 0: what fits the buffer. */
    std::size_t max_head_bytes{0};
};

/** @return the limits with max_connections reduced to what the process's descriptor limit allows
 * beside its files and its connections to other processes. */
request_limits fit_descriptors(request_limits limits);

} // namespace fescue::http
