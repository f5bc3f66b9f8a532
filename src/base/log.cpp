#include "fescuestream/base/log.h"

#include "fescuestream/base/ids.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <cstdint>
#include <string>

namespace fescue::log {

namespace {

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};
level minimum_level = level::info;

/** Limit for lines that are buffered for a slow reader of standard output. */
constexpr std::size_t max_buffered_bytes = 1U << 20U;

/** A pipe that polls as writable accepts at least PIPE_BUF bytes without blocking. */
constexpr std::size_t write_chunk_bytes = PIPE_BUF;

bool is_writable_without_blocking()
{
    pollfd log{STDOUT_FILENO, POLLOUT, 0};
    return poll(&log, 1, 0) == 1 && (log.revents & POLLOUT) != 0;
}

/** Lines that have not been written yet, and the number of lines dropped meanwhile. */
struct output_buffer {
    std::string buffer;
    std::uint64_t dropped_lines{0};
    bool batch_mode{false};
};

output_buffer& output()
{
    static output_buffer s;
    return s;
}

/** Bounds a line that quotes input of other machines. */
constexpr std::size_t max_value_bytes = 512;

bool is_printable(char c) noexcept
{
    return c >= ' ' && c <= '~';
}

bool needs_quotes(std::string_view text) noexcept
{
    return text.empty() || text.find_first_of(" \"=") != std::string_view::npos;
}

void append_value(fmt::memory_buffer& line, std::string_view value)
{
    const bool as_is = value.size() <= max_value_bytes && std::ranges::all_of(value, is_printable);
    const std::string escaped = as_is ? std::string{} : printable(value);
    const std::string_view text = as_is ? value : std::string_view{escaped};
    if (!needs_quotes(text)) {
        line.append(text);
        return;
    }
    line.push_back('"');
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            line.push_back('\\');
        }
        line.push_back(c);
    }
    line.push_back('"');
}

} // namespace

std::string printable(std::string_view text)
{
    std::string out;
    for (const char c : text.substr(0, max_value_bytes)) {
        if (is_printable(c)) {
            out.push_back(c);
        } else {
            out += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        }
    }
    return text.size() > max_value_bytes ? out + "..." : out;
}

void set_level(level threshold) noexcept
{
    minimum_level = threshold;
}

bool parse_level(std::string_view name, level& out) noexcept
{
    for (std::size_t i = 0; i < level_names.size(); ++i) {
        if (level_names[i] == name) {
            out = static_cast<level>(i);
            return true;
        }
    }
    return false;
}

void batch(bool on)
{
    output().batch_mode = on;
    flush();
}

void flush()
{
    output_buffer& out = output();
    std::size_t written = 0;
    while (written < out.buffer.size() && is_writable_without_blocking()) {
        const std::size_t size = std::min(out.buffer.size() - written, write_chunk_bytes);
        const ssize_t bytes = ::write(STDOUT_FILENO, out.buffer.data() + written, size);
        if (bytes < 0 && errno == EINTR) {
            continue;
        }
        if (bytes <= 0) {
            break;
        }
        written += static_cast<std::size_t>(bytes);
    }
    out.buffer.erase(0, written);
    if (out.dropped_lines > 0 && out.buffer.empty()) {
        out.buffer = fmt::format("time_ms={} level=warning event=log_lines_left_out lines={}\n",
                                 wall_now(), out.dropped_lines);
        out.dropped_lines = 0;
    }
}

void write(level at, std::string_view event, std::initializer_list<field> fields)
{
    if (at < minimum_level) {
        return;
    }
    fmt::memory_buffer line;
    fmt::format_to(std::back_inserter(line), "time_ms={} level={} event={}", wall_now(),
                   level_names[static_cast<std::size_t>(at)], event);
    for (const field& f : fields) {
        line.push_back(' ');
        line.append(f.key);
        line.push_back('=');
        append_value(line, f.value);
    }
    line.push_back('\n');
    output_buffer& out = output();
    if (out.buffer.size() + line.size() > max_buffered_bytes) {
        // The reader is slower than the writer: drop and count the line instead of blocking.
        ++out.dropped_lines;
        return;
    }
    out.buffer.append(line.data(), line.size());
    if (!out.batch_mode || at >= level::error) {
        flush();
    }
}

} // namespace fescue::log
