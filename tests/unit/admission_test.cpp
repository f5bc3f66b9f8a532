#include "fescuestream/admission/allotment.h"
#include "fescuestream/admission/caller_key.h"
#include "fescuestream/admission/fair_queue.h"

#include <doctest/doctest.h>

#include <random>
#include <set>

using namespace fescue;
using namespace fescue::admission;

namespace {

const team_id north{"north"};

/** Holders, their ledgers and the leader's plan, stepped by hand: reports may be late or lost. */
class allotment_play {
public:
    allotment_play(int count, std::uint32_t limit, std::uint64_t seed) : random_{seed}
    {
        state.doc.teams[north] = {1, limit};
        for (int i = 0; i < count; ++i) {
            join(instance_id{"e" + std::to_string(i)});
        }
    }

    void join(const instance_id& id)
    {
        const incarnation life = next_life_++;
        apply(catalogue::instance_joined{id, data_centre_id{"dc"}, life, true, "", ""});
        holders[id] = {life, {}, 0, {}};
    }

    /** Instances that are no home report without being one. */
    std::set<instance_id> not_home;

    void step(bool lose_reports)
    {
        for (auto& [id, h] : holders) {
            if (lose_reports && random_() % 3 == 0) {
                continue;
            }
            holder_view view;
            view.life = h.life;
            view.is_home = !not_home.contains(id);
            for (auto use : h.ledger.uses()) {
                use.waiting = h.demand;
                view.uses[use.team] = use;
            }
            if (view.uses.empty()) {
                view.uses[north] = {north, 0, 0, 0, h.demand};
            }
            views_[id] = view;
        }
        const auto plan = plan_allotments(state, views_);
        for (const auto& change : plan.changes) {
            apply(change);
        }
        for (const auto& ask : plan.asks) {
            holders[ask.holder].ledger.release(ask.ask.team, ask.ask.epoch, ask.ask.keep);
        }
    }

    /** Starts and ends tasks as the ledgers allow. */
    void work()
    {
        for (auto& [id, h] : holders) {
            while (h.demand > 0 && h.ledger.may_start(north)) {
                h.ledger.started(north);
                --h.demand;
            }
            while (h.ledger.running(north) > 0 && random_() % 3 == 0) {
                h.ledger.ended(north);
            }
        }
    }

    void apply(const catalogue::command& cmd)
    {
        catalogue::apply(state, ++index_, cmd);
        for (auto& [id, h] : holders) {
            h.ledger.commit_all(state, id, h.life);
        }
    }

    std::uint32_t running() const
    {
        std::uint32_t sum = ghosts;
        for (const auto& [id, h] : holders) {
            sum += h.ledger.running(north);
        }
        return sum;
    }

    struct holder {
        incarnation life{0};
        allotment_ledger ledger;
        std::uint32_t demand{0};
        std::vector<std::uint32_t> unused;
    };

    catalogue::control_state state;
    std::map<instance_id, holder> holders;
    /** Tasks of crashed incarnations that still run. */
    std::uint32_t ghosts{0};

private:
    std::map<instance_id, holder_view> views_;
    std::mt19937_64 random_;
    log_index index_{0};
    incarnation next_life_{1};
};

} // namespace

TEST_CASE("no team runs past its limit, through lost reports, moves and crashes")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        const auto limit = static_cast<std::uint32_t>(1 + random() % 40);
        allotment_play play{6, limit, seed};
        for (int i = 0; i < 200; ++i) {
            for (auto& [id, h] : play.holders) {
                h.demand = random() % 3 == 0 ? static_cast<std::uint32_t>(random() % 20) : h.demand;
            }
            play.step(true);
            play.work();
            REQUIRE(play.running() <= limit);
            REQUIRE(play.state.counted(north) <= limit);
            if (random() % 20 == 0) {
                const instance_id victim{"e" + std::to_string(random() % 6)};
                play.ghosts += play.holders[victim].ledger.running(north);
                play.join(victim);
                REQUIRE(play.running() <= limit);
            }
            if (random() % 40 == 0) {
                play.ghosts = 0;
                while (!play.state.orphans.empty()) {
                    const auto o = play.state.orphans.front();
                    play.apply(catalogue::reclaim_allotments{o.holder, o.life});
                }
            }
        }
    }
}

