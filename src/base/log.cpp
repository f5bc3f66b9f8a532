#include "fescuestream/base/log.h"

#include "fescuestream/base/ids.h"

#include <array>
#include <cstdio>

namespace fescue::log {

namespace {

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};
level current_threshold = level::info;

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
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace fescue::log
