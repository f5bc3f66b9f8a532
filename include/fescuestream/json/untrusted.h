#pragma once

/**
 * @file
 * Parses JSON texts from other machines: the nesting depth is bounded, and errors are values.
 */

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace fescue::json {

/** Largest nesting depth of a text that is parsed. Interfaces nest at most 6 levels; functions that
 * visit a value recursively, such as dump(), use the stack in proportion to the depth. */
inline constexpr std::size_t max_depth = 64;
/** Largest number of values in a text that is parsed. A parsed value takes up to about 110 bytes,
 * and the smallest schedulers have 256 MB. A route of the configuration has 15 values. */
inline constexpr std::size_t max_values = 200'000;

/** @return the parsed value, or nothing if the text is not valid JSON, contains a number that
 * exceeds the range of a double, nests deeper than max_depth, or has more than max_values. */
std::optional<nlohmann::json> parse_untrusted(std::string_view text);

/**
 * Parses an object whose arrays list entries of several writers, so that one entry that
 * parse_untrusted() refuses costs only itself.
 * @return the object, in which each unreadable member, and each unreadable element of an array that
 * is a member, has the type discarded; nothing if the text is not an object or its brackets do not
 * match.
 */
std::optional<nlohmann::json> parse_untrusted_lists(std::string_view text);

/** @return the text of a member's value, or nothing if the text is no object or has no such member.
 * Does not parse the other members. */
std::optional<std::string_view> find_member(std::string_view object, std::string_view name);

/** @return the value of an integer, or nothing if it is no integer or exceeds 64 bits signed. */
std::optional<std::int64_t> to_int64(const nlohmann::json& number);

/** @return whether the text is valid UTF-8; dump() throws if a string is not. */
bool is_utf8(std::string_view text) noexcept;

} // namespace fescue::json
