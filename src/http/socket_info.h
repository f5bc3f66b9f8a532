#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace fescue::http {

/** @return the number of bytes that the peer of a TCP socket has sent and that have arrived. */
std::optional<std::uint64_t> received_bytes(int socket);

enum class peer_state : std::uint8_t {
    open,
    /** The peer sends nothing more. It may still receive, or have closed the connection. */
    half_closed,
    reset,
};

/** @return what is known of the peer of a TCP socket. */
peer_state find_peer_state(int socket);

/** @return whether the peer of a TCP socket has acknowledged everything that was sent. */
bool is_acknowledged(int socket);

/** Sends as much as fits the buffer of a non-blocking socket. @return whether that was all. */
bool send_all(int socket, std::string_view bytes);

} // namespace fescue::http
