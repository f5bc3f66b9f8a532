#pragma once

/**
 * @file
 * Frames between instances: a length, a keyed hash over sequence number and payload, the payload.
 * A frame that was changed, replayed, dropped or moved to another connection does not verify.
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
inline constexpr std::size_t largest_frame = 64U << 20U;

using frame_key = std::array<unsigned char, key_bytes>;

/** Keyed hash of a text; used for frames, for keys and to derive one key from another. */
frame_key derive_key(std::string_view secret, std::string_view context);
/** Fresh random bytes. */
std::string random_bytes(std::size_t count);
/** Readies the cryptographic library; called once a process. */
void start_crypto();

/** Wraps payloads for one direction of one connection. */
class frame_writer {
public:
    explicit frame_writer(const frame_key& key) : key_{key} {}
    /** @return the frame; each call takes the next sequence number. */
    std::string write(std::string_view payload);

private:
    frame_key key_;
    std::uint64_t sequence_{0};
};

/** Cuts a stream of bytes into verified payloads. */
class frame_reader {
public:
    explicit frame_reader(const frame_key& key) : key_{key} {}
    void append(std::string_view bytes);
    /** @return the next payload, nothing when more bytes are needed, or an error. */
    result<std::optional<std::string>> next();
    /** Changes the key for the frames to come; the sequence starts again. */
    void rekey(const frame_key& key);

private:
    frame_key key_;
    std::uint64_t sequence_{0};
    std::string buffer_;
    std::size_t used_{0};
};

/** Wraps one datagram. */
std::string seal_datagram(const frame_key& key, std::string_view payload);
/** @return the payload of a datagram that verifies. */
std::optional<std::string> open_datagram(const frame_key& key, std::string_view bytes);

} // namespace fescue::wire
