#pragma once

/**
 * @file
 * The commands that the replicated log carries. Applying one is a pure function of the state
 * before it, so every instance comes to the same state.
 */

#include "fescuestream/base/error.h"
#include "fescuestream/base/ids.h"
#include "fescuestream/catalogue/document.h"

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace fescue::catalogue {

/** Keyed hash of a caller's key; keys themselves are never stored. */
using key_hash = std::array<std::uint8_t, 32>;

/** Replaces the catalogue, if it still has the version that the operator saw. */
struct put_catalogue {
    log_index if_version{0};
    document doc;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(if_version, doc);
    }
};

struct give_key {
    key_id id;
    team_id team;
    key_hash hash{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, team, hash);
    }
};

struct withdraw_key {
    key_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id);
    }
};

struct set_data_centre {
    data_centre_id id;
    bool in_service{true};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, in_service);
    }
};

enum class wave_action : std::uint8_t { reboot, drain };

/** Starts a maintenance wave over servers that the state knows. */
struct start_wave {
    wave_id id;
    wave_action action{wave_action::reboot};
    std::vector<server_id> servers;
    /** Wall clock, in milliseconds; 0: none. */
    wall_ms deadline{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, action, servers, deadline);
    }
};

using order_action =
    std::variant<put_catalogue, give_key, withdraw_key, set_data_centre, start_wave>;

/** An operator's order. A resend has the same id and gets the first answer. */
struct order {
    order_id id;
    /** Hash of what was ordered: the same id with another content is refused. */
    std::uint64_t fingerprint{0};
    order_action action;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, fingerprint, action);
    }
};

/** An instance was heard under this incarnation; an older one of the same id is gone. */
struct instance_joined {
    instance_id id;
    data_centre_id data_centre;
    fescue::incarnation life{0};
    bool has_disk{false};
    std::string callers_address;
    std::string control_address;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, data_centre, life, has_disk, callers_address, control_address);
    }
};

/** Sets what an instance may run for a team. Refused when the epoch moved or the sum grows
 * past the team's limit. */
struct set_allotment {
    team_id team;
    instance_id holder;
    fescue::incarnation life{0};
    epoch_number expected_epoch{0};
    /** Most the holder may have running. */
    std::uint32_t cap{0};
    /** What counts against the team's limit: the cap, or what is still running above it. */
    std::uint32_t counted{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, holder, life, expected_epoch, cap, counted);
    }
};

/** What an ended incarnation held counts no longer: its tasks are over. */
struct reclaim_allotments {
    instance_id holder;
    fescue::incarnation life{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(holder, life);
    }
};

/** Changes the home of one shard of a data centre's servers. An empty home: released. */
struct set_home {
    data_centre_id data_centre;
    std::uint32_t shard{0};
    instance_id home;
    fescue::incarnation life{0};
    epoch_number expected_epoch{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(data_centre, shard, home, life, expected_epoch);
    }
};

struct set_homes {
    std::vector<set_home> changes;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(changes);
    }
};

/** A server was seen for the first time, or its fixed properties changed. */
struct server_seen {
    server_id id;
    data_centre_id data_centre;
    rack_id rack;
    std::string address;
    std::uint32_t slots{0};
    std::uint32_t processors{0};
    std::uint32_t memory_mb{0};
    std::uint32_t accelerators{0};

    bool operator==(const server_seen&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, data_centre, rack, address, slots, processors, memory_mb, accelerators);
    }
};

/** One step of a move between pools; the epoch fences late steps. */
enum class move_step : std::uint8_t { drain, cancel, assign };

struct move_server {
    server_id id;
    move_step step{move_step::drain};
    epoch_number expected_epoch{0};
    pool_id to;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, step, expected_epoch, to);
    }
};

/** A server has not been heard for long and is forgotten. */
struct forget_server {
    server_id id;
    epoch_number expected_epoch{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, expected_epoch);
    }
};

enum class wave_phase : std::uint8_t { waiting, draining, may_stop, back };

/** Moves one server of a wave to its next phase. */
struct step_wave {
    wave_id id;
    server_id server;
    wave_phase from{wave_phase::waiting};
    wave_phase to{wave_phase::draining};
    /** The server's incarnation when it was told that it may stop. */
    fescue::incarnation life{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, server, from, to, life);
    }
};

/** Names a claim: a team's idempotency key. */
struct claim_id {
    team_id team;
    std::string key;

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter mistakes the defaulted comparison.
    auto operator<=>(const claim_id&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, key);
    }
};

/** Recorded before work that may not be repeated is dispatched. */
struct begin_claim {
    claim_id id;
    request_id request;
    std::uint64_t fingerprint{0};
    wall_ms now{0};
    /** When the work can no longer be running, by the wall clock. */
    wall_ms over_at{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, request, fingerprint, now, over_at);
    }
};

enum class claim_outcome : std::uint8_t { running, answered, unknown, not_run };

/** Records how a claimed request ended; not_run frees the key. */
struct end_claim {
    claim_id id;
    request_id request;
    claim_outcome outcome{claim_outcome::unknown};
    int status{0};
    std::string content_type;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, request, outcome, status, content_type, body);
    }
};

/** Filler entry of a new leader. */
struct no_operation {
    template <class Archive>
    void serialize(Archive& /*archive*/)
    {
    }
};

using command =
    std::variant<no_operation, order, instance_joined, set_allotment, reclaim_allotments, set_homes,
                 server_seen, move_server, forget_server, step_wave, begin_claim, end_claim>;

} // namespace fescue::catalogue
