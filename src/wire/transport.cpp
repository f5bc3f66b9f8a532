#include "fescuestream/wire/transport.h"

#include "fescuestream/base/codec.h"
#include "fescuestream/base/log.h"
#include "fescuestream/wire/frame.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <map>
#include <set>
#include <unordered_map>

namespace fescue::wire {

namespace {

constexpr milliseconds reconnect_period{200};
/** Bytes that may wait for a peer; beyond it the connection is dropped and made anew. */
constexpr std::size_t most_waiting_bytes = 96U << 20U;
constexpr int listen_backlog = 128;
constexpr std::size_t read_bytes = 64U << 10U;
constexpr std::size_t largest_datagram = 60000;
constexpr std::string_view hello_context = "fescuestream hello";
constexpr std::string_view datagram_context = "fescuestream heartbeat";
/** Silence after which unacknowledged bytes end a connection, in milliseconds. */
constexpr unsigned user_timeout_ms = 2000;

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

sockaddr_in to_sockaddr(const http::endpoint& at)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
    return out;
}

const sockaddr* generic(const sockaddr_in& address)
{
    return reinterpret_cast<const sockaddr*>(&address); // NOLINT
}

void tune(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
}

/** Keys of the two directions come from both sides' nonces, so no recording can be replayed. */
frame_key session_key(const std::string& secret, const hello& connecting, const hello& accepting)
{
    return derive_key(secret, "fescuestream session " + connecting.nonce + accepting.nonce);
}

/** A connection that this instance opened; it only sends after the hellos. */
struct outgoing {
    unique_fd fd;
    io_handle io;
    std::string waiting;
    std::size_t sent{0};
    hello mine;
    std::optional<frame_writer> writer;
    frame_reader reader;
    bool ready{false};
    bool wants_write{false};
    mono_time begun{};

    explicit outgoing(const frame_key& key) : reader{key} {}
};

/** A connection that another instance opened; it only receives after the hellos. */
struct incoming {
    unique_fd fd;
    io_handle io;
    frame_reader reader;
    std::optional<hello> peer;

    explicit incoming(const frame_key& key) : reader{key} {}
};

} // namespace

struct transport::impl {
    event_loop& loop;
    std::string secret;
    http::endpoint listen;
    transport_events events;
    std::function<hello()> self;
    frame_key hello_key;
    frame_key datagram_key;
    unique_fd listener;
    unique_fd udp;
    io_handle listener_io;
    io_handle udp_io;
    timer_handle reconnect;
    std::map<instance_id, sockaddr_in> addresses;
    std::map<instance_id, std::unique_ptr<outgoing>> out;
    std::unordered_map<int, std::unique_ptr<incoming>> in;
    std::uint64_t bytes{0};
    /** When each peer was last heard, over its own connection. */
    std::map<instance_id, mono_time> heard_at;
    bool held{false};
    std::set<instance_id> unwritten;
    /** 0: connections are not supervised. */
    milliseconds silence{0};

    impl(event_loop& l, std::string s, http::endpoint at, transport_events e)
        : loop{l}, secret{std::move(s)}, listen{std::move(at)}, events{std::move(e)},
          hello_key{derive_key(secret, hello_context)}, datagram_key{
                                                            derive_key(secret, datagram_context)}
    {
    }

    hello new_hello() const
    {
        hello h = self();
        h.nonce = random_bytes(nonce_bytes);
        return h;
    }

    // ---- connections to others

    void connect_missing()
    {
        drop_silent();
        for (const auto& [id, address] : addresses) {
            if (!out.contains(id)) {
                connect_to(id, address);
            }
        }
    }

    void drop_silent()
    {
        if (silence.count() == 0) {
            return;
        }
        const mono_time now = loop.now();
        std::vector<instance_id> silent;
        for (const auto& [id, link] : out) {
            const mono_time since = std::max(link->begun, heard_at[id]);
            if (now - since > silence) {
                silent.push_back(id);
            }
        }
        for (const instance_id& id : silent) {
            if (out.at(id)->ready) {
                log::info("peer_silent", {{"peer", id.str()}, {"silence_ms", silence.count()}});
            }
            drop(id);
        }
    }

