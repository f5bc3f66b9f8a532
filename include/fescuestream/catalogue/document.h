#pragma once

/**
 * @file
 * The validated catalogue of teams, services, pools and data centres that operators maintain.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/json/object_reader.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>

namespace fescue::catalogue {

/** A group of callers that share one limit. */
struct team {
    /** Weight relative to the other teams when capacity is exhausted. */
    double share{1};
    /** Maximum number of the team's requests that run at the same time, fleet-wide. */
    std::uint32_t upper_limit{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(share, upper_limit);
    }
};

enum class service_class : std::uint8_t { urgent, normal, background };
constexpr service_class last_value(service_class /*type*/) noexcept
{
    return service_class::background;
}

/** A service that callers request by name. */
struct service {
    pool_id pool;
    team_id owner;
    service_class priority_class{service_class::normal};
    /** Whether requests without an API key are accepted; they count against the owner's limit. */
    bool open{false};
    /** Whether requests are idempotent, so that running one twice is safe. */
    bool repeatable{false};
    /** Maximum number of queued requests, fleet-wide. */
    std::uint32_t queue_limit{0};
    std::int64_t timeout_ms{0};
    std::int64_t max_run_ms{0};
    std::int64_t when_cut_off_serve_for_s{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(pool, owner, priority_class, open, repeatable, queue_limit, timeout_ms, max_run_ms,
                when_cut_off_serve_for_s);
    }
};

/** A group of backend servers that serve the same services. */
struct pool {
    std::uint32_t min_servers{1};
    /** Maximum number of servers that may be unavailable at the same time, planned stops and
     * failures together. */
    std::uint32_t availability_budget{1};
    /** Whether this is the spare pool, which lends servers to the other pools and holds the shared
     * reserve. */
    bool spare{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(min_servers, availability_budget, spare);
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

struct document {
    std::map<team_id, team> teams;
    std::map<service_id, service> services;
    std::map<pool_id, pool> pools;
    std::map<data_centre_id, data_centre> data_centres;

    /** @return whether tasks may start in the data centre; one that is not listed is in service. */
    bool in_service(const data_centre_id& id) const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(teams, services, pools, data_centres);
    }
};

using parse_result = std::variant<document, json::field_errors>;

/** Parses and validates a catalogue; each reported error carries the path of its field. */
parse_result parse(const std::string& text);
/** Serializes a catalogue with all its fields, in the format that parse() accepts. */
std::string to_json(const document& doc);

} // namespace fescue::catalogue
