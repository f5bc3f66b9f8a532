#pragma once

/**
 * @file
 * Callers' keys: "fk_ID_SECRET". Only a hash is stored; the comparison takes the same time
 * wherever the texts differ.
 */

#include "fescuestream/catalogue/state.h"

#include <optional>
#include <string>

namespace fescue::admission {

/** Makes the key's text from its id, the same each time, so that a resent order can show it again.
 */
std::string key_text(const std::string& issuing_secret, const key_id& id);
/** A fresh key id. */
key_id new_key_id();
catalogue::key_hash hash_of(const std::string& text);

struct known_key {
    key_id id;
    team_id team;
};

/** @return whose key the text is, when it stands and was not withdrawn. */
std::optional<known_key> find_key(const catalogue::control_state& state, const std::string& text);
/** Compares two secrets in constant time. */
bool same_secret(const std::string& a, const std::string& b) noexcept;

} // namespace fescue::admission
