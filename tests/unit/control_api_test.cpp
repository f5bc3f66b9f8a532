#include "fleet/control_api.h"
#include "platform.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int ok_status = 200;
constexpr int service_unavailable = 503;
const instance_id self{"127.0.0.1"};

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
                {[](const instance_id&, const wire::message&) { return false; },
                 [](const jobs::command&, const jobs::outcome&) {}, [] {}, [](const error&) {}}};
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
    CHECK(leader.log.replica().last_index() == before + 1);
    CHECK(leader.documents_parsed == 1);
    leader.run_until([&] { return leader.statuses.size() == 2; });
    CHECK(leader.statuses == std::vector<int>{ok_status, ok_status});
}

TEST_CASE("control api: a document whose first order timed out is not proposed again")
{
    configured_leader leader{false};
    leader.put(make_document(1));
    const log_index proposed = leader.log.replica().last_index();
    leader.run_until([&] { return leader.statuses.size() == 1; });
    REQUIRE(leader.statuses.front() == service_unavailable);
    REQUIRE(leader.log.replica().is_leader());
    leader.put(make_document(1));
    CHECK(leader.log.replica().last_index() == proposed);
    CHECK(leader.documents_parsed == 1);
    leader.run_until([&] { return leader.statuses.size() == 2; });
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
