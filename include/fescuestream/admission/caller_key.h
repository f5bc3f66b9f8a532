#pragma once

/**
 * @file
 * API keys of callers, of the form "fk_ID_SECRET". Only a hash is stored, and hashes are compared
 * in constant time.
 */

#include "fescuestream/catalogue/state.h"

#include <optional>
#include <string>

namespace fescue::admission {

/** Derives the key's text from its id deterministically, so that a repeated order can return the
 * same text. */
std::string format_key(const std::string& issuing_secret, const key_id& id);
/** Generates a random key id. */
key_id new_key_id();
catalogue::key_hash hash_key(const std::string& text);

struct known_key {
    key_id id;
    team_id team;
};

/** @return the key's id and team if the key is valid and was not withdrawn. */
std::optional<known_key> find_key(const catalogue::control_state& state, const std::string& text);
/** Compares two secrets in constant time. */
bool equal_in_constant_time(const std::string& a, const std::string& b) noexcept;

} // namespace fescue::admission
