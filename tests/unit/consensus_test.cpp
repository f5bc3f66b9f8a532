#include "fakes/replica_group.h"

#include <doctest/doctest.h>

using namespace fescue;
using fakes::replica_group;

namespace {

constexpr int election_steps = 300;

instance_id id(int n)
{
    return instance_id{"e" + std::to_string(n)};
}

/** @return whether one list is a prefix of the other. */
bool one_is_prefix(const std::vector<std::string>& a, const std::vector<std::string>& b)
{
    const auto length = std::min(a.size(), b.size());
    return std::equal(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(length), b.begin());
}

template <class Group>
bool logs_agree(Group& group)
{
    for (auto& [x, a] : group.all()) {
        for (auto& [y, b] : group.all()) {
            if (!one_is_prefix(a.applied, b.applied)) {
                return false;
            }
        }
    }
    return true;
}

bool contains(const std::vector<std::string>& list, const std::string& entry)
{
    return std::find(list.begin(), list.end(), entry) != list.end();
}

/** Commits an entry, then crashes and restarts all. @return whether the entry survives. */
template <class Store>
bool survives_crash_of_all(std::uint64_t seed)
{
    replica_group<Store> group{3, seed};
    group.form();
    auto* leader = group.leader();
    if (leader == nullptr) {
        return false;
    }
    leader->propose("durable");
    group.run(20);
    for (int i = 0; i < 3; ++i) {
        group.crash(id(i));
    }
    for (int i = 0; i < 3; ++i) {
        group.start(id(i));
    }
    group.run(election_steps);
    return contains(group.at(id(0)).applied, "durable");
}

} // namespace

TEST_CASE("an instance that was never part of a cluster starts no election")
{
    replica_group<> group{3, 1};
    group.run(election_steps);
    for (auto& [name, m] : group.all()) {
        CHECK(m.log->term() == 0);
        CHECK_FALSE(m.log->formed());
    }
}

TEST_CASE("a committed entry survives a crash of all replicas only if sync() persists it")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CHECK(survives_crash_of_all<fakes::fake_store<false>>(seed));
    }
    CHECK_FALSE(survives_crash_of_all<fakes::fake_store<true>>(1));
}

namespace {

/** @param large_delay if not 0, one entry in four is large and is overtaken by other messages. */
void check_agreement(consensus::timing intervals, milliseconds large_delay = milliseconds{0})
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        replica_group<> group{5, seed, intervals};
        group.form();
        std::mt19937_64 random{seed};
        std::vector<std::string> committed;
        group.drop_probability = 0.05;
        group.large_delay = large_delay;
        for (int step = 0; step < 60; ++step) {
            if (auto* leader = group.leader()) {
                const bool large = large_delay.count() > 0 && step % 4 == 0;
                leader->propose("c" + std::to_string(step) +
                                std::string(large ? consensus::large_append_bytes : 0, 'x'));
            }
            group.run(static_cast<int>(random() % 20));
            const instance_id victim = id(static_cast<int>(random() % 5));
            if (random() % 4 == 0 && group.at(victim).log) {
                group.crash(victim);
                group.run(static_cast<int>(random() % 60));
                group.start(victim);
            }
            group.cut.clear();
            if (random() % 4 == 0) {
                for (int other = 0; other < 5; ++other) {
                    group.cut.insert({victim, id(other)});
                    group.cut.insert({id(other), victim});
                }
            }
            for (auto& [name, m] : group.all()) {
                if (m.applied.size() > committed.size()) {
                    REQUIRE(one_is_prefix(m.applied, committed));
                    committed = m.applied;
                }
            }
            REQUIRE(logs_agree(group));
        }
        group.drop_probability = 0;
        group.cut.clear();
        // A replica that is behind may need several large requests, one after the other.
        const int large_steps = static_cast<int>(large_delay / milliseconds{10});
        group.run(election_steps + 4 * large_steps);
        REQUIRE(group.leader() != nullptr);
        group.leader()->propose("last");
        group.run(50 + large_steps);
        for (auto& [name, m] : group.all()) {
            CHECK(one_is_prefix(m.applied, committed));
            CHECK(m.applied.size() >= committed.size());
            CHECK(contains(m.applied, "last"));
        }
    }
}

/** Leaders of five voters defer the sync of their entries by six steps (60 ms). */
constexpr consensus::timing late_sync{milliseconds{200}, milliseconds{600}, milliseconds{3000},
                                      milliseconds{0}, milliseconds{60}};

