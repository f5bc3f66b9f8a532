#include "fescuestream/http/server.h"

#include "exchange.h"
#include "fescuestream/base/free_memory.h"
#include "fescuestream/base/log.h"
#include "fescuestream/base/log_limiter.h"
#include "fescuestream/http/held_bodies.h"
#include "fescuestream/http/waiting_connections.h"
#include "socket_info.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

namespace fescue::http {

namespace {

constexpr milliseconds daemon_poll_period{250};
/** A request that was sent before the listening socket closed arrives within this time. */
constexpr milliseconds drain_quiet_time{100};
/** The beginning of every response. Its bytes show whether a client that sends nothing more still
 * receives: each relay that passes on both directions separately notices with the second byte that
 * its client has gone, and resets its own connection at the third. */
constexpr std::string_view probe = "HTTP/1.1 ";
constexpr std::size_t min_probe_bytes = 5;
/** The loop did not look for events for this long: what has arrived meanwhile may be that old. */
constexpr milliseconds min_standstill{250};
/** Connections that the kernel holds at most until they are accepted. */
constexpr std::size_t max_unaccepted_connections = 4096;
/** Connections are closed while less than this part of them is left, so that new callers find one.
 */
constexpr std::size_t spare_connections_divisor = 16;
/** The library closes connections on which nothing is sent or received for this long before their
 * first response, unless the settings have a longer idle timeout. */
constexpr milliseconds max_idle_time{300'000};
/** A response that has been waiting for less than this may just not have been written. */
constexpr milliseconds min_unread_response_time{1000};
constexpr int body_too_large = 413;
constexpr int head_too_large = 431;
/** Larger responses count as held memory until they have been sent. */
constexpr std::size_t small_response_bytes = 16U << 10U;
/** Part of a large response that the library copies at a time. */
constexpr std::size_t response_block_bytes = 16U << 10U;

struct open_connection {
    connection_id id{0};
    int socket{-1};
    /** Since when the connection and its first request may have been waiting to be accepted, if
     * that was during a standstill. */
    std::optional<mono_time> waiting_since;
};

response make_too_large(int status)
{
    return {
        status, "application/json", R"({"error":"too_large","ran":"no"})", {{"Fescue-Ran", "no"}}};
}

/** The response to a request whose body finds no memory. */
response make_no_memory()
{
    return {503,
            "application/json",
            R"({"error":"not_serving","ran":"no"})",
            {{"Fescue-Ran", "no"}, {"Retry-After", "1"}}};
}

} // namespace

struct server::impl {
    event_loop& loop;
    handler on_request;
    MHD_Daemon* daemon{nullptr};
    tls_identity tls;
    io_handle io;
    timer_handle poll_timer;
    exchange_id next_id{1};
    std::unordered_map<exchange_id, exchange*> open_exchanges;
    /** Exchanges whose request has not been received whole. */
    std::unordered_map<exchange_id, exchange*> receiving;
    request_limits limits;
    held_bodies held{request_limits{}.max_held_body_bytes};
    std::unordered_map<connection_id, std::unique_ptr<open_connection>> connections;
    waiting_connections waiting{request_limits{}.header_timeout, request_limits{}.idle_timeout};
    connection_id next_connection{1};
    /** Exchanges whose response is being sent, by the time of the response. */
    std::set<std::pair<mono_time, exchange*>> sending;
    metrics* counters{nullptr};
    log::limiter rejected_bodies;
    log::limiter closed_connections;
    std::size_t unfinished_exchanges{0};
    /** Time of the last end of an exchange, or when the server stopped accepting. */
    mono_time last_activity{};
    bool accepting{true};
    bool run_pending{false};
    /** Since when the connections that wait to be accepted may have been waiting, after a
     * standstill; the library accepts a few at a time. */
    std::optional<mono_time> backlog_since;
    std::size_t accepted_from_backlog{0};
    bool close_connections{false};
    const std::shared_ptr<bool> exists{std::make_shared<bool>(true)};
    std::vector<std::string> kept_header_names;

