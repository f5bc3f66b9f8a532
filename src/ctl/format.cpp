#include "format.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace fescue::ctl {

namespace {

std::string field_text(const nlohmann::json& object, const char* field)
{
    const auto& value = object.at(field);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

std::string status_text(const nlohmann::json& status)
{
    std::string out;
    const auto to = std::back_inserter(out);
    fmt::format_to(to, "leader {} in term {}, version {}, catalogue {}\n\n",
                   field_text(status, "leader"), field_text(status, "term"),
                   field_text(status, "version"), field_text(status, "catalogue_version"));
    fmt::format_to(to, "{:<16}{:<12}{:<8}{}\n", "INSTANCE", "DATA CENTRE", "VOTER", "STATE");
    for (const auto& i : status.at("instances")) {
        fmt::format_to(to, "{:<16}{:<12}{:<8}{}\n", field_text(i, "id"),
                       field_text(i, "data_centre"), i.at("voter").get<bool>() ? "yes" : "no",
                       i.at("reachable").get<bool>() ? "up" : "away");
    }
    for (const auto& d : status.at("data_centres")) {
        if (!d.at("in_service").get<bool>()) {
            fmt::format_to(to, "data centre {} is out of service\n", field_text(d, "id"));
        }
    }
    fmt::format_to(to, "\n{:<16}{:>8}{:>8}{:>8}{:>9}{:>8}\n", "POOL", "SERVERS", "ALIVE", "SLOTS",
                   "RUNNING", "BUDGET");
    for (const auto& p : status.at("pools")) {
        fmt::format_to(to, "{:<16}{:>8}{:>8}{:>8}{:>9}{:>8}{}\n", field_text(p, "id"),
                       field_text(p, "servers"), field_text(p, "alive"), field_text(p, "slots"),
                       field_text(p, "running"), field_text(p, "availability_budget"),
                       p.at("spare").get<bool>() ? "  spare" : "");
    }
    const auto& b = status.at("buffers");
    fmt::format_to(
        to,
        "\nbuffer: {} servers wanted, {} needed to survive the loss of a data centre (price {}), "
        "{} alive: {}\n",
        field_text(b, "wanted"), field_text(b, "needed_to_survive_a_data_centre"),
        field_text(b, "price"), field_text(b, "alive"),
        b.at("covered").get<bool>() ? "covered" : "not covered");
    fmt::format_to(to, "\n{:<16}{:>8}{:>9}{:>8}\n", "TEAM", "SHARE", "RUNNING", "LIMIT");
    for (const auto& t : status.at("teams")) {
        fmt::format_to(to, "{:<16}{:>8}{:>9}{:>8}\n", field_text(t, "id"), field_text(t, "share"),
                       field_text(t, "running"), field_text(t, "upper_limit"));
    }
    for (const auto& w : status.at("waves")) {
        fmt::format_to(to, "\nwave {} ({}): {} waiting, {} draining, {} may stop, {} back\n",
                       field_text(w, "id"), field_text(w, "action"), field_text(w, "waiting"),
                       field_text(w, "draining"), field_text(w, "may_stop"), field_text(w, "back"));
    }
    return out;
}

std::string explain_text(const nlohmann::json& explanation)
{
    std::string out = field_text(explanation, "subject") + "\n";
    for (const auto& d : explanation.at("decisions")) {
        const std::time_t at = d.at("at_ms").get<std::int64_t>() / 1000;
        out += fmt::format("  {:%F %T}  {}\n", fmt::gmtime(at), field_text(d, "text"));
    }
    return explanation.at("decisions").empty() ? out + "  no recent decisions\n" : out;
}

} // namespace fescue::ctl
