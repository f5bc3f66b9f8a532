/**
 * @file
 * fescued: runs an entry instance, or a scheduler instance of the job service.
 */

#include "fescuestream/base/log.h"
#include "fescuestream/base/loop.h"
#include "fescuestream/settings/job_service.h"
#include "fescuestream/settings/settings.h"
#include "fescuestream/wire/frame.h"
#include "fleet/entry_instance.h"
#include "fleet/scheduler_instance.h"
#include "node/node.h"
#include "platform.h"

#include <fmt/format.h>
#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <string>
#include <utility>

namespace {

constexpr const char* version = FESCUESTREAM_VERSION;
constexpr int exit_usage_error = 2;

constexpr const char* help = R"(fescued: an entry instance of fescuestream

usage: fescued --config FILE [--check]
       fescued --version | --help

  --config FILE   settings, JSON with comments (see docs/OPERATIONS.md for all fields)
  --check         validate the settings, print every error with its path, and exit: 0 or 2
  --version       print the version and exit
  --help          print this help and exit

Signals: SIGTERM and SIGINT start a graceful shutdown that completes requests in flight. SIGHUP reloads the seeds of an
instance of the job service; other instances ignore it.

examples:
  fescued --config examples/one/entry-1.json
  fescued --config /etc/fescuestream/entry-1.json --check
)";

struct options {
    std::string config;
    bool check{false};
};

/** Parses the command line; exits the process on --help, --version and errors. */
options read_options(int argc, char** argv)
{
    const option long_options[] = {{"config", required_argument, nullptr, 'c'},
                                   {"check", no_argument, nullptr, 'k'},
                                   {"version", no_argument, nullptr, 'v'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
    options out;
    int code = 0;
    while ((code = getopt_long(argc, argv, "c:kvh", long_options, nullptr)) != -1) {
        switch (code) {
        case 'c':
            out.config = optarg;
            break;
        case 'k':
            out.check = true;
            break;
        case 'v':
            fmt::print("fescued {}\n", version);
            std::exit(0);
        case 'h':
            fmt::print("{}", help);
            std::exit(0);
        default:
            std::exit(exit_usage_error);
        }
    }
    if (out.config.empty()) {
        out.config = fescue::platform::settings_file().value_or("");
    }
    if (out.config.empty() || optind != argc) {
        fmt::print(stderr, "{}", help);
        std::exit(exit_usage_error);
    }
    return out;
}

/** Reloads the settings; a file with errors changes nothing. */
template <class Instance>
void reload(Instance& instance, const std::string& file)
{
    const auto text = fescue::settings::read_text(file);
    const auto parsed = fescue::settings::parse_job_service(text.value_or(""));
    if (const auto* field_errors = std::get_if<fescue::json::field_errors>(&parsed)) {
        fescue::log::warning("reload_refused",
                             {{"file", file}, {"why", fescue::json::to_text(*field_errors)}});
        return;
    }
    const auto& settings = std::get<fescue::settings::job_service_settings>(parsed);
    fescue::log::info("reloaded", {{"file", file}, {"seeds", settings.seeds.size()}});
    instance.reload(settings);
}

template <class Instance>
int run_job_service(fescue::event_loop& loop, Instance& instance, const std::string& name,
                    const std::string& file)
{
    // A signal that arrives during the start is handled once the loop runs.
    loop.on_signal(SIGTERM, [&] { instance.shut_down(); });
    loop.on_signal(SIGINT, [&] { instance.shut_down(); });
    loop.on_signal(SIGHUP, [&] { reload(instance, file); });
    if (const auto fault = instance.start()) {
        fescue::log::failure("cannot_start", {{"instance", name}, {"why", fault->detail}});
        return 1;
    }
    loop.on_iteration_end([] { fescue::log::flush(); });
    fescue::log::batch(true);
    loop.run();
    fescue::log::batch(false);
    return 0;
}

/** Runs an instance of the job service, which settings with a "role" field select. */
int run(const fescue::settings::job_service_settings& settings, const std::string& file)
{
    fescue::log::set_level(settings.log_level);
    fescue::event_loop loop;
    const fescue::fleet::protocol protocol = fescue::platform::make_protocol();
    const bool scheduler = settings.role == fescue::settings::job_role::scheduler;
    fescue::log::info("started", {{"instance", settings.name},
                                  {"address", settings.id.str()},
                                  {"role", scheduler ? "scheduler" : "entry"},
                                  {"data_centre", settings.data_centre.str()},
                                  {"first_start", settings.first_start},
                                  {"version", version}});
    if (scheduler) {
        fescue::fleet::scheduler_instance instance{loop, settings, protocol};
        const int code = run_job_service(loop, instance, settings.name, file);
        return code != 0 ? code : instance.exit_status();
    }
    fescue::fleet::entry_instance instance{loop, settings, protocol};
    return run_job_service(loop, instance, settings.name, file);
}

int run(fescue::settings::instance_settings settings)
{
    fescue::log::set_level(settings.log_level);
    fescue::event_loop loop;
    const std::string id = settings.id.str();
    fescue::node::instance instance{loop, std::move(settings)};
    // A signal that arrives during the start is handled once the loop runs.
    loop.on_signal(SIGTERM, [&] { instance.shut_down(); });
    loop.on_signal(SIGINT, [&] { instance.shut_down(); });
    loop.on_signal(SIGHUP, [] { fescue::log::info("reload_ignored"); });
    if (const auto fault = instance.start()) {
        fescue::log::failure("cannot_start", {{"instance", id}, {"why", fault->detail}});
        return 1;
    }
    fescue::log::info("started", {{"instance", id}, {"version", version}});
    loop.run();
    return instance.exit_status();
}

int print_field_errors(const std::string& file, const fescue::json::field_errors& field_errors)
{
    for (const auto& f : field_errors) {
        fmt::print(stderr, "{}: {}\n", f.path.empty() ? file : f.path, f.what);
    }
    return exit_usage_error;
}

} // namespace

int main(int argc, char** argv)
{
    const options opts = read_options(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    fescue::wire::start_crypto();
    const auto text = fescue::settings::read_text(opts.config);
    if (text && fescue::settings::is_job_service_settings(*text)) {
        const auto parsed = fescue::settings::parse_job_service(*text);
        if (const auto* field_errors = std::get_if<fescue::json::field_errors>(&parsed)) {
            return print_field_errors(opts.config, *field_errors);
        }
        if (opts.check) {
            fmt::print("{}: ok\n", opts.config);
            return 0;
        }
        return run(std::get<fescue::settings::job_service_settings>(parsed), opts.config);
    }
    auto loaded = fescue::settings::load(opts.config);
    if (const auto* field_errors = std::get_if<fescue::json::field_errors>(&loaded)) {
        return print_field_errors(opts.config, *field_errors);
    }
    if (opts.check) {
        fmt::print("{}: ok\n", opts.config);
        return 0;
    }
    return run(std::move(std::get<fescue::settings::instance_settings>(loaded)));
}
