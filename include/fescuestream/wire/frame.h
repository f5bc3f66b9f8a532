#pragma once

/**
 * @file
 * Framing between instances: length, keyed hash over sequence number and payload, payload. Frames
 * that are modified, replayed, reordered, or moved to another connection fail verification, as does
 * the frame after a dropped one.
 */

#include "fescuestream/base/error.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescue::wire {

inline constexpr std::size_t tag_bytes = 16;
inline constexpr std::size_t key_bytes = 32;
inline constexpr std::size_t nonce_bytes = 16;
/** Largest payload, in bytes. */
inline constexpr std::size_t max_frame_bytes = 64U << 20U;

using frame_key = std::array<unsigned char, key_bytes>;

/** Derives a key from a secret with a keyed hash over the context; also used for caller keys. */
frame_key derive_key(std::string_view secret, std::string_view context);
/** @return cryptographically secure random bytes. */
std::string random_bytes(std::size_t count);
/** @return a random number from which a process numbers its requests, so that a late reply to an
 * earlier process of the same instance matches none of them. */
std::uint64_t random_first_number();
/** Initializes libsodium; must be called once per process. */
void start_crypto();

/** Encodes frames for one direction of one connection. */
class frame_writer {
public:
    explicit frame_writer(const frame_key& key) : key_{key} {}
    /** @return the encoded frame; each call uses the next sequence number. */
    std::string write(std::string_view payload);

private:
    frame_key key_;
    std::uint64_t sequence_{0};
};

/** Decodes and verifies frames from a byte stream. */
class frame_reader {
public:
    /** @param max_payload larger payloads are refused until the next rekey(). */
    explicit frame_reader(const frame_key& key, std::size_t max_payload = max_frame_bytes)
        : key_{key}, max_payload_{max_payload}
    {
    }
    void append(std::string_view bytes);
    /** @return the next payload, nullopt when more bytes are needed, or an error. */
    result<std::optional<std::string>> next();
    /** Sets the key for subsequent frames, which may have the maximum size, and resets the sequence
     * number. */
    void rekey(const frame_key& key);

private:
    frame_key key_;
    std::size_t max_payload_;
    std::uint64_t sequence_{0};
    std::string buffer_;
    std::size_t consumed_{0};
};

/** Prepends the authentication tag to a datagram payload. */
std::string seal_datagram(const frame_key& key, std::string_view payload);
/** @return the payload of a datagram, or nullopt when it fails verification. */
std::optional<std::string> open_datagram(const frame_key& key, std::string_view bytes);

} // namespace fescue::wire
