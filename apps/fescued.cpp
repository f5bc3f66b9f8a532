/**
 * @file
 * The entry instance's program.
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
constexpr int exit_usage = 2;

constexpr const char* help = R"(fescued: an entry instance of fescuestream

usage: fescued --config FILE [--check]
       fescued --version | --help

  --config FILE   settings, JSON with comments (docs/OPERATIONS.md names every field)
  --check         read the settings, name every fault by its path, and end: 0 or 2
  --version       print the version
  --help          print this

Signals: SIGTERM and SIGINT begin a planned stop that cuts no request.

examples:
  fescued --config examples/one/entry-1.json
  fescued --config /etc/fescuestream/entry-1.json --check
)";

struct options {
    std::string config;
    bool check{false};
};

/** Reads the command line; ends the process for --help, --version and faults. */
options read_options(int argc, char** argv)
{
    const option known[] = {{"config", required_argument, nullptr, 'c'},
                            {"check", no_argument, nullptr, 'k'},
                            {"version", no_argument, nullptr, 'v'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
    options out;
    int found = 0;
    while ((found = getopt_long(argc, argv, "c:kvh", known, nullptr)) != -1) {
        switch (found) {
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
            std::exit(exit_usage);
        }
    }
    if (out.config.empty()) {
        out.config = fescue::platform::settings_file().value_or("");
    }
    if (out.config.empty() || optind != argc) {
        fmt::print(stderr, "{}", help);
        std::exit(exit_usage);
    }
    return out;
}

/** Reads the settings again; a file with faults changes nothing. */
template <class Instance>
void reload(Instance& instance, const std::string& file)
{
    const auto text = fescue::settings::read_text(file);
    const auto read = fescue::settings::parse_job_service(text.value_or(""));
    if (const auto* faults = std::get_if<fescue::json::faults>(&read)) {
        fescue::log::warning("reload_refused",
                             {{"file", file}, {"why", fescue::json::to_text(*faults)}});
        return;
    }
    const auto& now = std::get<fescue::settings::job_service_settings>(read);
    fescue::log::info("reloaded", {{"file", file}, {"seeds", now.seeds.size()}});
    instance.reload(now);
}

template <class Instance>
int run_jobs(fescue::event_loop& loop, Instance& instance, const std::string& name,
             const std::string& file)
{
    if (const auto fault = instance.start()) {
        fescue::log::failure("cannot_start", {{"instance", name}, {"why", fault->detail}});
        return 1;
    }
    loop.on_signal(SIGTERM, [&] { instance.shut_down(); });
    loop.on_signal(SIGINT, [&] { instance.shut_down(); });
    loop.on_signal(SIGHUP, [&] { reload(instance, file); });
    loop.at_round_end([] { fescue::log::flush(); });
    fescue::log::batch(true);
    loop.run();
    fescue::log::batch(false);
    return 0;
}

/** An instance of the job service; settings that name a role ask for one. */
int run(const fescue::settings::job_service_settings& settings, const std::string& file)
{
    fescue::log::set_level(settings.log_level);
    fescue::event_loop loop;
    const fescue::fleet::protocol wire = fescue::platform::make_protocol();
    const bool scheduler = settings.role == fescue::settings::job_role::scheduler;
    fescue::log::info("started", {{"instance", settings.name},
                                  {"address", settings.id.str()},
                                  {"role", scheduler ? "scheduler" : "entry"},
                                  {"data_centre", settings.data_centre.str()},
                                  {"first_start", settings.first_start},
                                  {"version", version}});
    if (scheduler) {
        fescue::fleet::scheduler_instance instance{loop, settings, wire};
        const int code = run_jobs(loop, instance, settings.name, file);
        return code != 0 ? code : instance.exit_status();
    }
    fescue::fleet::entry_instance instance{loop, settings, wire};
    return run_jobs(loop, instance, settings.name, file);
}

int run(fescue::settings::instance_settings settings)
{
    fescue::log::set_level(settings.log_level);
    fescue::event_loop loop;
    const std::string id = settings.id.str();
    fescue::node::instance instance{loop, std::move(settings)};
    if (const auto fault = instance.start()) {
        fescue::log::failure("cannot_start", {{"instance", id}, {"why", fault->detail}});
        return 1;
    }
    loop.on_signal(SIGTERM, [&] { instance.shut_down(); });
    loop.on_signal(SIGINT, [&] { instance.shut_down(); });
    fescue::log::info("started", {{"instance", id}, {"version", version}});
    loop.run();
    return instance.exit_status();
}

int report(const std::string& file, const fescue::json::faults& faults)
{
    for (const auto& f : faults) {
        fmt::print(stderr, "{}: {}\n", f.path.empty() ? file : f.path, f.what);
    }
    return exit_usage;
}

} // namespace

int main(int argc, char** argv)
{
    const options opts = read_options(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    fescue::wire::start_crypto();
    const auto text = fescue::settings::read_text(opts.config);
    if (text && fescue::settings::names_a_role(*text)) {
        const auto read = fescue::settings::parse_job_service(*text);
        if (const auto* faults = std::get_if<fescue::json::faults>(&read)) {
            return report(opts.config, *faults);
        }
        if (opts.check) {
            fmt::print("{}: ok\n", opts.config);
            return 0;
        }
        return run(std::get<fescue::settings::job_service_settings>(read), opts.config);
    }
    auto loaded = fescue::settings::load(opts.config);
    if (const auto* faults = std::get_if<fescue::json::faults>(&loaded)) {
        return report(opts.config, *faults);
    }
    if (opts.check) {
        fmt::print("{}: ok\n", opts.config);
        return 0;
    }
    return run(std::move(std::get<fescue::settings::instance_settings>(loaded)));
}
