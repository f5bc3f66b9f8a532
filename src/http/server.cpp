#include "fescuestream/http/server.h"

#include "fescuestream/base/log.h"
#include "fescuestream/base/log_limiter.h"
#include "fescuestream/http/held_bodies.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <cstring>
#include <unordered_map>

namespace fescue::http {

namespace {

constexpr milliseconds daemon_poll_period{250};
/** A request that was sent before the listening socket closed arrives within this time. */
constexpr milliseconds drain_quiet_time{100};
constexpr std::string_view bearer_prefix = "Bearer ";
/** Unfinished requests are dropped while less than this part of the connections is left, so that
 * new callers find one. */
constexpr std::size_t spare_connections_divisor = 16;

struct exchange {
    exchange_id id{0};
    /** Moved to the handler once the request is complete. */
    request incoming;
    /** Method and path of the request, for the log. */
    std::string request_line;
    std::optional<response> reply;
    MHD_Connection* connection{nullptr};
    mono_time began_at{};
    bool dispatched{false};
    bool suspended{false};
    /** The request was dropped; its connection is being closed. */
    bool dropped{false};
    /** Length that the request announces for its body; 0: none. */
    std::size_t announced_bytes{0};
    /** Part of the body that was received after the request had been rejected. */
    std::size_t discarded_bytes{0};
};

std::optional<std::string> find_header(MHD_Connection* connection, const char* name)
{
    const char* text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    if (text == nullptr) {
        return std::nullopt;
    }
    return std::string{text};
}

/** @return the length that the request announces for its body; 0 if it announces none. */
std::size_t announced_length(MHD_Connection* connection)
{
    const auto text = find_header(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);
    std::size_t length = 0;
    if (text) {
        // The library has checked the syntax; it rejects lengths out of range.
        std::from_chars(text->data(), text->data() + text->size(), length);
    }
    return length;
}

response make_too_large()
{
    return {413, "application/json", R"({"error":"too_large","ran":"no"})", {{"Fescue-Ran", "no"}}};
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

std::optional<std::string> request::bearer() const
{
    if (!authorization || !authorization->starts_with(bearer_prefix)) {
        return std::nullopt;
    }
    return authorization->substr(bearer_prefix.size());
}

result<endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    endpoint out;
    if (colon == std::string::npos) {
        return error{error_kind::bad_request, "'" + text + "' is not IP:PORT"};
    }
    out.ip = text.substr(0, colon);
    in_addr parsed{};
    const char* first = text.data() + colon + 1;
    const char* last = text.data() + text.size();
    const auto [end, parse_error] = std::from_chars(first, last, out.port);
    const bool port_ok = parse_error == std::errc{} && end == last && out.port != 0;
    // inet_pton() reads up to the first NUL.
    const bool has_nul = out.ip.find('\0') != std::string::npos;
    if (has_nul || inet_pton(AF_INET, out.ip.c_str(), &parsed) != 1 || !port_ok) {
        return error{error_kind::bad_request, "'" + text + "' is not IP:PORT"};
    }
    return out;
}

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
    std::size_t connections{0};
    metrics* counters{nullptr};
    log::limiter rejected_bodies;
    std::size_t unfinished_exchanges{0};
    /** Time of the last end of an exchange, or when the server stopped accepting. */
    mono_time last_activity{};
    bool accepting{true};
    bool run_pending{false};
    bool close_connections{false};
    const std::shared_ptr<bool> exists{std::make_shared<bool>(true)};
    std::vector<std::string> kept_header_names;

    explicit impl(event_loop& l, handler h) : loop{l}, on_request{std::move(h)} {}

