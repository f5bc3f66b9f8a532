/**
 * @file
 * Fuzz target for whatever reads bytes from outside: frames, messages, the log, settings and the
 * catalogue. The first byte chooses the reader.
 */

#include "fescuestream/base/codec.h"
#include "fescuestream/catalogue/state.h"
#include "fescuestream/settings/settings.h"
#include "fescuestream/store/store.h"
#include "fescuestream/wire/frame.h"
#include "fescuestream/wire/message.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace fescue;

namespace {

void read_frames(const std::string& bytes)
{
    const auto key = wire::derive_key("secret", "fuzz");
    wire::frame_reader reader{key};
    reader.append(bytes);
    while (true) {
        const auto next = reader.next();
        if (!ok(next) || !value(next)) {
            return;
        }
    }
}

/** What was read must give the same bytes when it is written. */
void read_log_entries(const std::string& bytes)
{
    const auto found = store::read_log(store::make_record(bytes));
    if (ok(found)) {
        for (const auto& entry : value(found).entries) {
            const auto again = from_bytes<store::log_entry>(to_bytes(entry));
            if (!ok(again) || value(again).bytes != entry.bytes) {
                __builtin_trap();
            }
        }
    }
    store::read_log(bytes);
}

void read_catalogue(const std::string& bytes)
{
    const auto parsed = catalogue::parse(bytes);
    const auto* doc = std::get_if<catalogue::document>(&parsed);
    if (doc == nullptr) {
        return;
    }
    const auto again = catalogue::parse(catalogue::to_json(*doc));
    if (!std::holds_alternative<catalogue::document>(again)) {
        __builtin_trap();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT
{
    if (size == 0) {
        return 0;
    }
    const std::string bytes{reinterpret_cast<const char*>(data) + 1, size - 1}; // NOLINT
    switch (data[0] % 6) {
    case 0:
        read_frames(bytes);
        break;
    case 1:
        from_bytes<wire::message>(bytes);
        break;
    case 2:
        read_log_entries(bytes);
        break;
    case 3:
        settings::parse(bytes);
        break;
    case 4:
        read_catalogue(bytes);
        break;
    default:
        catalogue::decode(bytes);
        catalogue::decode_state(bytes);
    }
    return 0;
}
