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

/** @return the number of voters that is more than half of this many. */
constexpr std::size_t majority_of(std::size_t voter_count) noexcept
{
    return voter_count / 2 + 1;
}

/** The voters. Cluster 0 means that the instance has never been part of a formed cluster. */
struct configuration {
    std::uint64_t cluster{0};
    std::vector<voter> voters;
    /**
     * Voters of the configuration that this one replaces. While there are any (joint consensus),
     * every decision needs a majority of them as well as a majority of the voters.
     */
    std::vector<voter> outgoing;

    bool contains(const voter& v) const
    {
        return std::find(voters.begin(), voters.end(), v) != voters.end();
    }
    bool is_joint() const noexcept { return !outgoing.empty(); }
    /** @return whether the voter takes part in decisions. */
    bool may_vote(const voter& v) const
    {
        return contains(v) || std::find(outgoing.begin(), outgoing.end(), v) != outgoing.end();
    }

    // The field at the end is omitted if empty, as in logs of versions without it.
    template <class Archive>
    void save(Archive& archive) const
    {
        archive(cluster, voters);
        if (!outgoing.empty()) {
            archive(outgoing);
        }
    }
    template <class Archive>
    void load(Archive& archive)
    {
        archive(cluster, voters);
        if (archive.remaining() > 0) {
            archive(outgoing);
        }
    }
};

/** @return whether a majority of one configuration always shares a voter with one of the other. */
inline bool majorities_overlap(const configuration& a, const configuration& b)
{
    const auto shared = static_cast<std::size_t>(std::count_if(
        a.voters.begin(), a.voters.end(), [&](const voter& v) { return b.contains(v); }));
    const std::size_t all = a.voters.size() + b.voters.size() - shared;
    return majority_of(a.voters.size()) + majority_of(b.voters.size()) > all;
}

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
