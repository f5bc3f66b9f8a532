#pragma once

/**
 * @file
 * Messages exchanged by the replicas of the log, and the voter configuration.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/store/store.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fescue::consensus {

/**
 * A voter is identified by its instance and its disk: after the disk is wiped, the instance counts
 * as a different voter.
 */
struct voter {
    instance_id id;
    incarnation disk{0};

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the defaulted comparison.
    auto operator<=>(const voter&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, disk);
    }
};

/** The voters. Cluster 0 means that the instance has never been part of a formed cluster. */
struct configuration {
    std::uint64_t cluster{0};
    std::vector<voter> voters;

    bool contains(const voter& v) const
    {
        return std::find(voters.begin(), voters.end(), v) != voters.end();
    }
    std::size_t majority() const noexcept { return voters.size() / 2 + 1; }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(cluster, voters);
    }
};

struct append_request {
    term_number term{0};
    log_index prev_index{0};
    term_number prev_term{0};
    std::vector<store::log_entry> entries;
    log_index commit{0};
    /** Leader's monotonic clock at sending, in nanoseconds; echoed in the reply. */
    std::int64_t sent_at{0};
    /**
     * Start of the renewed lease on the receiver's own clock, derived from its last lease_probe;
     * 0 when the lease is not renewed.
     */
    std::int64_t lease_echo{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, prev_index, prev_term, entries, commit, sent_at, lease_echo);
    }
};

struct append_reply {
    term_number term{0};
    bool matched{false};
    /** Last index known to match the leader's log; on a mismatch, the follower's commit index. */
    log_index match{0};
    log_index applied{0};
    incarnation disk{0};
    std::int64_t sent_at{0};
    /** Follower's monotonic clock at sending, in nanoseconds. */
    std::int64_t lease_probe{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, matched, match, applied, disk, sent_at, lease_probe);
    }
};

struct vote_request {
    term_number term{0};
    /** Asks whether the vote would be granted, without changing any term. */
    bool pre_vote{false};
    log_index last_index{0};
    term_number last_term{0};
    incarnation disk{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, pre_vote, last_index, last_term, disk);
    }
};

struct vote_reply {
    term_number term{0};
    bool pre_vote{false};
    bool granted{false};
    incarnation disk{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, pre_vote, granted, disk);
    }
};

struct install_snapshot {
    term_number term{0};
    store::snapshot snap;
    std::int64_t sent_at{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, snap, sent_at);
    }
};

/**
 * An append request with at least this many bytes of entries is sent so that smaller messages
 * overtake it: a heartbeat must not wait for it. At 200 Mbit/s this size takes 3 ms.
 */
inline constexpr std::size_t large_append_bytes = 64U << 10U;

/** @return the size of the entries' commands. */
inline std::size_t append_bytes(const append_request& m) noexcept
{
    std::size_t bytes = 0;
    for (const store::log_entry& entry : m.entries) {
        bytes += entry.bytes.size();
    }
    return bytes;
}

inline bool is_large(const append_request& m) noexcept
{
    return append_bytes(m) >= large_append_bytes;
}

using message =
    std::variant<append_request, append_reply, vote_request, vote_reply, install_snapshot>;

} // namespace fescue::consensus
