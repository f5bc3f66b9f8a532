#include "fescuestream/wire/send_queue.h"

#include "fescuestream/base/codec.h"

#include <algorithm>
#include <utility>

namespace fescue::wire {

namespace {

/** Upper bound on the encoding of a part without its bytes. */
constexpr std::size_t part_header_bytes = 64;
/** Sent bytes in front of the others are removed from here on. */
constexpr std::size_t max_consumed_bytes = 64U << 10U;
/** Bits of the byte that follows the random bytes of a nonce. */
constexpr unsigned char parts_accepted = 1;
constexpr unsigned char caller_limits_accepted = 2;
constexpr unsigned char order_stamps_accepted = 4;
constexpr unsigned char job_refusals_accepted = 8;

bool has_flag(const hello& from, unsigned char flag)
{
    return from.nonce.size() > nonce_bytes &&
           (static_cast<unsigned char>(from.nonce[nonce_bytes]) & flag) != 0;
}

} // namespace

std::size_t overtakable_bytes(const message& m)
{
    if (const auto* append = std::get_if<consensus::append_request>(&m)) {
        // The leader must know which of its messages are overtaken.
        return is_large(*append) ? append_bytes(*append) : 0;
    }
    if (const auto* call = std::get_if<forwarded_call>(&m)) {
        return call->body.size() >= consensus::large_append_bytes ? call->body.size() : 0;
    }
    return 0;
}

std::string make_nonce()
{
    return random_bytes(nonce_bytes) + static_cast<char>(parts_accepted | caller_limits_accepted |
                                                         order_stamps_accepted |
                                                         job_refusals_accepted);
}

bool accepts_parts(const hello& from)
{
    return has_flag(from, parts_accepted);
}

bool accepts_caller_limits(const hello& from)
{
    return has_flag(from, caller_limits_accepted);
}

bool accepts_order_stamps(const hello& from)
{
    return has_flag(from, order_stamps_accepted);
}

bool accepts_job_refusals(const hello& from)
{
    return has_flag(from, job_refusals_accepted);
}

void send_queue::push(std::string&& frame)
{
    if (frames_.empty()) {
        frames_ = std::move(frame);
    } else {
        frames_ += frame;
    }
}

std::string_view send_queue::next(std::optional<frame_writer>& writer)
{
    if (consumed_ == frames_.size() && !large_messages_.empty()) {
        const std::string& whole = large_messages_.front();
        message_part part;
        part.bytes = whole.substr(large_offset_, part_bytes);
        large_offset_ += part.bytes.size();
        part.last = large_offset_ == whole.size();
        const bool last = part.last;
        frames_ = writer->write(to_bytes(message{std::move(part)}, part_bytes + part_header_bytes));
        consumed_ = 0;
        if (last) {
            large_messages_.pop_front();
            large_offset_ = 0;
        }
    }
    return std::string_view{frames_}.substr(consumed_);
}

void send_queue::consume(std::size_t count)
{
    consumed_ += count;
    if (consumed_ == frames_.size()) {
        frames_.clear();
        consumed_ = 0;
    } else if (consumed_ >= max_consumed_bytes && consumed_ >= frames_.size() - consumed_) {
        // Each byte is moved once at most for each byte that has been sent.
        frames_.erase(0, consumed_);
        consumed_ = 0;
    }
}

std::size_t send_queue::bytes() const noexcept
{
    std::size_t out = frames_.size() - consumed_;
    for (const std::string& m : large_messages_) {
        out += m.size();
    }
    return out - large_offset_;
}

std::optional<backlog> send_queue::observe_backlog(mono_time now)
{
    const std::size_t unsent = bytes();
    if (unsent > 0) {
        backlog_began_at_ = backlog_bytes_ == 0 ? now : backlog_began_at_;
        backlog_bytes_ = std::max(backlog_bytes_, unsent);
        return std::nullopt;
    }
    const std::size_t largest = std::exchange(backlog_bytes_, 0);
    if (largest == 0) {
        return std::nullopt;
    }
    return backlog{largest, std::chrono::duration_cast<milliseconds>(now - backlog_began_at_)};
}

result<std::optional<std::string>> part_collector::add(const message_part& part)
{
    if (bytes_.size() + part.bytes.size() > max_frame_bytes) {
        return error{error_kind::bad_request, "message length exceeds the maximum frame size"};
    }
    bytes_ += part.bytes;
    if (!part.last) {
        return std::optional<std::string>{};
    }
    return std::optional{std::exchange(bytes_, {})};
}

} // namespace fescue::wire
