#include "fescuestream/catalogue/state.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::catalogue;

namespace {

document one_team_document(std::uint32_t limit)
{
    document doc;
    doc.teams[team_id{"north"}] = {1, limit};
    doc.pools[pool_id{"quotes"}] = {};
    return doc;
}

/** A state with one team and the instances a (incarnation 10) and b (incarnation 20). */
control_state make_state(std::uint32_t limit)
{
    control_state s;
    apply(s, 1, order{order_id{"o"}, 1, put_catalogue{0, one_team_document(limit)}});
    apply(s, 2, register_instance{instance_id{"a"}, data_centre_id{"dc"}, 10, true, "", ""});
    apply(s, 3, register_instance{instance_id{"b"}, data_centre_id{"dc"}, 20, true, "", ""});
    return s;
}

set_allotment make_set_allotment(const char* holder, incarnation incarnation_id, epoch_number epoch,
                                 std::uint32_t cap, std::uint32_t counted)
{
    return {team_id{"north"}, instance_id{holder}, incarnation_id, epoch, cap, counted};
}

} // namespace

TEST_CASE(
    "only one of two orders on the same catalogue version succeeds, and a retried order gets its "
    "first result")
{
    control_state s;
    const order first{order_id{"a"}, 1, put_catalogue{0, one_team_document(5)}};
    const order second{order_id{"b"}, 2, put_catalogue{0, one_team_document(7)}};
    CHECK(apply(s, 1, first).version == 1);
    const auto rejected = apply(s, 2, second);
    REQUIRE(rejected.refused);
    CHECK(rejected.refused->kind == error_kind::conflict);
    CHECK(apply(s, 3, first).version == 1);
    CHECK(apply(s, 4, second).refused->kind == error_kind::conflict);
    CHECK(apply(s, 5, order{order_id{"a"}, 9, put_catalogue{1, one_team_document(9)}})
              .refused->kind == error_kind::key_reused);
    CHECK(s.doc.teams.at(team_id{"north"}).upper_limit == 5);
}

TEST_CASE("the sum of allotments stays within the limit, and stale epochs and incarnations are "
          "refused")
{
    control_state s = make_state(10);
    CHECK_FALSE(apply(s, 4, make_set_allotment("a", 10, 0, 6, 6)).refused);
    CHECK(apply(s, 5, make_set_allotment("b", 20, 0, 5, 5)).refused->kind == error_kind::at_limit);
    CHECK(apply(s, 6, make_set_allotment("a", 10, 0, 2, 2)).refused->kind == error_kind::conflict);
    CHECK(apply(s, 7, make_set_allotment("b", 21, 0, 1, 1)).refused->kind == error_kind::conflict);
    // The holder lowers its cap, but six requests still run, so no capacity is free yet.
    CHECK_FALSE(apply(s, 8, make_set_allotment("a", 10, 1, 1, 6)).refused);
    CHECK(apply(s, 9, make_set_allotment("b", 20, 0, 5, 5)).refused);
    CHECK_FALSE(apply(s, 10, make_set_allotment("a", 10, 2, 1, 1)).refused);
    CHECK_FALSE(apply(s, 11, make_set_allotment("b", 20, 0, 9, 9)).refused);
    CHECK(s.counted(team_id{"north"}) == 10);
}

TEST_CASE("the allotment of a crashed incarnation counts against the limit until it is reclaimed")
{
    control_state s = make_state(10);
    apply(s, 4, make_set_allotment("a", 10, 0, 8, 8));
    apply(s, 5, register_instance{instance_id{"a"}, data_centre_id{"dc"}, 11, true, "", ""});
    CHECK(s.counted(team_id{"north"}) == 8);
    CHECK(apply(s, 6, make_set_allotment("b", 20, 0, 3, 3)).refused);
    apply(s, 7, release_orphaned_allotments{instance_id{"a"}, 10});
    CHECK_FALSE(apply(s, 8, make_set_allotment("b", 20, 0, 10, 10)).refused);
}

TEST_CASE("lowering a limit reduces the caps at once and leaves the counted values")
{
    control_state s = make_state(10);
    apply(s, 4, make_set_allotment("a", 10, 0, 6, 6));
    apply(s, 5, make_set_allotment("b", 20, 0, 4, 4));
    apply(s, 6, order{order_id{"low"}, 3, put_catalogue{1, one_team_document(4)}});
    std::uint32_t caps = 0;
    for (const auto& [id, a] : s.allotments.at(team_id{"north"})) {
        caps += a.cap;
    }
    CHECK(caps == 4);
    CHECK(s.counted(team_id{"north"}) == 10);
}

