#pragma once

/**
 * @file
 * Descriptors, addresses and options of the transport's sockets.
 */

#include "fescuestream/http/server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace fescue::wire {

/** Time after which unacknowledged bytes close a connection, in milliseconds. */
inline constexpr unsigned user_timeout_ms = 2000;
/** Limit on the bytes that the kernel holds unsent, since nothing can overtake them. */
inline constexpr int max_unsent_kernel_bytes = 64 << 10;

/** Owns a file descriptor. */
class unique_fd {
public:
    unique_fd() = default;
    explicit unique_fd(int fd) noexcept : fd_{fd} {}
    unique_fd(unique_fd&& other) noexcept : fd_{std::exchange(other.fd_, -1)} {}
    unique_fd& operator=(unique_fd&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }
    unique_fd(const unique_fd&) = delete;
    unique_fd& operator=(const unique_fd&) = delete;
    ~unique_fd()
    {
        if (fd_ >= 0) {
            close(fd_);
        }
    }
    int get() const noexcept { return fd_; }

private:
    int fd_{-1};
};

inline sockaddr_in to_sockaddr(const http::endpoint& at)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
    return out;
}

inline const sockaddr* as_sockaddr(const sockaddr_in& address)
{
    return reinterpret_cast<const sockaddr*>(&address); // NOLINT
}

inline void set_socket_options(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
    setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max_unsent_kernel_bytes,
               sizeof max_unsent_kernel_bytes);
}

/** Makes close() reset the connection: the kernel drops the bytes that the peer has not
 * acknowledged.
 */
inline void reset_on_close(int fd)
{
    const linger immediately{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
}

} // namespace fescue::wire
