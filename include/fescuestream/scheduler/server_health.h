#pragma once

/**
 * @file
 * Detects servers whose tasks fail or stall, based on the outcome of runs and not on the servers'
 * own reports.
 *
 * Load pattern: some servers of a pool fail every task immediately, so they appear idle and attract
 * more work; others stall their tasks. A server with several consecutive failures gets no work for
 * a delay that grows, and then single trial tasks; one success clears it. The delay is capped, so
 * servers are tried again when the work itself causes the failures.
 */

#include "fescuestream/base/ids.h"

#include <map>

namespace fescue::scheduler {

class server_health {
public:
    /** Records a successful run on the server. */
    void record_success(const server_id& id);
    /** Records a run that failed, was refused or stalled. */
    void record_failure(const server_id& id, mono_time now);
    void remove(const server_id& id);

    /** @return whether the server gets no work at present. */
    bool is_backed_off(const server_id& id, mono_time now) const;
    /** @return whether the server gets only one task at a time. */
    bool is_on_trial(const server_id& id) const;
    /** @return the number of consecutive failures, used to rank servers. */
    std::uint32_t consecutive_failures(const server_id& id) const;

private:
    struct failure_record {
        std::uint32_t consecutive_failures{0};
        mono_time blocked_until{};
    };
    std::map<server_id, failure_record> records_;
};

} // namespace fescue::scheduler