    explicit impl(event_loop& l, handler h) : loop{l}, on_request{std::move(h)} {}

    void run_daemon()
    {
        run_pending = false;
        begin_backlog();
        MHD_run(daemon);
        end_backlog();
        // MHD_run() reads a bounded number of bytes per call, and no event is raised for the bytes
        // that it leaves unread.
        MHD_UNSIGNED_LONG_LONG wait_ms = 0;
        if (MHD_get_timeout(daemon, &wait_ms) == MHD_YES && wait_ms == 0) {
            run_pending = true;
        }
        if (run_pending) {
            loop.defer([] {});
        }
    }

    void begin_backlog()
    {
        const mono_time since = loop.events_since();
        if (!backlog_since && loop.now() - since >= min_standstill) {
            backlog_since = since;
            accepted_from_backlog = 0;
        }
    }

    void end_backlog()
    {
        if (!backlog_since) {
            return;
        }
        const auto* info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_LISTEN_FD);
        pollfd unaccepted{info->listen_fd, POLLIN, 0};
        if (!accepting || poll(&unaccepted, 1, 0) <= 0 ||
            accepted_from_backlog >= max_unaccepted_connections) {
            backlog_since.reset();
        }
    }

    MHD_Result begin_exchange(MHD_Connection* connection, const char* url, const char* method,
                              void** context)
    {
        auto created = read_head(connection, next_id++, method, url, kept_header_names, loop.now());
        exchange& ex = *created.release();
        *context = &ex;
        const auto waiting_since = std::exchange(connection_of(connection).waiting_since, {});
        ex.incoming.arrived_after =
            waiting_since.value_or(backlog_since.value_or(loop.events_since()));
        waiting.end(connection_of(connection).id);
        ++unfinished_exchanges;
        held.begin(ex.id, loop.now());
        receiving.emplace(ex.id, &ex);
        if (has_too_large_head(ex)) {
            reject(ex, make_too_large(head_too_large), "head_too_large");
            return queue_response(connection, ex);
        }
        if (ex.announced_bytes > limits.max_body_bytes) {
            reject(ex, make_too_large(body_too_large), "announced_too_large");
            return queue_response(connection, ex);
        }
        if (!reserve(ex, 0)) {
            reject(ex, make_no_memory(), "memory");
            return queue_response(connection, ex);
        }
        return MHD_YES;
    }

    bool has_too_large_head(const exchange& ex) const
    {
        return limits.max_head_bytes > 0 &&
               count_header_bytes(ex.connection) > limits.max_head_bytes;
    }

    static open_connection& connection_of(MHD_Connection* connection)
    {
        const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
        return *static_cast<open_connection*>(info->socket_context);
    }

    /** Rejects a request whose body has not been received whole, and frees what it holds. */
    void reject(exchange& ex, response&& reply, const char* why)
    {
        ex.reply = std::move(reply);
        release_request(ex);
        record_rejection("body_refused", "bodies_refused", ex, why);
    }

    /** Drops a request that has not been received whole, and closes its connection: the library
     * can't send a response before the end of a body. */
    void drop(exchange& ex, const char* why)
    {
        ex.dropped = true;
        release_request(ex);
        receiving.erase(ex.id);
        held.remove(ex.id);
        // The library reads the end of the stream and ends the exchange.
        ::shutdown(connection_of(ex.connection).socket, SHUT_RDWR);
        record_rejection("body_dropped", "bodies_dropped", ex, why);
    }

    void release_request(exchange& ex)
    {
        // Assigning an empty request would keep the memory of its strings.
        const request freed = std::move(ex.incoming);
        ex.incoming = request{};
        held.try_resize(ex.id, 0);
    }

