#pragma once

/**
 * @file
 * The settings of an instance of the job service: an entry, which takes callers, or a scheduler,
 * which keeps the job log on its disk and gives orders to backend servers.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/base/log.h"
#include "fescuestream/http/server.h"
#include "fescuestream/json/object_reader.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fescue::settings {

enum class job_role : std::uint8_t { entry, scheduler };

/** Bounds that the surroundings set; all in milliseconds. */
struct job_bounds {
    /** Longest lease that a backend server takes. */
    std::int64_t longest_lease_ms{10'000};
    /** Most time between the holders of machine orders. */
    std::int64_t machine_lease_ms{3000};
    /** An ended job is shown at least this long. */
    std::int64_t kept_ms{120'000};
    /** Time from SIGTERM to the end of the process, at most. */
    std::int64_t grace_ms{6000};
    /** Time that a machine is down for a move, and for its upkeep. */
    std::int64_t move_ms{1500};
    std::int64_t upkeep_ms{2000};
};

struct machine_service {
    /** IP:PORT; empty: there is none. */
    std::string address;
    /** What it accepts from all instances together. */
    double orders_per_s{1};
    double reads_per_s{1};
};

struct job_service_settings {
    job_role role{job_role::entry};
    instance_id id;
    /** Name in logs and towards the machine service. */
    std::string name;
    data_centre_id data_centre;
    http::endpoint peers;
    /** Entry: where callers come and where readiness is asked for. */
    http::endpoint callers;
    http::endpoint readiness;
    /** Scheduler: reports, operators, metrics. */
    http::endpoint control;
    /** IP addresses of some schedulers; all use the same port as this instance for peers. */
    std::vector<std::string> seeds;
    /** Whether a first group may be formed. */
    bool first_start{false};
    std::string data_folder;
    std::string cluster_secret;
    machine_service machines;
    job_bounds bounds;
    log::level log_level{log::level::info};
};

using job_service_load = std::variant<job_service_settings, json::faults>;

/** @return whether the text holds settings of the job service: they name a role. */
bool names_a_role(const std::string& text);
job_service_load parse_job_service(const std::string& text);

} // namespace fescue::settings
