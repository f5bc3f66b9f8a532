#include "fescuestream/http/client.h"

#include "fescuestream/base/free_memory.h"

#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <unordered_map>
#include <utility>

namespace fescue::http {

namespace {

constexpr std::size_t max_response_bytes = 32U << 20U;
constexpr std::size_t max_idle_handles = 256;

struct transfer {
    client_request request;
    client_response response;
    client::callback on_complete;
    client::impl* owner{nullptr};
    CURL* easy{nullptr};
    curl_slist* headers{nullptr};
    bool has_framing_header{false};
    bool too_large{false};
    /** Memory of the response's body that the client counts. */
    std::size_t counted_bytes{0};
    bool was_sent{false};

    transfer() = default;
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;
    ~transfer() { curl_slist_free_all(headers); }
};

bool header_name_equals(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trim_whitespace(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

void parse_header_line(transfer& t, std::string_view line)
{
    if (line.starts_with("HTTP/")) {
        t.has_framing_header = false;
        return;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    const auto name = line.substr(0, colon);
    const auto text = trim_whitespace(line.substr(colon + 1));
    if (header_name_equals(name, "Content-Length") ||
        header_name_equals(name, "Transfer-Encoding")) {
        t.has_framing_header = true;
    } else if (header_name_equals(name, "Content-Type")) {
        t.response.content_type = text;
    } else if (header_name_equals(name, "Fescue-Request-Id")) {
        t.response.request_id = std::string{text};
    } else if (header_name_equals(name, "Fescue-Ran")) {
        t.response.ran = std::string{text};
    }
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* user_data)
{
    parse_header_line(*static_cast<transfer*>(user_data), {data, size * count});
    return size * count;
}

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user_data);

/**
 * Closes a socket with a TCP reset (SO_LINGER with a timeout of 0). After an ordinary close the
 * kernel keeps retransmitting queued data, so an abandoned request could still reach its
 * server after a network partition has ended.
 */
int close_with_reset(void* /*user_data*/, curl_socket_t fd)
{
    const linger reset_on_close{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    return close(fd);
}

/** Called before each copy of a request is sent: libcurl sends another one by itself if a reused
 * connection closes early. */
int prevent_resend(void* user_data, char* /*remote_ip*/, char* /*local_ip*/, int /*remote_port*/,
                   int /*local_port*/)
{
    auto& t = *static_cast<transfer*>(user_data);
    return std::exchange(t.was_sent, true) ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

bool is_bodiless_status(int status) noexcept
{
    return status == 204 || status == 304;
}

delivery classify_delivery(const transfer& t, CURLcode code)
{
    if (code == CURLE_OK && (t.has_framing_header || is_bodiless_status(t.response.status))) {
        return delivery::answered;
    }
    long request_bytes_sent = 0;
    curl_easy_getinfo(t.easy, CURLINFO_REQUEST_SIZE, &request_bytes_sent);
    const bool nothing_sent = code != CURLE_OK && request_bytes_sent == 0;
    return nothing_sent ? delivery::not_sent : delivery::lost;
}

} // namespace

struct client::impl {
    event_loop& loop;
    CURLM* multi{nullptr};
    timer_handle curl_timer;
    /** Whether on_timeout() is scheduled for the end of this loop iteration. */
    bool timeout_action_scheduled{false};
    /** Expires with this object, so that deferred callbacks can detect its destruction. */
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
    std::unordered_map<int, io_handle> socket_watches;
    std::unordered_map<CURL*, std::unique_ptr<transfer>> active_transfers;
    std::vector<CURL*> idle_handles;
    std::size_t max_receiving_bytes;
    /** Memory of the bodies of the active transfers. */
    std::size_t receiving_bytes{0};

    impl(event_loop& l, client_limits limits)
        : loop{l}, max_receiving_bytes{limits.max_receiving_bytes}
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        multi = curl_multi_init();
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &impl::on_socket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &impl::on_timer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, limits.max_cached_connections);
        curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, limits.max_connections_per_host);
        curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl()
    {
        for (auto& [easy, t] : active_transfers) {
            curl_multi_remove_handle(multi, easy);
            curl_easy_cleanup(easy);
        }
        for (CURL* easy : idle_handles) {
            curl_easy_cleanup(easy);
        }
        socket_watches.clear();
        curl_multi_cleanup(multi);
    }

    /** Makes room for more of a response. Gives up larger responses if necessary.
     * @return whether there is room. */
    bool reserve(transfer& t, std::size_t added)
    {
        std::string& body = t.response.body;
        const std::size_t needed = body.size() + added;
        if (t.too_large || needed > max_response_bytes) {
            return false;
        }
        if (needed <= body.capacity()) {
            return true;
        }
        const std::size_t capacity = std::max(needed, 2 * body.capacity());
        while (receiving_bytes + capacity > max_receiving_bytes) {
            transfer& largest = largest_transfer();
            if (&largest == &t || largest.response.body.capacity() <= body.capacity()) {
                return false;
            }
            free_body(largest);
            largest.too_large = true;
        }
        // Both buffers exist while the content is moved.
        receiving_bytes += capacity - std::exchange(t.counted_bytes, capacity);
        body.reserve(capacity);
        return true;
    }

    transfer& largest_transfer() const
    {
        return *std::ranges::max_element(active_transfers, {}, [](const auto& entry) {
                    return entry.second->counted_bytes;
                })->second;
    }

    void free_body(transfer& t)
    {
        receiving_bytes -= std::exchange(t.counted_bytes, 0);
        free_memory(t.response.body);
    }

    static int on_socket(CURL* /*easy*/, curl_socket_t fd, int what, void* user_data,
                         void* /*data*/)
    {
        auto& self = *static_cast<impl*>(user_data);
        self.socket_watches.erase(fd);
        if (what != CURL_POLL_REMOVE) {
            const io_interest interest{(what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0};
            self.socket_watches[fd] = self.loop.watch(
                fd, interest, [&self, fd](io_interest ready) { self.on_socket_ready(fd, ready); });
        }
        return 0;
    }

    static int on_timer(CURLM* /*multi*/, long timeout_ms, void* user_data)
    {
        auto& self = *static_cast<impl*>(user_data);
        if (timeout_ms < 0) {
            self.curl_timer = timer_handle{};
            return 0;
        }
        if (timeout_ms == 0) {
            // Batches all requests sent in this loop iteration into one call to libcurl.
            self.curl_timer = timer_handle{};
            if (!self.timeout_action_scheduled) {
                self.timeout_action_scheduled = true;
                self.loop.defer([&self, alive = std::weak_ptr<bool>{self.alive}] {
                    if (!alive.expired()) {
                        self.on_timeout();
                    }
                });
            }
            return 0;
        }
        self.curl_timer = self.loop.after(milliseconds{timeout_ms}, [&self] { self.on_timeout(); });
        return 0;
    }

    void on_socket_ready(int fd, io_interest ready)
    {
        int running_handles = 0;
        const int mask =
            (ready.readable ? CURL_CSELECT_IN : 0) | (ready.writable ? CURL_CSELECT_OUT : 0);
        curl_multi_socket_action(multi, fd, mask, &running_handles);
        process_completed();
    }

    void on_timeout()
    {
        timeout_action_scheduled = false;
        int running_handles = 0;
        curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running_handles);
        process_completed();
    }

    void process_completed()
    {
        int messages_left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi, &messages_left)) {
            if (message->msg == CURLMSG_DONE) {
                complete_transfer(message->easy_handle, message->data.result);
            }
        }
    }

