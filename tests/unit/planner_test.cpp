#include "fakes/fake_fleet.h"

#include <doctest/doctest.h>

#include <fstream>
#include <random>
#include <sstream>

using namespace fescue;
using namespace fescue::planner;
using fakes::fake_fleet;

namespace {

const pool_id quotes{"quotes"};
const pool_id office{"office"};

/** Least total over all ways to draw from the domains, by trying them all. */
std::uint32_t least_by_search(std::uint32_t wanted, const std::vector<std::uint32_t>& domains,
                              std::size_t at, std::uint32_t total, std::uint32_t most)
{
    if (at == domains.size()) {
        return total >= wanted + most ? total : UINT32_MAX;
    }
    std::uint32_t best = UINT32_MAX;
    for (std::uint32_t n = 0; n <= domains[at]; ++n) {
        best =
            std::min(best, least_by_search(wanted, domains, at + 1, total + n, std::max(most, n)));
    }
    return best;
}

fake_fleet two_pools(int servers)
{
    fake_fleet fleet{servers, 4};
    fleet.pools[quotes] = {4, 2, false};
    fleet.pools[office] = {2, 2, true};
    fleet.run(1);
    return fleet;
}

/** Reads a recorded trace and checks what it states. */
class trace_replay {
public:
    explicit trace_replay(const std::string& file, policy rules = {}) : in_{file}, rules_{rules}
    {
        REQUIRE(in_);
        if (rules == policy{}) {
            baseline_ = std::make_unique<trace_replay>(file, without_hysteresis());
        }
    }

    void run()
    {
        if (acted_ > 0) {
            return;
        }
        for (std::string line; std::getline(in_, line);) {
            line.erase(std::find(line.begin(), line.end(), '#'), line.end());
            std::istringstream words{line};
            std::string word;
            if (words >> word) {
                CAPTURE(line);
                act(word, words);
                ++acted_;
            }
        }
        REQUIRE(acted_ > 3);
    }

private:
    void act(const std::string& word, std::istringstream& in)
    {
        if (word == "fleet") {
            int servers = 0;
            int places = 0;
            in >> servers >> places;
            fleet_ = std::make_unique<fake_fleet>(servers, places, rules_);
        } else if (word == "pool") {
            std::string name;
            pool_rule rule;
            in >> name >> rule.least_servers >> rule.availability_budget >> rule.spare;
            fleet_->pools[pool_id{name}] = rule;
        } else if (word == "run") {
            double seconds = 0;
            in >> seconds;
            run_checked(seconds);
        } else if (word == "demand") {
            std::string name;
            double slots = 0;
            in >> name >> slots;
            fleet_->demand[pool_id{name}] = slots;
        } else if (word == "lose" || word == "return") {
            set_alive(in, word == "return");
        } else if (word == "wave") {
            std::string name;
            in >> name;
            fleet_->start_wave(wave_id{name}, fleet_->members(chosen(in)));
        } else if (word == "expect") {
            expect(in);
        } else {
            FAIL("unknown word in the trace");
        }
    }

    static std::function<bool(const server_view&)> chosen(std::istringstream& in)
    {
        std::string kind;
        std::string name;
        in >> kind >> name;
        return [kind, name](const server_view& s) {
            return kind == "all" || (kind == "rack" && s.rack.str() == name) ||
                   (kind == "place" && s.data_centre.str() == name) ||
                   (kind == "server" && s.id.str() == name);
        };
    }

    void set_alive(std::istringstream& in, bool alive)
    {
        for (const server_id& id : fleet_->members(chosen(in))) {
            fleet_->servers[id].alive = alive;
        }
    }

    /** Budgets and "exactly one pool" are checked at each step. */
    void run_checked(double seconds)
    {
        for (int i = 0; i < static_cast<int>(seconds * 10); ++i) {
            std::map<pool_id, int> before;
            for (const auto& [id, rule] : fleet_->pools) {
                before[id] = stopped(id);
            }
            fleet_->step();
            REQUIRE(fleet_->broken_moves == 0);
            for (const auto& [id, rule] : fleet_->pools) {
                // A loss may take a pool over its budget; a planned stop may not.
                const bool more_stopped = stopped(id) > before[id];
                const bool over =
                    fleet_->planned_away(id) > static_cast<int>(rule.availability_budget);
                REQUIRE_FALSE((more_stopped && over));
            }
        }
    }

    int stopped(const pool_id& pool) const
    {
        int n = 0;
        for (const auto& [id, s] : fleet_->servers) {
            n += s.pool == pool && s.phase && *s.phase != catalogue::wave_phase::waiting ? 1 : 0;
        }
        return n;
    }

