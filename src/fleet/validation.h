#pragma once

/**
 * @file
 * Checks of what other machines send, whichever way it arrives: from a backend server itself or
 * through another scheduler, which may run an older version.
 */

#include "protocol.h"

namespace fescue::fleet {

/** Largest capacity of a server in one resource: a million cores, or a petabyte of memory. Sums
 * over all servers, and products with a step's tasks, stay within 64 bits. */
inline constexpr std::int64_t max_resource_amount = 1'000'000'000;
/** Latest time and largest clock reading, in milliseconds: the end of the year 9999 as Unix time,
 * the last that RFC 3339 can express. */
inline constexpr std::int64_t max_time_ms = 253'402'300'799'999;
/** Largest duration in milliseconds: 100 years of 365.25 days. */
inline constexpr std::int64_t max_duration_ms = 3'155'760'000'000;
/** Largest number of an end in one incarnation of a server: a thousand ends a second for 31 years.
 */
inline constexpr std::uint64_t max_end_sequence = 1'000'000'000'000;
/** Largest length of an id, in bytes. */
inline constexpr std::size_t max_id_bytes = 128;
/** Largest length of a name or a label, in bytes; bounds memory use. */
inline constexpr std::size_t max_name_bytes = 4096;
/** Largest number of a server's labels; bounds memory use. */
inline constexpr std::size_t max_labels = 64;

/** @return whether the text is 1 to 128 printable ASCII characters other than the space. Ids are
 * sent in header fields. */
bool is_valid_id(std::string_view text) noexcept;

/** Each check fails with error_kind::bad_request if the value can't be acted on. */
status check_report(const jobs::server_report& report);
status check_machine(const machine_entry& machine);
status check_order(const server_address& to, const server_order& order);
status check_answer(const server_answer& answer);
/** Larger checkpoints are ignored: every scheduler stores them. */
inline constexpr std::size_t max_checkpoint_bytes = 4096;

status check_poll_reply(const poll_reply& reply);

} // namespace fescue::fleet
