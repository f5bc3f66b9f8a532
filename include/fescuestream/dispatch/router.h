#pragma once

/**
 * @file
 * Selects the home instance for a request, based on the homes' load reports.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/wire/message.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fescue::dispatch {

/** Load reports older than this are ignored. */
inline constexpr milliseconds load_report_max_age{600};

class router {
public:
    void update(const instance_id& home, const wire::load_report& load, mono_time now);
    void forget(const instance_id& home);
    /** @return homes whose reports expired since the last call. */
    std::vector<instance_id> take_expired_homes(mono_time now);
    /** Counts a request as sent to the home since its last report. */
    void record_sent(const instance_id& home, const pool_id& pool);

    /**
     * Chooses the home with the lowest load per slot; this instance is preferred over an equally
     * loaded one.
     * @param avoid homes that refused or lost the request already.
     */
    std::optional<instance_id> choose(const pool_id& pool, const instance_id& self,
                                      const std::set<instance_id>& avoid, mono_time now) const;
    /** @return the team's running tasks in the pool at all other homes. */
    std::uint32_t running_elsewhere(const pool_id& pool, const team_id& team,
                                    const instance_id& self) const;
    /** @return number of homes with slots of the pool. */
    std::uint32_t homes(const pool_id& pool) const;
    /** @return total slots of the pool over all homes. */
    std::uint32_t slots(const pool_id& pool) const;

private:
    struct home_load {
        mono_time reported_at{};
        bool accepting{false};
        bool expired{false};
        std::map<pool_id, wire::pool_load> pools;
        std::map<pool_id, std::map<team_id, std::uint32_t>> running;
        std::map<pool_id, std::uint32_t> sent_since_report;
    };

    std::map<instance_id, home_load> homes_;
};

} // namespace fescue::dispatch
