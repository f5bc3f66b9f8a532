#include "fescuestream/dispatch/router.h"
#include "fescuestream/dispatch/server_table.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::dispatch;

namespace {

const pool_id quotes{"quotes"};
const mono_time start{std::chrono::hours{1}};

wire::announcement server(const std::string& id, std::uint32_t slots = 2)
{
    wire::announcement a;
    a.id = server_id{id};
    a.incarnation_id = 1;
    a.slots = slots;
    a.connections = 64;
    return a;
}

server_permission all_allowed(const server_id& /*id*/)
{
    return {true, quotes, 1};
}

running_task task(mono_time ends_by = mono_time::max())
{
    running_task t;
    t.team = team_id{"north"};
    t.pool = quotes;
    t.ends_by = ends_by;
    return t;
}

} // namespace

TEST_CASE("a server that is leaving or whose lease expired gets no new work")
{
    server_table table;
    table.record_announcement(server("s1"), start);
    CHECK(table.choose(quotes, {}, start, all_allowed));
    CHECK_FALSE(table.choose(quotes, {}, start + server_lease, all_allowed));
    auto leaving = server("s1");
    leaving.leaving = true;
    table.record_announcement(leaving, start);
    CHECK_FALSE(table.choose(quotes, {}, start, all_allowed));
}

TEST_CASE("slots are never exceeded, including tasks of another home")
{
    server_table table;
    auto a = server("s1");
    a.running = {request_id{"theirs"}};
    table.record_announcement(a, start);
    table.add_task(server_id{"s1"}, request_id{"ours"}, task());
    CHECK_FALSE(table.choose(quotes, {}, start, all_allowed));
    a.running = {request_id{"ours"}};
    table.record_announcement(a, start);
    CHECK(table.choose(quotes, {}, start, all_allowed));
}

TEST_CASE("an ended task in a delayed announcement does not count as another home's task")
{
    server_table table;
    auto a = server("s1", 1);
    table.record_announcement(a, start);
    table.add_task(a.id, request_id{"r"}, task());
    CHECK(table.remove_task(a.id, request_id{"r"}, start));
    a.running = {request_id{"r"}};
    table.record_announcement(a, start + milliseconds{10});
    CHECK(table.choose(quotes, {}, start + milliseconds{10}, all_allowed));
}

TEST_CASE("a lost task keeps its slot until two announcements omit it or its time limit passes")
{
    server_table table;
    auto a = server("s1", 1);
    table.record_announcement(a, start);
    table.add_task(a.id, request_id{"r"}, task(start + std::chrono::seconds{8}));
    table.mark_lost(a.id, request_id{"r"}, start);
    CHECK(table.record_announcement(a, start + milliseconds{100}).empty());
    CHECK(table.record_announcement(a, start + milliseconds{1100}).empty());
    a.running = {request_id{"r"}};
    CHECK(table.record_announcement(a, start + milliseconds{2100}).empty());
    a.running.clear();
    CHECK(table.record_announcement(a, start + milliseconds{3100}).empty());
    CHECK(table.record_announcement(a, start + milliseconds{4100}).size() == 1);
    table.add_task(a.id, request_id{"q"}, task(start + std::chrono::seconds{8}));
    table.mark_lost(a.id, request_id{"q"}, start);
    CHECK(table.expire(start + std::chrono::seconds{7}).empty());
    CHECK(table.expire(start + std::chrono::seconds{8}).size() == 1);
}

TEST_CASE("a failing server gets single trials, and at most half of a pool is on probation")
{
    server_table table;
    for (const char* id : {"s1", "s2", "s3", "s4"}) {
        table.record_announcement(server(id), start);
        table.add_task(server_id{id}, request_id{id}, task());
        table.remove_task(server_id{id}, request_id{id}, start);
    }
    for (const char* id : {"s1", "s2", "s3", "s4"}) {
        for (int i = 0; i < 10; ++i) {
            table.record_outcome(server_id{id}, attempt_outcome::failed, start);
        }
    }
    int on_probation = 0;
    for (const auto& [id, s] : table.all()) {
        on_probation += s.on_probation() ? 1 : 0;
    }
    CHECK(on_probation == 2);
    const mono_time later = start + probation_retry_delay;
    table.record_announcement(server("s1"), later);
    const std::set<server_id> others{server_id{"s2"}, server_id{"s3"}, server_id{"s4"}};
    CHECK_FALSE(table.choose(quotes, others, start, all_allowed));
    REQUIRE(table.choose(quotes, others, later, all_allowed));
    table.add_task(server_id{"s1"}, request_id{"trial"}, task());
    CHECK_FALSE(table.choose(quotes, others, later, all_allowed));
    table.record_outcome(server_id{"s1"}, attempt_outcome::answered, later);
    CHECK(table.choose(quotes, others, later, all_allowed));
}

TEST_CASE("retries stay within a tenth of the traffic plus the initial credit")
{
    retry_budget budget;
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        budget.add_credit();
        retries += budget.try_spend() ? 1 : 0;
    }
    CHECK(retries <= 10'000 / 10 + 10);
    CHECK(retries >= 10'000 / 10 - 1);
}

TEST_CASE("the router chooses by load, avoids homes that refused, and ignores expired reports")
{
    router r;
    const instance_id self{"a"};
    const instance_id other{"b"};
    wire::load_report load;
    load.accepting = true;
    load.pools = {{quotes, 10, 10, 0}};
    r.update(self, load, start);
    r.update(other, load, start);
    CHECK(r.choose(quotes, self, {}, start) == self);
    for (int i = 0; i < 5; ++i) {
        r.record_sent(self, quotes);
    }
    CHECK(r.choose(quotes, self, {}, start) == other);
    CHECK(r.choose(quotes, self, {other}, start) == self);
    CHECK_FALSE(r.choose(quotes, self, {}, start + load_report_max_age * 2));
    load.accepting = false;
    r.update(other, load, start);
    CHECK_FALSE(r.choose(quotes, self, {self}, start));
}
