#include "fescuestream/settings/job_service.h"

#include "endpoint_field.h"
#include "request_limits_fields.h"

#include <algorithm>

namespace fescue::settings {

namespace {

constexpr std::int64_t max_duration_ms = 3'600'000;
constexpr std::int64_t max_tolerated_disk_losses = 100;
constexpr std::int64_t max_job_bytes = std::int64_t{1} << 40U;
constexpr double max_rate_per_s = 100'000;

void read_addresses(json::object_reader& top, job_service_settings& out,
                    json::field_errors& field_errors)
{
    const json::value_type* found = top.find("listen");
    if (found == nullptr) {
        top.report("listen", "is missing");
        return;
    }
    json::object_reader reader{*found, "listen", field_errors};
    const http::endpoint unset;
    out.peers = read_endpoint(reader, "peers", &unset);
    out.callers = read_endpoint(reader, "callers", &unset);
    out.readiness = read_endpoint(reader, "readiness", &unset);
    out.control = read_endpoint(reader, "control", &unset);
    const auto require_address = [&](const http::endpoint& address, const char* field) {
        if (address.ip.empty()) {
            reader.report(field, "is missing");
        }
    };
    require_address(out.peers, "peers");
    if (out.role == job_role::entry) {
        require_address(out.callers, "callers");
        require_address(out.readiness, "readiness");
    } else {
        require_address(out.control, "control");
    }
    reader.finish();
}

void read_bounds(json::object_reader& top, job_bounds& out, json::field_errors& field_errors)
{
    const json::value_type* found = top.find("bounds");
    if (found == nullptr) {
        return;
    }
    json::object_reader reader{*found, "bounds", field_errors};
    const auto ms = [&](const char* field, std::int64_t& out_ms) {
        out_ms = reader.number(field, {1, max_duration_ms}, out_ms);
    };
    ms("longest_lease_ms", out.max_lease_ms);
    ms("machine_lease_ms", out.machine_lease_ms);
    ms("report_period_ms", out.report_period_ms);
    ms("contact_ms", out.contact_ms);
    const auto seconds = [&](const char* field, std::int64_t& out_ms) {
        const double value_s =
            reader.real(field, 0, max_duration_ms, static_cast<double>(out_ms) / 1000.0);
        out_ms = static_cast<std::int64_t>(value_s * 1000.0);
    };
    seconds("kept_s", out.retention_ms);
    seconds("grace_s", out.grace_ms);
    seconds("move_s", out.move_ms);
    seconds("upkeep_s", out.maintenance_ms);
    reader.finish();
}

void read_machines(json::object_reader& top, machine_service& out, json::field_errors& field_errors)
{
    const json::value_type* found = top.find("machine_service");
    if (found == nullptr) {
        return;
    }
    json::object_reader reader{*found, "machine_service", field_errors};
    out.address = reader.text("address", "");
    out.orders_per_s = reader.real("orders_per_s", 0, max_rate_per_s, out.orders_per_s);
    out.reads_per_s = reader.real("reads_per_s", 0, max_rate_per_s, out.reads_per_s);
    reader.finish();
}

void read_scheduling(json::object_reader& top, scheduling_options& out,
                     json::field_errors& field_errors)
{
    const json::value_type* found = top.find("scheduling");
    if (found == nullptr) {
        return;
    }
    json::object_reader reader{*found, "scheduling", field_errors};
    out.reserve_capacity = reader.flag("reserve_capacity", out.reserve_capacity);
    out.forecast_demand = reader.flag("forecast_demand", out.forecast_demand);
    reader.finish();
}

void read_seeds(json::object_reader& top, job_service_settings& out)
{
    for (const std::string& text : top.texts("seeds")) {
        // An optional port is ignored: it belongs to the control address.
        std::string ip = text.substr(0, text.find(':'));
        if (!ok(http::parse_endpoint(ip + ":1"))) {
            top.report("seeds", "'" + text + "' is not an IP address");
            continue;
        }
        out.seeds.push_back(std::move(ip));
    }
}

} // namespace

bool is_job_service_settings(const std::string& text)
{
    json::field_errors ignored_errors;
    const auto parsed = json::parse(text, ignored_errors);
    return parsed && parsed->is_object() && parsed->contains("role");
}

job_service_result parse_job_service(const std::string& text)
{
    json::field_errors field_errors;
    const auto parsed = json::parse(text, field_errors);
    if (!parsed) {
        return field_errors;
    }
    job_service_settings out;
    json::object_reader top{*parsed, "", field_errors};
    const std::string role = top.text("role");
    if (role != "entry" && role != "scheduler") {
        top.report("role", "must be entry or scheduler");
    }
    out.role = role == "scheduler" ? job_role::scheduler : job_role::entry;
    out.id = instance_id{top.name("id")};
    out.name = top.name("name", out.id.str());
    out.data_centre = data_centre_id{top.name("data_centre")};
    read_addresses(top, out, field_errors);
    read_seeds(top, out);
    out.first_start = top.flag("first_start", false);
    out.tolerated_disk_losses =
        static_cast<std::size_t>(top.number("tolerated_disk_losses", {0, max_tolerated_disk_losses},
                                            static_cast<std::int64_t>(out.tolerated_disk_losses)));
    out.data_folder = top.text("data_folder", "");
    out.cluster_secret = top.text("cluster_secret", "");
    out.max_job_bytes = static_cast<std::size_t>(top.number(
        "max_job_bytes", {1, max_job_bytes}, static_cast<std::int64_t>(out.max_job_bytes)));
    out.max_log_bytes = static_cast<std::size_t>(top.number(
        "max_log_bytes", {1, max_job_bytes}, static_cast<std::int64_t>(out.max_log_bytes)));
    out.max_report_bytes = static_cast<std::size_t>(top.number(
        "max_report_bytes", {1, max_job_bytes}, static_cast<std::int64_t>(out.max_report_bytes)));
    out.max_answer_bytes = static_cast<std::size_t>(top.number(
        "max_answer_bytes", {1, max_job_bytes}, static_cast<std::int64_t>(out.max_answer_bytes)));
    read_machines(top, out.machines, field_errors);
    read_bounds(top, out.bounds, field_errors);
    read_scheduling(top, out.scheduling, field_errors);
    out.request_limits = read_request_limits(top, field_errors);
    const std::string level = top.text("log_level", "info");
    if (!log::parse_level(level, out.log_level)) {
        top.report("log_level", "must be debug, info, warning or error");
    }
    if (out.role == job_role::scheduler && out.data_folder.empty()) {
        top.report("data_folder", "is required for a scheduler");
    }
    if (out.seeds.empty()) {
        top.report("seeds", "must name at least one scheduler");
    }
    top.finish();
    if (!field_errors.empty()) {
        return field_errors;
    }
    return out;
}

} // namespace fescue::settings
