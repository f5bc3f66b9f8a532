#include "fescuestream/admission/caller_key.h"

#include "fescuestream/wire/frame.h"

#include <fmt/format.h>
#include <sodium.h>

namespace fescue::admission {

namespace {

constexpr std::string_view prefix = "fk_";
constexpr std::size_t id_bytes = 8;

std::string hex(const unsigned char* bytes, std::size_t size)
{
    std::string out;
    for (std::size_t i = 0; i < size; ++i) {
        out += fmt::format("{:02x}", bytes[i]);
    }
    return out;
}

} // namespace

std::string key_text(const std::string& issuing_secret, const key_id& id)
{
    const auto secret = wire::derive_key(issuing_secret, "fescuestream caller key " + id.str());
    return std::string{prefix} + id.str() + "_" + hex(secret.data(), secret.size());
}

key_id new_key_id()
{
    const std::string bytes = wire::random_bytes(id_bytes);
    return key_id{
        hex(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size())}; // NOLINT
}

catalogue::key_hash hash_of(const std::string& text)
{
    return wire::derive_key("fescuestream stored key", text);
}

std::optional<known_key> find_key(const catalogue::control_state& state, const std::string& text)
{
    const auto end = text.rfind('_');
    if (!text.starts_with(prefix) || end == std::string::npos || end <= prefix.size()) {
        return std::nullopt;
    }
    const key_id id{text.substr(prefix.size(), end - prefix.size())};
    const auto found = state.keys.find(id);
    if (found == state.keys.end()) {
        return std::nullopt;
    }
    const catalogue::key_hash hash = hash_of(text);
    if (sodium_memcmp(hash.data(), found->second.hash.data(), hash.size()) != 0) {
        return std::nullopt;
    }
    return known_key{id, found->second.team};
}

bool same_secret(const std::string& a, const std::string& b) noexcept
{
    // Hashing first hides the lengths too.
    const auto x = wire::derive_key("compare", a);
    const auto y = wire::derive_key("compare", b);
    return sodium_memcmp(x.data(), y.data(), x.size()) == 0;
}

} // namespace fescue::admission
