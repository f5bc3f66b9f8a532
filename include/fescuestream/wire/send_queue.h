#pragma once

/**
 * @file
 * The bytes that a connection has not sent yet. A large message is sent in parts, and messages that
 * are queued later overtake its remaining parts: a heartbeat does not wait for a log entry of
 * several megabytes.
 */

#include "fescuestream/wire/frame.h"
#include "fescuestream/wire/message.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace fescue::wire {

/** Largest number of a message's bytes in one part. At 200 Mbit/s a part takes 1.3 ms. */
inline constexpr std::size_t part_bytes = 32U << 10U;

/**
 * @return the number of content bytes of a message that may be sent in parts, or 0 for other
 * messages. Those are received in the order in which they were sent.
 */
std::size_t overtakable_bytes(const message& m);

/**
 * @return a new nonce for a hello message. After its random bytes it tells what this version can
 * receive; earlier versions ignore that.
 */
std::string make_nonce();
/** @return whether the sender of a hello message can receive messages in parts. */
bool accepts_parts(const hello& from);
/** @return whether the sender of a hello message knows the message caller_limits. */
bool accepts_caller_limits(const hello& from);
/** @return whether the sender of a hello message knows the messages of stamped orders. */
bool accepts_order_stamps(const hello& from);
/** @return whether the sender of a hello message knows the commands on refused and exhausted
 * jobs. */
bool accepts_job_refusals(const hello& from);

/** Bytes that waited for the connection. */
struct backlog {
    std::size_t bytes{0};
    milliseconds duration{0};
};

class send_queue {
public:
    /** Queues an encoded frame. */
    void push(std::string&& frame);
    /** Queues an encoded message, to be sent in parts whenever no frames are queued. */
    void push_large(std::string&& bytes) { large_messages_.push_back(std::move(bytes)); }
    /**
     * @return the bytes to send next; empty if there are none. Invalidated by any other call.
     * Precondition: the writer is set if a large message is queued.
     */
    std::string_view next(std::optional<frame_writer>& writer);
    /** Removes bytes that were sent. */
    void consume(std::size_t count);
    bool empty() const noexcept { return bytes() == 0; }
    std::size_t bytes() const noexcept;
    /**
     * To be called whenever sending has stopped. @return the largest number of bytes that were left
     * unsent and the time until all were sent, if that ended now.
     */
    std::optional<backlog> observe_backlog(mono_time now);

private:
    std::string frames_;
    std::size_t consumed_{0};
    std::deque<std::string> large_messages_;
    std::size_t large_offset_{0};
    std::size_t backlog_bytes_{0};
    mono_time backlog_began_at_{};
};

/** Puts the parts of large messages together again. */
class part_collector {
public:
    /** @return the encoded message if it is complete; an error if it exceeds max_frame_bytes. */
    result<std::optional<std::string>> add(const message_part& part);

private:
    std::string bytes_;
};

} // namespace fescue::wire