    void record_rejection(const char* event, const char* counter, const exchange& ex,
                          const char* why)
    {
        if (counters != nullptr) {
            counters->count(counter);
        }
        const auto requests = rejected_bodies.admit(std::string{event} + ' ' + why, loop.now());
        if (requests > 0) {
            log::warning(event, {{"why", why},
                                 {"request", ex.request_line},
                                 {"announced_bytes", ex.announced_bytes},
                                 {"held_bytes", held.bytes()},
                                 {"connections", connections.size()},
                                 {"requests", requests}});
        }
    }

    /** Closes a connection on which no request has begun. */
    void close_waiting(connection_id id, const char* why)
    {
        waiting.end(id);
        ::shutdown(connections.at(id)->socket, SHUT_RDWR);
        if (counters != nullptr) {
            counters->count("connections_closed");
        }
        const auto closed = closed_connections.admit(why, loop.now());
        if (closed > 0) {
            log::warning("connection_closed",
                         {{"why", why}, {"connections", connections.size()}, {"closed", closed}});
        }
    }

    /** Makes room for more of the body. Drops other unfinished bodies if necessary.
     * @return whether there is room. */
    bool reserve_body(exchange& ex, std::size_t added)
    {
        std::string& body = ex.incoming.body;
        const std::size_t needed = body.size() + added;
        if (needed <= body.capacity()) {
            return true;
        }
        const std::size_t capacity = std::max(needed, 2 * body.capacity());
        if (!reserve(ex, capacity)) {
            return false;
        }
        body.reserve(capacity);
        return true;
    }

    /** Makes room for the head of a request and a body of this size. Drops responses that are not
     * read and other unfinished bodies if necessary. @return whether there is room. */
    bool reserve(const exchange& ex, std::size_t body_bytes)
    {
        while (!held.try_resize(ex.id, ex.head_bytes + body_bytes)) {
            if (drop_unread_response()) {
                continue;
            }
            const auto stalled = held.longest_stalled(ex.id, 1);
            if (!stalled) {
                return false;
            }
            drop(*receiving.at(*stalled), "memory");
        }
        return true;
    }

    /** Closes the connection whose large response has been waiting for the longest time.
     * @return whether there was one. */
    bool drop_unread_response()
    {
        const auto found = std::ranges::find_if(sending, [](const auto& entry) {
            return entry.second->reply->body.size() > small_response_bytes;
        });
        if (found == sending.end()) {
            return false;
        }
        drop_response(*found->second, "memory");
        return true;
    }

    /** Closes the connection instead of sending the response: the request has been handled, so it
     * can't be refused any more. */
    void drop_response(exchange& ex, const char* why)
    {
        sending.erase({ex.replied_at, &ex});
        ex.dropped = true;
        held.remove(ex.id);
        if (!ex.library_reads_body) {
            free_memory(ex.reply->body);
        }
        ::shutdown(connection_of(ex.connection).socket, SHUT_RDWR);
        record_rejection("response_dropped", "responses_dropped", ex, why);
    }

    /** Counts the memory of a response instead of that of its request; if there is none left, the
     * response is dropped. */
    void hold_response(exchange& ex)
    {
        const std::size_t bytes =
            is_small(*ex.reply) ? 0 : ex.reply->body.size() + response_block_bytes;
        while (!held.try_resize(ex.id, bytes)) {
            if (!drop_unread_response()) {
                drop_response(ex, "memory");
                return;
            }
        }
        ex.replied_at = loop.now();
        sending.emplace(ex.replied_at, &ex);
    }

