#pragma once

/**
 * @file
 * Options of worker_farm, and what its servers and its load generator agree on.
 */

#include "fescuestream/base/ids.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::fakes {

struct farm_options {
    std::vector<std::string> control_addresses;
    std::vector<std::string> entry_addresses;
    int servers{20};
    int first_port{20000};
    double jobs_per_s{20};
    int tasks{6};
    int task_ms{640};
    /** CPU request of each task, in millicores. */
    int task_cpu{1000};
    /** CPU capacity of a server, in millicores. */
    int server_cpu{64'000};
    /** The capacity of every other server changes while it runs, and its reports are interrupted
     * now and then. */
    bool capacity_varies{false};
    /** Servers refuse starts that exceed their capacity; otherwise such a start is a violation. */
    bool enforces_capacity{true};
    /** Servers restart without what they knew, and orders, reports and shutdown notices arrive
     * late, until SIGUSR2. */
    bool forgetful{false};
    /** Longest lease that a server grants, in milliseconds. */
    std::int64_t max_lease_ms{10'000};
    /** Servers are assigned round-robin to this many data centres. */
    int data_centres{1};
    /** Time for which jobs are submitted; 0: until SIGTERM. */
    int seconds{10};
    std::uint64_t seed{1};
};

inline constexpr std::array data_centre_names{"north", "south", "west"};
/** Runs with this text in their job's spec last until they are stopped, or fail after this time. */
inline constexpr std::string_view long_running_spec = "long-running";
inline const std::string load_generator_spec(500, 'x');

/** @return milliseconds on the monotonic clock. */
inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<milliseconds>(mono_clock::now().time_since_epoch()).count();
}

} // namespace fescue::fakes
