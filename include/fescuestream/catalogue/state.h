#pragma once

/**
 * @file
 * The replicated control state and the function that applies a command to it.
 */

#include "fescuestream/catalogue/command.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescue::catalogue {

/** The servers of a data centre are hashed into this many shards. Each shard has one home: the
 * instance that starts the tasks on its servers. */
inline constexpr std::uint32_t shards_per_data_centre = 16;
/** Number of order results that are stored to answer retries; the oldest are evicted first. */
inline constexpr std::size_t max_stored_orders = 4096;
/** Maximum number of stored claims. At the limit the oldest are evicted once they have ended. */
inline constexpr std::size_t max_stored_claims = 20'000;
/** Maximum size in bytes of an answer that is stored with its claim. */
inline constexpr std::size_t max_stored_answer_size = 256U << 10U;
/** Maximum total size in bytes of the stored answers. Above it the oldest are dropped, and a retry
 * of their requests gets the outcome "unknown". */
inline constexpr std::size_t max_stored_answer_bytes = 48U << 20U;
/** Retention time of an ended claim, unless max_stored_claims forces an earlier eviction. */
inline constexpr wall_ms claim_retention_ms = 24LL * 3600 * 1000;

struct key_record {
    team_id team;
    key_hash hash{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, hash);
    }
};

/** The result of an order's first application, returned again to retries. */
struct stored_order_result {
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
        bool has_error = false;
        error e;
        std::uint8_t kind = 0;
        archive(fingerprint, version, has_error, kind, e.detail, id);
        e.kind = static_cast<error_kind>(kind);
        refused = has_error ? std::optional{e} : std::nullopt;
    }
};

struct member {
    data_centre_id data_centre;
    fescue::incarnation incarnation_id{0};
    bool has_disk{false};
    std::string callers_address;
    std::string control_address;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(data_centre, incarnation_id, has_disk, callers_address, control_address);
    }
};

struct allotment {
    fescue::incarnation incarnation_id{0};
    std::uint32_t cap{0};
    std::uint32_t counted{0};
    epoch_number epoch{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation_id, cap, counted, epoch);
    }
};

/** The allotment of an ended incarnation, whose tasks may still be running. */
struct orphaned_allotment {
    team_id team;
    instance_id holder;
    fescue::incarnation incarnation_id{0};
    std::uint32_t counted{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, holder, incarnation_id, counted);
    }
};

struct home_record {
    instance_id home;
    fescue::incarnation incarnation_id{0};
    epoch_number epoch{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(home, incarnation_id, epoch);
    }
};

struct server_record {
    register_server properties;
    pool_id pool;
    epoch_number epoch{1};
    /** Target pool of a move, while the server drains for it. */
    std::optional<pool_id> moving_to;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(properties, pool, epoch, moving_to.has_value(), moving_to.value_or(pool_id{}));
    }
    template <class Archive>
    void load(Archive& archive)
    {
        bool has_target = false;
        pool_id target;
        archive(properties, pool, epoch, has_target, target);
        moving_to = has_target ? std::optional{target} : std::nullopt;
    }
};

struct wave_server {
    wave_phase phase{wave_phase::waiting};
    fescue::incarnation incarnation_id{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(phase, incarnation_id);
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
    wall_ms started{0};
    wall_ms expires_at{0};
    int status{0};
    std::string content_type;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(request, fingerprint, outcome, started, expires_at, status, content_type, body);
    }
};

/** The state that the replicated log maintains on every instance. */
struct control_state {
    log_index applied{0};
    log_index catalogue_version{0};
    document doc;
    std::map<key_id, key_record> keys;
    std::map<order_id, stored_order_result> orders;
    std::deque<order_id> order_ids_by_age;
    std::map<instance_id, member> members;
    std::map<team_id, std::map<instance_id, allotment>> allotments;
    std::vector<orphaned_allotment> orphaned_allotments;
    std::map<data_centre_id, std::vector<home_record>> homes;
    std::map<server_id, server_record> servers;
    std::map<wave_id, wave> waves;
    std::map<claim_id, claim> claims;
    std::deque<claim_id> claim_ids_by_age;
    std::uint64_t stored_answer_bytes{0};

    /** @return how much counts against a team's limit: its allotments plus the orphaned ones. */
    std::uint32_t counted(const team_id& team) const;
    /** @return the home of a server in this data centre, or nullptr if its shard has none. */
    const home_record* find_home(const data_centre_id& dc, const server_id& server) const;
    /** @return the server's phase in a maintenance wave, if it is part of one and not back yet. */
    std::optional<wave_phase> find_wave_phase(const server_id& server) const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(applied, catalogue_version, doc, keys, orders, order_ids_by_age, members,
                allotments, orphaned_allotments, homes, servers, waves, claims, claim_ids_by_age,
                stored_answer_bytes);
    }
};

/** @return the server's shard within its data centre; the same in every build. */
std::uint32_t shard_of(const server_id& server) noexcept;
/** @return the 64-bit FNV-1a hash of the text, which is the same on every machine. */
std::uint64_t stable_hash(std::string_view text) noexcept;

/** Result of applying a command. */
struct apply_result {
    /** Log index of the entry; for a retried order, the index of its first entry. */
    log_index version{0};
    std::optional<error> refused;
    /** Id of the key or wave that an order created. */
    std::string id;
    /** The stored claim after begin_claim. */
    std::optional<claim> stored_claim;
    /** Whether the stored claim belongs to the request of this begin_claim. */
    bool claimed_by_request{false};
};

/** Applies the command of the log entry with this index. */
apply_result apply(control_state& state, log_index index, const command& cmd);

/** Encodes a command for the log; decode() returns an error for bytes that are not a command. */
std::string encode(const command& cmd);
result<command> decode(const std::string& bytes);
std::string encode_state(const control_state& state);
result<control_state> decode_state(const std::string& bytes);

} // namespace fescue::catalogue
