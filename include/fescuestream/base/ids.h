#pragma once

/**
 * @file
 * Strong types for names and units. Every name in the system has its own type, so a team can
 * never be passed where a server is meant.
 */

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include <ctime>

namespace fescue {

/** A name with a type of its own. @tparam Tag an empty struct that tells the names apart. */
template <class Tag>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(std::string value) : value_{std::move(value)} {}

    /** @return the name as text. */
    const std::string& str() const noexcept { return value_; }
    /** @return true when no name was given. */
    bool empty() const noexcept { return value_.empty(); }

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter mistakes the defaulted comparison.
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

/** One life of a process or a disk; a restart has another number. */
using incarnation = std::uint64_t;
/** Position in the replicated log; the first entry has 1. */
using log_index = std::uint64_t;
/** Term of a leader. */
using term_number = std::uint64_t;
/** Fencing number that grows with each change of ownership. */
using epoch_number = std::uint64_t;

using milliseconds = std::chrono::milliseconds;
/**
 * Monotonic clock that also counts the time in which the machine was suspended, so that a lease
 * held across a suspension is seen to have ended.
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

/** Milliseconds since 1970 on the wall clock; used for expiry dates that survive a restart. */
using wall_ms = std::int64_t;

/** @return the wall clock's time in milliseconds. */
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
