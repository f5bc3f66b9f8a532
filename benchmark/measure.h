#pragma once

/**
 * @file
 * Measurements shared by the benchmarks.
 */

#include <fstream>

namespace fescue::benchmark {

/** @return resident set size of this process, in megabytes. */
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