TEST_CASE("all of a limit goes to the one place with demand")
{
    allotment_play play{6, 60, 3};
    for (int i = 0; i < 5; ++i) {
        play.step(false);
    }
    auto& busy = play.holders[instance_id{"e3"}];
    busy.demand = 100;
    for (int i = 0; i < 10; ++i) {
        play.step(false);
        while (busy.demand > 0 && busy.ledger.may_start(north)) {
            busy.ledger.started(north);
        }
    }
    CHECK(busy.ledger.running(north) == 60);
}

TEST_CASE("a home that comes when all is given out gets its share without demand")
{
    allotment_play play{3, 40, 5};
    const instance_id late{"e2"};
    play.not_home = {instance_id{"e1"}, late};
    for (int i = 0; i < 5; ++i) {
        play.step(false);
    }
    REQUIRE(play.holders[instance_id{"e0"}].ledger.cap(north) == 40);
    play.not_home.clear();
    for (int i = 0; i < 10; ++i) {
        play.step(false);
    }
    // Cut off from now on, each of them has something to serve from.
    for (const auto& [id, h] : play.holders) {
        CAPTURE(id.str());
        CHECK(h.ledger.cap(north) >= 10);
    }
    CHECK(play.state.counted(north) <= 40);
}

TEST_CASE("with demand everywhere, no place starves")
{
    allotment_play play{4, 6, 4};
    for (int i = 0; i < 40; ++i) {
        for (auto& [id, h] : play.holders) {
            h.demand = 10;
        }
        play.step(false);
        play.work();
    }
    for (const auto& [id, h] : play.holders) {
        CHECK(h.ledger.cap(north) >= 1);
    }
}

TEST_CASE("the queue gives the next slot to the team with the least for its share")
{
    fair_queue queue;
    std::map<team_id, std::uint32_t> running;
    const std::map<team_id, double> shares{
        {team_id{"a"}, 4}, {team_id{"b"}, 3}, {team_id{"c"}, 2}, {team_id{"d"}, 1}};
    int n = 0;
    for (const auto& [team, share] : shares) {
        for (int i = 0; i < 100; ++i) {
            queue.push({request_id{std::to_string(n++)}, team, service_id{"s"},
                        catalogue::service_class::normal, mono_time::max()});
        }
    }
    for (int i = 0; i < 100; ++i) {
        const auto item = queue.pick(
            [](const team_id&) { return true; },
            [&](const team_id& t) { return fair_score(running[t], 0, 1, shares.at(t)); });
        ++running[item->team];
    }
    for (const auto& [team, share] : shares) {
        CHECK(running[team] == doctest::Approx(share * 10).epsilon(0.11));
    }
}

TEST_CASE("urgent work goes first within a team, and what expired or may not start stays out")
{
    fair_queue queue;
    const mono_time now{std::chrono::hours{1}};
    const auto push = [&](const char* id, catalogue::service_class cls, mono_time deadline) {
        queue.push({request_id{id}, north, service_id{"s"}, cls, deadline});
    };
    push("slow", catalogue::service_class::background, mono_time::max());
    push("fast", catalogue::service_class::urgent, mono_time::max());
    push("late", catalogue::service_class::urgent, now);
    CHECK(queue.take_expired(now).size() == 1);
    const auto zero = [](const team_id&) { return 0.0; };
    CHECK_FALSE(queue.pick([](const team_id&) { return false; }, zero));
    const auto any = [](const team_id&) { return true; };
    CHECK(queue.pick(any, zero)->id == request_id{"fast"});
    CHECK(queue.waiting(service_id{"s"}) == 1);
    CHECK(queue.pick(any, zero)->id == request_id{"slow"});
    CHECK(queue.size() == 0);
}

TEST_CASE("a key is known by its hash, and not when a letter differs or it was withdrawn")
{
    catalogue::control_state state;
    const key_id id = new_key_id();
    const std::string text = key_text("secret", id);
    state.keys[id] = {north, hash_of(text)};
    REQUIRE(find_key(state, text));
    CHECK(find_key(state, text)->team == north);
    std::string wrong = text;
    wrong.back() = wrong.back() == '0' ? '1' : '0';
    CHECK_FALSE(find_key(state, wrong));
    CHECK_FALSE(find_key(state, "fk_"));
    CHECK_FALSE(find_key(state, key_text("other secret", id)));
    state.keys.clear();
    CHECK_FALSE(find_key(state, text));
}
