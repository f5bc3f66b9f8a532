#include "socket_info.h"

// Not <netinet/tcp.h>, whose tcp_info lacks the number of received bytes.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace fescue::http {

std::optional<std::uint64_t> received_bytes(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    return info.tcpi_bytes_received;
}

} // namespace fescue::http
