#pragma once

/**
 * @file
 * How much work arrives at each pool, if it goes on like this.
 *
 * Load pattern: a burst begins within a fraction of a second, and machines take longer to come than
 * a backlog takes to build up. The work that came in a short window tells at once that it has
 * begun. Taking each job as the pool's mean job instead, which makes the rate steadier, brought
 * machines later and gained nothing.
 */

#include "fescuestream/base/ids.h"

#include <deque>
#include <map>

namespace fescue::scheduler {

class arrival_rate {
public:
    /** A job arrived. @param core_ms all of its work, in core-milliseconds. */
    void arrived(const pool_id& pool, double core_ms, mono_time now);
    /** @return thousandths of a core that keep up with what arrives; 0: too few jobs to tell. */
    std::int64_t cpu_milli(const pool_id& pool, mono_time now);

private:
    struct arrival {
        mono_time at{};
        double core_ms{0};
    };
    std::map<pool_id, std::deque<arrival>> pools_;
};

} // namespace fescue::scheduler
