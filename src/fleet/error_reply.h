#pragma once

#include "fescuestream/base/error.h"
#include "fescuestream/wire/message.h"

#include <string_view>

namespace fescue::fleet {

/** @return a reply with a JSON body that holds the error's kind and message. */
wire::forwarded_reply error_reply(int status, std::string_view kind, std::string_view message);
inline wire::forwarded_reply error_reply(int status, const error& cause)
{
    return error_reply(status, name_of(cause.kind), cause.detail);
}

} // namespace fescue::fleet
