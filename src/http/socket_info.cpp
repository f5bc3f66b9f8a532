#include "socket_info.h"

// Not <netinet/tcp.h>, whose tcp_info lacks the number of received bytes.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>

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

peer_state find_peer_state(int socket)
{
    pollfd connection{socket, POLLRDHUP, 0};
    const bool has_event = poll(&connection, 1, 0) > 0;
    if (has_event && (connection.revents & (POLLHUP | POLLERR)) != 0) {
        return peer_state::reset;
    }
    // Unread bytes hide the end of the stream from recv().
    if (has_event && (connection.revents & POLLRDHUP) != 0) {
        return peer_state::half_closed;
    }
    char next = 0;
    const ssize_t size = recv(socket, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    if (size == 0) {
        return peer_state::half_closed;
    }
    const bool is_open = size > 0 || errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return is_open ? peer_state::open : peer_state::reset;
}

bool is_acknowledged(int socket)
{
    int unacknowledged = 0;
    return ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0;
}

bool send_all(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

} // namespace fescue::http
