#pragma once

/**
 * @file
 * The settings of one entry instance: read once at start, every field checked.
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

/** Another instance, as this one's settings name it. */
struct peer {
    instance_id id;
    data_centre_id data_centre;
    http::endpoint address;
    bool voter{false};
};

/** Where this instance listens. */
struct listen_addresses {
    http::endpoint callers{"127.0.0.1", 8080};
    http::endpoint control{"127.0.0.1", 8081};
    http::endpoint peers{"127.0.0.1", 8082};
};

/** Checked settings, secrets included. */
struct instance_settings {
    instance_id id;
    data_centre_id data_centre;
    listen_addresses listen;
    std::vector<peer> peers;
    /** Empty: this instance has no disk, so it follows and never votes. */
    std::string data_folder;
    std::string cluster_secret;
    std::string operator_token;
    std::string server_token;
    http::tls_identity tls;
    log::level log_level{log::level::info};
};

using load_result = std::variant<instance_settings, json::faults>;

/** Reads settings from text. Secret files are read too, relative to the working folder. */
load_result parse(const std::string& text);
/** @return a file's text, or nothing when it can't be read. */
std::optional<std::string> read_text(const std::string& file);
/** Reads settings from a file. */
load_result load(const std::string& file);
/** Reads a secret file: first line, owner-readable only. Faults are reported under @p path. */
std::string read_secret(const std::string& file, const std::string& path, json::faults& out);

} // namespace fescue::settings