    void complete_transfer(CURL* easy, CURLcode code)
    {
        auto node = active_transfers.extract(easy);
        auto t = std::move(node.mapped());
        receiving_bytes -= std::exchange(t->counted_bytes, 0);
        long http_status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &http_status);
        t->response.status = static_cast<int>(http_status);
        t->response.outcome = classify_delivery(*t, code);
        long os_error = 0;
        curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &os_error);
        t->response.connection_refused = code == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED;
        if (t->response.outcome != delivery::answered) {
            t->response.error_message = code == CURLE_OK
                                            ? "the response does not declare its length"
                                            : curl_easy_strerror(code);
        }
        curl_multi_remove_handle(multi, easy);
        release_handle(easy);
        t->easy = nullptr;
        t->on_complete(std::move(t->response));
    }

    void release_handle(CURL* easy)
    {
        if (idle_handles.size() >= max_idle_handles) {
            curl_easy_cleanup(easy);
            return;
        }
        curl_easy_reset(easy);
        idle_handles.push_back(easy);
    }

    CURL* acquire_handle()
    {
        if (idle_handles.empty()) {
            return curl_easy_init();
        }
        CURL* easy = idle_handles.back();
        idle_handles.pop_back();
        return easy;
    }
};

namespace {

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user_data)
{
    auto& t = *static_cast<transfer*>(user_data);
    if (!t.owner->reserve(t, size * count)) {
        t.too_large = true;
        return 0;
    }
    t.response.body.append(data, size * count);
    return size * count;
}

} // namespace

client::client(event_loop& loop, client_limits limits) : impl_{std::make_unique<impl>(loop, limits)}
{
}
client::~client() = default;

std::size_t client::in_flight() const noexcept
{
    return impl_->active_transfers.size();
}

void client::send(client_request&& request, callback on_complete)
{
    auto t = std::make_unique<transfer>();
    t->request = std::move(request);
    t->on_complete = std::move(on_complete);
    t->owner = impl_.get();
    t->easy = impl_->acquire_handle();
    CURL* easy = t->easy;
    for (const header& h : t->request.headers) {
        t->headers = curl_slist_append(t->headers, (h.name + ": " + h.value).c_str());
    }
    t->headers = curl_slist_append(t->headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, t->request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, t->headers);
    if (t->request.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, t->request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(t->request.body.size()));
    }
    if (t->request.method != "GET" && t->request.method != "POST") {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, t->request.method.c_str());
    }
    if (t->request.fresh_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (!t->request.idempotent && t->request.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &prevent_resend);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, t.get());
    }
    if (!t->request.ca_file.empty()) {
        curl_easy_setopt(easy, CURLOPT_CAINFO, t->request.ca_file.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &close_with_reset);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, t->request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, t.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, t.get());
    impl_->active_transfers.emplace(easy, std::move(t));
    curl_multi_add_handle(impl_->multi, easy);
}

} // namespace fescue::http
