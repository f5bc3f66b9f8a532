#pragma once

/**
 * @file
 * Structured logging to standard output: one line of key=value pairs per event.
 */

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace fescue::log {

enum class level { debug, info, warning, error };

/** Sets the minimum level; events below it are dropped. */
void set_level(level threshold) noexcept;
/** Parses a level's name. @return false if the name is unknown. */
bool parse_level(std::string_view name, level& out) noexcept;
/** @return the text for a log line: characters other than printable ASCII are escaped as \xNN, and
 * text beyond 512 bytes is cut and marked with "...". */
std::string printable(std::string_view text);
/** One key=value pair of a log line. */
struct field {
    template <class T>
    field(std::string_view k, const T& v) : key{k}, value{fmt::format("{}", v)}
    {
    }
    std::string_view key;
    std::string value;
};

/** Buffers lines until flush(), so that one iteration of the loop writes them with one call. */
void batch(bool on);
/** Writes buffered lines as far as standard output accepts them without blocking. */
void flush();
/**
 * Logs an event.
 * @param event short, fixed name of the event.
 * @param fields key=value pairs, in the order in which they are written.
 */
void write(level at, std::string_view event, std::initializer_list<field> fields);

inline void info(std::string_view event, std::initializer_list<field> fields = {})
{
    write(level::info, event, fields);
}
inline void warning(std::string_view event, std::initializer_list<field> fields = {})
{
    write(level::warning, event, fields);
}
inline void failure(std::string_view event, std::initializer_list<field> fields = {})
{
    write(level::error, event, fields);
}

} // namespace fescue::log
