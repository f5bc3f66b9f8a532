#pragma once

/**
 * @file
 * The operators' catalogue: teams, services, pools and data centres, typed and checked.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/json/object_reader.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace fescue::catalogue {

/** A group of callers that shares one limit. */
struct team {
    /** Weight when all is full; relative to the other teams' shares. */
    double share{1};
    /** Most requests of the team that may run at one time, across the fleet. */
    std::uint32_t upper_limit{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(share, upper_limit);
    }
};

enum class service_class : std::uint8_t { urgent, normal, background };

/** What callers ask for by name. */
struct service {
    pool_id pool;
    team_id owner;
    service_class cls{service_class::normal};
    /** Open to all: a request without a key is taken, and counted for the owner. */
    bool open{false};
    /** Running it twice does no harm. */
    bool repeatable{false};
    /** Most requests that wait, across the fleet. */
    std::uint32_t queue_limit{0};
    std::int64_t timeout_ms{0};
    std::int64_t max_run_ms{0};
    std::int64_t when_cut_off_serve_for_s{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(pool, owner, cls, open, repeatable, queue_limit, timeout_ms, max_run_ms,
                when_cut_off_serve_for_s);
    }
};

/** Backend servers that serve the same services. */
struct pool {
    std::uint32_t least_servers{1};
    /** Most servers of the pool that may be away at one time, planned stops and losses together. */
    std::uint32_t availability_budget{1};
    /** The spare pool lends its servers to the others and holds the joint buffer. */
    bool spare{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(least_servers, availability_budget, spare);
    }
};

struct data_centre {
    bool in_service{true};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(in_service);
    }
};

/** The whole catalogue. */
struct document {
    std::map<team_id, team> teams;
    std::map<service_id, service> services;
    std::map<pool_id, pool> pools;
    std::map<data_centre_id, data_centre> data_centres;

    /** @return whether tasks may start in the data centre; one that is not named is in service. */
    bool in_service(const data_centre_id& id) const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(teams, services, pools, data_centres);
    }
};

using parse_result = std::variant<document, json::faults>;

/** Reads and checks a catalogue; every fault is named by its path. */
parse_result parse(const std::string& text);
/** Writes a catalogue with every field, in the form that parse() reads. */
std::string to_json(const document& doc);

} // namespace fescue::catalogue
