#include "fescuestream/http/server.h"

#include <arpa/inet.h>

#include <charconv>

namespace fescue::http {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";

} // namespace

std::optional<std::string> request::bearer() const
{
    if (!authorization || !authorization->starts_with(bearer_prefix)) {
        return std::nullopt;
    }
    return authorization->substr(bearer_prefix.size());
}

result<endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    endpoint out;
    if (colon == std::string::npos) {
        return error{error_kind::bad_request, "'" + text + "' is not IP:PORT"};
    }
    out.ip = text.substr(0, colon);
    in_addr parsed{};
    const char* first = text.data() + colon + 1;
    const char* last = text.data() + text.size();
    const auto [end, parse_error] = std::from_chars(first, last, out.port);
    const bool port_ok = parse_error == std::errc{} && end == last && out.port != 0;
    // inet_pton() reads up to the first NUL.
    const bool has_nul = out.ip.find('\0') != std::string::npos;
    if (has_nul || inet_pton(AF_INET, out.ip.c_str(), &parsed) != 1 || !port_ok) {
        return error{error_kind::bad_request, "'" + text + "' is not IP:PORT"};
    }
    return out;
}

} // namespace fescue::http
