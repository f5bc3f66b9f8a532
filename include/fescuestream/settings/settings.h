#pragma once

/**
 * @file
 * Settings of an entry instance, read and validated once at startup.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/base/log.h"
#include "fescuestream/http/server.h"
#include "fescuestream/json/object_reader.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fescue::settings {

/** Another instance, as listed in this instance's settings. */
struct peer {
    instance_id id;
    data_centre_id data_centre;
    http::endpoint address;
    bool voter{false};
};

/** Addresses on which this instance listens. */
struct listen_addresses {
    http::endpoint callers{"127.0.0.1", 8080};
    http::endpoint control{"127.0.0.1", 8081};
    http::endpoint peers{"127.0.0.1", 8082};
};

/** Validated settings, including the secrets read from files. */
struct instance_settings {
    instance_id id;
    data_centre_id data_centre;
    listen_addresses listen;
    std::vector<peer> peers;
    /** Empty: the instance has no disk, so it replicates the log but never votes. */
    std::string data_folder;
    std::string cluster_secret;
    std::string operator_token;
    std::string server_token;
    http::tls_identity tls;
    http::request_limits request_limits;
    log::level log_level{log::level::info};
};

using load_result = std::variant<instance_settings, json::field_errors>;

/** Parses settings and reads the secret files they name, relative to the working directory. */
load_result parse(const std::string& text);
/** @return a file's content, or nullopt if it cannot be read. */
std::optional<std::string> read_text(const std::string& file);
/** Reads and parses a settings file. */
load_result load(const std::string& file);
/**
 * Reads a secret from the first line of a file that only its owner may access. Errors are reported
 * under @p path.
 */
std::string read_secret(const std::string& file, const std::string& path, json::field_errors& out);

} // namespace fescue::settings