template <class Group>
instance_id leader_of(Group& group)
{
    for (auto& [name, m] : group.all()) {
        if (m.log && m.log.get() == group.leader()) {
            return name;
        }
    }
    return {};
}

bool is_synced(const fakes::fake_disk& disk, const std::string& entry)
{
    return std::ranges::any_of(disk.synced.entries,
                               [&](const store::log_entry& e) { return e.bytes == entry; });
}

} // namespace

TEST_CASE("replicas agree and keep committed entries under message loss, crashes and partitions")
{
    check_agreement({});
}

TEST_CASE("replicas agree and keep committed entries when the leader defers its sync")
{
    check_agreement(late_sync);
}

TEST_CASE("replicas agree and keep committed entries when large entries are overtaken")
{
    check_agreement({}, milliseconds{900});
}

TEST_CASE("a leader keeps its lease while a large entry takes longer than the election timeout")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        replica_group<> group{5, seed};
        group.form();
        group.run(100);
        auto* leader = group.leader();
        REQUIRE(leader != nullptr);
        const term_number term = leader->term();
        group.large_delay = milliseconds{1500};
        const std::string large(consensus::large_append_bytes, 'x');
        leader->propose(large);
        for (int step = 0; step < 200; ++step) {
            if (step == 30) {
                // An entry that waits for the large one.
                leader->propose("small");
            }
            group.run(1);
            REQUIRE(leader->has_leader_lease(group.now));
        }
        CHECK(leader->term() == term);
        CHECK(group.large_sent == 4);
        for (auto& [name, m] : group.all()) {
            CHECK(contains(m.applied, large));
            CHECK(contains(m.applied, "small"));
        }
    }
}

TEST_CASE("a follower that lost the connection during a large entry receives it again")
{
    replica_group<> group{3, 5};
    group.form();
    group.run(100);
    const instance_id leader = leader_of(group);
    const instance_id follower = leader == id(0) ? id(1) : id(0);
    group.large_delay = milliseconds{1000};
    const std::string large(consensus::large_append_bytes, 'x');
    group.leader()->propose(large);
    group.run(20);
    group.crash(follower);
    group.run(20);
    group.start(follower);
    group.run(200);
    CHECK(leader_of(group) == leader);
    CHECK(contains(group.at(follower).applied, large));
    CHECK(group.large_sent == 3);
}

TEST_CASE("a leader of five voters commits on its followers' syncs and defers its own")
{
    replica_group<> group{5, 21, late_sync};
    group.form();
    group.run(50);
    const instance_id leader = leader_of(group);
    group.leader()->propose("early");
    group.run(2);
    CHECK(contains(group.at(leader).applied, "early"));
    CHECK_FALSE(is_synced(*group.at(leader).disk, "early"));
    group.run(8);
    CHECK(is_synced(*group.at(leader).disk, "early"));
}

TEST_CASE("a leader needed for the majority commits only after its own sync")
{
    replica_group<> group{5, 22, late_sync};
    group.form();
    group.run(50);
    const instance_id leader = leader_of(group);
    int crashed = 0;
    for (auto& [name, m] : group.all()) {
        if (name != leader && crashed < 2) {
            group.crash(name);
            ++crashed;
        }
    }
    group.leader()->propose("needs three");
    group.run(2);
    CHECK_FALSE(contains(group.at(leader).applied, "needs three"));
    CHECK_FALSE(is_synced(*group.at(leader).disk, "needs three"));
    group.run(10);
    CHECK(contains(group.at(leader).applied, "needs three"));
    CHECK(is_synced(*group.at(leader).disk, "needs three"));
}

TEST_CASE("an entry committed before the leader synced it survives a crash of all replicas")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        replica_group<> group{5, seed, late_sync};
        group.form();
        group.run(50);
        const instance_id leader = leader_of(group);
        group.leader()->propose("durable");
        group.run(2);
        REQUIRE(contains(group.at(leader).applied, "durable"));
        REQUIRE_FALSE(is_synced(*group.at(leader).disk, "durable"));
        for (int i = 0; i < 5; ++i) {
            group.crash(id(i));
        }
        for (int i = 0; i < 5; ++i) {
            group.start(id(i));
        }
        group.run(election_steps);
        CHECK(contains(group.at(leader).applied, "durable"));
    }
}

