#include "fescuestream/json/untrusted.h"

#include <algorithm>
#include <limits>

namespace fescue::json {

namespace {

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

private:
    bool in_string_{false};
    bool escaped_{false};
    std::size_t depth_{0};
};

bool exceeds_max_depth(std::string_view text) noexcept
{
    structure_scanner scanner;
    for (const char c : text) {
        if (!scanner.advance(c) || scanner.depth() > max_depth) {
            return true;
        }
    }
    return false;
}

} // namespace

std::optional<nlohmann::json> parse_untrusted(std::string_view text)
{
    if (exceeds_max_depth(text)) {
        return std::nullopt;
    }
    constexpr bool allow_exceptions = false;
    auto parsed = nlohmann::json::parse(text, nullptr, allow_exceptions);
    if (parsed.is_discarded()) {
        return std::nullopt;
    }
    return parsed;
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
