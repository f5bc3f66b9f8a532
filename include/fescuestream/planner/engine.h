#pragma once

/**
 * @file
 * Decides which pool each server works for and when it may be stopped for maintenance. A pure
 * library: what is known goes in as changes, decisions with their reasons come out. Work is done
 * for what changed only, so a step after one loss does not look at the whole fleet.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/catalogue/command.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescue::planner {

/** When the planner acts; each hold keeps a passing change from moving servers. */
struct policy {
    /** Slots kept for each slot in use before a pool lends; moving them back costs more. */
    double headroom{1.1};
    /** A large shortage that lasted this long moves servers to a pool. */
    milliseconds grow_hold{100};
    /** A small one must last this long: a peak is over before the servers come. */
    milliseconds small_hold{2500};
    /** A shortage of this part of a pool is large. */
    double large_part{0.2};
    /** A pool has more than it wants for this long before it gives to a short one. */
    milliseconds lend_hold{500};
    /** And for this long before it gives back to the spare pool with nobody asking. */
    milliseconds return_hold{300'000};
    /** Demand falls with this time constant; it rises at once. */
    milliseconds demand_decay{2000};
    /** Losses within this time count as one storm. */
    milliseconds storm_window{30'000};
    /** A storm: this many losses, or this part of the fleet, whichever is more. */
    std::uint32_t storm_losses{3};
    double storm_part{0.04};
    /** Lend from where demand ended last; else from the spare pool first, then the largest. */
    bool lend_latest{true};
    /** Servers one pool may receive in one step. */
    std::uint32_t most_moves{64};

    bool operator==(const policy&) const = default;
};

/** A planner with no hysteresis, the baseline of the benchmark. */
policy without_hysteresis() noexcept;

struct pool_rule {
    std::uint32_t least_servers{1};
    std::uint32_t availability_budget{1};
    bool spare{false};
};

/** A server as the planner sees it. */
struct server_view {
    server_id id;
    data_centre_id data_centre;
    rack_id rack;
    pool_id pool;
    epoch_number epoch{0};
    std::optional<pool_id> moving_to;
    std::uint32_t slots{0};
    std::uint32_t running{0};
    /** Heard by its home, not leaving, its data centre in service. */
    bool alive{false};
    /** Nothing runs on it, and its home starts nothing more under this epoch. */
    bool drained{false};
    /** Its phase in an open wave. */
    std::optional<catalogue::wave_phase> phase;
    /** Another incarnation than the one that was told to stop. */
    bool restarted{false};

    bool operator==(const server_view&) const = default;
};

enum class action : std::uint8_t { assign, drain, wave_step };

/** One decision, and why. */
struct decision {
    action what{action::assign};
    server_id server;
    epoch_number epoch{0};
    pool_id from;
    pool_id to;
    wave_id wave;
    catalogue::wave_phase phase{catalogue::wave_phase::waiting};
    std::string reason;
};

/** What is kept against the loss of the largest failure domain. */
struct buffer_view {
    /** Servers that the pools want for their demand. */
    std::uint32_t wanted{0};
    /** Least servers that still suffice after the loss of any one data centre (or rack). */
    std::uint32_t needed_for_data_centre{0};
    std::uint32_t needed_for_rack{0};
    /** Servers that are alive. */
    std::uint32_t alive{0};

    /** @return servers held beyond demand, for the loss of a data centre. */
    std::uint32_t price() const noexcept { return needed_for_data_centre - wanted; }
    bool covered() const noexcept { return alive >= needed_for_data_centre; }
};

/**
 * Least number of servers, drawn evenly from domains of the given sizes, of which @p wanted remain
 * after the loss of any one domain; 0 when the domains are too few.
 */
std::uint32_t servers_to_survive(std::uint32_t wanted, const std::vector<std::uint32_t>& domains);

class engine {
public:
    explicit engine(policy rules = {}) : policy_{rules} {}

    void configure(const std::map<pool_id, pool_rule>& pools);
    /** Takes a server as it is now. */
    void upsert(const server_view& view, mono_time now);
    void erase(const server_id& id);
    /** Takes a pool's use: slots running and waiting. */
    void demand(const pool_id& pool, double slots, mono_time now);
    /** Takes a wave and the servers that it has still to do. */
    void set_wave(const wave_id& id, const std::set<server_id>& waiting);
    void end_wave(const wave_id& id);

    /** @return what is to be done now; asked again it says the same until it is done. */
    std::vector<decision> step(mono_time now);

    buffer_view buffers() const;
    /** @return servers of the pool that are away: lost, leaving or in maintenance. */
    std::uint32_t away(const pool_id& pool) const;
    std::uint32_t wanted(const pool_id& pool) const;
    bool in_storm(mono_time now) const;

private:
    using domain_counts = std::map<std::pair<data_centre_id, rack_id>, std::uint32_t>;

    struct pool_state {
        pool_rule rule;
        std::set<server_id> members;
        /** Members that take work, by data centre and rack. */
        domain_counts spread;
        std::map<data_centre_id, std::uint32_t> places;
        std::uint32_t usable{0};
        std::uint32_t incoming{0};
        /** Highest use of late, slowly falling. */
        double demand{0};
        mono_time demand_at{};
        /** Use within the longer of the two holds, the oldest first. */
        std::deque<std::pair<mono_time, double>> recent;
        std::optional<mono_time> over_since;
    };

    static bool usable(const server_view& s) noexcept;
    void count(const server_view& s, int by);
    void note_loss(const server_view* before, const server_view& after, mono_time now);
    double slots_per_server() const;
    std::int64_t surplus(const pool_state& p) const;
    std::uint32_t wanted_of(const pool_state& p) const;
    /** @return servers that demand called for all through the time before now. */
    std::uint32_t lasting_want(const pool_state& p, milliseconds hold) const;
    /** @return servers that are worth their move now. */
    std::int64_t shortage(const pool_state& p) const;
    void follow(pool_state& p, mono_time now);
    void finish_moves(std::vector<decision>& out);
    void place_new(std::vector<decision>& out);
    void grow_pools(std::vector<decision>& out, mono_time now);
    void return_spares(std::vector<decision>& out, mono_time now);
    void step_waves(std::vector<decision>& out, mono_time now);
    bool held(const std::optional<mono_time>& since, milliseconds hold, mono_time now) const;
    std::optional<pool_id> best_donor(const pool_id& receiver, mono_time now) const;
    std::optional<server_id> choose(const pool_state& from, const pool_state& to) const;
    void start_move(const server_id& id, const pool_id& to, std::string reason,
                    std::vector<decision>& out, mono_time now);

    policy policy_;
    std::map<pool_id, pool_state> pools_;
    std::unordered_map<server_id, server_view> servers_;
    /** Servers that need a look: without a pool, draining, or in a wave. */
    std::set<server_id> unplaced_;
    std::set<server_id> moving_;
    std::set<server_id> in_wave_;
    std::map<wave_id, std::set<server_id>> waves_;
    std::map<data_centre_id, std::uint32_t> alive_by_place_;
    std::map<std::pair<data_centre_id, rack_id>, std::uint32_t> alive_by_rack_;
    std::uint32_t alive_{0};
    std::uint64_t alive_slots_{0};
    std::deque<mono_time> losses_;
};

} // namespace fescue::planner
