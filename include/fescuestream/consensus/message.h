#pragma once

/**
 * @file
 * Messages between the replicas of the log, and the set of voters.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/store/store.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fescue::consensus {

/** A voter is an instance together with its disk: a wiped disk is another voter. */
struct voter {
    instance_id id;
    incarnation disk{0};

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter mistakes the defaulted comparison.
    auto operator<=>(const voter&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, disk);
    }
};

/** Who votes. Cluster 0 means that the instance was never part of a formed system. */
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
    /** Leader's clock at sending, in nanoseconds; comes back in the reply. */
    std::int64_t sent_at{0};
    /** The receiver's own clock as the leader last heard it, when its lease may be renewed. */
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
    /** Last index that agrees with the leader's log; on a mismatch one that surely does. */
    log_index match{0};
    log_index applied{0};
    incarnation disk{0};
    std::int64_t sent_at{0};
    std::int64_t lease_probe{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, matched, match, applied, disk, sent_at, lease_probe);
    }
};

struct vote_request {
    term_number term{0};
    /** Asks whether a vote would be given, without changing any term. */
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

using message =
    std::variant<append_request, append_reply, vote_request, vote_reply, install_snapshot>;

} // namespace fescue::consensus