TEST_CASE("a leader of three voters, which cannot spare a follower, syncs at once")
{
    replica_group<> group{3, 23, late_sync};
    group.form();
    group.run(50);
    const instance_id leader = leader_of(group);
    group.leader()->propose("soon");
    group.run(2);
    CHECK(is_synced(*group.at(leader).disk, "soon"));
}

TEST_CASE("a wiped disk does not vote as the old voter and rejoins as a new one")
{
    replica_group<> group{3, 5};
    group.form();
    group.leader()->propose("before");
    group.run(20);
    const auto old_disk = group.at(id(2)).disk->id;
    group.crash(id(2));
    group.replace_disk(id(2));
    group.start(id(2));
    // With another voter down, the wiped replica must not count as the old voter.
    group.crash(id(1));
    group.run(election_steps);
    CHECK(group.leader() == nullptr);
    group.start(id(1));
    group.run(election_steps);
    REQUIRE(group.leader() != nullptr);
    group.add_voter(id(2));
    CHECK_FALSE(group.leader()->voters().contains({id(2), old_disk}));
    CHECK(group.leader()->voters().contains({id(2), group.at(id(2)).disk->id}));
    // Another voter fails right after the repair.
    group.crash(id(1));
    group.run(election_steps);
    REQUIRE(group.leader() != nullptr);
    CHECK(contains(group.at(id(2)).applied, "before"));
}

TEST_CASE("a partitioned leader steps down and does not disrupt the new leader on return")
{
    replica_group<> group{3, 9};
    group.form();
    const auto* old = group.leader();
    instance_id old_id;
    for (auto& [name, m] : group.all()) {
        if (m.log.get() == old) {
            old_id = name;
        }
    }
    for (int other = 0; other < 3; ++other) {
        group.cut.insert({old_id, id(other)});
        group.cut.insert({id(other), old_id});
    }
    group.run(election_steps);
    CHECK_FALSE(group.at(old_id).log->is_leader());
    REQUIRE(group.leader() != nullptr);
    const auto term = group.leader()->term();
    group.cut.clear();
    group.run(election_steps);
    CHECK(group.leader()->term() == term);
}

TEST_CASE("the lease of a paused follower ends before the leader considers it ended")
{
    replica_group<> group{3, 11};
    group.form();
    group.run(50);
    auto* leader = group.leader();
    for (auto& [name, m] : group.all()) {
        if (m.log.get() == leader) {
            continue;
        }
        CHECK(m.log->lease_until() > group.now);
        group.paused.insert(name);
        const auto until = m.log->lease_until();
        for (int i = 0; i < 2 * election_steps && leader->may_hold_lease(name, group.now); ++i) {
            group.run(1);
        }
        CHECK_FALSE(leader->may_hold_lease(name, group.now));
        CHECK(group.now >= until);
        break;
    }
}

TEST_CASE("a replica with the longest log and an older term is elected after a disk is lost")
{
    replica_group<> group{3, 17};
    group.form();
    group.leader()->propose("acknowledged");
    group.run(50);
    for (int i = 0; i < 3; ++i) {
        group.crash(id(i));
    }
    // One replica began an election just before the crash, another one has a longer log.
    auto& longest = group.at(id(0)).disk->synced;
    const auto last = longest.entries.back();
    longest.entries.push_back({last.term, last.index + 1, store::entry_kind::command, "extra"});
    ++group.at(id(1)).disk->synced.hard.term;
    group.at(id(1)).disk->synced.hard.voted_for = id(1);
    group.start(id(0));
    group.start(id(1));
    group.run(election_steps);
    REQUIRE(group.leader() != nullptr);
    CHECK(contains(group.at(id(0)).applied, "acknowledged"));
}

TEST_CASE("a follower far behind receives a snapshot, which survives a restart")
{
    replica_group<> group{3, 13};
    group.form();
    group.crash(id(2));
    for (int i = 0; i < 5000; ++i) {
        group.leader()->propose("x");
        if (i % 100 == 0) {
            group.run(1);
        }
    }
    group.run(20);
    for (auto& [name, m] : group.all()) {
        if (m.log) {
            REQUIRE_FALSE(m.log->compact("the state"));
        }
    }
    group.start(id(2));
    group.run(100);
    group.leader()->propose("after");
    group.run(20);
    CHECK(group.at(id(2)).applied.front() == "the state");
    CHECK(group.at(id(2)).applied.back() == "after");
    group.crash(id(2));
    group.start(id(2));
    group.run(100);
    CHECK(group.at(id(2)).applied.back() == "after");
}

