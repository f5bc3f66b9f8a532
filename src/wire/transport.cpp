#include "fescuestream/wire/transport.h"

#include "socket.h"

#include "fescuestream/base/codec.h"
#include "fescuestream/base/log.h"
#include "fescuestream/base/scope_timer.h"
#include "fescuestream/wire/frame.h"
#include "fescuestream/wire/send_queue.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <map>
#include <set>
#include <unordered_map>

namespace fescue::wire {

namespace {

constexpr milliseconds reconnect_period{200};
/** Limit on bytes buffered for a peer unless the owner sets one; beyond it the connection is closed
 * and reopened. */
constexpr std::size_t default_max_pending_bytes = 96U << 20U;
constexpr int listen_backlog = 128;
/** An unwritten backlog that takes longer than this, a heartbeat interval of the replicated log, is
 * logged once it is written. */
constexpr milliseconds slow_backlog{200};
constexpr std::size_t read_buffer_bytes = 64U << 10U;
constexpr std::size_t max_datagram_bytes = 60000;
/** Limits on incoming connections whose sender has not identified itself. */
constexpr std::size_t max_hello_bytes = 16U << 10U;
constexpr std::size_t max_unidentified = 64;
constexpr milliseconds hello_timeout{5000};
constexpr std::string_view hello_context = "fescuestream hello";
constexpr std::string_view datagram_context = "fescuestream heartbeat";

/** Derives the key of one direction from both nonces, so recorded traffic cannot be replayed. */
frame_key session_key(const std::string& secret, const hello& connecting, const hello& accepting)
{
    return derive_key(secret, "fescuestream session " + connecting.nonce + accepting.nonce);
}

/** A connection that this instance opened; send-only after the handshake. */
struct outgoing_connection {
    unique_fd fd;
    io_handle io;
    send_queue queue;
    hello local_hello;
    std::optional<frame_writer> writer;
    frame_reader reader;
    bool ready{false};
    bool peer_accepts_parts{false};
    bool wants_write{false};
    mono_time connect_started{};

    explicit outgoing_connection(const frame_key& key) : reader{key} {}
};

/** A connection that another instance opened; receive-only after the handshake. */
struct incoming_connection {
    unique_fd fd;
    io_handle io;
    frame_reader reader;
    std::optional<hello> peer;
    part_collector parts;
    mono_time accepted_at{};

    explicit incoming_connection(const frame_key& key) : reader{key, max_hello_bytes} {}
};

} // namespace

struct transport::impl {
    event_loop& loop;
    std::string secret;
    http::endpoint listen;
    transport_events events;
    std::function<hello()> local_identity;
    frame_key hello_key;
    frame_key datagram_key;
    unique_fd listener;
    unique_fd udp_socket;
    io_handle listener_io;
    io_handle udp_socket_io;
    timer_handle reconnect_timer;
    std::map<instance_id, sockaddr_in> addresses;
    std::map<instance_id, std::unique_ptr<outgoing_connection>> outgoing_connections;
    std::unordered_map<int, std::unique_ptr<incoming_connection>> incoming_connections;
    std::uint64_t sent_bytes{0};
    /** Time of the last message from each peer, over its own connection. */
    std::map<instance_id, mono_time> last_received;
    bool writes_held{false};
    std::set<instance_id> peers_to_flush;
    std::size_t max_pending_bytes{default_max_pending_bytes};
    /** 0: silent connections are not closed. */
    milliseconds silence_timeout{0};

    impl(event_loop& l, std::string s, http::endpoint at, transport_events e)
        : loop{l}, secret{std::move(s)}, listen{std::move(at)}, events{std::move(e)},
          hello_key{derive_key(secret, hello_context)}, datagram_key{
                                                            derive_key(secret, datagram_context)}
    {
    }

    hello make_hello() const
    {
        hello h = local_identity();
        h.nonce = make_nonce();
        return h;
    }

