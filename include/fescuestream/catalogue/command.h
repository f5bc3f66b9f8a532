#pragma once

/**
 * @file
 * Commands of the replicated control log. Applying one is a pure function of the previous state, so
 * every instance reaches the same state.
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

/** Keyed hash of a caller's API key. The keys themselves are never stored. */
using key_hash = std::array<std::uint8_t, 32>;

/** Replaces the catalogue if its version is still the one that the operator based the change on. */
struct put_catalogue {
    log_index expected_version{0};
    document doc;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(expected_version, doc);
    }
};

struct issue_key {
    key_id id;
    team_id team;
    key_hash hash{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, team, hash);
    }
};

struct revoke_key {
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
constexpr wave_action last_value(wave_action /*type*/) noexcept
{
    return wave_action::drain;
}

/** Starts a maintenance wave over registered servers. */
struct start_wave {
    wave_id id;
    wave_action action{wave_action::reboot};
    std::vector<server_id> servers;
    /** Unix time in milliseconds; 0 means no deadline. */
    wall_ms deadline{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, action, servers, deadline);
    }
};

using order_action =
    std::variant<put_catalogue, issue_key, revoke_key, set_data_centre, start_wave>;

/** An operator's order. A retry carries the same id and gets the first result again. */
struct order {
    order_id id;
    /** Hash of the order's content. Reusing an id with different content is refused. */
    std::uint64_t fingerprint{0};
    order_action action;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, fingerprint, action);
    }
};

/** An instance has joined with this incarnation; earlier incarnations of its id have ended. */
struct register_instance {
    instance_id id;
    data_centre_id data_centre;
    fescue::incarnation incarnation_id{0};
    bool has_disk{false};
    std::string callers_address;
    std::string control_address;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, data_centre, incarnation_id, has_disk, callers_address, control_address);
    }
};

/** Sets how many requests of a team an instance may run. Refused if the epoch does not match, or if
 * an increase takes the sum of all allotments above the team's limit. */
struct set_allotment {
    team_id team;
    instance_id holder;
    fescue::incarnation incarnation_id{0};
    epoch_number expected_epoch{0};
    /** Maximum number of requests that the holder may run at the same time. */
    std::uint32_t cap{0};
    /** Amount that counts against the team's limit: the cap, or more while requests above a lowered
     * cap are still running. */
    std::uint32_t counted{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, holder, incarnation_id, expected_epoch, cap, counted);
    }
};

/** Removes the orphaned allotments of an ended incarnation, once all its tasks are over. */
struct release_orphaned_allotments {
    instance_id holder;
    fescue::incarnation incarnation_id{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(holder, incarnation_id);
    }
};

/** Changes the home of one server shard of a data centre. An empty home releases the shard. */
struct set_home {
    data_centre_id data_centre;
    std::uint32_t shard{0};
    instance_id home;
    fescue::incarnation incarnation_id{0};
    epoch_number expected_epoch{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(data_centre, shard, home, incarnation_id, expected_epoch);
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

/** Registers a new server, or updates a server whose properties have changed. */
struct register_server {
    server_id id;
    data_centre_id data_centre;
    rack_id rack;
    std::string address;
    std::uint32_t slots{0};
    std::uint32_t processors{0};
    std::uint32_t memory_mb{0};
    std::uint32_t accelerators{0};

    bool operator==(const register_server&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, data_centre, rack, address, slots, processors, memory_mb, accelerators);
    }
};

/** Step of moving a server between pools. The epoch fences steps that arrive late. */
enum class move_step : std::uint8_t { drain, cancel, assign };
constexpr move_step last_value(move_step /*type*/) noexcept
{
    return move_step::assign;
}

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

/** Removes a server that has not been reported alive for a long time. */
struct remove_server {
    server_id id;
    epoch_number expected_epoch{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, expected_epoch);
    }
};

enum class wave_phase : std::uint8_t { waiting, draining, may_stop, back };
constexpr wave_phase last_value(wave_phase /*type*/) noexcept
{
    return wave_phase::back;
}

/** Advances one server of a maintenance wave to its next phase. */
struct step_wave {
    wave_id id;
    server_id server;
    wave_phase from{wave_phase::waiting};
    wave_phase to{wave_phase::draining};
    /** The server's incarnation at the time it was allowed to stop. */
    fescue::incarnation incarnation_id{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, server, from, to, incarnation_id);
    }
};

/** Identifies a claim by a team and its idempotency key. */
struct claim_id {
    team_id team;
    std::string key;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the defaulted comparison.
    auto operator<=>(const claim_id&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, key);
    }
};

/** Claims an idempotency key. Committed before a non-repeatable request is dispatched. */
struct begin_claim {
    claim_id id;
    request_id request;
    std::uint64_t fingerprint{0};
    wall_ms now{0};
    /** Unix time in milliseconds after which the request can no longer be running. */
    wall_ms expires_at{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, request, fingerprint, now, expires_at);
    }
};

enum class claim_outcome : std::uint8_t { running, answered, unknown, not_run };
constexpr claim_outcome last_value(claim_outcome /*type*/) noexcept
{
    return claim_outcome::not_run;
}

/** Records the outcome of a claimed request. The outcome not_run releases the key. */
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

/** Entry that a new leader appends to commit the entries of earlier terms. */
struct no_operation {
    template <class Archive>
    void serialize(Archive& /*archive*/)
    {
    }
};

using command = std::variant<no_operation, order, register_instance, set_allotment,
                             release_orphaned_allotments, set_homes, register_server, move_server,
                             remove_server, step_wave, begin_claim, end_claim>;

} // namespace fescue::catalogue
