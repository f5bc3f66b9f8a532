#pragma once

/**
 * @file
 * The control state and the function that applies a command to it.
 */

#include "fescuestream/catalogue/command.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescue::catalogue {

/** Servers of a data centre are hashed into this many shards, each with one home. */
inline constexpr std::uint32_t shards_per_data_centre = 16;
/** How many orders are remembered for resends. */
inline constexpr std::size_t kept_orders = 4096;
/** How many claims are remembered; the oldest ended ones go first. */
inline constexpr std::size_t kept_claims = 20'000;
/** Answers above this size are not kept beside their claim. */
inline constexpr std::size_t largest_kept_answer = 256U << 10U;
/** Bytes of kept answers in all; beyond it the oldest are forgotten, and a resend gets "unknown".
 */
inline constexpr std::size_t most_kept_answer_bytes = 48U << 20U;
/** An ended claim is kept at least this long. */
inline constexpr wall_ms claim_kept_for_ms = 24LL * 3600 * 1000;

struct key_record {
    team_id team;
    key_hash hash{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, hash);
    }
};

/** The first answer to an order. */
struct order_answer {
    std::uint64_t fingerprint{0};
    log_index version{0};
    std::optional<error> refused;
    std::string id;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(fingerprint, version, refused.has_value(),
                refused ? static_cast<std::uint8_t>(refused->kind) : std::uint8_t{0},
                refused ? refused->detail : std::string{}, id);
    }
    template <class Archive>
    void load(Archive& archive)
    {
        bool has = false;
        error e;
        std::uint8_t kind = 0;
        archive(fingerprint, version, has, kind, e.detail, id);
        e.kind = static_cast<error_kind>(kind);
        refused = has ? std::optional{e} : std::nullopt;
    }
};

struct member {
    data_centre_id data_centre;
    fescue::incarnation life{0};
    bool has_disk{false};
    std::string callers_address;
    std::string control_address;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(data_centre, life, has_disk, callers_address, control_address);
    }
};

struct allotment {
    fescue::incarnation life{0};
    std::uint32_t cap{0};
    std::uint32_t counted{0};
    epoch_number epoch{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(life, cap, counted, epoch);
    }
};

/** What an ended incarnation held and may still be running. */
struct orphan {
    team_id team;
    instance_id holder;
    fescue::incarnation life{0};
    std::uint32_t counted{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, holder, life, counted);
    }
};

struct home_record {
    instance_id home;
    fescue::incarnation life{0};
    epoch_number epoch{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(home, life, epoch);
    }
};

struct server_record {
    server_seen about;
    pool_id pool;
    epoch_number epoch{1};
    /** Set while the server drains to move to this pool. */
    std::optional<pool_id> moving_to;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(about, pool, epoch, moving_to.has_value(), moving_to.value_or(pool_id{}));
    }
    template <class Archive>
    void load(Archive& archive)
    {
        bool moving = false;
        pool_id to;
        archive(about, pool, epoch, moving, to);
        moving_to = moving ? std::optional{to} : std::nullopt;
    }
};

struct wave_server {
    wave_phase phase{wave_phase::waiting};
    fescue::incarnation life{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(phase, life);
    }
};

struct wave {
    wave_action action{wave_action::reboot};
    wall_ms deadline{0};
    std::map<server_id, wave_server> servers;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(action, deadline, servers);
    }
};

struct claim {
    request_id request;
    std::uint64_t fingerprint{0};
    claim_outcome outcome{claim_outcome::running};
    wall_ms begun{0};
    wall_ms over_at{0};
    int status{0};
    std::string content_type;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(request, fingerprint, outcome, begun, over_at, status, content_type, body);
    }
};

/** Everything that the instances agree on. */
struct control_state {
    log_index applied{0};
    log_index catalogue_version{0};
    document doc;
    std::map<key_id, key_record> keys;
    std::map<order_id, order_answer> orders;
    std::deque<order_id> order_age;
    std::map<instance_id, member> members;
    std::map<team_id, std::map<instance_id, allotment>> allotments;
    std::vector<orphan> orphans;
    std::map<data_centre_id, std::vector<home_record>> homes;
    std::map<server_id, server_record> servers;
    std::map<wave_id, wave> waves;
    std::map<claim_id, claim> claims;
    std::deque<claim_id> claim_age;
    std::uint64_t kept_answer_bytes{0};

    /** @return what counts against a team's limit: allotments and what the ended ones hold. */
    std::uint32_t counted(const team_id& team) const;
    /** @return the home of a server of this data centre, or nullptr when there is none. */
    const home_record* home_of(const data_centre_id& dc, const server_id& server) const;
    /** @return the server's phase in an open wave, if it is in one. */
    std::optional<wave_phase> phase_of(const server_id& server) const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(applied, catalogue_version, doc, keys, orders, order_age, members, allotments,
                orphans, homes, servers, waves, claims, claim_age, kept_answer_bytes);
    }
};

/** @return the shard that a server belongs to in its data centre; stable across builds. */
std::uint32_t shard_of(const server_id& server) noexcept;
/** @return a 64-bit hash that is the same on every machine. */
std::uint64_t stable_hash(std::string_view text) noexcept;

/** What a command came to. */
struct apply_result {
    /** Log index of the entry, or of the first one for a resent order. */
    log_index version{0};
    std::optional<error> refused;
    /** Id of what an order made: a key's, a wave's. */
    std::string id;
    /** The claim as it stands, after begin_claim. */
    std::optional<claim> found;
    /** Whether this very begin_claim recorded the claim. */
    bool claim_is_ours{false};
};

/** Applies one command at its log index. */
apply_result apply(control_state& state, log_index index, const command& cmd);

/** Encodes a command for the log; decode() refuses bytes that are not one. */
std::string encode(const command& cmd);
result<command> decode(const std::string& bytes);
std::string encode_state(const control_state& state);
result<control_state> decode_state(const std::string& bytes);

} // namespace fescue::catalogue
