#include "fescuestream/catalogue/document.h"

#include <algorithm>
#include <array>
#include <limits>

namespace fescue::catalogue {

namespace {

constexpr std::int64_t max_count = 1'000'000;
constexpr std::int64_t default_team_limit = 1'000;
constexpr std::int64_t default_queue_limit = 100;
constexpr std::int64_t default_timeout_ms = 5'000;
constexpr std::int64_t default_max_run_ms = 10'000;
constexpr std::int64_t default_when_cut_off_serve_for_s = 600;
constexpr std::int64_t ms_per_hour = 3'600'000;
constexpr std::int64_t seconds_per_day = 86'400;
constexpr double min_share = 0.001;
constexpr double max_share = 1'000'000;

constexpr std::array<const char*, 3> service_class_names{"urgent", "normal", "background"};

service_class read_class(json::object_reader& reader)
{
    const std::string name = reader.text("class", "normal");
    const auto* found = std::ranges::find(service_class_names, name);
    if (found == service_class_names.end()) {
        reader.report("class", "must be urgent, normal or background");
        return service_class::normal;
    }
    return static_cast<service_class>(found - service_class_names.begin());
}

team read_team(json::object_reader& reader)
{
    team out;
    out.share = reader.real("share", min_share, max_share, 1.0);
    out.upper_limit = static_cast<std::uint32_t>(
        reader.number("upper_limit", {0, max_count}, default_team_limit));
    return out;
}

service read_service(json::object_reader& reader)
{
    service out;
    out.pool = pool_id{reader.name("pool")};
    out.owner = team_id{reader.name("owner")};
    out.priority_class = read_class(reader);
    out.open = reader.flag("open", false);
    out.repeatable = reader.flag("repeatable", false);
    out.queue_limit = static_cast<std::uint32_t>(
        reader.number("queue_limit", {0, max_count}, default_queue_limit));
    out.timeout_ms = reader.number("timeout_ms", {1, ms_per_hour}, default_timeout_ms);
    out.max_run_ms =
        reader.number("max_run_ms", {1, ms_per_hour}, std::max(default_max_run_ms, out.timeout_ms));
    out.when_cut_off_serve_for_s = reader.number("when_cut_off_serve_for_s", {0, seconds_per_day},
                                                 default_when_cut_off_serve_for_s);
    return out;
}

pool read_pool(json::object_reader& reader)
{
    pool out;
    out.min_servers = static_cast<std::uint32_t>(reader.number("least_servers", {0, max_count}, 1));
    out.availability_budget =
        static_cast<std::uint32_t>(reader.number("availability_budget", {0, max_count}, 1));
    out.spare = reader.flag("spare", false);
    return out;
}

void check_references(const document& doc, json::field_errors& field_errors)
{
    for (const auto& [id, s] : doc.services) {
        const std::string path = "services." + id.str();
        if (!s.pool.empty() && !doc.pools.contains(s.pool)) {
            field_errors.push_back({path + ".pool", "there is no pool '" + s.pool.str() + "'"});
        }
        if (!s.owner.empty() && !doc.teams.contains(s.owner)) {
            field_errors.push_back({path + ".owner", "there is no team '" + s.owner.str() + "'"});
        }
    }
    const auto spares =
        std::ranges::count_if(doc.pools, [](const auto& p) { return p.second.spare; });
    if (spares > 1) {
        field_errors.push_back({"pools", "more than one pool is marked as spare"});
    }
}

} // namespace

bool document::in_service(const data_centre_id& id) const
{
    const auto found = data_centres.find(id);
    return found == data_centres.end() || found->second.in_service;
}

parse_result parse(const std::string& text)
{
    json::field_errors field_errors;
    const auto parsed = json::parse(text, field_errors);
    if (!parsed) {
        return field_errors;
    }
    document doc;
    json::object_reader root{*parsed, "", field_errors};
    root.for_each_member("teams", [&](const std::string& name, json::object_reader& reader) {
        doc.teams[team_id{name}] = read_team(reader);
    });
    root.for_each_member("services", [&](const std::string& name, json::object_reader& reader) {
        doc.services[service_id{name}] = read_service(reader);
    });
    root.for_each_member("pools", [&](const std::string& name, json::object_reader& reader) {
        doc.pools[pool_id{name}] = read_pool(reader);
    });
    root.for_each_member("data_centres", [&](const std::string& name, json::object_reader& reader) {
        doc.data_centres[data_centre_id{name}].in_service = reader.flag("in_service", true);
    });
    root.finish();
    check_references(doc, field_errors);
    if (!field_errors.empty()) {
        return field_errors;
    }
    return doc;
}

std::string to_json(const document& doc)
{
    auto out = json::value_type::object();
    for (const char* section : {"teams", "services", "pools", "data_centres"}) {
        out[section] = json::value_type::object();
    }
    for (const auto& [id, t] : doc.teams) {
        out["teams"][id.str()] = {{"share", t.share}, {"upper_limit", t.upper_limit}};
    }
    for (const auto& [id, s] : doc.services) {
        out["services"][id.str()] = {
            {"pool", s.pool.str()},
            {"owner", s.owner.str()},
            {"class", service_class_names[static_cast<std::size_t>(s.priority_class)]},
            {"open", s.open},
            {"repeatable", s.repeatable},
            {"queue_limit", s.queue_limit},
            {"timeout_ms", s.timeout_ms},
            {"max_run_ms", s.max_run_ms},
            {"when_cut_off_serve_for_s", s.when_cut_off_serve_for_s}};
    }
    for (const auto& [id, p] : doc.pools) {
        out["pools"][id.str()] = {{"least_servers", p.min_servers},
                                  {"availability_budget", p.availability_budget},
                                  {"spare", p.spare}};
    }
    for (const auto& [id, d] : doc.data_centres) {
        out["data_centres"][id.str()] = {{"in_service", d.in_service}};
    }
    return out.dump();
}

} // namespace fescue::catalogue
