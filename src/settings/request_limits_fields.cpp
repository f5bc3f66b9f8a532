#include "request_limits_fields.h"

namespace fescue::settings {

namespace {

constexpr std::int64_t max_bytes = std::int64_t{1} << 40U;
constexpr std::int64_t max_time_ms = 3'600'000;
constexpr std::int64_t max_connections = 1'000'000;
constexpr std::int64_t min_head_buffer_bytes = 4096;
constexpr std::int64_t max_head_buffer_bytes = 1 << 20;

} // namespace

http::request_limits read_request_limits(json::object_reader& top, json::field_errors& field_errors)
{
    http::request_limits out;
    const json::value_type* found = top.find("http");
    if (found == nullptr) {
        return out;
    }
    json::object_reader reader{*found, "http", field_errors};
    const auto size = [&](const char* field, std::size_t fallback, std::int64_t max) {
        return static_cast<std::size_t>(
            reader.number(field, {1, max}, static_cast<std::int64_t>(fallback)));
    };
    out.max_body_bytes = size("max_body_bytes", out.max_body_bytes, max_bytes);
    out.max_held_body_bytes = size("max_held_body_bytes", out.max_held_body_bytes, max_bytes);
    out.max_connections = size("max_connections", out.max_connections, max_connections);
    out.head_buffer_bytes = static_cast<std::size_t>(
        reader.number("head_buffer_bytes", {min_head_buffer_bytes, max_head_buffer_bytes},
                      static_cast<std::int64_t>(out.head_buffer_bytes)));
    const auto time = [&](const char* field, milliseconds& limit) {
        limit = milliseconds{reader.number(field, {1, max_time_ms}, limit.count())};
    };
    time("body_stall_ms", out.body_stall_time);
    time("header_timeout_ms", out.header_timeout);
    time("idle_timeout_ms", out.idle_timeout);
    if (out.max_held_body_bytes < out.max_body_bytes) {
        reader.report("max_held_body_bytes", "must not be less than max_body_bytes");
    }
    reader.finish();
    return out;
}

} // namespace fescue::settings
