#pragma once

/**
 * @file
 * Command line parsing of fescuectl.
 */

#include <cstdint>
#include <string>
#include <vector>

namespace fescue::ctl {

struct options {
    std::string address{"127.0.0.1:8081"};
    std::string token;
    std::string ca_file;
    /** Idempotency key of the order; empty: generated. */
    std::string order_id;
    std::string output;
    bool json{false};
    bool tls{false};
    /** The command and its arguments. */
    std::vector<std::string> arguments;

    // Options of fescuectl load
    std::vector<std::string> targets;
    std::string path;
    std::string key;
    std::string body{"ping"};
    std::uint32_t connections{16};
    double rate{0};
    std::uint32_t seconds{5};
    std::uint32_t timeout_ms{5000};
};

/** Parses the command line; exits the process on --help, --version and errors. */
options read_options(int argc, char** argv);

} // namespace fescue::ctl
