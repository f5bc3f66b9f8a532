#include "fescuestream/http/client.h"

#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <unordered_map>

namespace fescue::http {

namespace {

constexpr std::size_t max_answer_bytes = 32U << 20U;
constexpr std::size_t max_spare_handles = 256;

struct transfer {
    client_request in;
    client_response out;
    client::callback done;
    CURL* easy{nullptr};
    curl_slist* headers{nullptr};
    bool length_declared{false};
    bool too_large{false};

    transfer() = default;
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;
    ~transfer() { curl_slist_free_all(headers); }
};

bool same_name(std::string_view a, std::string_view b)
{
    return std::ranges::equal(
        a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

void take_header(transfer& t, std::string_view line)
{
    if (line.starts_with("HTTP/")) {
        t.length_declared = false;
        return;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    const auto name = line.substr(0, colon);
    const auto text = trimmed(line.substr(colon + 1));
    if (same_name(name, "Content-Length") || same_name(name, "Transfer-Encoding")) {
        t.length_declared = true;
    } else if (same_name(name, "Content-Type")) {
        t.out.content_type = text;
    } else if (same_name(name, "Fescue-Request-Id")) {
        t.out.request_id = std::string{text};
    } else if (same_name(name, "Fescue-Ran")) {
        t.out.ran = std::string{text};
    }
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* self)
{
    take_header(*static_cast<transfer*>(self), {data, size * count});
    return size * count;
}

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* self)
{
    auto& t = *static_cast<transfer*>(self);
    if (t.out.body.size() + size * count > max_answer_bytes) {
        t.too_large = true;
        return 0;
    }
    t.out.body.append(data, size * count);
    return size * count;
}

/**
 * Ends a connection with a reset. After an ordinary close the system goes on sending what is still
 * queued: a request that was given up could reach its server long after, when a cut has healed.
 */
int close_at_once(void* /*self*/, curl_socket_t fd)
{
    const linger nothing_lingers{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &nothing_lingers, sizeof nothing_lingers);
    return close(fd);
}

bool has_no_body(int status) noexcept
{
    return status == 204 || status == 304;
}

delivery judge(const transfer& t, CURLcode code)
{
    if (code == CURLE_OK && (t.length_declared || has_no_body(t.out.status))) {
        return delivery::answered;
    }
    long sent_bytes = 0;
    curl_easy_getinfo(t.easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
    const bool nothing_left = code != CURLE_OK && sent_bytes == 0;
    return nothing_left ? delivery::not_sent : delivery::lost;
}

} // namespace

struct client::impl {
    event_loop& loop;
    CURLM* multi{nullptr};
    timer_handle library_timer;
    /** The library wants to be called at the end of this round. */
    bool due{false};
    /** Ends with this object; calls that are put off look at it. */
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
    std::unordered_map<int, io_handle> watches;
    std::unordered_map<CURL*, std::unique_ptr<transfer>> open;
    std::vector<CURL*> spare;

    impl(event_loop& l, client_limits limits) : loop{l}
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        multi = curl_multi_init();
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &impl::on_socket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &impl::on_timer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, limits.kept_connections);
        curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS, limits.connections_a_server);
        curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl()
    {
        for (auto& [easy, t] : open) {
            curl_multi_remove_handle(multi, easy);
            curl_easy_cleanup(easy);
        }
        for (CURL* easy : spare) {
            curl_easy_cleanup(easy);
        }
        watches.clear();
        curl_multi_cleanup(multi);
    }

    static int on_socket(CURL* /*easy*/, curl_socket_t fd, int what, void* self, void* /*data*/)
    {
        auto& me = *static_cast<impl*>(self);
        me.watches.erase(fd);
        if (what != CURL_POLL_REMOVE) {
            const io_interest interest{(what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0};
            me.watches[fd] =
                me.loop.watch(fd, interest, [&me, fd](io_interest ready) { me.act(fd, ready); });
        }
        return 0;
    }

    static int on_timer(CURLM* /*multi*/, long timeout_ms, void* self)
    {
        auto& me = *static_cast<impl*>(self);
        if (timeout_ms < 0) {
            me.library_timer = timer_handle{};
            return 0;
        }
        if (timeout_ms == 0) {
            // Once for all requests that this round of the loop sends.
            me.library_timer = timer_handle{};
            if (!me.due) {
                me.due = true;
                me.loop.soon([&me, alive = std::weak_ptr<bool>{me.alive}] {
                    if (!alive.expired()) {
                        me.act_on_time();
                    }
                });
            }
            return 0;
        }
        me.library_timer = me.loop.after(milliseconds{timeout_ms}, [&me] { me.act_on_time(); });
        return 0;
    }

    void act(int fd, io_interest ready)
    {
        int still = 0;
        const int mask =
            (ready.readable ? CURL_CSELECT_IN : 0) | (ready.writable ? CURL_CSELECT_OUT : 0);
        curl_multi_socket_action(multi, fd, mask, &still);
        collect();
    }

    void act_on_time()
    {
        due = false;
        int still = 0;
        curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &still);
        collect();
    }

    void collect()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result);
            }
        }
    }

    void finish(CURL* easy, CURLcode code)
    {
        auto node = open.extract(easy);
        auto t = std::move(node.mapped());
        long http_status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &http_status);
        t->out.status = static_cast<int>(http_status);
        t->out.how = judge(*t, code);
        if (t->out.how != delivery::answered) {
            t->out.fault = code == CURLE_OK ? "the answer's length was not declared"
                                            : curl_easy_strerror(code);
        }
        curl_multi_remove_handle(multi, easy);
        recycle(easy);
        t->easy = nullptr;
        t->done(std::move(t->out));
    }

    void recycle(CURL* easy)
    {
        if (spare.size() >= max_spare_handles) {
            curl_easy_cleanup(easy);
            return;
        }
        curl_easy_reset(easy);
        spare.push_back(easy);
    }

    CURL* new_handle()
    {
        if (spare.empty()) {
            return curl_easy_init();
        }
        CURL* easy = spare.back();
        spare.pop_back();
        return easy;
    }
};

client::client(event_loop& loop, client_limits limits) : impl_{std::make_unique<impl>(loop, limits)}
{
}
client::~client() = default;

std::size_t client::in_flight() const noexcept
{
    return impl_->open.size();
}

void client::send(client_request&& request, callback done)
{
    auto t = std::make_unique<transfer>();
    t->in = std::move(request);
    t->done = std::move(done);
    t->easy = impl_->new_handle();
    CURL* easy = t->easy;
    for (const header& h : t->in.headers) {
        t->headers = curl_slist_append(t->headers, (h.name + ": " + h.value).c_str());
    }
    t->headers = curl_slist_append(t->headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, t->in.url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, t->headers);
    if (t->in.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, t->in.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(t->in.body.size()));
    }
    if (t->in.method != "GET" && t->in.method != "POST") {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, t->in.method.c_str());
    }
    if (t->in.fresh_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (!t->in.ca_file.empty()) {
        curl_easy_setopt(easy, CURLOPT_CAINFO, t->in.ca_file.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &close_at_once);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, t->in.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, t.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, t.get());
    impl_->open.emplace(easy, std::move(t));
    curl_multi_add_handle(impl_->multi, easy);
}

} // namespace fescue::http
