#include "protocol.h"

#include <array>

namespace fescue::fleet {

std::string_view name_of(order_result r) noexcept
{
    constexpr std::array<std::string_view, 11> names{
        "accepted",  "fenced",       "outdated",  "too_late", "no_room", "no_ticket",
        "unhealthy", "wrong_server", "malformed", "not_sent", "unknown"};
    return names[static_cast<std::size_t>(r)];
}

std::string_view name_of(machine_result r) noexcept
{
    constexpr std::array<std::string_view, 7> names{
        "accepted", "fenced", "busy", "not_in_wave", "no_such_machine", "throttled", "unknown"};
    return names[static_cast<std::size_t>(r)];
}

} // namespace fescue::fleet
