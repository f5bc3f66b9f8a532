#include "error_reply.h"

#include <nlohmann/json.hpp>

namespace fescue::fleet {

wire::forwarded_reply error_reply(int status, std::string_view kind, std::string_view message)
{
    using nlohmann::json;
    wire::forwarded_reply out;
    out.status = status;
    // The message may quote the caller's input, which need not be valid UTF-8.
    out.body = json{{"error", kind}, {"message", message}}.dump(-1, ' ', false,
                                                                json::error_handler_t::replace);
    return out;
}

} // namespace fescue::fleet