    MHD_Result append_body(exchange& ex, const char* data, std::size_t* size)
    {
        if (ex.dropped) {
            return MHD_NO;
        }
        const std::size_t added = std::exchange(*size, 0);
        if (ex.reply) {
            // A response that is sent before the client has finished may be lost with a reset, so
            // the rest of the body is discarded, up to another body of maximum size.
            ex.discarded_bytes += added;
            return ex.discarded_bytes > limits.max_body_bytes ? MHD_NO : MHD_YES;
        }
        held.record_progress(ex.id, loop.now());
        if (ex.incoming.body.size() + added > limits.max_body_bytes) {
            reject(ex, make_too_large(body_too_large), "too_large");
        } else if (!reserve_body(ex, added)) {
            reject(ex, make_no_memory(), "memory");
        } else {
            ex.incoming.body.append(data, added);
        }
        return MHD_YES;
    }

    /** Closes the connections whose request head is overdue. */
    void close_expired()
    {
        const mono_time now = loop.now();
        while (const auto id = waiting.due(now)) {
            const auto received = received_bytes(connections.at(*id)->socket);
            if (!received) {
                waiting.end(*id);
            } else if (waiting.has_expired(*id, *received, now)) {
                close_waiting(*id, "timeout");
            }
        }
    }

    /** Drops the unfinished requests that have received nothing for too long. */
    void drop_stalled()
    {
        while (const auto stalled = held.stalled_since(loop.now() - limits.body_stall_time)) {
            drop(*receiving.at(*stalled), "stalled");
        }
        if (counters != nullptr) {
            counters->gauge("held_body_bytes", static_cast<double>(held.bytes()));
        }
    }

    void on_connection(MHD_Connection* connection, void** context,
                       MHD_ConnectionNotificationCode what)
    {
        if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
            const connection_id id = static_cast<open_connection*>(*context)->id;
            waiting.end(id);
            connections.erase(id);
            return;
        }
        const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        ++accepted_from_backlog;
        auto created = std::make_unique<open_connection>();
        created->id = next_connection++;
        created->socket = info->connect_fd;
        created->waiting_since = backlog_since;
        *context = created.get();
        const connection_id id = created->id;
        connections.emplace(id, std::move(created));
        const std::size_t spare = limits.max_connections / spare_connections_divisor + 1;
        if (connections.size() + spare > limits.max_connections) {
            free_connection();
        }
        waiting.begin(id, 0, false, loop.now());
    }

    /** Closes one connection for a new one. Idle connections come last: ordinary callers keep them.
     */
    void free_connection()
    {
        if (const auto unserved = waiting.longest_unserved()) {
            close_waiting(*unserved, "connections");
        } else if (!sending.empty() &&
                   loop.now() - sending.begin()->first >= min_unread_response_time) {
            drop_response(*sending.begin()->second, "connections");
        } else if (const auto stalled = held.longest_stalled(0, 0)) {
            drop(*receiving.at(*stalled), "connections");
        } else if (const auto idle = waiting.longest_idle()) {
            close_waiting(*idle, "connections");
        }
    }

    static bool is_small(const response& r) { return r.body.size() <= small_response_bytes; }

    /** Copies a part of a large response for the library.
     * @param user_data the exchange, which exists until the library has ended the request. */
    static ssize_t read_response(void* user_data, std::uint64_t position, char* out,
                                 std::size_t max_bytes)
    {
        const auto& ex = *static_cast<const exchange*>(user_data);
        if (ex.dropped) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        return static_cast<ssize_t>(ex.reply->body.copy(out, max_bytes, position));
    }