    void run_daemon()
    {
        run_pending = false;
        MHD_run(daemon);
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

    MHD_Result begin_exchange(MHD_Connection* connection, const char* url, const char* method,
                              void** context)
    {
        auto created = std::make_unique<exchange>();
        created->id = next_id++;
        created->connection = connection;
        created->began_at = loop.now();
        created->request_line = std::string{method} + " " + url;
        created->incoming.method = method;
        created->incoming.path = url;
        created->incoming.authorization = find_header(connection, "Authorization");
        created->incoming.idempotency_key = find_header(connection, "Idempotency-Key");
        created->incoming.if_match = find_header(connection, "If-Match");
        created->incoming.timeout_ms = find_header(connection, "Request-Timeout-Ms");
        created->incoming.content_type = find_header(connection, "Content-Type").value_or("");
        created->incoming.host = find_header(connection, "Host").value_or("");
        for (const std::string& name : kept_header_names) {
            created->incoming.captured_headers.push_back(find_header(connection, name.c_str()));
        }
        created->announced_bytes = announced_length(connection);
        exchange& ex = *created.release();
        *context = &ex;
        ++unfinished_exchanges;
        held.begin(ex.id, loop.now());
        receiving.emplace(ex.id, &ex);
        if (ex.announced_bytes > limits.max_body_bytes) {
            reject(ex, make_too_large(), "announced_too_large");
            return queue_response(connection, *ex.reply);
        }
        return MHD_YES;
    }

    /** Rejects a request whose body has not been received whole, and frees what it holds. */
    void reject(exchange& ex, response&& reply, const char* why)
    {
        ex.reply = std::move(reply);
        release_body(ex);
        record_rejection("body_refused", "bodies_refused", ex, why);
    }

    /** Drops a request that has not been received whole, and closes its connection: the library
     * can't send a response before the end of a body. */
    void drop(exchange& ex, const char* why)
    {
        ex.dropped = true;
        release_body(ex);
        receiving.erase(ex.id);
        held.remove(ex.id);
        const auto* info =
            MHD_get_connection_info(ex.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        // The library reads the end of the stream and ends the exchange.
        ::shutdown(info->connect_fd, SHUT_RDWR);
        record_rejection("body_dropped", "bodies_dropped", ex, why);
    }

    void release_body(exchange& ex)
    {
        ex.incoming.body.clear();
        ex.incoming.body.shrink_to_fit();
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
                                 {"connections", connections},
                                 {"requests", requests}});
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
        while (!held.try_resize(ex.id, capacity)) {
            const auto stalled = held.longest_stalled(ex.id, 1);
            if (!stalled) {
                return false;
            }
            drop(*receiving.at(*stalled), "memory");
        }
        body.reserve(capacity);
        return true;
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
            reject(ex, make_too_large(), "too_large");
        } else if (!reserve_body(ex, added)) {
            reject(ex, make_no_memory(), "memory");
        } else {
            ex.incoming.body.append(data, added);
        }
        return MHD_YES;
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

    void on_connection(MHD_ConnectionNotificationCode what)
    {
        if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
            --connections;
            return;
        }
        ++connections;
        const std::size_t spare = limits.max_connections / spare_connections_divisor + 1;
        if (connections + spare > limits.max_connections) {
            if (const auto stalled = held.longest_stalled(0, 0)) {
                drop(*receiving.at(*stalled), "connections");
            }
        }
    }

    MHD_Result queue_response(MHD_Connection* connection, response& out) const
    {
        MHD_Response* message = MHD_create_response_from_buffer(out.body.size(), out.body.data(),
                                                                MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(message, "Content-Type", out.content_type.c_str());
        for (const header& h : out.headers) {
            MHD_add_response_header(message, h.name.c_str(), h.value.c_str());
        }
        if (close_connections) {
            MHD_add_response_header(message, "Connection", "close");
        }
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
        if (ex.reply) {
            return queue_response(connection, *ex.reply);
        }
        ex.suspended = true;
        MHD_suspend_connection(connection);
        return MHD_YES;
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

    static void on_connection_changed(void* user_data, MHD_Connection* /*connection*/,
                                      void** /*context*/, MHD_ConnectionNotificationCode what)
    {
        static_cast<impl*>(user_data)->on_connection(what);
    }

    static void on_request_completed(void* user_data, MHD_Connection* /*connection*/,
                                     void** context, MHD_RequestTerminationCode reason)
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
        --self.unfinished_exchanges;
        self.last_activity = self.loop.now();
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
