#pragma once

/**
 * @file
 * What the benchmarks measure with.
 */

#include <fstream>

namespace fescue::benchmark {

/** @return memory of this process that is in use, in megabytes. */
inline double resident_mb()
{
    constexpr double page_bytes = 4096;
    std::ifstream in{"/proc/self/statm"};
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * page_bytes / 1e6;
}

} // namespace fescue::benchmark
