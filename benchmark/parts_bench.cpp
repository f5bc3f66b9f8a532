/**
 * @file
 * Costs of single parts, for docs/PERFORMANCE.md and the slopes of docs/CAPACITY.md.
 */

#include "measure.h"

#include "fescuestream/admission/allotment.h"
#include "fescuestream/admission/caller_key.h"
#include "fescuestream/base/codec.h"
#include "fescuestream/catalogue/state.h"
#include "fescuestream/store/store.h"
#include "fescuestream/wire/frame.h"
#include "fescuestream/wire/message.h"

#include <fmt/format.h>

#include <cstdlib>
#include <filesystem>

using namespace fescue;
using benchmark::resident_mb;

namespace {

template <class F>
double microseconds_each(int times, F&& f)
{
    const auto began = mono_clock::now();
    for (int i = 0; i < times; ++i) {
        f(i);
    }
    return std::chrono::duration<double, std::micro>(mono_clock::now() - began).count() / times;
}

void frames()
{
    const auto key = wire::derive_key("secret", "bench");
    wire::frame_writer writer{key};
    for (const std::size_t size : {64U, 1024U, 65536U}) {
        const std::string payload(size, 'x');
        const double cost = microseconds_each(20'000, [&](int) { writer.write(payload); });
        fmt::print("frame with keyed hash, {} bytes: {:.2f} us\n", size, cost);
    }
}

void log_commits()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "fescue-bench-XXXXXX").string();
    const std::string folder = ::mkdtemp(pattern.data());
    {
        auto opened = store::disk_store::open(folder);
        auto& disk = value(opened);
        log_index next = 1;
        const auto sync_of = [&](int batch) {
            return microseconds_each(300, [&](int) {
                for (int i = 0; i < batch; ++i) {
                    disk.append({1, next++, store::entry_kind::command, std::string(200, 'x')});
                }
                if (disk.sync()) {
                    std::abort();
                }
            });
        };
        for (const int batch : {1, 16, 128}) {
            fmt::print("log sync of {} entries: {:.1f} us\n", batch, sync_of(batch));
        }
    }
    std::filesystem::remove_all(folder);
}

/** State, command and snapshot sizes for a number of servers; all else grows with them. */
void state_of(int servers)
{
    const double before = resident_mb();
    catalogue::control_state state;
    log_index index = 0;
    const double each = microseconds_each(servers, [&](int i) {
        catalogue::server_seen seen{server_id{"server-" + std::to_string(i)},
                                    data_centre_id{"dc-" + std::to_string(i % 44)},
                                    rack_id{"rack-" + std::to_string(i / 4)},
                                    "10.0.0.1:9000",
                                    8,
                                    64,
                                    131072,
                                    2};
        catalogue::apply(state, ++index, seen);
    });
    std::string bytes;
    const double snapshot =
        microseconds_each(1, [&](int) { bytes = catalogue::encode_state(state); });
    const double load = microseconds_each(1, [&](int) { catalogue::decode_state(bytes); });
    fmt::print("state of {} servers: {:.1f} us an apply, {:.1f} MB in memory, snapshot {:.2f} MB, "
               "{:.1f} ms to write, {:.1f} ms to read\n",
               servers, each, resident_mb() - before, bytes.size() / 1e6, snapshot / 1e3,
               load / 1e3);
}

void allotments(int teams, int holders)
{
    catalogue::control_state state;
    log_index index = 0;
    std::map<instance_id, admission::holder_view> views;
    for (int i = 0; i < holders; ++i) {
        const instance_id id{"entry-" + std::to_string(i)};
        catalogue::apply(state, ++index,
                         catalogue::instance_joined{id, data_centre_id{"dc"}, 1, true, "", ""});
        views[id].life = 1;
        views[id].is_home = true;
    }
    for (int t = 0; t < teams; ++t) {
        const team_id team{"team-" + std::to_string(t)};
        state.doc.teams[team] = {1, 1000};
        for (auto& [id, view] : views) {
            view.uses[team] = {team, 0, 0, 3, 2};
        }
    }
    const double cost = microseconds_each(
        20, [&](int) { return admission::plan_allotments(state, views).changes.size(); });
    fmt::print("allotment round of {} teams over {} instances: {:.0f} us\n", teams, holders, cost);
}

void messages()
{
    wire::announcement a;
    a.id = server_id{"server-12345"};
    a.address = "10.20.30.40:9000";
    a.data_centre = data_centre_id{"dc-12"};
    a.rack = rack_id{"rack-1234"};
    for (int i = 0; i < 8; ++i) {
        a.running.emplace_back("entry-1-24cb156e44c313c7-123456");
    }
    wire::server_use use{server_id{"server-12345"}, 1, 8, false, true, false, 2};
    wire::allotment_use held{team_id{"team-123"}, 1, 10, 5, 0};
    wire::heartbeat beat{instance_id{"entry-12"}, 1, 2, 3000, {}};
    for (int i = 0; i < 5; ++i) {
        beat.hears.emplace_back("entry-1" + std::to_string(i));
    }
    catalogue::order order{order_id{"ctl-0123456789abcdef01234567"}, 1,
                           catalogue::give_key{key_id{"0123456789abcdef"}, team_id{"team-1"}, {}}};
    fmt::print(
        "bytes: announcement {}, a server in a report {}, a team in a report {}, heartbeat {} "
        "(5 heard), order {}\n",
        to_bytes(a).size(), to_bytes(use).size(), to_bytes(held).size(), to_bytes(beat).size(),
        catalogue::encode(order).size());
}

void keys()
{
    catalogue::control_state state;
    std::vector<std::string> texts;
    for (int i = 0; i < 10'000; ++i) {
        const key_id id = admission::new_key_id();
        texts.push_back(admission::key_text("secret", id));
        state.keys[id] = {team_id{"north"}, admission::hash_of(texts.back())};
    }
    const double cost = microseconds_each(10'000, [&](int i) {
        if (!admission::find_key(state, texts[static_cast<std::size_t>(i)])) {
            std::abort();
        }
    });
    fmt::print("check of a caller's key among 10000: {:.2f} us\n", cost);
}

} // namespace

int main()
{
    wire::start_crypto();
    frames();
    keys();
    log_commits();
    messages();
    for (const int servers : {4000, 8000, 16000, 32000}) {
        state_of(servers);
    }
    allotments(3, 6);
    allotments(42, 22);
    allotments(85, 44);
    allotments(170, 88);
    return 0;
}
