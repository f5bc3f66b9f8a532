#pragma once

/**
 * @file
 * Settings of a job service instance: an entry, which accepts calls, or a scheduler, which stores
 * the replicated job log on disk and sends orders to backend servers.
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

/** Time limits given by the environment, in milliseconds. */
struct job_bounds {
    /** Longest lease that a backend server accepts. */
    std::int64_t max_lease_ms{10'000};
    /** Lease on orders for a machine; a new leader waits this long after the last order. */
    std::int64_t machine_lease_ms{3000};
    /** Minimum time for which an ended job can still be queried. */
    std::int64_t retention_ms{120'000};
    /** Maximum time from SIGTERM to process exit. */
    std::int64_t grace_ms{6000};
    /** Time for which a machine is unavailable during a move, and during maintenance. */
    std::int64_t move_ms{1500};
    std::int64_t maintenance_ms{2000};
    /** Interval between two reports of a backend server. */
    std::int64_t report_period_ms{1500};
    /** Time allowed for a change to become known to the instances. */
    std::int64_t contact_ms{3000};
};

struct machine_service {
    /** IP:PORT; empty: no machine service. */
    std::string address;
    /** Rate limits of the service for all instances together. */
    double orders_per_s{1};
    double reads_per_s{1};
};

/** Optional scheduling features. All are off unless the settings enable them. */
struct scheduling_options {
    /** Reserves capacity that running tasks will free for large waiting tasks. */
    bool reserve_capacity{false};
    /** Sizes pools by a forecast of their demand instead of by their initial size. */
    bool forecast_demand{false};
};

struct job_service_settings {
    job_role role{job_role::entry};
    instance_id id;
    /** Name used in logs and in requests to the machine service. */
    std::string name;
    data_centre_id data_centre;
    http::endpoint peers;
    /** Entry: addresses for callers and for readiness checks. */
    http::endpoint callers;
    http::endpoint readiness;
    /** Scheduler: address for server reports, operators and metrics. */
    http::endpoint control;
    /** IP addresses of some schedulers; their peer port is the same as this instance's. */
    std::vector<std::string> seeds;
    /** Whether this instance may form the first consensus group (bootstrap). */
    bool first_start{false};
    /** Disks that may be lost at the same time without loss of what was acknowledged. */
    std::size_t tolerated_disk_losses{1};
    std::string data_folder;
    std::string cluster_secret;
    /** Maximum memory of the stored jobs, active and ended, in bytes. The smallest schedulers have
     * 256 MB, and a job may exist three times in a process while a snapshot is written. */
    std::size_t max_job_bytes{32U << 20U};
    /** Maximum memory of the log's entries in bytes: half of it since the last snapshot, half of it
     * before that for followers that lag. No more entries are accepted while this many bytes of
     * them are not applied. */
    std::size_t max_log_bytes{8U << 20U};
    /** Maximum memory of the servers' latest reports, in bytes. Reports of further servers are
     * refused; a server takes about 1 KB. */
    std::size_t max_report_bytes{8U << 20U};
    /** Maximum memory of the responses of servers and of the machine service that are being
     * received, in bytes. Beyond it the largest one is given up and counts as no answer. */
    std::size_t max_answer_bytes{8U << 20U};
    machine_service machines;
    job_bounds bounds;
    scheduling_options scheduling;
    http::request_limits request_limits;
    log::level log_level{log::level::info};
};

using job_service_result = std::variant<job_service_settings, json::field_errors>;

/** @return whether the text contains job service settings, recognized by their "role" field. */
bool is_job_service_settings(const std::string& text);
job_service_result parse_job_service(const std::string& text);

} // namespace fescue::settings
