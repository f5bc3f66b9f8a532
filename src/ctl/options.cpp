#include "options.h"

#include "fescuestream/settings/settings.h"

#include <fmt/format.h>
#include <getopt.h>

#include <cstdlib>

namespace fescue::ctl {

namespace {

constexpr int exit_usage = 2;

constexpr const char* help = R"(fescuectl: the operators' command line of fescuestream

usage: fescuectl VERB [WORDS] [--address IP:PORT] [--token-file FILE] [options]

verbs
  form                              form a new system of several instances, once
  status                            pools, teams, instances, servers and waves at a glance
  catalogue get                     print the catalogue (its version goes to standard error)
  catalogue put FILE [VERSION]      replace it; VERSION is the one that you saw (default: present)
  key give TEAM                     give a caller's key; it is shown once
  key withdraw ID                   withdraw a key
  data-centre out|in ID             take a data centre out of service, or back in
  order VERSION                     is that order in force everywhere?
  maintenance reboot|drain servers|rack|data-centre NAMES...
                                    start a maintenance wave
  wave ID                           a wave's progress
  explain server|team|pool|request ID
                                    the last decisions about it, with their reasons
  load                              send requests and print throughput and latency

options
  --address IP:PORT    control port of any instance (default 127.0.0.1:8081)
  --token-file FILE    operator token, first line; readable by its owner only
  --tls, --ca FILE     speak TLS; check the certificate against FILE
  --order-id TEXT      idempotency key: the same order sent again has one effect
  --json               print the answer as it came
  --version, --help

options of load
  --target IP:PORT     callers' port, or a backend server itself; may stand several times
  --path PATH          for example /v1/services/quotes/requests
  --key KEY            the caller's key
  --connections N      requests under way at one time (default 16)
  --rate R             requests a second in all (default: as many as come back)
  --seconds S          how long (default 5, at most 600)
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

constexpr std::uint32_t most_connections = 4096;
constexpr std::uint32_t most_seconds = 600;
constexpr std::uint32_t most_timeout_ms = 3'600'000;

[[noreturn]] void fail(const std::string& what)
{
    fmt::print(stderr, "fescuectl: {}\n", what);
    std::exit(exit_usage);
}

std::uint32_t number(const char* name, const char* text, std::uint32_t most)
{
    char* end = nullptr;
    const long long value = std::strtoll(text, &end, 10);
    if (*text == '\0' || *end != '\0' || value < 1 || value > most) {
        fail(fmt::format("--{} must be a whole number from 1 to {}", name, most));
    }
    return static_cast<std::uint32_t>(value);
}

std::string read_token(const char* file)
{
    json::faults faults;
    std::string token = settings::read_secret(file, "--token-file", faults);
    if (!faults.empty()) {
        fail(json::to_text(faults));
    }
    return token;
}

void take(options& out, int code)
{
    switch (code) {
    case opt_address:
        out.address = optarg;
        break;
    case opt_token:
        out.token = read_token(optarg);
        break;
    case opt_ca:
        out.ca_file = optarg;
        out.tls = true;
        break;
    case opt_tls:
        out.tls = true;
        break;
    case opt_order:
        out.order_id = optarg;
        break;
    case opt_json:
        out.json = true;
        break;
    case opt_output:
        out.output = optarg;
        break;
    case opt_target:
        out.targets.emplace_back(optarg);
        break;
    case opt_path:
        out.path = optarg;
        break;
    case opt_key:
        out.key = optarg;
        break;
    case opt_connections:
        out.connections = number("connections", optarg, most_connections);
        break;
    case opt_rate:
        out.rate = std::strtod(optarg, nullptr);
        break;
    case opt_seconds:
        out.seconds = number("seconds", optarg, most_seconds);
        break;
    case opt_body:
        out.body = optarg;
        break;
    case opt_timeout:
        out.timeout_ms = number("timeout-ms", optarg, most_timeout_ms);
        break;
    case opt_version:
        fmt::print("fescuectl {}\n", FESCUESTREAM_VERSION);
        std::exit(0);
    case opt_help:
        fmt::print("{}", help);
        std::exit(0);
    default:
        std::exit(exit_usage);
    }
}

} // namespace

options read_options(int argc, char** argv)
{
    const option known[] = {{"address", required_argument, nullptr, opt_address},
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
    options out;
    int code = 0;
    while ((code = getopt_long(argc, argv, "", known, nullptr)) != -1) {
        take(out, code);
    }
    for (int i = optind; i < argc; ++i) {
        out.words.emplace_back(argv[i]);
    }
    if (out.words.empty()) {
        fmt::print(stderr, "{}", help);
        std::exit(exit_usage);
    }
    return out;
}

} // namespace fescue::ctl
