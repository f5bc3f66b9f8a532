/**
 * @file
 * Simulates the platform on loopback: many backend servers in one process, and a load generator
 * that submits jobs. Reports a violation when a task runs twice at the same time, starts again
 * after it completed, or starts before the preceding step completed, when an accepted job is lost,
 * and when a start exceeds the capacity of a server that does not enforce it. On SIGUSR1 a server
 * that runs tasks disappears. Forgetful servers restart and get calls late until SIGUSR2.
 */

#include "load_generator.h"
#include "server_fleet.h"

#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace fescue;
using namespace fescue::fakes;

namespace {

farm_options read_options(int argc, char** argv)
{
    const option known[] = {{"control", required_argument, nullptr, 'c'},
                            {"entry", required_argument, nullptr, 'e'},
                            {"servers", required_argument, nullptr, 's'},
                            {"first-port", required_argument, nullptr, 'p'},
                            {"rate", required_argument, nullptr, 'r'},
                            {"tasks", required_argument, nullptr, 't'},
                            {"task-ms", required_argument, nullptr, 'm'},
                            {"task-cpu", required_argument, nullptr, 'u'},
                            {"server-cpu", required_argument, nullptr, 'k'},
                            {"varying-capacity", no_argument, nullptr, 'v'},
                            {"unenforced-capacity", no_argument, nullptr, 'f'},
                            {"forgetful", no_argument, nullptr, 'g'},
                            {"max-lease-ms", required_argument, nullptr, 'l'},
                            {"data-centres", required_argument, nullptr, 'd'},
                            {"seconds", required_argument, nullptr, 'n'},
                            {"seed", required_argument, nullptr, 'x'},
                            {nullptr, 0, nullptr, 0}};
    farm_options out;
    int found = 0;
    while ((found = getopt_long(argc, argv, "", known, nullptr)) != -1) {
        switch (found) {
        case 'c':
            out.control_addresses.emplace_back(optarg);
            break;
        case 'e':
            out.entry_addresses.emplace_back(optarg);
            break;
        case 's':
            out.servers = std::stoi(optarg);
            break;
        case 'p':
            out.first_port = std::stoi(optarg);
            break;
        case 'r':
            out.jobs_per_s = std::stod(optarg);
            break;
        case 't':
            out.tasks = std::stoi(optarg);
            break;
        case 'm':
            out.task_ms = std::stoi(optarg);
            break;
        case 'u':
            out.task_cpu = std::stoi(optarg);
            break;
        case 'k':
            out.server_cpu = std::stoi(optarg);
            break;
        case 'v':
            out.capacity_varies = true;
            break;
        case 'f':
            out.enforces_capacity = false;
            break;
        case 'g':
            out.forgetful = true;
            break;
        case 'l':
            out.max_lease_ms = std::stoi(optarg);
            break;
        case 'd':
            out.data_centres =
                std::clamp(std::stoi(optarg), 1, static_cast<int>(data_centre_names.size()));
            break;
        case 'n':
            out.seconds = std::stoi(optarg);
            break;
        case 'x':
            out.seed = std::stoull(optarg);
            break;
        default:
            std::exit(2);
        }
    }
    if (out.control_addresses.empty() || out.entry_addresses.empty()) {
        fmt::print(
            stderr,
            "worker_farm --control IP:PORT... --entry IP:PORT... [--servers N] [--rate JOBS/S]\n");
        std::exit(2);
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    const farm_options opts = read_options(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    // The log writes to the same file past the buffer.
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    event_loop loop;
    http::client client{loop};
    execution_checker checker{opts.forgetful ? completion_rule::acknowledged_ends
                                             : completion_rule::every_end};
    const server_fleet servers{loop, client, checker, opts};
    load_generator load{loop, client, checker, opts};
    loop.run();
    return checker.violations == 0 ? 0 : 1;
}