    void expect(std::istringstream& in)
    {
        std::string what;
        std::string name;
        int bound = 0;
        in >> what;
        const bool compared = what.ends_with("-against-baseline");
        if (compared && !baseline_) {
            return;
        }
        if (compared) {
            double part = 0;
            in >> part;
            baseline_->run();
            const fake_fleet& other = *baseline_->fleet_;
            MESSAGE("moves ", fleet_->moves, " against ", other.moves, ", refused slot-seconds ",
                    fleet_->refused, " against ", other.refused);
            if (what.starts_with("moves")) {
                CHECK(fleet_->moves <= part * other.moves);
            } else {
                CHECK(fleet_->refused <= part * other.refused);
            }
        } else if (what == "usable") {
            in >> name >> bound;
            CHECK(fleet_->usable(pool_id{name}) >= bound);
        } else if (what == "moves") {
            in >> bound;
            CHECK(fleet_->moves <= bound);
        } else if (what == "open") {
            in >> name >> bound;
            CHECK(static_cast<int>(fleet_->waves[wave_id{name}].size()) >= bound);
        } else if (what == "done") {
            in >> name;
            CHECK(fleet_->waves[wave_id{name}].empty());
        } else if (what == "refused") {
            double part = 0;
            in >> part;
            CHECK(fleet_->refused <= part * fleet_->asked);
        } else {
            FAIL("unknown expectation in the trace");
        }
    }

    std::ifstream in_;
    policy rules_;
    std::unique_ptr<fake_fleet> fleet_;
    std::unique_ptr<trace_replay> baseline_;
    int acted_{0};
};

} // namespace

TEST_CASE("the buffer is the least that exhaustive search finds")
{
    std::mt19937 random{1};
    for (int i = 0; i < 200; ++i) {
        std::vector<std::uint32_t> domains;
        for (std::size_t n = 2 + random() % 3; n > 0; --n) {
            domains.push_back(1 + random() % 8);
        }
        const std::uint32_t wanted = 1 + random() % 16;
        const auto found = servers_to_survive(wanted, domains);
        const auto least = least_by_search(wanted, domains, 0, 0, 0);
        CHECK(found == (least == UINT32_MAX ? 0 : least));
    }
}

TEST_CASE("new servers fill the pools' least sizes and spread over data centres")
{
    auto fleet = two_pools(24);
    CHECK(fleet.usable(quotes) == 4);
    CHECK(fleet.usable(office) == 20);
    std::set<data_centre_id> places;
    for (const auto& [id, s] : fleet.servers) {
        if (s.pool == quotes) {
            places.insert(s.data_centre);
        }
    }
    CHECK(places.size() >= 3);
}

TEST_CASE("demand moves servers in, a passing dip moves none back")
{
    auto fleet = two_pools(24);
    fleet.demand[quotes] = 80;
    fleet.run(10);
    CHECK(fleet.usable(quotes) >= 10);
    const int moves = fleet.moves;
    fleet.demand[quotes] = 8;
    fleet.run(30);
    CHECK(fleet.moves == moves);
    fleet.demand[quotes] = 80;
    fleet.run(10);
    CHECK(fleet.moves == moves);
    CHECK(fleet.broken_moves == 0);
}

TEST_CASE("a catalogue with another pool counts every server anew")
{
    auto fleet = two_pools(12);
    fleet.pools[pool_id{"stock"}] = {3, 1, false};
    fleet.run(10);
    CHECK(fleet.usable(pool_id{"stock"}) == 3);
    fleet.pools.erase(quotes);
    fleet.run(5);
    CHECK(fleet.usable(quotes) == 0);
    CHECK(fleet.usable(office) + fleet.usable(pool_id{"stock"}) == 12);
}

TEST_CASE("a wave keeps every budget, and one without the check would not")
{
    auto fleet = two_pools(24);
    fleet.start_wave(wave_id{"w"}, fleet.members([](const auto&) { return true; }));
    fleet.run(200);
    CHECK(fleet.waves[wave_id{"w"}].empty());
    CHECK(fleet.worst_away[quotes] == 2);
    CHECK(fleet.worst_away[office] == 2);
    // The same fleet under a budget as wide as the pool shows that the check above can fail.
    auto loose = two_pools(24);
    loose.pools[office].availability_budget = 20;
    loose.start_wave(wave_id{"w"}, loose.members([](const auto&) { return true; }));
    loose.run(200);
    CHECK(loose.worst_away[office] > 2);
}

TEST_CASE("recorded traces come out as stated")
{
    for (const char* name :
         {"failure_wave", "maintenance_meets_lost_rack", "data_centre_leaves_and_returns",
          "day_of_bursts", "bursts_in_another_order"}) {
        CAPTURE(name);
        trace_replay{std::string{FESCUE_TRACES} + "/" + name + ".trace"}.run();
    }
}
