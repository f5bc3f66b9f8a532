#include "refusal.h"

#include <nlohmann/json.hpp>

namespace fescue::fleet {

wire::forwarded_reply refusal(int status, std::string_view kind, std::string_view why)
{
    using nlohmann::json;
    wire::forwarded_reply out;
    out.status = status;
    // The reason may quote what the caller sent, which need not be proper text.
    out.body = json{{"error", kind}, {"message", why}}.dump(-1, ' ', false,
                                                            json::error_handler_t::replace);
    return out;
}

} // namespace fescue::fleet
