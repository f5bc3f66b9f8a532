#include "fakes/replica_group.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::consensus;

namespace {

const instance_id self_id{"f"};
const instance_id leader_id{"a"};

std::string encoded_voters()
{
    return to_bytes(configuration{7, {{leader_id, 1}, {self_id, 2}, {instance_id{"b"}, 3}}});
}

store::log_entry entry(term_number term, log_index index)
{
    return {term, index, store::entry_kind::command,
            "c" + std::to_string(index) + "." + std::to_string(term)};
}

append_request append(term_number term, log_index prev_index, term_number prev_term,
                      std::vector<store::log_entry> entries, log_index commit = 0)
{
    append_request out;
    out.term = term;
    out.prev_index = prev_index;
    out.prev_term = prev_term;
    out.entries = std::move(entries);
    out.commit = commit;
    return out;
}

/** A follower with a disk that may refuse a snapshot. */
class refusing_store : public fakes::fake_store<> {
public:
    using fakes::fake_store<>::fake_store;
    status save_snapshot(const store::snapshot& snap, const store::hard_state& hard,
                         const std::vector<store::log_entry>& after)
    {
        if (refuses_snapshots) {
            return error{error_kind::internal, "the disk is full"};
        }
        return fakes::fake_store<>::save_snapshot(snap, hard, after);
    }
    // Static, because the replica owns its store.
    inline static bool refuses_snapshots = false;
};

template <class Store = fakes::fake_store<>>
struct follower {
    std::shared_ptr<fakes::fake_disk> disk = std::make_shared<fakes::fake_disk>();
    mono_time now{std::chrono::hours{1}};
    replica<Store> log{self_id, 2, Store{disk}, {}, "noop", {}, 1, now};
    std::vector<append_reply> replies;
    std::vector<vote_reply> votes;

    follower()
    {
        step(append(1, 0, 0, {{1, 1, store::entry_kind::configuration, encoded_voters()}}));
    }
    void step(const message& m) { log.step(leader_id, m, now); }
    status flush()
    {
        return log.flush(now, {[this](const instance_id&, const message& m) {
                                   if (const auto* reply = std::get_if<append_reply>(&m)) {
                                       replies.push_back(*reply);
                                   } else if (const auto* vote = std::get_if<vote_reply>(&m)) {
                                       votes.push_back(*vote);
                                   }
                               },
                               [](const store::log_entry&) {},
                               [](const store::snapshot&) {},
                               {}});
    }
};

} // namespace

TEST_CASE("a follower that was suspended does not acknowledge entries of a leader's earlier term")
{
    follower<> f;
    REQUIRE_FALSE(f.flush());
    f.replies.clear();
    // All of this is read in one iteration: the leader lost its entries 3 to 5 of term 1 to another
    // leader in term 2, and leads again in term 3.
    f.step(append(1, 1, 1, {entry(1, 2), entry(1, 3), entry(1, 4), entry(1, 5)}));
    f.step(append(3, 2, 1, {entry(3, 3)}));
    REQUIRE_FALSE(f.flush());
    REQUIRE(f.replies.size() == 1);
    CHECK(f.replies.front().matched);
    CHECK(f.replies.front().term == 3);
    CHECK(f.replies.front().match == 3);
}

TEST_CASE("a snapshot does not remove the acknowledged entries that follow it")
{
    follower<> f;
    f.step(append(1, 1, 1, {entry(1, 2), entry(1, 3), entry(1, 4)}, 1));
    REQUIRE_FALSE(f.flush());
    REQUIRE(f.replies.back().match == 4);
    f.step(install_snapshot{2, {3, 1, encoded_voters(), "state"}, 0});
    REQUIRE_FALSE(f.flush());
    CHECK(f.log.last_index() == 4);
    REQUIRE(f.disk->synced.snap);
    CHECK(f.disk->synced.snap->index == 3);
    REQUIRE(f.disk->synced.entries.size() == 1);
    CHECK(f.disk->synced.entries.front().bytes == "c4.1");
}

TEST_CASE("a snapshot removes following entries if the log differs at its index")
{
    follower<> f;
    f.step(append(1, 1, 1, {entry(1, 2), entry(1, 3), entry(1, 4)}, 1));
    REQUIRE_FALSE(f.flush());
    f.step(install_snapshot{3, {3, 2, encoded_voters(), "state"}, 0});
    REQUIRE_FALSE(f.flush());
    CHECK(f.log.last_index() == 3);
    CHECK(f.disk->synced.entries.empty());
}

TEST_CASE("a replica whose disk refused a snapshot acknowledges nothing after it")
{
    follower<refusing_store> f;
    REQUIRE_FALSE(f.flush());
    f.replies.clear();
    refusing_store::refuses_snapshots = true;
    f.step(install_snapshot{1, {10, 1, encoded_voters(), "state"}, 0});
    refusing_store::refuses_snapshots = false;
    f.step(append(1, 10, 1, {entry(1, 11)}, 10));
    CHECK(f.flush());
    CHECK(f.flush());
    CHECK(f.replies.empty());
}

TEST_CASE("a lost reply to a large request is made up for by the reply to an earlier heartbeat")
{
    follower<> f;
    REQUIRE_FALSE(f.flush());
    f.step(append(1, 1, 1, {entry(1, 2), entry(1, 3)}));
    REQUIRE_FALSE(f.flush());
    f.replies.clear();
    f.step(append(1, 1, 1, {}));
    REQUIRE_FALSE(f.flush());
    REQUIRE(f.replies.size() == 1);
    CHECK(f.replies.front().matched);
    CHECK(f.replies.front().match == 3);
}

TEST_CASE(
    "a follower that learns of a higher term keeps its vote for as long as its leader's lease")
{
    const instance_id candidate{"b"};
    follower<> f;
    REQUIRE_FALSE(f.flush());
    // The refusal of a vote for which the follower asked before it followed the leader.
    f.log.step(candidate, vote_reply{5, false, false, 3}, f.now);
    f.log.step(candidate, vote_request{6, false, 10, 5, 3}, f.now);
    REQUIRE_FALSE(f.flush());
    REQUIRE(f.votes.size() == 1);
    CHECK_FALSE(f.votes.back().granted);
    f.now += timing{}.election;
    f.log.step(candidate, vote_request{6, false, 10, 5, 3}, f.now);
    REQUIRE_FALSE(f.flush());
    REQUIRE(f.votes.size() == 2);
    CHECK(f.votes.back().granted);
}

TEST_CASE("what matched an earlier leader's log is not reported as matching the next leader's")
{
    follower<> f;
    f.step(append(1, 1, 1, {entry(1, 2), entry(1, 3)}));
    REQUIRE_FALSE(f.flush());
    f.replies.clear();
    f.step(append(2, 1, 1, {}));
    REQUIRE_FALSE(f.flush());
    REQUIRE(f.replies.size() == 1);
    CHECK(f.replies.front().match == 1);
}

TEST_CASE("a refused request is reported although a heartbeat that overtook it matches")
{
    follower<> f;
    REQUIRE_FALSE(f.flush());
    f.replies.clear();
    f.step(append(1, 2, 1, {entry(1, 3)}));
    f.step(append(1, 1, 1, {}));
    REQUIRE_FALSE(f.flush());
    REQUIRE(f.replies.size() == 1);
    CHECK_FALSE(f.replies.front().matched);
}
