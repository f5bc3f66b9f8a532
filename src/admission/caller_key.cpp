#include "fescuestream/admission/caller_key.h"

#include "fescuestream/wire/frame.h"

#include <fmt/format.h>
#include <sodium.h>

namespace fescue::admission {

namespace {

constexpr std::string_view key_prefix = "fk_";
constexpr std::size_t key_id_bytes = 8;

std::string to_hex(const unsigned char* bytes, std::size_t size)
{
    std::string out;
    for (std::size_t i = 0; i < size; ++i) {
        out += fmt::format("{:02x}", bytes[i]);
    }
    return out;
}

} // namespace

std::string format_key(const std::string& issuing_secret, const key_id& id)
{
    const auto secret = wire::derive_key(issuing_secret, "fescuestream caller key " + id.str());
    return std::string{key_prefix} + id.str() + "_" + to_hex(secret.data(), secret.size());
}

key_id new_key_id()
{
    const std::string bytes = wire::random_bytes(key_id_bytes);
    return key_id{
        to_hex(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size())}; // NOLINT
}

catalogue::key_hash hash_key(const std::string& text)
{
    return wire::derive_key("fescuestream stored key", text);
}

std::optional<known_key> find_key(const catalogue::control_state& state, const std::string& text)
{
    const auto separator = text.rfind('_');
    if (!text.starts_with(key_prefix) || separator == std::string::npos ||
        separator <= key_prefix.size()) {
        return std::nullopt;
    }
    const key_id id{text.substr(key_prefix.size(), separator - key_prefix.size())};
    const auto found = state.keys.find(id);
    if (found == state.keys.end()) {
        return std::nullopt;
    }
    const catalogue::key_hash hash = hash_key(text);
    if (sodium_memcmp(hash.data(), found->second.hash.data(), hash.size()) != 0) {
        return std::nullopt;
    }
    return known_key{id, found->second.team};
}

bool equal_in_constant_time(const std::string& a, const std::string& b) noexcept
{
    // Comparing hashes also hides the lengths of the secrets.
    const auto hash_a = wire::derive_key("compare", a);
    const auto hash_b = wire::derive_key("compare", b);
    return sodium_memcmp(hash_a.data(), hash_b.data(), hash_a.size()) == 0;
}

} // namespace fescue::admission
