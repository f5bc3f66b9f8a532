#include "fescuestream/base/codec.h"
#include "fescuestream/catalogue/state.h"

namespace fescue::catalogue {

std::string encode(const command& cmd)
{
    return to_bytes(cmd);
}

result<command> decode(const std::string& bytes)
{
    return from_bytes<command>(bytes);
}

std::string encode_state(const control_state& state)
{
    return to_bytes(state);
}

result<control_state> decode_state(const std::string& bytes)
{
    return from_bytes<control_state>(bytes);
}

} // namespace fescue::catalogue