    void connect_missing_peers()
    {
        drop_silent_peers();
        close_unidentified(loop.now() - hello_timeout);
        for (const auto& [id, address] : addresses) {
            if (!outgoing_connections.contains(id)) {
                connect_to(id, address);
            }
        }
    }

    void drop_silent_peers()
    {
        if (silence_timeout.count() == 0) {
            return;
        }
        const mono_time now = loop.now();
        std::vector<instance_id> silent_peers;
        for (const auto& [id, connection] : outgoing_connections) {
            const mono_time since = std::max(connection->connect_started, last_received[id]);
            if (now - since > silence_timeout) {
                silent_peers.push_back(id);
            }
        }
        for (const instance_id& id : silent_peers) {
            const outgoing_connection& silent = *outgoing_connections.at(id);
            if (silent.ready) {
                log::info("peer_silent",
                          {{"peer", id.str()}, {"silence_ms", silence_timeout.count()}});
            }
            // Withdraws what a partition holds back, so that it does not arrive when it heals.
            reset_on_close(silent.fd.get());
            disconnect(id);
        }
    }

    void connect_to(const instance_id& id, const sockaddr_in& address)
    {
        unique_fd fd{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
        set_socket_options(fd.get());
        const int connect_result = ::connect(fd.get(), as_sockaddr(address), sizeof address);
        if (connect_result != 0 && errno != EINPROGRESS) {
            return;
        }
        auto connection = std::make_unique<outgoing_connection>(hello_key);
        connection->fd = std::move(fd);
        connection->connect_started = loop.now();
        connection->local_hello = make_hello();
        frame_writer hello_writer{hello_key};
        connection->queue.push(hello_writer.write(to_bytes(message{connection->local_hello})));
        watch(id, *connection, true);
        outgoing_connections.emplace(id, std::move(connection));
    }

    void watch(const instance_id& id, outgoing_connection& connection, bool writable)
    {
        connection.wants_write = writable;
        connection.io = loop.watch(connection.fd.get(), {true, writable},
                                   [this, id](io_interest ready) { handle_outgoing(id, ready); });
    }

    void handle_outgoing(const instance_id& id, io_interest ready)
    {
        const auto found = outgoing_connections.find(id);
        if (found == outgoing_connections.end()) {
            return;
        }
        outgoing_connection& connection = *found->second;
        const bool usable = (!ready.writable || write_pending(id, connection)) &&
                            (!ready.readable || read_hello(id, connection));
        if (!usable) {
            disconnect(id);
            return;
        }
        const bool wants_write = !connection.queue.empty();
        if (wants_write != connection.wants_write) {
            watch(id, connection, wants_write);
        }
    }

    /** @return whether the connection is usable. */
    bool write_pending(const instance_id& to, outgoing_connection& connection)
    {
        const scope_timer timing{"write_to_peer"};
        while (true) {
            const std::string_view bytes = connection.queue.next(connection.writer);
            const ssize_t written = bytes.empty() ? 0
                                                  : ::send(connection.fd.get(), bytes.data(),
                                                           bytes.size(), MSG_NOSIGNAL);
            if (written > 0) {
                connection.queue.consume(static_cast<std::size_t>(written));
                sent_bytes += static_cast<std::uint64_t>(written);
                continue;
            }
            log_backlog(to, connection.queue.observe_backlog(loop.now()));
            return written == 0 || errno == EAGAIN || errno == EINTR;
        }
    }

    static void log_backlog(const instance_id& to, const std::optional<backlog>& ended)
    {
        if (ended && ended->duration >= slow_backlog) {
            log::info("peer_backlog", {{"peer", to.str()},
                                       {"bytes", ended->bytes},
                                       {"took_ms", ended->duration.count()}});
        }
    }

    bool write_or_drop(const instance_id& to, outgoing_connection& connection)
    {
        if (connection.queue.bytes() >= max_pending_bytes || !write_pending(to, connection)) {
            reset_on_close(connection.fd.get());
            // Closed from the event loop, because the caller is still using the connection.
            loop.defer([this, to] { disconnect(to); });
            connection.ready = false;
            events.disconnected(to);
            return false;
        }
        if (!connection.queue.empty() && !connection.wants_write) {
            watch(to, connection, true);
        }
        return true;
    }

    bool read_hello(const instance_id& id, outgoing_connection& connection)
    {
        std::array<char, read_buffer_bytes> buffer{};
        const ssize_t size = recv(connection.fd.get(), buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return size < 0 && (errno == EAGAIN || errno == EINTR);
        }
        connection.reader.append({buffer.data(), static_cast<std::size_t>(size)});
        const auto payload = connection.reader.next();
        if (!ok(payload)) {
            log::warning("peer_refused", {{"peer", id.str()}, {"why", error_of(payload).detail}});
            return false;
        }
        return !value(payload) || handle_hello(id, connection, *value(payload));
    }

    bool handle_hello(const instance_id& id, outgoing_connection& connection,
                      const std::string& payload)
    {
        const auto m = from_bytes<message>(payload);
        if (!ok(m) || !std::holds_alternative<hello>(value(m))) {
            return false;
        }
        const auto& peer_hello = std::get<hello>(value(m));
        if (peer_hello.from != id) {
            log::warning("peer_refused",
                         {{"peer", id.str()},
                          {"why", "hello names another instance: " + peer_hello.from.str()}});
            return false;
        }
        connection.writer.emplace(session_key(secret, connection.local_hello, peer_hello));
        connection.peer_accepts_parts = accepts_parts(peer_hello);
        connection.ready = true;
        events.connected(peer_hello);
        return true;
    }

    void disconnect(const instance_id& id)
    {
        const auto node = outgoing_connections.extract(id);
        if (!node.empty() && node.mapped()->ready) {
            events.disconnected(id);
        }
    }

    void accept_connections()
    {
        while (true) {
            unique_fd fd{accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
            if (fd.get() < 0) {
                return;
            }
            set_socket_options(fd.get());
            const int key = fd.get();
            auto connection = std::make_unique<incoming_connection>(hello_key);
            connection->fd = std::move(fd);
            connection->io = loop.watch(
                key, {true, false}, [this, key](io_interest /*ready*/) { handle_incoming(key); });
            connection->accepted_at = loop.now();
            incoming_connections[key] = std::move(connection);
            limit_unidentified();
        }
    }

    /** Closes the connections that were accepted before @p time and have sent no hello. */
    void close_unidentified(mono_time time)
    {
        std::erase_if(incoming_connections, [&](const auto& entry) {
            return !entry.second->peer && entry.second->accepted_at < time;
        });
    }

    /** Closes the oldest connection without a hello if there are too many of them. */
    void limit_unidentified()
    {
        std::size_t count = 0;
        auto oldest = incoming_connections.end();
        for (auto at = incoming_connections.begin(); at != incoming_connections.end(); ++at) {
            if (at->second->peer) {
                continue;
            }
            ++count;
            if (oldest == incoming_connections.end() ||
                at->second->accepted_at < oldest->second->accepted_at) {
                oldest = at;
            }
        }
        if (count > max_unidentified) {
            incoming_connections.erase(oldest);
        }
    }

    void handle_incoming(int key)
    {
        const auto found = incoming_connections.find(key);
        if (found == incoming_connections.end()) {
            return;
        }
        std::array<char, read_buffer_bytes> buffer{};
        const ssize_t size = recv(key, buffer.data(), buffer.size(), 0);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (size <= 0) {
            incoming_connections.erase(found);
            return;
        }
        found->second->reader.append({buffer.data(), static_cast<std::size_t>(size)});
        if (!process_frames(*found->second)) {
            incoming_connections.erase(key);
        }
    }

    static result<message> decode_message(const std::string& payload)
    {
        const scope_timer timing{"decode_message"};
        return from_bytes<message>(payload);
    }

    bool process_frames(incoming_connection& connection)
    {
        while (true) {
            auto payload = connection.reader.next();
            if (!ok(payload)) {
                log::warning("frame_refused", {{"why", error_of(payload).detail}});
                return false;
            }
            if (!value(payload)) {
                return true;
            }
            auto m = decode_message(*value(payload));
            value(payload).reset();
            if (!ok(m) || !process_message(connection, std::move(value(m)))) {
                log::warning("message_refused",
                             {{"why", ok(m) ? "unexpected message before the handshake"
                                            : error_of(m).detail}});
                return false;
            }
        }
    }

    bool process_part(incoming_connection& connection, const message_part& part)
    {
        const auto complete = connection.parts.add(part);
        if (!ok(complete) || !value(complete)) {
            return ok(complete);
        }
        auto m = decode_message(*value(complete));
        if (!ok(m) || std::holds_alternative<message_part>(value(m))) {
            return false;
        }
        events.received(*connection.peer, std::move(value(m)));
        return true;
    }

    bool process_message(incoming_connection& connection, message&& m)
    {
        if (connection.peer) {
            last_received[connection.peer->from] = loop.now();
            if (const auto* part = std::get_if<message_part>(&m)) {
                return process_part(connection, *part);
            }
            events.received(*connection.peer, std::move(m));
            return true;
        }
        const auto* peer_hello = std::get_if<hello>(&m);
        if (peer_hello == nullptr) {
            return false;
        }
        const bool known = addresses.contains(peer_hello->from);
        if (!known && (!events.admit_unknown || !events.admit_unknown(*peer_hello))) {
            return false;
        }
        last_received[peer_hello->from] = loop.now();
        const hello local_hello = make_hello();
        frame_writer hello_writer{hello_key};
        const std::string frame = hello_writer.write(to_bytes(message{local_hello}));
        if (::send(connection.fd.get(), frame.data(), frame.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(frame.size())) {
            return false;
        }
        connection.reader.rekey(session_key(secret, *peer_hello, local_hello));
        connection.peer = *peer_hello;
        return true;
    }

    void receive_datagrams()
    {
        std::array<char, max_datagram_bytes> buffer{};
        while (true) {
            const ssize_t size = recv(udp_socket.get(), buffer.data(), buffer.size(), 0);
            if (size < 0) {
                return;
            }
            const auto payload =
                open_datagram(datagram_key, {buffer.data(), static_cast<std::size_t>(size)});
            if (!payload) {
                continue;
            }
            const auto hb = from_bytes<heartbeat>(*payload);
            if (ok(hb) && addresses.contains(value(hb).from)) {
                events.heartbeat_received(value(hb));
            }
        }
    }

    status open_sockets()
    {
        const sockaddr_in at = to_sockaddr(listen);
        const int on = 1;
        listener = unique_fd{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
        udp_socket = unique_fd{socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
        setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (bind(listener.get(), as_sockaddr(at), sizeof at) != 0 ||
            ::listen(listener.get(), listen_backlog) != 0 ||
            bind(udp_socket.get(), as_sockaddr(at), sizeof at) != 0) {
            return error{error_kind::bad_settings, "cannot listen on " + listen.ip + ":" +
                                                       std::to_string(listen.port) + ": " +
                                                       std::strerror(errno)};
        }
        return std::nullopt;
    }
};

transport::transport(event_loop& loop, std::string secret, http::endpoint listen,
                     std::vector<peer_address> peers, transport_events events)
    : impl_{std::make_unique<impl>(loop, std::move(secret), std::move(listen), std::move(events))}
{
    for (const peer_address& p : peers) {
        impl_->addresses.emplace(p.id, to_sockaddr(p.address));
    }
}

transport::~transport() = default;

status transport::start(std::function<hello()> local_identity)
{
    auto* me = impl_.get();
    me->local_identity = std::move(local_identity);
    if (auto fault = me->open_sockets()) {
        return fault;
    }
    me->listener_io = me->loop.watch(me->listener.get(), {true, false},
                                     [me](io_interest /*ready*/) { me->accept_connections(); });
    me->udp_socket_io = me->loop.watch(me->udp_socket.get(), {true, false},
                                       [me](io_interest /*ready*/) { me->receive_datagrams(); });
    me->reconnect_timer = me->loop.every(reconnect_period, [me] { me->connect_missing_peers(); });
    me->connect_missing_peers();
    return std::nullopt;
}

bool transport::send(const instance_id& to, const message& m)
{
    const auto found = impl_->outgoing_connections.find(to);
    if (found == impl_->outgoing_connections.end() || !found->second->ready) {
        return false;
    }
    outgoing_connection& connection = *found->second;
    if (const std::size_t bytes = overtakable_bytes(m);
        bytes > 0 && connection.peer_accepts_parts) {
        connection.queue.push_large(to_bytes(m, bytes + bytes / 16));
    } else {
        const bool is_snapshot = std::holds_alternative<consensus::install_snapshot>(m);
        connection.queue.push(
            connection.writer->write(is_snapshot ? to_bytes_without_growth(m) : to_bytes(m)));
    }
    if (impl_->writes_held) {
        impl_->peers_to_flush.insert(to);
        return true;
    }
    return impl_->write_or_drop(to, connection);
}

void transport::hold_writes()
{
    impl_->writes_held = true;
}

void transport::flush()
{
    const auto pending = std::exchange(impl_->peers_to_flush, {});
    for (const instance_id& id : pending) {
        const auto found = impl_->outgoing_connections.find(id);
        if (found != impl_->outgoing_connections.end() && found->second->ready) {
            impl_->write_or_drop(id, *found->second);
        }
    }
}

void transport::send_heartbeat(const heartbeat& hb, const std::vector<instance_id>& to)
{
    const std::string datagram = seal_datagram(impl_->datagram_key, to_bytes(hb));
    for (const instance_id& id : to) {
        const auto known = impl_->addresses.find(id);
        if (known == impl_->addresses.end()) {
            continue;
        }
        const sockaddr_in& address = known->second;
        const ssize_t sent = sendto(impl_->udp_socket.get(), datagram.data(), datagram.size(), 0,
                                    as_sockaddr(address), sizeof address);
        impl_->sent_bytes += sent > 0 ? static_cast<std::uint64_t>(sent) : 0;
    }
}

bool transport::connected(const instance_id& to) const
{
    const auto found = impl_->outgoing_connections.find(to);
    return found != impl_->outgoing_connections.end() && found->second->ready;
}

void transport::limit_pending(std::size_t max_bytes)
{
    impl_->max_pending_bytes = max_bytes;
}

std::size_t transport::pending_bytes(const instance_id& to) const
{
    const auto found = impl_->outgoing_connections.find(to);
    return found == impl_->outgoing_connections.end() ? 0 : found->second->queue.bytes();
}

void transport::add_peer(const peer_address& peer)
{
    impl_->addresses.emplace(peer.id, to_sockaddr(peer.address));
}

void transport::remove_peer(const instance_id& id)
{
    impl_->addresses.erase(id);
    impl_->last_received.erase(id);
    impl_->disconnect(id);
}

void transport::supervise(milliseconds silence_timeout)
{
    impl_->silence_timeout = silence_timeout;
}

std::vector<instance_id> transport::known_peers() const
{
    std::vector<instance_id> out;
    for (const auto& [id, address] : impl_->addresses) {
        out.push_back(id);
    }
    return out;
}

std::uint64_t transport::bytes_sent() const noexcept
{
    return impl_->sent_bytes;
}

} // namespace fescue::wire
