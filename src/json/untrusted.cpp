#include "fescuestream/json/untrusted.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace fescue::json {

namespace {

constexpr std::string_view white_space = " \t\r\n";

/** Tracks the position in a JSON text: inside a string, or at a nesting depth. */
class structure_scanner {
public:
    /** Advances by one character. @return false if the character closes more than was opened. */
    bool advance(char c) noexcept
    {
        if (in_string_) {
            in_string_ = escaped_ || c != '"';
            escaped_ = !escaped_ && c == '\\';
            return true;
        }
        values_ += c == '[' || c == '{' || c == ',' ? 1 : 0;
        if (c == '[' || c == '{') {
            ++depth_;
        } else if (c == ']' || c == '}') {
            if (depth_ == 0) {
                return false;
            }
            --depth_;
        }
        in_string_ = c == '"';
        return true;
    }
    std::size_t depth() const noexcept { return depth_; }
    /** @return an upper bound on the number of values so far, but for one at the top. */
    std::size_t values() const noexcept { return values_; }
    /** @return whether the position is outside of all strings, objects and arrays. */
    bool at_top() const noexcept { return depth_ == 0 && !in_string_; }

private:
    bool in_string_{false};
    bool escaped_{false};
    std::size_t depth_{0};
    std::size_t values_{0};
};

bool exceeds_limits(std::string_view text) noexcept
{
    structure_scanner scanner;
    for (const char c : text) {
        if (!scanner.advance(c) || scanner.depth() > max_depth || scanner.values() > max_values) {
            return true;
        }
    }
    return false;
}

std::string_view trim(std::string_view text) noexcept
{
    const std::size_t first = text.find_first_not_of(white_space);
    return first == std::string_view::npos
               ? std::string_view{}
               : text.substr(first, text.find_last_not_of(white_space) - first + 1);
}

/** Splits the text at the separator characters that are outside of strings, objects and arrays.
 * @return nothing if quotes or brackets do not match. */
std::optional<std::vector<std::string_view>> split(std::string_view text, char separator)
{
    std::vector<std::string_view> out;
    structure_scanner scanner;
    std::size_t begin = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (!scanner.advance(text[i]) || out.size() > max_values) {
            return std::nullopt;
        }
        if (text[i] == separator && scanner.at_top()) {
            out.push_back(text.substr(begin, i - begin));
            begin = i + 1;
        }
    }
    if (!scanner.at_top()) {
        return std::nullopt;
    }
    out.push_back(text.substr(begin));
    return out;
}

/** @return the members of an object or the elements of an array, or nothing if the text is not
 * enclosed in these brackets. */
std::optional<std::vector<std::string_view>> split_members(std::string_view text, char open,
                                                           char close)
{
    text = trim(text);
    if (text.size() < 2 || text.front() != open || text.back() != close) {
        return std::nullopt;
    }
    const std::string_view content = trim(text.substr(1, text.size() - 2));
    return content.empty() ? std::vector<std::string_view>{} : split(content, ',');
}

nlohmann::json parse_or_discard(std::string_view text)
{
    auto parsed = parse_untrusted(text);
    return parsed ? std::move(*parsed) : nlohmann::json(nlohmann::json::value_t::discarded);
}

/** @param values_left number of values that may still be parsed; reduced by those of the text. */
nlohmann::json parse_within(std::string_view text, std::size_t& values_left)
{
    structure_scanner scanner;
    for (const char c : text) {
        scanner.advance(c);
    }
    if (scanner.values() >= values_left) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    values_left -= scanner.values() + 1;
    return parse_or_discard(text);
}

nlohmann::json parse_member(std::string_view text, std::size_t& values_left)
{
    const auto elements = split_members(text, '[', ']');
    if (!elements) {
        return parse_within(text, values_left);
    }
    auto out = nlohmann::json::array();
    for (const std::string_view element : *elements) {
        out.push_back(parse_within(element, values_left));
    }
    return out;
}

} // namespace

std::optional<nlohmann::json> parse_untrusted(std::string_view text)
{
    if (exceeds_limits(text)) {
        return std::nullopt;
    }
    constexpr bool allow_exceptions = false;
    auto parsed = nlohmann::json::parse(text, nullptr, allow_exceptions);
    if (parsed.is_discarded()) {
        return std::nullopt;
    }
    return parsed;
}

std::optional<nlohmann::json> parse_untrusted_lists(std::string_view text)
{
    if (auto whole = parse_untrusted(text)) {
        if (!whole->is_object()) {
            return std::nullopt;
        }
        return whole;
    }
    const auto members = split_members(text, '{', '}');
    if (!members) {
        return std::nullopt;
    }
    auto out = nlohmann::json::object();
    std::size_t values_left = max_values;
    for (const std::string_view member : *members) {
        const std::size_t name_end = member.find('"', member.find('"') + 1);
        const std::size_t colon = member.find(':', name_end);
        if (name_end == std::string_view::npos || colon == std::string_view::npos) {
            return std::nullopt;
        }
        const auto name = parse_untrusted(member.substr(0, colon));
        if (!name || !name->is_string()) {
            return std::nullopt;
        }
        out[name->get<std::string>()] = parse_member(member.substr(colon + 1), values_left);
    }
    return out;
}

std::optional<std::string_view> find_member(std::string_view object, std::string_view name)
{
    for (const std::string_view member :
         split_members(object, '{', '}').value_or(std::vector<std::string_view>{})) {
        const std::size_t first = member.find('"');
        const std::size_t last = member.find('"', first + 1);
        const std::size_t colon = member.find(':', last);
        if (last != std::string_view::npos && colon != std::string_view::npos &&
            member.substr(first + 1, last - first - 1) == name) {
            return trim(member.substr(colon + 1));
        }
    }
    return std::nullopt;
}

std::optional<std::int64_t> to_int64(const nlohmann::json& number)
{
    constexpr std::uint64_t max = std::numeric_limits<std::int64_t>::max();
    const bool in_range = number.is_number_integer() &&
                          (!number.is_number_unsigned() || number.get<std::uint64_t>() <= max);
    return in_range ? std::optional{number.get<std::int64_t>()} : std::nullopt;
}

bool is_utf8(std::string_view text) noexcept
{
    const auto is_continuation = [](char c) { return (static_cast<unsigned char>(c) >> 6U) == 2; };
    for (std::size_t i = 0; i < text.size();) {
        const auto lead = static_cast<unsigned char>(text[i]);
        const std::size_t size = lead < 0x80   ? 1
                                 : lead < 0xc2 ? 0
                                 : lead < 0xe0 ? 2
                                 : lead < 0xf0 ? 3
                                 : lead < 0xf5 ? 4
                                               : 0;
        if (size == 0 || text.size() - i < size ||
            !std::ranges::all_of(text.substr(i + 1, size - 1), is_continuation)) {
            return false;
        }
        // Overlong encodings, surrogates and code points above U+10FFFF differ in the second byte.
        const auto second = size > 2 ? static_cast<unsigned char>(text[i + 1]) : 0U;
        if ((lead == 0xe0 && second < 0xa0) || (lead == 0xed && second > 0x9f) ||
            (lead == 0xf0 && second < 0x90) || (lead == 0xf4 && second > 0x8f)) {
            return false;
        }
        i += size;
    }
    return true;
}

} // namespace fescue::json
