#pragma once

/**
 * @file
 * Choice of the home that a request goes to, from the homes' load reports.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/wire/message.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fescue::dispatch {

/** A load report older than this is not acted on. */
inline constexpr milliseconds load_report_lease{600};

class router {
public:
    void report(const instance_id& home, const wire::load_report& load, mono_time now);
    void forget(const instance_id& home);
    /** @return homes whose reports stopped since the last call. */
    std::vector<instance_id> newly_silent(mono_time now);
    /** One request went to the home since its last report. */
    void sent(const instance_id& home, const pool_id& pool);

    /**
     * Chooses the home with the shortest expected wait; this instance wins a tie.
     * @param avoid homes that refused or lost the request already.
     */
    std::optional<instance_id> choose(const pool_id& pool, const instance_id& self,
                                      const std::set<instance_id>& avoid, mono_time now) const;
    /** @return what the team has running in the pool at all other homes. */
    std::uint32_t running_elsewhere(const pool_id& pool, const team_id& team,
                                    const instance_id& self) const;
    /** @return how many homes have slots of the pool. */
    std::uint32_t homes(const pool_id& pool) const;
    /** @return slots of the pool over all homes. */
    std::uint32_t slots(const pool_id& pool) const;

private:
    struct home_load {
        mono_time heard{};
        bool accepting{false};
        bool silent{false};
        std::map<pool_id, wire::pool_load> pools;
        std::map<pool_id, std::map<team_id, std::uint32_t>> running;
        std::map<pool_id, std::uint32_t> sent;
    };

    std::map<instance_id, home_load> homes_;
};

} // namespace fescue::dispatch
