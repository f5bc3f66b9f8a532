#pragma once

/**
 * @file
 * Assigns servers to pools and decides when each server may be stopped for maintenance. A pure
 * library without I/O: the caller passes in state changes and gets decisions with their reasons.
 * State is updated incrementally, so a step after one loss does not scan the whole fleet.
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

/** Planner thresholds. The delays add hysteresis, so that short changes do not move servers. */
struct policy {
    /** Slots a pool keeps per slot in use before it lends servers; moving them back costs more. */
    double headroom{1.1};
    /** Time a large shortage must last before servers are moved to the pool. */
    milliseconds large_shortage_delay{100};
    /** Time a small shortage must last; shorter peaks end before moved servers arrive. */
    milliseconds small_shortage_delay{2500};
    /** Shortage, as a fraction of the pool's servers, from which it counts as large. */
    double large_shortage_fraction{0.2};
    /** Time a pool must have a surplus before it gives servers to a pool with a shortage. */
    milliseconds donor_surplus_delay{500};
    /** Time a pool must have a surplus before it returns servers to the spare pool unasked. */
    milliseconds return_to_spare_delay{300'000};
    /** Time constant with which the demand estimate decays; increases apply immediately. */
    milliseconds demand_decay_time{2000};
    /** Sliding window in which server losses are counted for storm detection. */
    milliseconds storm_window{30'000};
    /** A storm is this many losses or this fraction of the fleet, whichever is greater. */
    std::uint32_t storm_min_losses{3};
    double storm_loss_fraction{0.04};
    /** Prefer the donor whose surplus began last; otherwise the spare pool, then the largest
     * surplus. */
    bool prefer_latest_surplus{true};
    /** Maximum number of servers that one pool receives or returns in one step. */
    std::uint32_t max_moves_per_step{64};

    bool operator==(const policy&) const = default;
};

/** Policy without hysteresis, the baseline that the trace tests compare against. */
policy without_hysteresis() noexcept;

struct pool_rule {
    std::uint32_t min_servers{1};
    std::uint32_t availability_budget{1};
    bool spare{false};
};

/** The server state that the planner works on. */
struct server_view {
    server_id id;
    data_centre_id data_centre;
    rack_id rack;
    pool_id pool;
    epoch_number epoch{0};
    std::optional<pool_id> moving_to;
    std::uint32_t slots{0};
    std::uint32_t running{0};
    /** In contact with its home instance, not leaving, and in a data centre that is in service. */
    bool alive{false};
    /** No task is running, and the home instance starts no more tasks under this epoch. */
    bool drained{false};
    /** Phase in an open maintenance wave. */
    std::optional<catalogue::wave_phase> phase;
    /** The incarnation differs from the one recorded when the server was allowed to stop. */
    bool restarted{false};

    bool operator==(const server_view&) const = default;
};

enum class action : std::uint8_t { assign, drain, wave_step };

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

/** Spare capacity held against the loss of the largest failure domain. */
struct spare_capacity {
    /** Servers needed for the demand of all pools. */
    std::uint32_t target_servers{0};
    /** Minimum number of servers that still meets demand after the loss of any one data centre
     * (or rack). */
    std::uint32_t needed_for_data_centre{0};
    std::uint32_t needed_for_rack{0};
    std::uint32_t alive{0};

    /** @return servers needed beyond demand to survive the loss of a data centre. */
    std::uint32_t servers_beyond_demand() const noexcept
    {
        return needed_for_data_centre - target_servers;
    }
    bool is_sufficient() const noexcept { return alive >= needed_for_data_centre; }
};

/**
 * @param domains number of servers in each failure domain.
 * @return minimum number of servers, spread evenly over the domains, such that @p wanted remain
 * after the loss of any one domain; 0 if the domains do not suffice.
 */
std::uint32_t servers_to_survive(std::uint32_t target_servers,
                                 const std::vector<std::uint32_t>& domains);

class engine {
public:
    explicit engine(policy rules = {}) : policy_{rules} {}

    void configure(const std::map<pool_id, pool_rule>& pools);
    /** Inserts a server or updates its state. */
    void upsert(const server_view& view, mono_time now);
    void erase(const server_id& id);
    /** Records a pool's demand in slots, running and waiting. */
    void demand(const pool_id& pool, double slots, mono_time now);
    /** Sets the servers that a maintenance wave has not finished yet. */
    void set_wave(const wave_id& id, const std::set<server_id>& waiting);
    void end_wave(const wave_id& id);

    /** @return pending decisions; a decision is returned again as long as the state passed to
     * upsert() does not reflect it. */
    std::vector<decision> step(mono_time now);

    spare_capacity current_spare_capacity() const;
    /** @return number of unavailable servers of the pool: lost, leaving or in maintenance. */
    std::uint32_t unavailable_servers(const pool_id& pool) const;
    std::uint32_t target_servers(const pool_id& pool) const;
    bool in_storm(mono_time now) const;

private:
    using rack_counts = std::map<std::pair<data_centre_id, rack_id>, std::uint32_t>;

    struct pool_state {
        pool_rule rule;
        std::set<server_id> members;
        /** Members that accept work, by rack and by data centre. */
        rack_counts usable_by_rack;
        std::map<data_centre_id, std::uint32_t> usable_by_data_centre;
        std::uint32_t usable{0};
        std::uint32_t incoming{0};
        /** Peak demand in slots, decaying exponentially. */
        double demand_peak{0};
        mono_time demand_updated_at{};
        /** Demand samples that cover small_shortage_delay, oldest first. */
        std::deque<std::pair<mono_time, double>> recent_demand;
        std::optional<mono_time> surplus_since;
    };

    static bool is_usable(const server_view& s) noexcept;
    void update_counts(const server_view& s, int sign);
    void record_loss(const server_view* before, const server_view& after, mono_time now);
    double slots_per_server() const;
    std::int64_t surplus(const pool_state& p) const;
    std::uint32_t target_servers(const pool_state& p) const;
    /** @return servers needed for the lowest demand within the last @p delay. */
    std::uint32_t sustained_target(const pool_state& p, milliseconds delay) const;
    /** @return missing servers whose shortage has lasted long enough to justify moves. */
    std::int64_t shortage(const pool_state& p) const;
    void update_surplus_timer(pool_state& p, mono_time now);
    void finish_moves(std::vector<decision>& out);
    void place_unassigned(std::vector<decision>& out);
    void grow_pools(std::vector<decision>& out, mono_time now);
    void return_surplus_to_spare(std::vector<decision>& out, mono_time now);
    void advance_waves(std::vector<decision>& out, mono_time now);
    bool has_lasted(const std::optional<mono_time>& start, milliseconds delay, mono_time now) const;
    std::optional<pool_id> best_donor(const pool_id& receiver, mono_time now) const;
    std::optional<server_id> choose_server(const pool_state& from, const pool_state& to) const;
    void start_move(const server_id& id, const pool_id& to, std::string reason,
                    std::vector<decision>& out, mono_time now);

    policy policy_;
    std::map<pool_id, pool_state> pools_;
    std::unordered_map<server_id, server_view> servers_;
    /** Servers that need action in a step: without a pool, moving, or in a wave. */
    std::set<server_id> unassigned_;
    std::set<server_id> moving_;
    std::set<server_id> in_wave_;
    std::map<wave_id, std::set<server_id>> waves_;
    std::map<data_centre_id, std::uint32_t> alive_by_data_centre_;
    std::map<std::pair<data_centre_id, rack_id>, std::uint32_t> alive_by_rack_;
    std::uint32_t alive_{0};
    std::uint64_t alive_slots_{0};
    std::deque<mono_time> loss_times_;
};

} // namespace fescue::planner