    MHD_Result queue_response(MHD_Connection* connection, exchange& ex) const
    {
        response& out = *ex.reply;
        MHD_Response* message = nullptr;
        if (is_small(out)) {
            // The exchange keeps the body until the response has been sent.
            ex.library_reads_body = true;
            message = MHD_create_response_from_buffer(out.body.size(), out.body.data(),
                                                      MHD_RESPMEM_PERSISTENT);
        } else {
            // The library asks for each part, so that the body can be freed before it has ended
            // the request.
            message = MHD_create_response_from_callback(out.body.size(), response_block_bytes,
                                                        &read_response, &ex, nullptr);
        }
        MHD_add_response_header(message, "Content-Type", out.content_type.c_str());
        for (const header& h : out.headers) {
            MHD_add_response_header(message, h.name.c_str(), h.value.c_str());
        }
        if (close_connections) {
            MHD_add_response_header(message, "Connection", "close");
        }
        const auto timeout = std::chrono::ceil<std::chrono::seconds>(limits.idle_timeout);
        MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                  static_cast<unsigned>(timeout.count()));
        const auto sent =
            MHD_queue_response(connection, static_cast<unsigned>(out.status), message);
        MHD_destroy_response(message);
        return sent;
    }

    MHD_Result complete_request(MHD_Connection* connection, exchange& ex)
    {
        if (ex.dropped) {
            return MHD_NO;
        }
        if (receiving.erase(ex.id) > 0) {
            held.complete(ex.id);
        }
        if (!ex.dispatched && !ex.reply) {
            ex.dispatched = true;
            open_exchanges.emplace(ex.id, &ex);
            on_request(ex.id, std::move(ex.incoming));
        }
        // The handler may have responded, and the response may have found no memory.
        if (ex.dropped) {
            return MHD_NO;
        }
        if (ex.reply) {
            if (ex.replied_at == mono_time{}) {
                hold_response(ex);
            }
            return queue_response(connection, ex);
        }
        ex.suspended = true;
        MHD_suspend_connection(connection);
        return MHD_YES;
    }

    client_presence check_client(exchange& ex) const
    {
        const int socket = connection_of(ex.connection).socket;
        const peer_state state = find_peer_state(socket);
        if (state != peer_state::half_closed) {
            return state == peer_state::open ? client_presence::waiting : client_presence::gone;
        }
        if (!tls.empty()) {
            // Bytes can't be sent without the library.
            return client_presence::gone;
        }
        const mono_time now = loop.now();
        if (ex.probe_bytes > 0 && now - ex.probed_at < client_check_period) {
            return client_presence::unknown;
        }
        if (ex.probe_bytes >= min_probe_bytes) {
            return is_acknowledged(socket) ? client_presence::waiting : client_presence::unknown;
        }
        if (!send_all(socket, probe.substr(ex.probe_bytes, 1))) {
            return client_presence::gone;
        }
        ++ex.probe_bytes;
        ex.probed_at = now;
        return client_presence::unknown;
    }

    /** Sends the rest of a response whose first bytes were sent as a probe, and ends the
     * connection: the client sends no other request. */
    void complete_probed_response(exchange& ex) const
    {
        const response& out = *ex.reply;
        std::string text =
            fmt::format("{}{} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n", probe, out.status,
                        MHD_get_reason_phrase_for(static_cast<unsigned>(out.status)),
                        out.content_type, out.body.size());
        for (const header& h : out.headers) {
            text += fmt::format("{}: {}\r\n", h.name, h.value);
        }
        text += "Connection: close\r\n\r\n" + out.body;
        const int socket = connection_of(ex.connection).socket;
        if (!send_all(socket, std::string_view{text}.substr(ex.probe_bytes))) {
            log::info("response_not_sent", {{"request", ex.request_line}, {"why", "client gone"}});
        }
        ::shutdown(socket, SHUT_WR);
        ex.dropped = true;
    }

    static MHD_Result on_access(void* user_data, MHD_Connection* connection, const char* url,
                                const char* method, const char* /*version*/, const char* data,
                                std::size_t* size, void** context)
    {
        auto& self = *static_cast<impl*>(user_data);
        if (*context == nullptr) {
            return self.begin_exchange(connection, url, method, context);
        }
        auto& ex = *static_cast<exchange*>(*context);
        if (*size > 0) {
            return self.append_body(ex, data, size);
        }
        return self.complete_request(connection, ex);
    }

    static void on_connection_changed(void* user_data, MHD_Connection* connection, void** context,
                                      MHD_ConnectionNotificationCode what)
    {
        static_cast<impl*>(user_data)->on_connection(connection, context, what);
    }

    static void on_request_completed(void* user_data, MHD_Connection* connection, void** context,
                                     MHD_RequestTerminationCode reason)
    {
        const std::unique_ptr<exchange> ex{static_cast<exchange*>(*context)};
        *context = nullptr;
        if (!ex) {
            return;
        }
        auto& self = *static_cast<impl*>(user_data);
        self.open_exchanges.erase(ex->id);
        self.receiving.erase(ex->id);
        self.held.remove(ex->id);
        self.sending.erase({ex->replied_at, ex.get()});
        --self.unfinished_exchanges;
        self.last_activity = self.loop.now();
        if (reason == MHD_REQUEST_TERMINATED_COMPLETED_OK) {
            const open_connection& kept = connection_of(connection);
            const auto received = received_bytes(kept.socket);
            self.waiting.begin(kept.id, received.value_or(0), true, self.last_activity);
        }
        if (reason == MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN) {
            self.log_unsent_response(*ex);
        }
    }

    void log_unsent_response(const exchange& ex) const
    {
        const auto age = std::chrono::duration_cast<milliseconds>(loop.now() - ex.began_at);
        log::warning("response_not_sent", {{"request", ex.request_line},
                                           {"age_ms", age.count()},
                                           {"received", ex.dispatched},
                                           {"answered", ex.reply.has_value()}});
    }
};