// Fails if large entries stay in memory because they are few.
TEST_CASE("a compacted log keeps no more than the given bytes for followers that lag")
{
    replica_group<> group{3, 13};
    group.form();
    group.crash(id(2));
    constexpr std::size_t entry_bytes = 1000;
    for (int i = 0; i < 100; ++i) {
        group.leader()->propose(std::string(entry_bytes, 'x'));
    }
    CHECK(group.leader()->unapplied_bytes() >= 100 * entry_bytes);
    group.run(20);
    CHECK(group.leader()->unapplied_bytes() == 0);
    REQUIRE_FALSE(group.leader()->compact("the state", 10 * entry_bytes));
    group.start(id(2));
    group.run(100);
    CHECK(group.at(id(2)).applied.front() == "the state");
    group.leader()->propose("after");
    group.run(20);
    CHECK(group.at(id(2)).applied.back() == "after");
}

TEST_CASE("followers that are far behind receive a snapshot one after the other")
{
    replica_group<> group{5, 13};
    group.form();
    group.crash(id(3));
    group.crash(id(4));
    for (int i = 0; i < 100; ++i) {
        group.leader()->propose(std::string(1000, 'x'));
    }
    group.run(20);
    const instance_id leader = leader_of(group);
    REQUIRE_FALSE(group.leader()->compact("the state", 0));
    group.start(id(3));
    group.start(id(4));
    const auto receiving = [&] {
        const auto& peers = group.at(leader).log->peers();
        return std::count_if(peers.begin(), peers.end(),
                             [](const auto& peer) { return peer.second.snapshot_sent; });
    };
    for (int i = 0; i < 200; ++i) {
        group.run(1);
        REQUIRE(receiving() <= 1);
    }
    for (const int follower : {3, 4}) {
        CHECK(group.at(id(follower)).applied.front() == "the state");
    }
}

TEST_CASE("a replica whose sync failed acknowledges nothing more, even if later syncs succeed")
{
    replica_group<> group{3, 31};
    group.form();
    const instance_id leader = leader_of(group);
    const instance_id failing = leader == id(0) ? id(1) : id(0);
    const instance_id third = leader == id(2) ? id(1) : id(2);
    group.at(failing).disk->fails_next_write = true;
    group.leader()->propose("lost by one");
    group.run(20);
    CHECK(group.at(failing).log->halted());
    group.crash(third);
    group.leader()->propose("needs the failed disk");
    group.run(20);
    CHECK_FALSE(contains(group.at(leader).applied, "needs the failed disk"));
    CHECK_FALSE(is_synced(*group.at(failing).disk, "needs the failed disk"));
}

TEST_CASE("a replica that could not store a snapshot does not acknowledge it")
{
    replica_group<> group{3, 13};
    group.form();
    group.crash(id(2));
    for (int i = 0; i < 5000; ++i) {
        group.leader()->propose("x");
        if (i % 100 == 0) {
            group.run(1);
        }
    }
    group.run(20);
    const instance_id leader = leader_of(group);
    REQUIRE_FALSE(group.leader()->compact("the state"));
    group.at(id(2)).disk->fails_next_write = true;
    group.start(id(2));
    group.run(20);
    CHECK(group.at(id(2)).log->halted());
    group.crash(leader == id(0) ? id(1) : id(0));
    group.leader()->propose("needs the snapshot");
    group.run(20);
    CHECK_FALSE(contains(group.at(leader).applied, "needs the snapshot"));
}

TEST_CASE("a leader whose disk fails steps down and votes for nobody")
{
    replica_group<> group{3, 32};
    group.form();
    const instance_id leader = leader_of(group);
    group.at(leader).disk->fails_next_write = true;
    group.leader()->propose("unsynced here");
    group.run(1);
    auto& failed = *group.at(leader).log;
    CHECK_FALSE(failed.is_leader());
    CHECK(failed.leader().empty());
    CHECK_FALSE(failed.propose("after the failure"));
    const term_number term = failed.term();
    group.run(election_steps);
    CHECK(failed.term() == term);
    CHECK(leader_of(group) != leader);
}
