/**
 * @file
 * Micro-benchmarks of single components, for docs/PERFORMANCE.md and the growth rates in
 * docs/CAPACITY.md.
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

template <class function_type>
double microseconds_per_call(int iterations, function_type&& function)
{
    const auto started_at = mono_clock::now();
    for (int i = 0; i < iterations; ++i) {
        function(i);
    }
    return std::chrono::duration<double, std::micro>(mono_clock::now() - started_at).count() /
           iterations;
}

void bench_frames()
{
    const auto key = wire::derive_key("secret", "bench");
    wire::frame_writer writer{key};
    for (const std::size_t size : {64U, 1024U, 65536U}) {
        const std::string payload(size, 'x');
        const double cost_us = microseconds_per_call(20'000, [&](int) { writer.write(payload); });
        fmt::print("frame with keyed hash, {} bytes: {:.2f} us\n", size, cost_us);
    }
}

void bench_log_syncs()
{
    std::string folder_template =
        (std::filesystem::temp_directory_path() / "fescue-bench-XXXXXX").string();
    const std::string folder = ::mkdtemp(folder_template.data());
    {
        auto opened = store::disk_store::open(folder);
        auto& disk = value(opened);
        log_index next = 1;
        const auto measure_sync = [&](int batch) {
            return microseconds_per_call(300, [&](int) {
                for (int i = 0; i < batch; ++i) {
                    disk.append({1, next++, store::entry_kind::command, std::string(200, 'x')});
                }
                if (disk.sync()) {
                    std::abort();
                }
            });
        };
        for (const int batch : {1, 16, 128}) {
            fmt::print("log sync of {} entries: {:.1f} us\n", batch, measure_sync(batch));
        }
    }
    std::filesystem::remove_all(folder);
}

/** Cost and size of the control state and its snapshot, which grow with the number of servers. */
void bench_state(int servers)
{
    const double before = resident_mb();
    catalogue::control_state state;
    log_index index = 0;
    const double apply_cost_us = microseconds_per_call(servers, [&](int i) {
        catalogue::register_server server{server_id{"server-" + std::to_string(i)},
                                          data_centre_id{"dc-" + std::to_string(i % 44)},
                                          rack_id{"rack-" + std::to_string(i / 4)},
                                          "10.0.0.1:9000",
                                          8,
                                          64,
                                          131072,
                                          2};
        catalogue::apply(state, ++index, server);
    });
    std::string bytes;
    const double encode_us =
        microseconds_per_call(1, [&](int) { bytes = catalogue::encode_state(state); });
    const double decode_us = microseconds_per_call(1, [&](int) { catalogue::decode_state(bytes); });
    fmt::print("state of {} servers: {:.1f} us an apply, {:.1f} MB in memory, snapshot {:.2f} MB, "
               "{:.1f} ms to write, {:.1f} ms to read\n",
               servers, apply_cost_us, resident_mb() - before, bytes.size() / 1e6, encode_us / 1e3,
               decode_us / 1e3);
}

void bench_allotments(int teams, int holders)
{
    catalogue::control_state state;
    log_index index = 0;
    std::map<instance_id, admission::holder_view> views;
    for (int i = 0; i < holders; ++i) {
        const instance_id id{"entry-" + std::to_string(i)};
        catalogue::apply(state, ++index,
                         catalogue::register_instance{id, data_centre_id{"dc"}, 1, true, "", ""});
        views[id].incarnation_id = 1;
        views[id].is_home = true;
    }
    for (int t = 0; t < teams; ++t) {
        const team_id team{"team-" + std::to_string(t)};
        state.doc.teams[team] = {1, 1000};
        for (auto& [id, view] : views) {
            view.uses[team] = {team, 0, 0, 3, 2};
        }
    }
    const double cost_us = microseconds_per_call(
        20, [&](int) { return admission::plan_allotments(state, views).changes.size(); });
    fmt::print("allotment round of {} teams over {} instances: {:.0f} us\n", teams, holders,
               cost_us);
}

void print_message_sizes()
{
    wire::announcement announced;
    announced.id = server_id{"server-12345"};
    announced.address = "10.20.30.40:9000";
    announced.data_centre = data_centre_id{"dc-12"};
    announced.rack = rack_id{"rack-1234"};
    for (int i = 0; i < 8; ++i) {
        announced.running.emplace_back("entry-1-24cb156e44c313c7-123456");
    }
    wire::server_usage server_usage{server_id{"server-12345"}, 1, 8, false, true, false, 2};
    wire::allotment_usage team_use{team_id{"team-123"}, 1, 10, 5, 0};
    wire::heartbeat heartbeat{instance_id{"entry-12"}, 1, 2, 3000, {}};
    for (int i = 0; i < 5; ++i) {
        heartbeat.heard_instances.emplace_back("entry-1" + std::to_string(i));
    }
    catalogue::order order{order_id{"ctl-0123456789abcdef01234567"}, 1,
                           catalogue::issue_key{key_id{"0123456789abcdef"}, team_id{"team-1"}, {}}};
    fmt::print(
        "bytes: announcement {}, a server in a report {}, a team in a report {}, heartbeat {} "
        "(5 heard), order {}\n",
        to_bytes(announced).size(), to_bytes(server_usage).size(), to_bytes(team_use).size(),
        to_bytes(heartbeat).size(), catalogue::encode(order).size());
}

void bench_key_lookup()
{
    catalogue::control_state state;
    std::vector<std::string> key_texts;
    for (int i = 0; i < 10'000; ++i) {
        const key_id id = admission::new_key_id();
        key_texts.push_back(admission::format_key("secret", id));
        state.keys[id] = {team_id{"north"}, admission::hash_key(key_texts.back())};
    }
    const double cost_us = microseconds_per_call(10'000, [&](int i) {
        if (!admission::find_key(state, key_texts[static_cast<std::size_t>(i)])) {
            std::abort();
        }
    });
    fmt::print("check of a caller's key among 10000: {:.2f} us\n", cost_us);
}

} // namespace

int main()
{
    wire::start_crypto();
    bench_frames();
    bench_key_lookup();
    bench_log_syncs();
    print_message_sizes();
    for (const int servers : {4000, 8000, 16000, 32000}) {
        bench_state(servers);
    }
    bench_allotments(3, 6);
    bench_allotments(42, 22);
    bench_allotments(85, 44);
    bench_allotments(170, 88);
    return 0;
}