    void connect_to(const instance_id& id, const sockaddr_in& address)
    {
        unique_fd fd{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
        tune(fd.get());
        const int started = ::connect(fd.get(), generic(address), sizeof address);
        if (started != 0 && errno != EINPROGRESS) {
            return;
        }
        auto link = std::make_unique<outgoing>(hello_key);
        link->fd = std::move(fd);
        link->begun = loop.now();
        link->mine = new_hello();
        frame_writer first{hello_key};
        link->waiting = first.write(to_bytes(message{link->mine}));
        watch(id, *link, true);
        out.emplace(id, std::move(link));
    }

    void watch(const instance_id& id, outgoing& link, bool writable)
    {
        link.wants_write = writable;
        link.io = loop.watch(link.fd.get(), {true, writable},
                             [this, id](io_interest ready) { act(id, ready); });
    }

    void act(const instance_id& id, io_interest ready)
    {
        const auto found = out.find(id);
        if (found == out.end()) {
            return;
        }
        outgoing& link = *found->second;
        const bool alive = (!ready.writable || write_waiting(link)) &&
                           (!ready.readable || read_greeting(id, link));
        if (!alive) {
            drop(id);
            return;
        }
        const bool wants_write = link.sent < link.waiting.size();
        if (wants_write != link.wants_write) {
            watch(id, link, wants_write);
        }
    }

    bool write_waiting(outgoing& link)
    {
        while (link.sent < link.waiting.size()) {
            const ssize_t done = ::send(link.fd.get(), link.waiting.data() + link.sent,
                                        link.waiting.size() - link.sent, MSG_NOSIGNAL);
            if (done < 0) {
                return errno == EAGAIN || errno == EINTR;
            }
            link.sent += static_cast<std::size_t>(done);
            bytes += static_cast<std::uint64_t>(done);
        }
        link.waiting.clear();
        link.sent = 0;
        return true;
    }

    bool write_or_drop(const instance_id& to, outgoing& link)
    {
        if (link.waiting.size() >= most_waiting_bytes || !write_waiting(link)) {
            // Told later: the caller is in the middle of its own work.
            loop.soon([this, to] { drop(to); });
            link.ready = false;
            events.disconnected(to);
            return false;
        }
        if (!link.waiting.empty() && !link.wants_write) {
            watch(to, link, true);
        }
        return true;
    }

    bool read_greeting(const instance_id& id, outgoing& link)
    {
        std::array<char, read_bytes> buffer{};
        const ssize_t size = recv(link.fd.get(), buffer.data(), buffer.size(), 0);
        if (size <= 0) {
            return size < 0 && (errno == EAGAIN || errno == EINTR);
        }
        link.reader.append({buffer.data(), static_cast<std::size_t>(size)});
        const auto payload = link.reader.next();
        if (!ok(payload)) {
            log::warning("peer_refused", {{"peer", id.str()}, {"why", error_of(payload).detail}});
            return false;
        }
        return !value(payload) || greet(id, link, *value(payload));
    }

    bool greet(const instance_id& id, outgoing& link, const std::string& payload)
    {
        const auto m = from_bytes<message>(payload);
        if (!ok(m) || !std::holds_alternative<hello>(value(m))) {
            return false;
        }
        const auto& theirs = std::get<hello>(value(m));
        if (theirs.from != id) {
            log::warning("peer_refused",
                         {{"peer", id.str()}, {"why", "it says it is " + theirs.from.str()}});
            return false;
        }
        link.writer.emplace(session_key(secret, link.mine, theirs));
        link.ready = true;
        events.connected(theirs);
        return true;
    }

    void drop(const instance_id& id)
    {
        const auto node = out.extract(id);
        if (!node.empty() && node.mapped()->ready) {
            events.disconnected(id);
        }
    }

    // ---- connections from others

    void accept_all()
    {
        while (true) {
            unique_fd fd{accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
            if (fd.get() < 0) {
                return;
            }
            tune(fd.get());
            const int key = fd.get();
            auto link = std::make_unique<incoming>(hello_key);
            link->fd = std::move(fd);
            link->io = loop.watch(key, {true, false},
                                  [this, key](io_interest /*ready*/) { receive(key); });
            in[key] = std::move(link);
        }
    }

    void receive(int key)
    {
        const auto found = in.find(key);
        if (found == in.end()) {
            return;
        }
        std::array<char, read_bytes> buffer{};
        const ssize_t size = recv(key, buffer.data(), buffer.size(), 0);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (size <= 0) {
            in.erase(found);
            return;
        }
        found->second->reader.append({buffer.data(), static_cast<std::size_t>(size)});
        if (!take_frames(*found->second)) {
            in.erase(key);
        }
    }

    bool take_frames(incoming& link)
    {
        while (true) {
            auto payload = link.reader.next();
            if (!ok(payload)) {
                log::warning("frame_refused", {{"why", error_of(payload).detail}});
                return false;
            }
            if (!value(payload)) {
                return true;
            }
            auto m = from_bytes<message>(*value(payload));
            if (!ok(m) || !take_message(link, std::move(value(m)))) {
                log::warning("message_refused",
                             {{"why", ok(m) ? "out of order" : error_of(m).detail}});
                return false;
            }
        }
    }

    bool take_message(incoming& link, message&& m)
    {
        if (link.peer) {
            heard_at[link.peer->from] = loop.now();
            events.received(*link.peer, std::move(m));
            return true;
        }
        const auto* theirs = std::get_if<hello>(&m);
        if (theirs == nullptr) {
            return false;
        }
        const bool known = addresses.contains(theirs->from);
        if (!known && (!events.introduced || !events.introduced(*theirs))) {
            return false;
        }
        heard_at[theirs->from] = loop.now();
        const hello mine = new_hello();
        frame_writer first{hello_key};
        const std::string frame = first.write(to_bytes(message{mine}));
        if (::send(link.fd.get(), frame.data(), frame.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(frame.size())) {
            return false;
        }
        link.reader.rekey(session_key(secret, *theirs, mine));
        link.peer = *theirs;
        return true;
    }

    // ---- datagrams

    void receive_datagrams()
    {
        std::array<char, largest_datagram> buffer{};
        while (true) {
            const ssize_t size = recv(udp.get(), buffer.data(), buffer.size(), 0);
            if (size < 0) {
                return;
            }
            const auto payload =
                open_datagram(datagram_key, {buffer.data(), static_cast<std::size_t>(size)});
            if (!payload) {
                continue;
            }
            const auto beat = from_bytes<heartbeat>(*payload);
            if (ok(beat) && addresses.contains(value(beat).from)) {
                events.heard(value(beat));
            }
        }
    }

    status open_sockets()
    {
        const sockaddr_in at = to_sockaddr(listen);
        const int on = 1;
        listener = unique_fd{socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
        udp = unique_fd{socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
        setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (bind(listener.get(), generic(at), sizeof at) != 0 ||
            ::listen(listener.get(), listen_backlog) != 0 ||
            bind(udp.get(), generic(at), sizeof at) != 0) {
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

status transport::start(std::function<hello()> self)
{
    auto* me = impl_.get();
    me->self = std::move(self);
    if (auto fault = me->open_sockets()) {
        return fault;
    }
    me->listener_io = me->loop.watch(me->listener.get(), {true, false},
                                     [me](io_interest /*ready*/) { me->accept_all(); });
    me->udp_io = me->loop.watch(me->udp.get(), {true, false},
                                [me](io_interest /*ready*/) { me->receive_datagrams(); });
    me->reconnect = me->loop.every(reconnect_period, [me] { me->connect_missing(); });
    me->connect_missing();
    return std::nullopt;
}

bool transport::send(const instance_id& to, const message& m)
{
    const auto found = impl_->out.find(to);
    if (found == impl_->out.end() || !found->second->ready) {
        return false;
    }
    outgoing& link = *found->second;
    link.waiting += link.writer->write(to_bytes(m));
    if (impl_->held) {
        impl_->unwritten.insert(to);
        return true;
    }
    return impl_->write_or_drop(to, link);
}

void transport::hold_writes()
{
    impl_->held = true;
}

void transport::flush()
{
    const auto waiting = std::exchange(impl_->unwritten, {});
    for (const instance_id& id : waiting) {
        const auto found = impl_->out.find(id);
        if (found != impl_->out.end() && found->second->ready) {
            impl_->write_or_drop(id, *found->second);
        }
    }
}

void transport::send_heartbeat(const heartbeat& beat, const std::vector<instance_id>& to)
{
    const std::string datagram = seal_datagram(impl_->datagram_key, to_bytes(beat));
    for (const instance_id& id : to) {
        const auto known = impl_->addresses.find(id);
        if (known == impl_->addresses.end()) {
            continue;
        }
        const sockaddr_in& address = known->second;
        const ssize_t sent = sendto(impl_->udp.get(), datagram.data(), datagram.size(), 0,
                                    generic(address), sizeof address);
        impl_->bytes += sent > 0 ? static_cast<std::uint64_t>(sent) : 0;
    }
}

bool transport::connected(const instance_id& to) const
{
    const auto found = impl_->out.find(to);
    return found != impl_->out.end() && found->second->ready;
}

void transport::add_peer(const peer_address& peer)
{
    impl_->addresses.emplace(peer.id, to_sockaddr(peer.address));
}

void transport::remove_peer(const instance_id& id)
{
    impl_->addresses.erase(id);
    impl_->heard_at.erase(id);
    impl_->drop(id);
}

void transport::supervise(milliseconds silence)
{
    impl_->silence = silence;
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
    return impl_->bytes;
}

} // namespace fescue::wire
