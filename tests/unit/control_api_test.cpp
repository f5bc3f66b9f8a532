#include "fleet/control_api.h"
#include "platform.h"

#include <doctest/doctest.h>

#include <thread>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int ok_status = 200;
constexpr int service_unavailable = 503;
const instance_id self{"127.0.0.1"};

/** A leader without a majority stays leader until the proposals have timed out. */
constexpr consensus::timing patient{.election = milliseconds{3000}};

std::string make_document(int version)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"services":[{"name":"p"}],"routes":[{"name":"q","host":"h","path_prefix":"/",)"
           R"("service":"p","timeout_ms":1000}],"tenants":[]})";
}

/** A leader whose log commits alone, or waits for a second voter that never answers. */
class configured_leader {
public:
    explicit configured_leader(bool commits)
    {
        settings.id = self;
        wire.parse_control_request = [this, parse = wire.parse_control_request](
                                         const std::string& method, const std::string& path,
                                         const std::string& body) {
            ++documents_parsed;
            std::this_thread::sleep_for(reading_takes);
            return parse(method, path, body);
        };
        log.replica().form(7, loop.now());
        run_until([this] { return log.replica().settled(); });
        if (!commits) {
            auto voters = log.replica().voters();
            voters.voters.push_back({instance_id{"127.0.0.2"}, 2});
            REQUIRE(log.replica().propose_configuration(voters));
        }
    }

    /** Puts a document; its reply status is added to statuses. */
    void put(const std::string& text)
    {
        wire::forwarded_call call;
        call.method = "PUT";
        call.path = "/config";
        call.body = text;
        control.handle_call(
            call, [this](wire::forwarded_reply&& reply) { statuses.push_back(reply.status); });
    }

    /** Runs until the documents that were put are in the log. */
    void run_until_proposed(log_index count_before)
    {
        run_until([&] { return log.replica().last_index() > count_before; });
        // A further proposal would follow in the next iterations.
        const auto stop = loop.after(20ms, [this] { loop.stop(); });
        loop.run();
    }

    void run_until(const std::function<bool()>& condition)
    {
        const mono_time end = loop.now() + 3s;
        while (!condition() && loop.now() < end) {
            const auto stop = loop.after(5ms, [this] { loop.stop(); });
            loop.run();
        }
        REQUIRE(condition());
    }

    std::vector<int> statuses;
    int documents_parsed{0};
    milliseconds reading_takes{0};
    /** Number of entries of each append request that was sent. */
    std::vector<std::size_t> entries_sent;
    event_loop loop;
    settings::job_service_settings settings;
    protocol wire{platform::make_protocol()};
    http::client client{loop};
    relay orders{loop, client, wire,
                 [](const instance_id&, const wire::message&) { return false; }};
    metrics counters;
    job_log log{loop,
                self,
                1,
                replication::any_store{store::memory_store{}},
                {},
                {[this](const instance_id&, const wire::message& m) {
                     if (const auto* append = std::get_if<consensus::append_request>(&m)) {
                         entries_sent.push_back(append->entries.size());
                     }
                     return true;
                 },
                 [](const jobs::command&, const jobs::outcome&) {}, [] {}, [](const error&) {}},
                {},
                patient};
    core_context context{loop, settings, wire, client, orders, log, counters};
    run_driver driver{context, [] {}};
    control_api control{context, driver, [](const jobs::server_report&) {}};
};

} // namespace

TEST_CASE("control api: a document that is put again while it is on its way is not proposed again")
{
    configured_leader leader{true};
    const log_index before = leader.log.replica().last_index();
    leader.put(make_document(1));
    leader.put(make_document(1));
    leader.run_until_proposed(before);
    CHECK(leader.log.replica().last_index() == before + 1);
    CHECK(leader.documents_parsed == 1);
    leader.run_until([&] { return leader.statuses.size() == 2; });
    CHECK(leader.statuses == std::vector<int>{ok_status, ok_status});
}

TEST_CASE("control api: a document whose first order timed out is not proposed again")
{
    configured_leader leader{false};
    const log_index before = leader.log.replica().last_index();
    leader.put(make_document(1));
    leader.run_until_proposed(before);
    const log_index proposed = leader.log.replica().last_index();
    CHECK(proposed == before + 1);
    leader.put(make_document(1));
    leader.run_until([&] { return leader.statuses.size() == 2; });
    CHECK(leader.statuses == std::vector<int>(2, service_unavailable));
    CHECK(leader.log.replica().last_index() == proposed);
    REQUIRE(leader.log.replica().is_leader());
    leader.put(make_document(1));
    CHECK(leader.documents_parsed == 1);
    leader.run_until([&] { return leader.statuses.size() == 3; });
    CHECK(leader.log.replica().last_index() == proposed);
    CHECK(leader.statuses.back() == service_unavailable);
}

TEST_CASE("control api: a document equal to the one in force is acknowledged without parsing it")
{
    configured_leader leader{true};
    leader.put(make_document(1));
    leader.run_until([&] { return leader.statuses.size() == 1; });
    const log_index before = leader.log.replica().last_index();
    leader.put(make_document(1));
    CHECK(leader.statuses == std::vector<int>{ok_status, ok_status});
    CHECK(leader.documents_parsed == 1);
    CHECK(leader.log.replica().last_index() == before);
}

TEST_CASE("control api: other content under a version on its way or in force is not taken")
{
    configured_leader leader{true};
    const std::string first = make_document(2);
    const std::string other = first + " ";
    leader.put(first);
    leader.put(other);
    leader.run_until([&] { return leader.statuses.size() == 2; });
    CHECK(leader.log.state().doc.source == first);
    leader.put(other);
    leader.put(make_document(1));
    leader.run_until([&] { return leader.statuses.size() == 4; });
    CHECK(leader.log.state().doc.source == first);
    leader.put(make_document(3));
    leader.run_until([&] { return leader.statuses.size() == 5; });
    CHECK(leader.log.state().doc.source == make_document(3));
    CHECK(leader.statuses == std::vector<int>(5, ok_status));
}

TEST_CASE("control api: a heartbeat is sent between reading a large document and its entry")
{
    configured_leader leader{false};
    leader.log.replica().set_peers({instance_id{"127.0.0.2"}});
    leader.run_until([&] { return !leader.entries_sent.empty(); });
    leader.reading_takes = 300ms;
    leader.entries_sent.clear();
    leader.put(make_document(1));
    leader.run_until([&] { return leader.entries_sent.size() >= 2; });
    CHECK(leader.entries_sent[0] == 0);
    CHECK(leader.entries_sent[1] == 1);
}
