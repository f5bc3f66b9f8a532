#pragma once

/**
 * @file
 * Structured logs: one line of key=value pairs an event, to standard output.
 */

#include <fmt/format.h>

#include <string>
#include <string_view>

namespace fescue::log {

enum class level { debug, info, warning, error };

/** Events below this level are dropped. */
void set_level(level threshold) noexcept;
/** Reads a level's name. @return false when there is none by that name. */
bool parse_level(std::string_view name, level& out) noexcept;
/** One key=value pair of a log line. */
struct field {
    template <class T>
    field(std::string_view k, const T& v) : key{k}, value{fmt::format("{}", v)}
    {
    }
    std::string_view key;
    std::string value;
};

/** Holds lines back until flush(), so that a round of the loop writes them with one call. */
void batch(bool on);
/** Writes what is held, without waiting for a reader that is slow. */
void flush();
/** Writes one event. @param event a short fixed name; @param fields its pairs, in order. */
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
