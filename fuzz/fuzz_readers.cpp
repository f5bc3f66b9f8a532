/**
 * @file
 * Fuzz target for the parsers of untrusted bytes: frames, messages, the log, settings, the
 * catalogue, relayed orders, and the platform's requests and responses. The first byte of the input
 * selects the parser.
 */

#include "control.h"
#include "documents.h"
#include "fleet/validation.h"
#include "machines.h"
#include "orders.h"

#include "fescuestream/base/codec.h"
#include "fescuestream/catalogue/state.h"
#include "fescuestream/settings/settings.h"
#include "fescuestream/store/store.h"
#include "fescuestream/wire/frame.h"
#include "fescuestream/wire/message.h"

#include <array>
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

/** An order that passes the check can be encoded as a request. */
void fuzz_relayed_order(const std::string& bytes)
{
    const auto parsed = from_bytes<fleet::addressed_order>(bytes);
    if (!ok(parsed) || fleet::check_order(value(parsed).to, value(parsed).order)) {
        return;
    }
    struct encoder {
        const fleet::server_address& to;
        void operator()(const fleet::start_order& o) const { platform::make_start_request(to, o); }
        void operator()(const fleet::stop_order& o) const { platform::make_stop_request(to, o); }
        void operator()(const fleet::poll_order& o) const { platform::make_poll_request(to, o); }
        void operator()(const fleet::throttle_order& o) const
        {
            platform::make_throttle_request(to, o);
        }
    };
    std::visit(encoder{value(parsed).to}, value(parsed).order);
}

void fuzz_relayed_answer(const std::string& bytes)
{
    const auto answer = from_bytes<fleet::server_answer>(bytes);
    if (ok(answer)) {
        fleet::check_answer(value(answer));
    }
    const auto report = from_bytes<jobs::server_report>(bytes);
    if (ok(report)) {
        fleet::check_report(value(report));
    }
}

/** Whatever a server's response holds, an entry that is taken passes the check for peers. */
void fuzz_server_response(const std::string& bytes)
{
    http::client_response response;
    response.outcome = http::delivery::answered;
    response.status = 200;
    response.body = bytes;
    const auto poll = platform::parse_poll_reply(response);
    if (ok(poll) && fleet::check_poll_reply(value(poll))) {
        __builtin_trap();
    }
    platform::parse_order_reply(response);
    const auto page = platform::parse_machine_page(response);
    if (ok(page)) {
        for (const auto& machine : value(page).machines) {
            if (fleet::check_machine(machine)) {
                __builtin_trap();
            }
        }
    }
    response.status = 409;
    platform::parse_machine_reply(response);
}

void fuzz_control_request(const std::string& bytes)
{
    constexpr std::array<std::pair<const char*, const char*>, 3> requests{
        {{"PUT", "/instances/i-1"}, {"PUT", "/config"}, {"POST", "/wave-start"}}};
    for (const auto& [method, path] : requests) {
        platform::parse_control_request(method, path, bytes);
    }
    platform::parse_control_request("PUT", "/instances/" + bytes, bytes);
    platform::parse_job(bytes);
    platform::make_maintenance_request("127.0.0.1:1", bytes, bytes, {bytes, 1});
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT
{
    if (size == 0) {
        return 0;
    }
    const std::string bytes{reinterpret_cast<const char*>(data) + 1, size - 1}; // NOLINT
    switch (data[0] % 10) {
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
    case 5:
        fuzz_relayed_order(bytes);
        break;
    case 6:
        fuzz_relayed_answer(bytes);
        break;
    case 7:
        fuzz_server_response(bytes);
        break;
    case 8:
        fuzz_control_request(bytes);
        break;
    default:
        catalogue::decode(bytes);
        catalogue::decode_state(bytes);
    }
    return 0;
}
