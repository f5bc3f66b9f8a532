#include "fescuestream/settings/settings.h"

#include "endpoint_field.h"
#include "request_limits_fields.h"

#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

namespace fescue::settings {

namespace {

constexpr mode_t group_or_other_access = S_IRWXG | S_IRWXO;

void read_listen(json::object_reader& top, listen_addresses& out, json::field_errors& field_errors)
{
    const json::value_type* found = top.find("listen");
    if (found == nullptr) {
        return;
    }
    json::object_reader reader{*found, "listen", field_errors};
    out.callers = read_endpoint(reader, "callers", &out.callers);
    out.control = read_endpoint(reader, "control", &out.control);
    out.peers = read_endpoint(reader, "peers", &out.peers);
    reader.finish();
}

void read_peers(json::object_reader& top, instance_settings& out)
{
    top.for_each_element("peers", [&](json::object_reader& reader) {
        peer p;
        p.id = instance_id{reader.name("id")};
        p.data_centre = data_centre_id{reader.name("data_centre")};
        p.address = read_endpoint(reader, "address", nullptr);
        p.voter = reader.flag("voter", false);
        out.peers.push_back(std::move(p));
    });
}

std::string read_pem(json::object_reader& reader, const std::string& field)
{
    const std::string file = reader.text(field);
    if (file.empty()) {
        return {};
    }
    auto content = read_text(file);
    if (!content) {
        reader.report(field, "cannot read '" + file + "'");
    }
    return content.value_or("");
}

void read_tls(json::object_reader& top, instance_settings& out, json::field_errors& field_errors)
{
    const json::value_type* found = top.find("tls");
    if (found == nullptr) {
        return;
    }
    json::object_reader reader{*found, "tls", field_errors};
    out.tls.certificate_pem = read_pem(reader, "certificate_file");
    out.tls.key_pem = read_pem(reader, "key_file");
    reader.finish();
}

void read_log_level(json::object_reader& top, instance_settings& out)
{
    const std::string text = top.text("log_level", "info");
    if (!log::parse_level(text, out.log_level)) {
        top.report("log_level", "must be debug, info, warning or error");
    }
}

std::string read_secret_field(json::object_reader& top, const std::string& field,
                              json::field_errors& field_errors)
{
    const std::string file = top.text(field, "");
    return file.empty() ? std::string{} : read_secret(file, field, field_errors);
}

bool is_loopback(const http::endpoint& address)
{
    return address.ip.starts_with("127.");
}

void check_exposure(const instance_settings& s, json::field_errors& field_errors)
{
    const auto require_secret = [&](const http::endpoint& address, const std::string& path,
                                    bool secret_given, const std::string& field) {
        if (!address.ip.empty() && !is_loopback(address) && !secret_given) {
            field_errors.push_back({path, "a non-loopback address needs " + field});
        }
    };
    require_secret(s.listen.peers, "listen.peers", !s.cluster_secret.empty(),
                   "cluster_secret_file");
    require_secret(s.listen.control, "listen.control", !s.operator_token.empty(),
                   "operator_token_file");
    require_secret(s.listen.callers, "listen.callers", !s.operator_token.empty(),
                   "operator_token_file");
}

void check_peers(const instance_settings& s, json::field_errors& field_errors)
{
    std::set<std::string> ids{s.id.str()};
    std::set<std::string> addresses;
    bool has_voter = !s.data_folder.empty();
    for (std::size_t i = 0; i < s.peers.size(); ++i) {
        const peer& p = s.peers[i];
        const std::string path = "peers[" + std::to_string(i) + "]";
        if (!ids.insert(p.id.str()).second) {
            field_errors.push_back({path + ".id", "'" + p.id.str() + "' stands twice"});
        }
        if (!addresses.insert(p.address.ip + ":" + std::to_string(p.address.port)).second) {
            field_errors.push_back({path + ".address", "stands twice"});
        }
        has_voter = has_voter || p.voter;
    }
    if (!s.peers.empty() && !has_voter) {
        field_errors.push_back({"peers", "no instance has a data folder, so none can vote"});
    }
}

} // namespace

std::optional<std::string> read_text(const std::string& file)
{
    std::ifstream in{file, std::ios::binary};
    if (!in) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{in}, {}};
}

std::string read_secret(const std::string& file, const std::string& path, json::field_errors& out)
{
    struct stat attributes {};
    if (stat(file.c_str(), &attributes) != 0) {
        out.push_back({path, "cannot read '" + file + "'"});
        return {};
    }
    if ((attributes.st_mode & group_or_other_access) != 0) {
        out.push_back({path, "'" + file + "' can be read by others (use mode 0600)"});
        return {};
    }
    std::string text = read_text(file).value_or("");
    text.erase(std::find(text.begin(), text.end(), '\n'), text.end());
    if (text.empty()) {
        out.push_back({path, "'" + file + "' is empty"});
    }
    return text;
}

load_result parse(const std::string& text)
{
    json::field_errors field_errors;
    const auto parsed = json::parse(text, field_errors);
    if (!parsed) {
        return field_errors;
    }
    instance_settings out;
    json::object_reader top{*parsed, "", field_errors};
    out.id = instance_id{top.name("id")};
    out.data_centre = data_centre_id{top.name("data_centre")};
    read_listen(top, out.listen, field_errors);
    read_peers(top, out);
    out.data_folder = top.text("data_folder", "");
    out.cluster_secret = read_secret_field(top, "cluster_secret_file", field_errors);
    out.operator_token = read_secret_field(top, "operator_token_file", field_errors);
    out.server_token = read_secret_field(top, "server_token_file", field_errors);
    read_tls(top, out, field_errors);
    read_log_level(top, out);
    out.request_limits = read_request_limits(top, field_errors);
    top.finish();
    check_exposure(out, field_errors);
    check_peers(out, field_errors);
    if (!field_errors.empty()) {
        return field_errors;
    }
    return out;
}

load_result load(const std::string& file)
{
    const auto text = read_text(file);
    if (!text) {
        return json::field_errors{{"", "cannot read '" + file + "'"}};
    }
    return parse(*text);
}

} // namespace fescue::settings
