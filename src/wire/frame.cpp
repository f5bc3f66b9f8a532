#include "fescuestream/wire/frame.h"

#include "fescuestream/base/free_memory.h"

#include <sodium.h>

#include <cstring>

namespace fescue::wire {

namespace {

using tag = std::array<unsigned char, tag_bytes>;

/** A larger buffer is freed as soon as its frames have been read. */
constexpr std::size_t max_kept_buffer_bytes = 256U << 10U;

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data()); // NOLINT
}

tag compute_tag(const frame_key& key, std::uint64_t sequence, std::string_view payload)
{
    crypto_generichash_state state;
    tag out{};
    crypto_generichash_init(&state, key.data(), key.size(), out.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&sequence), // NOLINT
                              sizeof sequence);
    crypto_generichash_update(&state, as_bytes(payload), payload.size());
    crypto_generichash_final(&state, out.data(), out.size());
    return out;
}

} // namespace

void start_crypto()
{
    if (sodium_init() < 0) {
        std::abort();
    }
}

frame_key derive_key(std::string_view secret, std::string_view context)
{
    // The secret may have any length, so it is hashed to a fixed-size key first.
    frame_key master{};
    crypto_generichash(master.data(), master.size(), as_bytes(secret), secret.size(), nullptr, 0);
    frame_key out{};
    crypto_generichash(out.data(), out.size(), as_bytes(context), context.size(), master.data(),
                       master.size());
    return out;
}

std::string random_bytes(std::size_t count)
{
    std::string out(count, '\0');
    randombytes_buf(out.data(), out.size());
    return out;
}

std::uint64_t random_first_number()
{
    std::uint64_t out = 0;
    randombytes_buf(&out, sizeof out);
    // The upper half of the range is left for the numbers that follow.
    return out >> 1U;
}

std::string frame_writer::write(std::string_view payload)
{
    const tag t = compute_tag(key_, sequence_, payload);
    ++sequence_;
    const auto size = static_cast<std::uint32_t>(payload.size());
    std::string out;
    out.reserve(sizeof size + t.size() + payload.size());
    out.append(reinterpret_cast<const char*>(&size), sizeof size); // NOLINT
    out.append(reinterpret_cast<const char*>(t.data()), t.size()); // NOLINT
    out.append(payload);
    return out;
}

void frame_reader::append(std::string_view bytes)
{
    if (consumed_ > 0 && consumed_ == buffer_.size()) {
        buffer_.clear();
        consumed_ = 0;
    }
    buffer_.append(bytes);
}

result<std::optional<std::string>> frame_reader::next()
{
    std::uint32_t size = 0;
    const std::string_view unread = std::string_view{buffer_}.substr(consumed_);
    if (unread.size() < sizeof size + tag_bytes) {
        return std::optional<std::string>{};
    }
    std::memcpy(&size, unread.data(), sizeof size);
    if (size > max_payload_) {
        return error{error_kind::bad_request, "frame length exceeds the maximum frame size"};
    }
    const std::size_t frame_bytes = sizeof size + tag_bytes + size;
    if (unread.size() < frame_bytes) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
        // Growth would hold a large frame twice.
        buffer_.reserve(frame_bytes);
        return std::optional<std::string>{};
    }
    const std::string_view payload = unread.substr(sizeof size + tag_bytes, size);
    const tag expected = compute_tag(key_, sequence_, payload);
    if (sodium_memcmp(expected.data(), unread.data() + sizeof size, tag_bytes) != 0) {
        return error{error_kind::bad_request, "frame authentication failed: keyed hash mismatch"};
    }
    ++sequence_;
    std::string out{payload};
    consumed_ += frame_bytes;
    if (consumed_ == buffer_.size() && buffer_.capacity() > max_kept_buffer_bytes) {
        free_memory(buffer_);
        consumed_ = 0;
    }
    return std::optional{std::move(out)};
}

void frame_reader::rekey(const frame_key& key)
{
    key_ = key;
    max_payload_ = max_frame_bytes;
    sequence_ = 0;
}

std::string seal_datagram(const frame_key& key, std::string_view payload)
{
    const tag t = compute_tag(key, 0, payload);
    std::string out{reinterpret_cast<const char*>(t.data()), t.size()}; // NOLINT
    out.append(payload);
    return out;
}

std::optional<std::string> open_datagram(const frame_key& key, std::string_view bytes)
{
    if (bytes.size() < tag_bytes) {
        return std::nullopt;
    }
    const std::string_view payload = bytes.substr(tag_bytes);
    const tag expected = compute_tag(key, 0, payload);
    if (sodium_memcmp(expected.data(), bytes.data(), tag_bytes) != 0) {
        return std::nullopt;
    }
    return std::string{payload};
}

} // namespace fescue::wire
