#pragma once

/**
 * @file
 * Strong types for identifiers, clocks and units. Each kind of identifier has its own type, so that
 * a team cannot be passed where a server is expected.
 */

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include <ctime>

namespace fescue {

/** A string identifier. @tparam Tag an empty struct that makes the type distinct. */
template <class Tag>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(std::string value) : value_{std::move(value)} {}

    const std::string& str() const noexcept { return value_; }
    bool empty() const noexcept { return value_.empty(); }

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the defaulted comparison.
    auto operator<=>(const strong_id&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(value_);
    }

private:
    std::string value_;
};

using instance_id = strong_id<struct instance_tag>;
using data_centre_id = strong_id<struct data_centre_tag>;
using rack_id = strong_id<struct rack_tag>;
using server_id = strong_id<struct server_tag>;
using pool_id = strong_id<struct pool_tag>;
using service_id = strong_id<struct service_tag>;
using team_id = strong_id<struct team_tag>;
using key_id = strong_id<struct key_tag>;
using order_id = strong_id<struct order_tag>;
using request_id = strong_id<struct request_tag>;
using wave_id = strong_id<struct wave_tag>;

/** Identifies one lifetime of a process or a disk; a restart gets a new value. */
using incarnation = std::uint64_t;
/** Position in the replicated log; the first entry has index 1. */
using log_index = std::uint64_t;
/** Leader election term. */
using term_number = std::uint64_t;
/** Fencing token that increases with each change of ownership. */
using epoch_number = std::uint64_t;

using milliseconds = std::chrono::milliseconds;
/**
 * Monotonic clock that also advances while the machine is suspended, so that a lease expires
 * during a suspension too.
 */
struct mono_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<mono_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        timespec at{};
        clock_gettime(CLOCK_BOOTTIME, &at);
        return time_point{std::chrono::seconds{at.tv_sec} + std::chrono::nanoseconds{at.tv_nsec}};
    }
};
using mono_time = mono_clock::time_point;

/**
 * Wall clock time in milliseconds since the Unix epoch, for expiry times that must survive a
 * restart.
 */
using wall_ms = std::int64_t;

inline wall_ms wall_now() noexcept
{
    using namespace std::chrono;
    return duration_cast<std::chrono::milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace fescue

template <class Tag>
struct std::hash<fescue::strong_id<Tag>> {
    std::size_t operator()(const fescue::strong_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
