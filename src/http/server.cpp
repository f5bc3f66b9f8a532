#include "fescuestream/http/server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include <charconv>
#include <cstring>
#include <unordered_map>

namespace fescue::http {

namespace {

constexpr unsigned max_connections = 8192;
constexpr milliseconds library_timer_period{250};
constexpr std::string_view bearer_prefix = "Bearer ";

struct exchange {
    exchange_id id{0};
    request in;
    std::optional<response> out;
    MHD_Connection* connection{nullptr};
    bool handed_over{false};
    bool suspended{false};
    bool too_large{false};
};

std::optional<std::string> header_of(MHD_Connection* connection, const char* name)
{
    const char* text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    if (text == nullptr) {
        return std::nullopt;
    }
    return std::string{text};
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
    const auto [end, fault] = std::from_chars(first, last, out.port);
    const bool port_ok = fault == std::errc{} && end == last && out.port != 0;
    if (inet_pton(AF_INET, out.ip.c_str(), &parsed) != 1 || !port_ok) {
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
    timer_handle ticker;
    exchange_id next_id{1};
    std::unordered_map<exchange_id, exchange*> open;
    bool needs_run{false};
    bool closing{false};
    std::vector<std::string> kept_names;

    explicit impl(event_loop& l, handler h) : loop{l}, on_request{std::move(h)} {}

    void run_library()
    {
        needs_run = false;
        MHD_run(daemon);
        // The library reads a bounded part each time and is told of new bytes only once.
        MHD_UNSIGNED_LONG_LONG wait_ms = 0;
        if (MHD_get_timeout(daemon, &wait_ms) == MHD_YES && wait_ms == 0) {
            needs_run = true;
        }
        if (needs_run) {
            loop.soon([] {});
        }
    }

    MHD_Result start(MHD_Connection* connection, const char* url, const char* method,
                     void** context)
    {
        auto made = std::make_unique<exchange>();
        made->id = next_id++;
        made->connection = connection;
        made->in.method = method;
        made->in.path = url;
        made->in.authorization = header_of(connection, "Authorization");
        made->in.idempotency_key = header_of(connection, "Idempotency-Key");
        made->in.if_match = header_of(connection, "If-Match");
        made->in.timeout_ms = header_of(connection, "Request-Timeout-Ms");
        made->in.content_type = header_of(connection, "Content-Type").value_or("");
        made->in.host = header_of(connection, "Host").value_or("");
        for (const std::string& name : kept_names) {
            made->in.kept.push_back(header_of(connection, name.c_str()));
        }
        *context = made.release();
        return MHD_YES;
    }

    MHD_Result take_body(exchange& ex, const char* data, std::size_t* size)
    {
        if (ex.in.body.size() + *size > max_body_bytes) {
            ex.too_large = true;
        } else {
            ex.in.body.append(data, *size);
        }
        *size = 0;
        return MHD_YES;
    }

    MHD_Result send_answer(MHD_Connection* connection, response& out) const
    {
        MHD_Response* answer = MHD_create_response_from_buffer(out.body.size(), out.body.data(),
                                                               MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(answer, "Content-Type", out.content_type.c_str());
        for (const header& h : out.headers) {
            MHD_add_response_header(answer, h.name.c_str(), h.value.c_str());
        }
        if (closing) {
            MHD_add_response_header(answer, "Connection", "close");
        }
        const auto sent = MHD_queue_response(connection, static_cast<unsigned>(out.status), answer);
        MHD_destroy_response(answer);
        return sent;
    }

    MHD_Result finish(MHD_Connection* connection, exchange& ex)
    {
        if (ex.too_large && !ex.out) {
            ex.out = response{413, "application/json", R"({"error":"too_large","ran":"no"})", {}};
            ex.out->headers.push_back({"Fescue-Ran", "no"});
        }
        if (!ex.handed_over && !ex.out) {
            ex.handed_over = true;
            open.emplace(ex.id, &ex);
            on_request(ex.id, std::move(ex.in));
        }
        if (ex.out) {
            return send_answer(connection, *ex.out);
        }
        ex.suspended = true;
        MHD_suspend_connection(connection);
        return MHD_YES;
    }

    static MHD_Result handle(void* self, MHD_Connection* connection, const char* url,
                             const char* method, const char* /*version*/, const char* data,
                             std::size_t* size, void** context)
    {
        auto& me = *static_cast<impl*>(self);
        if (*context == nullptr) {
            return me.start(connection, url, method, context);
        }
        auto& ex = *static_cast<exchange*>(*context);
        if (*size > 0) {
            return me.take_body(ex, data, size);
        }
        return me.finish(connection, ex);
    }

    static void completed(void* self, MHD_Connection* /*connection*/, void** context,
                          MHD_RequestTerminationCode /*why*/)
    {
        const std::unique_ptr<exchange> ex{static_cast<exchange*>(*context)};
        if (ex) {
            static_cast<impl*>(self)->open.erase(ex->id);
        }
        *context = nullptr;
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
    for (auto& [id, ex] : impl_->open) {
        if (ex->suspended) {
            MHD_resume_connection(ex->connection);
        }
    }
    MHD_stop_daemon(impl_->daemon);
}

status server::listen(const endpoint& at, const tls_identity& tls)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    impl_->tls = tls;
    std::vector<MHD_OptionItem> options{
        {MHD_OPTION_SOCK_ADDR, 0, &address},
        {MHD_OPTION_CONNECTION_LIMIT, max_connections, nullptr},
        {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<std::intptr_t>(&impl::completed), // NOLINT
         impl_.get()},
    };
    unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    if (!tls.empty()) {
        flags |= MHD_USE_TLS;
        options.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, impl_->tls.certificate_pem.data()});
        options.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, impl_->tls.key_pem.data()});
    }
    options.push_back({MHD_OPTION_END, 0, nullptr});
    impl_->daemon = MHD_start_daemon(flags, at.port, nullptr, nullptr, &impl::handle, impl_.get(),
                                     MHD_OPTION_ARRAY, options.data(), MHD_OPTION_END);
    if (impl_->daemon == nullptr) {
        return error{error_kind::bad_settings,
                     "cannot listen on " + at.ip + ":" + std::to_string(at.port)};
    }
    const auto* info = MHD_get_daemon_info(impl_->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    auto* self = impl_.get();
    impl_->io = impl_->loop.watch(info->epoll_fd, {true, false},
                                  [self](io_interest /*ready*/) { self->run_library(); });
    impl_->ticker = impl_->loop.every(library_timer_period, [self] { self->run_library(); });
    impl_->loop.at_round_end([self] {
        if (self->needs_run && self->daemon != nullptr) {
            self->run_library();
        }
    });
    return std::nullopt;
}

void server::respond(exchange_id id, response&& answer)
{
    const auto found = impl_->open.find(id);
    if (found == impl_->open.end()) {
        return;
    }
    exchange& ex = *found->second;
    impl_->open.erase(found);
    ex.out = std::move(answer);
    if (ex.suspended) {
        ex.suspended = false;
        MHD_resume_connection(ex.connection);
        impl_->needs_run = true;
    }
}

void server::keep_headers(std::vector<std::string> names)
{
    impl_->kept_names = std::move(names);
}

void server::close_after_answers()
{
    impl_->closing = true;
}

std::size_t server::open_exchanges() const noexcept
{
    return impl_->open.size();
}

void server::stop_accepting()
{
    if (impl_->daemon != nullptr) {
        const MHD_socket listener = MHD_quiesce_daemon(impl_->daemon);
        if (listener != MHD_INVALID_SOCKET) {
            close(listener);
        }
    }
}

} // namespace fescue::http
