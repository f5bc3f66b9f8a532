#pragma once

#include <cstdint>
#include <optional>

namespace fescue::http {

/** @return the number of bytes that the peer of a TCP socket has sent and that have arrived. */
std::optional<std::uint64_t> received_bytes(int socket);

} // namespace fescue::http
