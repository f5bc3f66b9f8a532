#include "fescuestream/json/untrusted.h"

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

} // namespace fescue::json
