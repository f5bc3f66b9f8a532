#pragma once

/**
 * @file
 * Accounts for the memory that request bodies hold.
 *
 * Load pattern: hundreds of clients send large bodies, stop just short of the end, and keep their
 * connections open. Refusing new bodies while those hold all memory would lock out ordinary
 * callers. The unfinished body that has made no progress for the longest time is therefore dropped
 * first: callers that send their bodies without a pause come last. Complete bodies are never
 * dropped, since their requests may have taken effect.
 */

#include "fescuestream/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

namespace fescue::http {

using body_id = std::uint64_t;

class held_bodies {
public:
    explicit held_bodies(std::size_t max_bytes) : max_bytes_{max_bytes} {}

    /** Adds an unfinished body without any bytes. */
    void begin(body_id id, mono_time now);
    /** Sets the memory that the body holds, unless all bodies would exceed the maximum.
     * @return whether it was set. */
    bool try_resize(body_id id, std::size_t bytes);
    /** Records that the unfinished body has received data. */
    void record_progress(body_id id, mono_time now);
    /** The body has been received whole; it holds its memory until it is removed. */
    void complete(body_id id);
    void remove(body_id id);

    /** @return the unfinished body other than @p except that has received nothing for the longest
     * time, out of those that hold at least @p min_bytes. */
    std::optional<body_id> longest_stalled(body_id except, std::size_t min_bytes) const;
    /** @return an unfinished body that has received nothing since @p time, if any. */
    std::optional<body_id> stalled_since(mono_time time) const;
    std::size_t bytes() const noexcept { return bytes_; }

private:
    struct body {
        std::size_t bytes{0};
        mono_time last_progress{};
        bool unfinished{true};
    };
    std::size_t max_bytes_;
    std::size_t bytes_{0};
    std::unordered_map<body_id, body> bodies_;
    /** The unfinished bodies by the time of their last progress. */
    std::set<std::pair<mono_time, body_id>> unfinished_;
};

} // namespace fescue::http
