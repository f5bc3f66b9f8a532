/**
 * @file
 * Fuzz target for the parsers of untrusted bytes: frames, messages, the log, settings and the
 * catalogue. The first byte of the input selects the parser.
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

void fuzz_frame_reader(const std::string& bytes)
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

/** A parsed log entry must survive a round trip through its encoding unchanged. */
void fuzz_log_reader(const std::string& bytes)
{
    const auto parsed = store::read_log(store::make_record(bytes));
    if (ok(parsed)) {
        for (const auto& entry : value(parsed).entries) {
            const auto reparsed = from_bytes<store::log_entry>(to_bytes(entry));
            if (!ok(reparsed) || value(reparsed).bytes != entry.bytes) {
                __builtin_trap();
            }
        }
    }
    store::read_log(bytes);
}

/** A valid catalogue must parse again after it is written as JSON. */
void fuzz_catalogue(const std::string& bytes)
{
    const auto parsed = catalogue::parse(bytes);
    const auto* doc = std::get_if<catalogue::document>(&parsed);
    if (doc == nullptr) {
        return;
    }
    const auto reparsed = catalogue::parse(catalogue::to_json(*doc));
    if (!std::holds_alternative<catalogue::document>(reparsed)) {
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
        fuzz_frame_reader(bytes);
        break;
    case 1:
        from_bytes<wire::message>(bytes);
        break;
    case 2:
        fuzz_log_reader(bytes);
        break;
    case 3:
        settings::parse(bytes);
        break;
    case 4:
        fuzz_catalogue(bytes);
        break;
    default:
        catalogue::decode(bytes);
        catalogue::decode_state(bytes);
    }
    return 0;
}
