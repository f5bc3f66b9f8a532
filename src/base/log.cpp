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
level current_threshold = level::info;

/** Bytes that may wait for a slow reader of the log. */
constexpr std::size_t most_held = 1U << 20U;

/** A pipe that says that it takes more takes at least this much without waiting. */
constexpr std::size_t chunk = PIPE_BUF;

/** @return whether a write would not wait. */
bool takes_more()
{
    pollfd log{STDOUT_FILENO, POLLOUT, 0};
    return poll(&log, 1, 0) == 1 && (log.revents & POLLOUT) != 0;
}

/** Lines that are not written yet. */
struct sink {
    std::string held;
    std::uint64_t left_out{0};
    bool batching{false};
};

sink& the_sink()
{
    static sink s;
    return s;
}

bool needs_quotes(std::string_view text) noexcept
{
    return text.empty() || text.find_first_of(" \t\n\"=") != std::string_view::npos;
}

void append_value(fmt::memory_buffer& line, std::string_view text)
{
    if (!needs_quotes(text)) {
        line.append(text);
        return;
    }
    line.push_back('"');
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            line.push_back('\\');
        }
        line.push_back(c == '\n' ? ' ' : c);
    }
    line.push_back('"');
}

} // namespace

void set_level(level threshold) noexcept
{
    current_threshold = threshold;
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
    the_sink().batching = on;
    flush();
}

void flush()
{
    sink& out = the_sink();
    std::size_t written = 0;
    while (written < out.held.size() && takes_more()) {
        const std::size_t size = std::min(out.held.size() - written, chunk);
        const ssize_t done = ::write(STDOUT_FILENO, out.held.data() + written, size);
        if (done < 0 && errno == EINTR) {
            continue;
        }
        if (done <= 0) {
            break;
        }
        written += static_cast<std::size_t>(done);
    }
    out.held.erase(0, written);
    if (out.left_out > 0 && out.held.empty()) {
        out.held = fmt::format("time_ms={} level=warning event=log_lines_left_out lines={}\n",
                               wall_now(), out.left_out);
        out.left_out = 0;
    }
}

void write(level at, std::string_view event, std::initializer_list<field> fields)
{
    if (at < current_threshold) {
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
    sink& out = the_sink();
    if (out.held.size() + line.size() > most_held) {
        // Whoever reads the log is slower than it is written: the lines are counted, not waited
        // for.
        ++out.left_out;
        return;
    }
    out.held.append(line.data(), line.size());
    if (!out.batching || at >= level::error) {
        flush();
    }
}

} // namespace fescue::log
