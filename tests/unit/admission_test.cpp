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

/** Simulates holders with their ledgers and the leader's planning; reports may be late or lost. */
class allotment_simulation {
public:
    allotment_simulation(int count, std::uint32_t limit, std::uint64_t seed) : random_{seed}
    {
        state.doc.teams[north] = {1, limit};
        for (int i = 0; i < count; ++i) {
            join(instance_id{"e" + std::to_string(i)});
        }
    }

    void join(const instance_id& id)
    {
        const incarnation incarnation_id = next_incarnation_++;
        apply(catalogue::register_instance{id, data_centre_id{"dc"}, incarnation_id, true, "", ""});
        holders[id] = {incarnation_id, {}, 0, {}};
    }

    /** Instances that report but are not homes. */
    std::set<instance_id> not_home;

    void step(bool drop_reports)
    {
        for (auto& [id, h] : holders) {
            if (drop_reports && random_() % 3 == 0) {
                continue;
            }
            holder_view view;
            view.incarnation_id = h.incarnation_id;
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
        for (const auto& ask : plan.release_requests) {
            holders[ask.holder].ledger.release(ask.request.team, ask.request.epoch,
                                               ask.request.keep);
        }
    }

    /** Starts tasks within the ledgers' caps, and ends running tasks at random. */
    void run_tasks()
    {
        for (auto& [id, h] : holders) {
            while (h.demand > 0 && h.ledger.may_start(north)) {
                h.ledger.task_started(north);
                --h.demand;
            }
            while (h.ledger.running(north) > 0 && random_() % 3 == 0) {
                h.ledger.task_ended(north);
            }
        }
    }

    void apply(const catalogue::command& cmd)
    {
        catalogue::apply(state, ++index_, cmd);
        for (auto& [id, h] : holders) {
            h.ledger.commit_all(state, id, h.incarnation_id);
        }
    }

    std::uint32_t running() const
    {
        std::uint32_t sum = orphaned_tasks;
        for (const auto& [id, h] : holders) {
            sum += h.ledger.running(north);
        }
        return sum;
    }

    struct holder {
        incarnation incarnation_id{0};
        allotment_ledger ledger;
        std::uint32_t demand{0};
        std::vector<std::uint32_t> unused;
    };

    catalogue::control_state state;
    std::map<instance_id, holder> holders;
    /** Tasks of crashed incarnations that are still running. */
    std::uint32_t orphaned_tasks{0};

private:
    std::map<instance_id, holder_view> views_;
    std::mt19937_64 random_;
    log_index index_{0};
    incarnation next_incarnation_{1};
};

} // namespace

TEST_CASE("a team never exceeds its limit despite lost reports, moves and crashes")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        const auto limit = static_cast<std::uint32_t>(1 + random() % 40);
        allotment_simulation simulation{6, limit, seed};
        for (int i = 0; i < 200; ++i) {
            for (auto& [id, h] : simulation.holders) {
                h.demand = random() % 3 == 0 ? static_cast<std::uint32_t>(random() % 20) : h.demand;
            }
            simulation.step(true);
            simulation.run_tasks();
            REQUIRE(simulation.running() <= limit);
            REQUIRE(simulation.state.counted(north) <= limit);
            if (random() % 20 == 0) {
                const instance_id crashed{"e" + std::to_string(random() % 6)};
                simulation.orphaned_tasks += simulation.holders[crashed].ledger.running(north);
                simulation.join(crashed);
                REQUIRE(simulation.running() <= limit);
            }
            if (random() % 40 == 0) {
                simulation.orphaned_tasks = 0;
                while (!simulation.state.orphaned_allotments.empty()) {
                    const auto orphan = simulation.state.orphaned_allotments.front();
                    simulation.apply(catalogue::release_orphaned_allotments{orphan.holder,
                                                                            orphan.incarnation_id});
                }
            }
        }
    }
}

TEST_CASE("the whole limit moves to the only holder with demand")
{
    allotment_simulation simulation{6, 60, 3};
    for (int i = 0; i < 5; ++i) {
        simulation.step(false);
    }
    auto& busy = simulation.holders[instance_id{"e3"}];
    busy.demand = 100;
    for (int i = 0; i < 10; ++i) {
        simulation.step(false);
        while (busy.demand > 0 && busy.ledger.may_start(north)) {
            busy.ledger.task_started(north);
        }
    }
    CHECK(busy.ledger.running(north) == 60);
}

TEST_CASE("a home that joins when the limit is fully allotted gets its share without demand")
{
    allotment_simulation simulation{3, 40, 5};
    const instance_id late_home{"e2"};
    simulation.not_home = {instance_id{"e1"}, late_home};
    for (int i = 0; i < 5; ++i) {
        simulation.step(false);
    }
    REQUIRE(simulation.holders[instance_id{"e0"}].ledger.cap(north) == 40);
    simulation.not_home.clear();
    for (int i = 0; i < 10; ++i) {
        simulation.step(false);
    }
    // Each home has an allotment to work with if it is partitioned from now on.
    for (const auto& [id, h] : simulation.holders) {
        CAPTURE(id.str());
        CHECK(h.ledger.cap(north) >= 10);
    }
    CHECK(simulation.state.counted(north) <= 40);
}

TEST_CASE("no holder starves when all have demand")
{
    allotment_simulation simulation{4, 6, 4};
    for (int i = 0; i < 40; ++i) {
        for (auto& [id, h] : simulation.holders) {
            h.demand = 10;
        }
        simulation.step(false);
        simulation.run_tasks();
    }
    for (const auto& [id, h] : simulation.holders) {
        CHECK(h.ledger.cap(north) >= 1);
    }
}

TEST_CASE("the queue gives the next slot to the team with the fewest running tasks for its share")
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

TEST_CASE(
    "urgent work goes first within a team; expired items and teams that may not start are skipped")
{
    fair_queue queue;
    const mono_time now{std::chrono::hours{1}};
    const auto push = [&](const char* id, catalogue::service_class priority_class,
                          mono_time deadline) {
        queue.push({request_id{id}, north, service_id{"s"}, priority_class, deadline});
    };
    push("slow", catalogue::service_class::background, mono_time::max());
    push("fast", catalogue::service_class::urgent, mono_time::max());
    push("late", catalogue::service_class::urgent, now);
    CHECK(queue.remove_expired(now).size() == 1);
    const auto zero = [](const team_id&) { return 0.0; };
    CHECK_FALSE(queue.pick([](const team_id&) { return false; }, zero));
    const auto any = [](const team_id&) { return true; };
    CHECK(queue.pick(any, zero)->id == request_id{"fast"});
    CHECK(queue.waiting(service_id{"s"}) == 1);
    CHECK(queue.pick(any, zero)->id == request_id{"slow"});
    CHECK(queue.size() == 0);
}

TEST_CASE("a key is found by its hash, but not with a changed character or after withdrawal")
{
    catalogue::control_state state;
    const key_id id = new_key_id();
    const std::string text = format_key("secret", id);
    state.keys[id] = {north, hash_key(text)};
    REQUIRE(find_key(state, text));
    CHECK(find_key(state, text)->team == north);
    std::string wrong = text;
    wrong.back() = wrong.back() == '0' ? '1' : '0';
    CHECK_FALSE(find_key(state, wrong));
    CHECK_FALSE(find_key(state, "fk_"));
    CHECK_FALSE(find_key(state, format_key("other secret", id)));
    state.keys.clear();
    CHECK_FALSE(find_key(state, text));
}
