#include "show.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace fescue::ctl {

namespace {

std::string text(const nlohmann::json& object, const char* field)
{
    const auto& v = object.at(field);
    return v.is_string() ? v.get<std::string>() : v.dump();
}

} // namespace

std::string status_text(const nlohmann::json& status)
{
    std::string out;
    const auto line = std::back_inserter(out);
    fmt::format_to(line, "leader {} in term {}, version {}, catalogue {}\n\n",
                   text(status, "leader"), text(status, "term"), text(status, "version"),
                   text(status, "catalogue_version"));
    fmt::format_to(line, "{:<16}{:<12}{:<8}{}\n", "INSTANCE", "DATA CENTRE", "VOTER", "STATE");
    for (const auto& i : status.at("instances")) {
        fmt::format_to(line, "{:<16}{:<12}{:<8}{}\n", text(i, "id"), text(i, "data_centre"),
                       i.at("voter").get<bool>() ? "yes" : "no",
                       i.at("reachable").get<bool>() ? "up" : "away");
    }
    for (const auto& d : status.at("data_centres")) {
        if (!d.at("in_service").get<bool>()) {
            fmt::format_to(line, "data centre {} is out of service\n", text(d, "id"));
        }
    }
    fmt::format_to(line, "\n{:<16}{:>8}{:>8}{:>8}{:>9}{:>8}\n", "POOL", "SERVERS", "ALIVE", "SLOTS",
                   "RUNNING", "BUDGET");
    for (const auto& p : status.at("pools")) {
        fmt::format_to(line, "{:<16}{:>8}{:>8}{:>8}{:>9}{:>8}{}\n", text(p, "id"),
                       text(p, "servers"), text(p, "alive"), text(p, "slots"), text(p, "running"),
                       text(p, "availability_budget"), p.at("spare").get<bool>() ? "  spare" : "");
    }
    const auto& b = status.at("buffers");
    fmt::format_to(line,
                   "\nbuffer: {} servers wanted, {} needed to survive a data centre (price {}), "
                   "{} alive: {}\n",
                   text(b, "wanted"), text(b, "needed_to_survive_a_data_centre"), text(b, "price"),
                   text(b, "alive"), b.at("covered").get<bool>() ? "covered" : "not covered");
    fmt::format_to(line, "\n{:<16}{:>8}{:>9}{:>8}\n", "TEAM", "SHARE", "RUNNING", "LIMIT");
    for (const auto& t : status.at("teams")) {
        fmt::format_to(line, "{:<16}{:>8}{:>9}{:>8}\n", text(t, "id"), text(t, "share"),
                       text(t, "running"), text(t, "upper_limit"));
    }
    for (const auto& w : status.at("waves")) {
        fmt::format_to(line, "\nwave {} ({}): {} waiting, {} draining, {} may stop, {} back\n",
                       text(w, "id"), text(w, "action"), text(w, "waiting"), text(w, "draining"),
                       text(w, "may_stop"), text(w, "back"));
    }
    return out;
}

std::string explain_text(const nlohmann::json& explained)
{
    std::string out = text(explained, "subject") + "\n";
    for (const auto& d : explained.at("decisions")) {
        const std::time_t at = d.at("at_ms").get<std::int64_t>() / 1000;
        out += fmt::format("  {:%F %T}  {}\n", fmt::gmtime(at), text(d, "text"));
    }
    return explained.at("decisions").empty() ? out + "  nothing was decided about it lately\n"
                                             : out;
}

} // namespace fescue::ctl
