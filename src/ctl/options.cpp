#include "options.h"

#include "fescuestream/settings/settings.h"

#include <fmt/format.h>
#include <getopt.h>

#include <cstdlib>

namespace fescue::ctl {

namespace {

constexpr int exit_usage_error = 2;

constexpr const char* help = R"(fescuectl: operator command line of fescuestream

usage: fescuectl COMMAND [ARGUMENTS] [--address IP:PORT] [--token-file FILE] [options]

commands
  form                              bootstrap a new system of several instances; once only
  status                            summary of pools, teams, instances, servers and waves
  catalogue get                     print the catalogue; its version goes to standard error
  catalogue put FILE [VERSION]      replace it if its version is VERSION (default: current)
  key give TEAM                     issue an API key for callers; it is shown only once
  key withdraw ID                   revoke an API key
  data-centre out|in ID             take a data centre out of or back into service
  order VERSION                     show whether an order is in force everywhere
  maintenance reboot|drain servers|rack|data-centre NAMES...
                                    start a maintenance wave
  wave ID                           progress of a wave
  explain server|team|pool|request ID
                                    recent decisions about it and their reasons
  load                              generate load and print throughput and latency

options
  --address IP:PORT    control port of any instance (default 127.0.0.1:8081)
  --token-file FILE    operator token in the first line; only its owner may have access
  --tls, --ca FILE     use TLS; verify the certificate with the CA in FILE
  --order-id TEXT      idempotency key; an order that is repeated with it takes effect once
  --json               print the response as JSON
  --version, --help

options of load
  --target IP:PORT     caller port of an instance, or a backend server; may be repeated
  --path PATH          for example /v1/services/quotes/requests
  --key KEY            API key of the caller
  --connections N      maximum number of requests in flight (default 16)
  --rate R             total requests per second (default: limited by --connections only)
  --seconds S          duration (default 5, at most 600)
  --body TEXT, --timeout-ms MS

examples
  fescuectl form --address 127.0.0.1:8081 --token-file operator.token
  fescuectl catalogue put examples/catalogue.json
  fescuectl key give north
  fescuectl data-centre out dc-2
  fescuectl load --target 127.0.0.1:8080 --path /v1/services/quotes/requests --key fk_...
)";

enum option_code : int {
    opt_address = 256,
    opt_token,
    opt_ca,
    opt_tls,
    opt_order,
    opt_json,
    opt_output,
    opt_target,
    opt_path,
    opt_key,
    opt_connections,
    opt_rate,
    opt_seconds,
    opt_body,
    opt_timeout,
    opt_version,
    opt_help,
};

constexpr std::uint32_t max_connections = 4096;
constexpr std::uint32_t max_seconds = 600;
constexpr std::uint32_t max_timeout_ms = 3'600'000;

[[noreturn]] void fail(const std::string& what)
{
    fmt::print(stderr, "fescuectl: {}\n", what);
    std::exit(exit_usage_error);
}

std::uint32_t parse_number(const char* name, const char* text, std::uint32_t max)
{
    char* end = nullptr;
    const long long value = std::strtoll(text, &end, 10);
    if (*text == '\0' || *end != '\0' || value < 1 || value > max) {
        fail(fmt::format("--{} must be an integer from 1 to {}", name, max));
    }
    return static_cast<std::uint32_t>(value);
}

std::string read_token_file(const char* file)
{
    json::field_errors field_errors;
    std::string token = settings::read_secret(file, "--token-file", field_errors);
    if (!field_errors.empty()) {
        fail(json::to_text(field_errors));
    }
    return token;
}

void apply_option(options& opts, int code)
{
    switch (code) {
    case opt_address:
        opts.address = optarg;
        break;
    case opt_token:
        opts.token = read_token_file(optarg);
        break;
    case opt_ca:
        opts.ca_file = optarg;
        opts.tls = true;
        break;
    case opt_tls:
        opts.tls = true;
        break;
    case opt_order:
        opts.order_id = optarg;
        break;
    case opt_json:
        opts.json = true;
        break;
    case opt_output:
        opts.output = optarg;
        break;
    case opt_target:
        opts.targets.emplace_back(optarg);
        break;
    case opt_path:
        opts.path = optarg;
        break;
    case opt_key:
        opts.key = optarg;
        break;
    case opt_connections:
        opts.connections = parse_number("connections", optarg, max_connections);
        break;
    case opt_rate:
        opts.rate = std::strtod(optarg, nullptr);
        break;
    case opt_seconds:
        opts.seconds = parse_number("seconds", optarg, max_seconds);
        break;
    case opt_body:
        opts.body = optarg;
        break;
    case opt_timeout:
        opts.timeout_ms = parse_number("timeout-ms", optarg, max_timeout_ms);
        break;
    case opt_version:
        fmt::print("fescuectl {}\n", FESCUESTREAM_VERSION);
        std::exit(0);
    case opt_help:
        fmt::print("{}", help);
        std::exit(0);
    default:
        std::exit(exit_usage_error);
    }
}

} // namespace

options read_options(int argc, char** argv)
{
    const option long_options[] = {{"address", required_argument, nullptr, opt_address},
                                   {"token-file", required_argument, nullptr, opt_token},
                                   {"ca", required_argument, nullptr, opt_ca},
                                   {"tls", no_argument, nullptr, opt_tls},
                                   {"order-id", required_argument, nullptr, opt_order},
                                   {"json", no_argument, nullptr, opt_json},
                                   {"output", required_argument, nullptr, opt_output},
                                   {"target", required_argument, nullptr, opt_target},
                                   {"path", required_argument, nullptr, opt_path},
                                   {"key", required_argument, nullptr, opt_key},
                                   {"connections", required_argument, nullptr, opt_connections},
                                   {"rate", required_argument, nullptr, opt_rate},
                                   {"seconds", required_argument, nullptr, opt_seconds},
                                   {"body", required_argument, nullptr, opt_body},
                                   {"timeout-ms", required_argument, nullptr, opt_timeout},
                                   {"version", no_argument, nullptr, opt_version},
                                   {"help", no_argument, nullptr, opt_help},
                                   {nullptr, 0, nullptr, 0}};
    options opts;
    int code = 0;
    while ((code = getopt_long(argc, argv, "", long_options, nullptr)) != -1) {
        apply_option(opts, code);
    }
    for (int i = optind; i < argc; ++i) {
        opts.arguments.emplace_back(argv[i]);
    }
    if (opts.arguments.empty()) {
        fmt::print(stderr, "{}", help);
        std::exit(exit_usage_error);
    }
    return opts;
}

} // namespace fescue::ctl
