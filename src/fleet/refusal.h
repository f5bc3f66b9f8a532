#pragma once

#include "fescuestream/base/error.h"
#include "fescuestream/wire/message.h"

#include <string_view>

namespace fescue::fleet {

/** @return an answer that tells the caller, in JSON, what kind of error it was and why. */
wire::forwarded_reply refusal(int status, std::string_view kind, std::string_view why);
inline wire::forwarded_reply refusal(int status, const error& why)
{
    return refusal(status, name_of(why.kind), why.detail);
}

} // namespace fescue::fleet
