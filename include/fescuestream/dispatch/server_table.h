#pragma once

/**
 * @file
 * Table of the backend servers whose home is this instance: their slots, running tasks and
 * eligibility for new work.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/wire/message.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescue::dispatch {

/** A server without an announcement for this long gets no new work. */
inline constexpr milliseconds server_lease{3000};
/** Consecutive failures that put a server on probation. */
inline constexpr std::uint32_t probation_failure_threshold = 3;
/** Delay before a server on probation gets its next trial task. */
inline constexpr milliseconds probation_retry_delay{1000};
/** At most one in this many servers of a pool may be on probation. */
inline constexpr std::uint32_t min_servers_per_probation = 2;
/** Consecutive announcements without a lost task after which it counts as ended. */
inline constexpr std::uint32_t missed_announcements_limit = 2;

/** A server's permission in the control state; looked up at each use, never cached. */
struct server_permission {
    bool may_start{false};
    pool_id pool;
    epoch_number epoch{0};
};

/** A task that this instance started on a server. */
struct running_task {
    team_id team;
    pool_id pool;
    /** The server's answer can no longer arrive. */
    bool lost{false};
    mono_time lost_at{};
    std::uint32_t missed_announcements{0};
    /** Time by which the task has certainly ended. */
    mono_time ends_by{};
};

struct server_entry {
    wire::announcement info;
    mono_time last_announced_at{};
    std::map<request_id, running_task> tasks;
    /** Announced tasks that another home started. */
    std::set<request_id> foreign_tasks;
    /** Recently ended tasks, which a delayed announcement may still list. */
    std::map<request_id, mono_time> recently_ended;
    std::uint32_t failures{0};
    mono_time probation_until{};

    std::uint32_t occupied() const noexcept
    {
        return static_cast<std::uint32_t>(tasks.size() + foreign_tasks.size());
    }
    bool on_probation() const noexcept { return failures >= probation_failure_threshold; }
};

/** Outcome of an attempt with regard to the server's health. */
enum class attempt_outcome : std::uint8_t { answered, failed };

/** A task that ended or was given up, for the caller to remove from its counts. */
struct ended_task {
    request_id id;
    team_id team;
    pool_id pool;
};

class server_table {
public:
    /** Applies an announcement. @return lost tasks that have now certainly ended. */
    std::vector<ended_task> record_announcement(const wire::announcement& info, mono_time now);
    /** Removes lost tasks whose time limit has passed, and long-silent servers without tasks.
     * @return the removed tasks. */
    std::vector<ended_task> expire(mono_time now);
    /** Removes servers that no longer belong to this instance and have no running tasks. */
    void remove_unowned(const std::function<bool(const server_id&)>& is_owned);

    /**
     * Chooses the least loaded server with a free slot.
     * @param avoid servers that were tried already.
     * @param permission returns a server's current server_permission.
     */
    template <class Permission>
    std::optional<server_id> choose(const pool_id& pool, const std::set<server_id>& avoid,
                                    mono_time now, Permission&& permission) const;

    /** @return the pool's usable and free slots. */
    template <class Permission>
    wire::pool_load load(const pool_id& pool, mono_time now, Permission&& permission) const;

    void add_task(const server_id& server, const request_id& id, running_task task);
    /** Removes a task whose answer arrived or that certainly never ran. */
    std::optional<ended_task> remove_task(const server_id& server, const request_id& id,
                                          mono_time now);
    /** Marks a task's answer as lost; the task occupies its slot until it has certainly ended. */
    void mark_lost(const server_id& server, const request_id& id, mono_time now);
    void record_outcome(const server_id& server, attempt_outcome outcome, mono_time now);

    const std::map<server_id, server_entry>& all() const noexcept { return servers_; }
    bool alive(const server_id& server, mono_time now) const;

private:
    bool probation_limit_reached(const pool_id& pool) const;

    std::map<server_id, server_entry> servers_;
    std::map<server_id, pool_id> pool_by_server_;
};

/** Limits retries to a fraction of the traffic, so that retries do not amplify an outage. */
class retry_budget {
public:
    /** Adds the credit for one first attempt. */
    void add_credit() noexcept;
    /** Consumes one retry. @return false if no retry is available. */
    bool try_spend() noexcept;

private:
    static constexpr double credit_per_attempt = 0.1;
    static constexpr double max_credit = 50;
    double credit_{10};
};

} // namespace fescue::dispatch

#include "fescuestream/dispatch/server_table-inl.h"