server::server(event_loop& loop, handler on_request)
    : impl_{std::make_unique<impl>(loop, std::move(on_request))}
{
}

server::~server()
{
    impl_->io = io_handle{};
    if (impl_->daemon == nullptr) {
        return;
    }
    for (auto& [id, ex] : impl_->open_exchanges) {
        if (ex->suspended) {
            MHD_resume_connection(ex->connection);
        }
    }
    MHD_stop_daemon(impl_->daemon);
}

status server::listen(const endpoint& address, const tls_identity& tls)
{
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &socket_address.sin_addr);
    impl_->tls = tls;
    std::vector<MHD_OptionItem> options{
        {MHD_OPTION_SOCK_ADDR, 0, &socket_address},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<std::intptr_t>(impl_->limits.max_connections),
         nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
         static_cast<std::intptr_t>(impl_->limits.head_buffer_bytes), nullptr},
        // Requests are not affected while a response is awaited.
        {MHD_OPTION_CONNECTION_TIMEOUT,
         std::chrono::ceil<std::chrono::seconds>(
             std::max<milliseconds>(impl_->limits.idle_timeout, max_idle_time))
             .count(),
         nullptr},
        {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
        {MHD_OPTION_NOTIFY_COMPLETED,
         reinterpret_cast<std::intptr_t>(&impl::on_request_completed), // NOLINT
         impl_.get()},
        {MHD_OPTION_NOTIFY_CONNECTION,
         reinterpret_cast<std::intptr_t>(&impl::on_connection_changed), // NOLINT
         impl_.get()},
    };
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    if (!tls.empty()) {
        flags |= MHD_USE_TLS;
        options.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, impl_->tls.certificate_pem.data()});
        options.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, impl_->tls.key_pem.data()});
    }
    options.push_back({MHD_OPTION_END, 0, nullptr});
    impl_->daemon = MHD_start_daemon(flags, address.port, nullptr, nullptr, &impl::on_access,
                                     impl_.get(), MHD_OPTION_ARRAY, options.data(), MHD_OPTION_END);
    if (impl_->daemon == nullptr) {
        return error{error_kind::bad_settings,
                     "cannot listen on " + address.ip + ":" + std::to_string(address.port)};
    }
    const auto* info = MHD_get_daemon_info(impl_->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    auto* self = impl_.get();
    impl_->io = impl_->loop.watch(info->epoll_fd, {true, false},
                                  [self](io_interest /*ready*/) { self->run_daemon(); });
    impl_->poll_timer = impl_->loop.every(daemon_poll_period, [self] {
        self->drop_stalled();
        self->close_expired();
        self->run_daemon();
    });
    // The loop keeps the callback when the server has been destroyed.
    impl_->loop.on_iteration_end([self, exists = std::weak_ptr{impl_->exists}] {
        if (!exists.expired() && self->run_pending && self->daemon != nullptr) {
            self->run_daemon();
        }
    });
    return std::nullopt;
}

