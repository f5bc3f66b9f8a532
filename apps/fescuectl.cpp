/**
 * @file
 * fescuectl: the operator command line.
 */

#include "ctl/format.h"
#include "ctl/load.h"
#include "ctl/options.h"
#include "ctl/request.h"
#include "fescuestream/json/object_reader.h"
#include "fescuestream/wire/frame.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <optional>

namespace {

using namespace fescue::ctl;
using fescue::http::client_response;
using fescue::http::delivery;

constexpr int exit_failed = 1;
constexpr int exit_usage_error = 2;
constexpr int first_error_status = 400;

int usage_error(const std::string& what)
{
    fmt::print(stderr, "fescuectl: {} (see fescuectl --help)\n", what);
    return exit_usage_error;
}

/** Prints a response; errors go to standard error. @return the exit status. */
int print_response(const client_response& r)
{
    if (r.outcome != delivery::answered) {
        fmt::print(stderr, "fescuectl: no response: {}\n", r.error_message);
        return exit_failed;
    }
    const bool refused = r.status >= first_error_status;
    fmt::print(refused ? stderr : stdout, "{}\n", r.body);
    return refused ? exit_failed : 0;
}

/** @return the response as JSON, or nullopt after printing the error. */
std::optional<nlohmann::json> fetch(const options& opts, const std::string& path)
{
    const client_response r = send(opts, {"GET", path, "", {}});
    if (r.outcome != delivery::answered || r.status >= first_error_status) {
        print_response(r);
        return std::nullopt;
    }
    return nlohmann::json::parse(r.body);
}

int form(const options& opts)
{
    return print_response(send(opts, {"POST", "/v1/form", "", {}}));
}

int status(const options& opts)
{
    const auto body = fetch(opts, "/v1/status");
    if (!body) {
        return exit_failed;
    }
    fmt::print("{}", opts.json ? body->dump() + "\n" : status_text(*body));
    return 0;
}

int catalogue_get(const options& opts)
{
    const auto body = fetch(opts, "/v1/catalogue");
    if (!body) {
        return exit_failed;
    }
    fmt::print(stderr, "version {}\n", body->at("version").get<std::uint64_t>());
    fmt::print("{}\n", opts.json ? body->dump() : body->at("catalogue").dump(2));
    return 0;
}

int catalogue_put(const options& opts)
{
    std::ifstream in{opts.arguments[2], std::ios::binary};
    if (!in) {
        return usage_error("cannot read '" + opts.arguments[2] + "'");
    }
    const std::string text{std::istreambuf_iterator<char>{in}, {}};
    std::string version;
    if (opts.arguments.size() > 3) {
        version = opts.arguments[3];
    } else if (const auto body = fetch(opts, "/v1/catalogue")) {
        version = std::to_string(body->at("version").get<std::uint64_t>());
    } else {
        return exit_failed;
    }
    return print_response(
        send_order(opts, {"PUT", "/v1/catalogue", text, {{"If-Match", version}}}));
}

int catalogue(const options& opts)
{
    if (opts.arguments.size() == 2 && opts.arguments[1] == "get") {
        return catalogue_get(opts);
    }
    if (opts.arguments.size() >= 3 && opts.arguments[1] == "put") {
        return catalogue_put(opts);
    }
    return usage_error("catalogue get | catalogue put FILE [VERSION]");
}

int key(const options& opts)
{
    if (opts.arguments.size() == 3 && opts.arguments[1] == "give") {
        const nlohmann::json body{{"team", opts.arguments[2]}};
        return print_response(send_order(opts, {"POST", "/v1/keys", body.dump(), {}}));
    }
    if (opts.arguments.size() == 3 && opts.arguments[1] == "withdraw") {
        return print_response(
            send_order(opts, {"DELETE", "/v1/keys/" + opts.arguments[2], "", {}}));
    }
    return usage_error("key give TEAM | key withdraw ID");
}

int data_centre(const options& opts)
{
    const bool valid =
        opts.arguments.size() == 3 && (opts.arguments[1] == "out" || opts.arguments[1] == "in");
    if (!valid) {
        return usage_error("data-centre out|in ID");
    }
    const std::string path = "/v1/data-centres/" + opts.arguments[2] + "/" + opts.arguments[1];
    return print_response(send_order(opts, {"POST", path, "", {}}));
}

int order(const options& opts)
{
    return opts.arguments.size() == 2
               ? print_response(send(opts, {"GET", "/v1/orders/" + opts.arguments[1], "", {}}))
               : usage_error("order VERSION");
}

int maintenance(const options& opts)
{
    if (opts.arguments.size() < 4) {
        return usage_error("maintenance reboot|drain servers|rack|data-centre NAMES...");
    }
    nlohmann::json body{{"action", opts.arguments[1]}};
    if (opts.arguments[2] == "servers") {
        body["servers"] =
            std::vector<std::string>(opts.arguments.begin() + 3, opts.arguments.end());
    } else if (opts.arguments[2] == "rack") {
        body["rack"] = opts.arguments[3];
    } else if (opts.arguments[2] == "data-centre") {
        body["data_centre"] = opts.arguments[3];
    } else {
        return usage_error("maintenance takes servers, rack or data-centre");
    }
    return print_response(send_order(opts, {"POST", "/v1/maintenance", body.dump(), {}}));
}

int wave(const options& opts)
{
    return opts.arguments.size() == 2
               ? print_response(send(opts, {"GET", "/v1/maintenance/" + opts.arguments[1], "", {}}))
               : usage_error("wave ID");
}

int explain(const options& opts)
{
    if (opts.arguments.size() != 3) {
        return usage_error("explain server|team|pool|request ID");
    }
    const auto body = fetch(opts, "/v1/explain/" + opts.arguments[1] + "/" + opts.arguments[2]);
    if (!body) {
        return exit_failed;
    }
    fmt::print("{}", opts.json ? body->dump() + "\n" : explain_text(*body));
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    fescue::wire::start_crypto();
    const options opts = read_options(argc, argv);
    const std::map<std::string, std::function<int(const options&)>> commands{
        {"form", form},     {"status", status},           {"catalogue", catalogue},
        {"key", key},       {"data-centre", data_centre}, {"order", order},
        {"wave", wave},     {"maintenance", maintenance}, {"explain", explain},
        {"load", run_load},
    };
    const auto command = commands.find(opts.arguments.front());
    return command == commands.end()
               ? usage_error("unknown command '" + opts.arguments.front() + "'")
               : command->second(opts);
}
