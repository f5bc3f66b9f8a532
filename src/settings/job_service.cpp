#include "fescuestream/settings/job_service.h"

#include "endpoint_field.h"

#include <algorithm>

namespace fescue::settings {

namespace {

constexpr std::int64_t longest_ms = 3'600'000;
constexpr double most_per_s = 100'000;

void read_addresses(json::object_reader& top, job_service_settings& out, json::faults& faults)
{
    const json::value_type* found = top.find("listen");
    if (found == nullptr) {
        top.report("listen", "is missing");
        return;
    }
    json::object_reader reader{*found, "listen", faults};
    const http::endpoint none;
    out.peers = read_endpoint(reader, "peers", &none);
    out.callers = read_endpoint(reader, "callers", &none);
    out.readiness = read_endpoint(reader, "readiness", &none);
    out.control = read_endpoint(reader, "control", &none);
    const auto need = [&](const http::endpoint& at, const char* field) {
        if (at.ip.empty()) {
            reader.report(field, "is missing");
        }
    };
    need(out.peers, "peers");
    if (out.role == job_role::entry) {
        need(out.callers, "callers");
        need(out.readiness, "readiness");
    } else {
        need(out.control, "control");
    }
    reader.finish();
}

void read_bounds(json::object_reader& top, job_bounds& out, json::faults& faults)
{
    const json::value_type* found = top.find("bounds");
    if (found == nullptr) {
        return;
    }
    json::object_reader reader{*found, "bounds", faults};
    const auto ms = [&](const char* field, std::int64_t& to) {
        to = reader.number(field, {1, longest_ms}, to);
    };
    ms("longest_lease_ms", out.longest_lease_ms);
    ms("machine_lease_ms", out.machine_lease_ms);
    const auto seconds = [&](const char* field, std::int64_t& to) {
        const double given = reader.real(field, 0, longest_ms, static_cast<double>(to) / 1000.0);
        to = static_cast<std::int64_t>(given * 1000.0);
    };
    seconds("kept_s", out.kept_ms);
    seconds("grace_s", out.grace_ms);
    seconds("move_s", out.move_ms);
    seconds("upkeep_s", out.upkeep_ms);
    reader.finish();
}

void read_machines(json::object_reader& top, machine_service& out, json::faults& faults)
{
    const json::value_type* found = top.find("machine_service");
    if (found == nullptr) {
        return;
    }
    json::object_reader reader{*found, "machine_service", faults};
    out.address = reader.text("address", "");
    out.orders_per_s = reader.real("orders_per_s", 0, most_per_s, out.orders_per_s);
    out.reads_per_s = reader.real("reads_per_s", 0, most_per_s, out.reads_per_s);
    reader.finish();
}

void read_seeds(json::object_reader& top, job_service_settings& out)
{
    for (const std::string& text : top.texts("seeds")) {
        // A port may follow; it is the control address's and not used.
        std::string ip = text.substr(0, text.find(':'));
        if (!ok(http::parse_endpoint(ip + ":1"))) {
            top.report("seeds", "'" + text + "' is not an IP address");
            continue;
        }
        out.seeds.push_back(std::move(ip));
    }
}

} // namespace

bool names_a_role(const std::string& text)
{
    json::faults ignored;
    const auto parsed = json::parse(text, ignored);
    return parsed && parsed->is_object() && parsed->contains("role");
}

job_service_load parse_job_service(const std::string& text)
{
    json::faults faults;
    const auto parsed = json::parse(text, faults);
    if (!parsed) {
        return faults;
    }
    job_service_settings out;
    json::object_reader top{*parsed, "", faults};
    const std::string role = top.text("role");
    if (role != "entry" && role != "scheduler") {
        top.report("role", "must be entry or scheduler");
    }
    out.role = role == "scheduler" ? job_role::scheduler : job_role::entry;
    out.id = instance_id{top.name("id")};
    out.name = top.name("name", out.id.str());
    out.data_centre = data_centre_id{top.name("data_centre")};
    read_addresses(top, out, faults);
    read_seeds(top, out);
    out.first_start = top.flag("first_start", false);
    out.data_folder = top.text("data_folder", "");
    out.cluster_secret = top.text("cluster_secret", "");
    read_machines(top, out.machines, faults);
    read_bounds(top, out.bounds, faults);
    const std::string level = top.text("log_level", "info");
    if (!log::parse_level(level, out.log_level)) {
        top.report("log_level", "must be debug, info, warning or error");
    }
    if (out.role == job_role::scheduler && out.data_folder.empty()) {
        top.report("data_folder", "a scheduler needs a disk");
    }
    if (out.seeds.empty()) {
        top.report("seeds", "at least one is needed");
    }
    top.finish();
    if (!faults.empty()) {
        return faults;
    }
    return out;
}

} // namespace fescue::settings