TEST_CASE("a server is assigned to another pool only after draining for it")
{
    control_state s = make_state(1);
    const server_id id{"s1"};
    register_server seen;
    seen.id = id;
    apply(s, 4, seen);
    const pool_id quotes{"quotes"};
    const pool_id spare{"spare"};
    CHECK_FALSE(apply(s, 5, move_server{id, move_step::assign, 1, quotes}).refused);
    CHECK(apply(s, 6, move_server{id, move_step::assign, 2, spare}).refused);
    CHECK_FALSE(apply(s, 7, move_server{id, move_step::drain, 2, spare}).refused);
    CHECK(apply(s, 8, move_server{id, move_step::assign, 2, spare}).refused);
    CHECK_FALSE(apply(s, 9, move_server{id, move_step::assign, 3, spare}).refused);
    CHECK(s.servers.at(id).pool == spare);
    CHECK(s.servers.at(id).epoch == 4);
}

TEST_CASE("a claim is recorded once, answered once, and released if the request was not run")
{
    control_state s = make_state(1);
    const claim_id id{team_id{"north"}, "pay-1"};
    const begin_claim own_request{id, request_id{"r1"}, 5, 100, 200};
    const begin_claim other_request{id, request_id{"r2"}, 5, 100, 200};
    CHECK(apply(s, 4, own_request).claimed_by_request);
    CHECK(apply(s, 5, own_request).claimed_by_request);
    CHECK_FALSE(apply(s, 6, other_request).claimed_by_request);
    CHECK(apply(s, 7, end_claim{id, request_id{"r2"}, claim_outcome::not_run, 0, "", ""}).refused);
    apply(s, 8, end_claim{id, request_id{"r1"}, claim_outcome::answered, 200, "t", "body"});
    apply(s, 9, end_claim{id, request_id{"r1"}, claim_outcome::not_run, 0, "", ""});
    const auto found = apply(s, 10, other_request).stored_claim;
    REQUIRE(found);
    CHECK(found->outcome == claim_outcome::answered);
    CHECK(found->body == "body");
    const claim_id other_id{team_id{"north"}, "pay-2"};
    apply(s, 11, begin_claim{other_id, request_id{"r3"}, 5, 100, 200});
    apply(s, 12, end_claim{other_id, request_id{"r3"}, claim_outcome::not_run, 0, "", ""});
    CHECK(apply(s, 13, begin_claim{other_id, request_id{"r4"}, 5, 100, 200}).claimed_by_request);
}

TEST_CASE("stored answers stay within their size limit, and a claim outlives its evicted answer")
{
    control_state s = make_state(1);
    log_index index = 3;
    const std::string body(max_stored_answer_size, 'x');
    const auto id = [](int n) { return claim_id{team_id{"north"}, std::to_string(n)}; };
    for (int n = 0; n < 300; ++n) {
        const request_id request{std::to_string(n)};
        apply(s, ++index, begin_claim{id(n), request, 1, 100, 200});
        apply(s, ++index, end_claim{id(n), request, claim_outcome::answered, 200, "", body});
        REQUIRE(s.stored_answer_bytes <= max_stored_answer_bytes);
    }
    const auto oldest = apply(s, ++index, begin_claim{id(0), request_id{"again"}, 1, 100, 200});
    CHECK_FALSE(oldest.claimed_by_request);
    CHECK(oldest.stored_claim->outcome == claim_outcome::unknown);
    const auto newest = apply(s, ++index, begin_claim{id(299), request_id{"again"}, 1, 100, 200});
    CHECK(newest.stored_claim->body == body);
}

TEST_CASE("an encoded state decodes to the same state, and truncated bytes are refused")
{
    control_state s = make_state(10);
    apply(s, 4, make_set_allotment("a", 10, 0, 6, 6));
    const std::string bytes = encode_state(s);
    const auto decoded = decode_state(bytes);
    REQUIRE(ok(decoded));
    CHECK(encode_state(value(decoded)) == bytes);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(ok(decode_state(bytes.substr(0, length))));
    }
}
