#include "exchange.h"

#include <algorithm>
#include <charconv>

namespace fescue::http {

namespace {

/** ": " and the end of the line. */
constexpr std::size_t header_line_separators = 4;
constexpr std::size_t max_logged_request_bytes = 256;

std::size_t count_head_bytes(const exchange& ex)
{
    const request& in = ex.incoming;
    std::size_t bytes = in.method.size() + in.path.size() + ex.request_line.size() +
                        in.content_type.size() + in.host.size();
    const auto add = [&](const std::optional<std::string>& value) {
        bytes += value ? value->size() : 0;
    };
    add(in.authorization);
    add(in.idempotency_key);
    add(in.if_match);
    add(in.timeout_ms);
    for (const auto& value : in.captured_headers) {
        add(value);
    }
    return bytes;
}

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

} // namespace

std::unique_ptr<exchange> read_head(MHD_Connection* connection, exchange_id id, const char* method,
                                    const char* path, const std::vector<std::string>& kept_headers,
                                    mono_time now)
{
    auto out = std::make_unique<exchange>();
    out->id = id;
    out->connection = connection;
    out->began_at = now;
    out->request_line = std::string{method} + " " + path;
    out->request_line.resize(std::min(out->request_line.size(), max_logged_request_bytes));
    out->request_line.shrink_to_fit();
    request& in = out->incoming;
    in.method = method;
    in.path = path;
    in.authorization = find_header(connection, "Authorization");
    in.idempotency_key = find_header(connection, "Idempotency-Key");
    in.if_match = find_header(connection, "If-Match");
    in.timeout_ms = find_header(connection, "Request-Timeout-Ms");
    in.content_type = find_header(connection, "Content-Type").value_or("");
    in.host = find_header(connection, "Host").value_or("");
    for (const std::string& name : kept_headers) {
        in.captured_headers.push_back(find_header(connection, name.c_str()));
    }
    out->announced_bytes = announced_length(connection);
    out->head_bytes = count_head_bytes(*out);
    return out;
}

std::size_t count_header_bytes(MHD_Connection* connection)
{
    std::size_t bytes = 0;
    MHD_get_connection_values_n(
        connection, MHD_HEADER_KIND,
        [](void* sum, MHD_ValueKind /*kind*/, const char* /*name*/, std::size_t name_size,
           const char* /*value*/, std::size_t value_size) {
            *static_cast<std::size_t*>(sum) += name_size + value_size + header_line_separators;
            return MHD_YES;
        },
        &bytes);
    return bytes;
}

} // namespace fescue::http