void server::respond(exchange_id id, response&& reply)
{
    const auto found = impl_->open_exchanges.find(id);
    if (found == impl_->open_exchanges.end()) {
        return;
    }
    exchange& ex = *found->second;
    impl_->open_exchanges.erase(found);
    ex.reply = std::move(reply);
    if (ex.probe_bytes > 0) {
        impl_->complete_probed_response(ex);
    } else {
        impl_->hold_response(ex);
    }
    if (ex.suspended) {
        ex.suspended = false;
        MHD_resume_connection(ex.connection);
        impl_->run_pending = true;
    }
}

void server::set_limits(const request_limits& limits)
{
    impl_->limits = fit_descriptors(limits);
    impl_->held = held_bodies{limits.max_held_body_bytes};
    impl_->waiting = waiting_connections{limits.header_timeout, limits.idle_timeout};
}

void server::change_request_limits(const request_limits& limits)
{
    request_limits& current = impl_->limits;
    current.max_head_bytes = limits.max_head_bytes;
    current.max_body_bytes = limits.max_body_bytes;
    current.header_timeout = limits.header_timeout;
    current.idle_timeout = std::min(limits.idle_timeout, max_idle_time);
    impl_->waiting.set_timeouts(current.header_timeout, current.idle_timeout);
}

void server::report_to(metrics& counters)
{
    impl_->counters = &counters;
}

void server::capture_headers(std::vector<std::string> names)
{
    impl_->kept_header_names = std::move(names);
}

void server::close_after_answers()
{
    impl_->close_connections = true;
}

client_presence server::check_client(exchange_id id)
{
    const auto found = impl_->open_exchanges.find(id);
    return found == impl_->open_exchanges.end() ? client_presence::gone
                                                : impl_->check_client(*found->second);
}

std::size_t server::open_exchanges() const noexcept
{
    return impl_->open_exchanges.size();
}

std::size_t server::unfinished_exchanges() const noexcept
{
    return impl_->unfinished_exchanges;
}

void server::stop_accepting()
{
    if (impl_->daemon == nullptr || !impl_->accepting) {
        return;
    }
    impl_->accepting = false;
    impl_->close_connections = true;
    impl_->last_activity = impl_->loop.now();
    // Closing the listening socket resets the connections that have not been accepted, and
    // MHD_run() accepts a bounded number.
    const auto* info = MHD_get_daemon_info(impl_->daemon, MHD_DAEMON_INFO_LISTEN_FD);
    pollfd waiting{info->listen_fd, POLLIN, 0};
    for (unsigned i = 0; i < impl_->limits.max_connections && poll(&waiting, 1, 0) > 0; ++i) {
        impl_->run_daemon();
    }
    const MHD_socket listener = MHD_quiesce_daemon(impl_->daemon);
    if (listener != MHD_INVALID_SOCKET) {
        close(listener);
    }
}

bool server::is_drained()
{
    if (impl_->accepting || impl_->daemon == nullptr) {
        return false;
    }
    impl_->run_daemon();
    return impl_->unfinished_exchanges == 0 &&
           impl_->loop.now() - impl_->last_activity >= drain_quiet_time;
}

void server::respond_to_all(const response& reply)
{
    std::vector<exchange_id> ids;
    for (const auto& [id, ex] : impl_->open_exchanges) {
        ids.push_back(id);
    }
    for (const exchange_id id : ids) {
        respond(id, response{reply});
    }
}

} // namespace fescue::http
