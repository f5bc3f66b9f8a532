#pragma once

/**
 * @file
 * The backend servers that this instance is the home of: their slots, what runs on them, and
 * whether they may get new work.
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

/** A server that was not heard for this long gets no new work. */
inline constexpr milliseconds server_lease{3000};
/** Failures in a row that put a server on probation. */
inline constexpr std::uint32_t failures_to_probation = 3;
/** Pause before a server on probation gets its next single trial. */
inline constexpr milliseconds probation_pause{1000};
/** At most one in this many servers of a pool is on probation. */
inline constexpr std::uint32_t probation_part = 2;
/** A lost task counts as gone when this many announcements in a row do not name it. */
inline constexpr std::uint32_t silent_announcements = 2;

/** What the control state says of a server now; read at the moment of use. */
struct server_permission {
    bool may_start{false};
    pool_id pool;
    epoch_number epoch{0};
};

/** One task on a server, started here. */
struct running_task {
    team_id team;
    pool_id pool;
    /** The server's answer can no longer come. */
    bool lost{false};
    mono_time lost_at{};
    std::uint32_t not_named{0};
    /** When it is surely over. */
    mono_time over_at{};
};

struct homed_server {
    wire::announcement info;
    mono_time heard{};
    std::map<request_id, running_task> tasks;
    /** Tasks that the server names and another home started. */
    std::set<request_id> foreign;
    /** Tasks that ended lately: an announcement may still name them. */
    std::map<request_id, mono_time> lately_ended;
    std::uint32_t failures{0};
    mono_time probation_until{};

    std::uint32_t occupied() const noexcept
    {
        return static_cast<std::uint32_t>(tasks.size() + foreign.size());
    }
    bool on_probation() const noexcept { return failures >= failures_to_probation; }
};

/** How an attempt went, as far as the server's health is concerned. */
enum class attempt_outcome : std::uint8_t { answered, failed };

/** A task that ended or was given up, to be taken out of the counts. */
struct ended_task {
    request_id id;
    team_id team;
    pool_id pool;
};

class server_table {
public:
    /** Takes an announcement. @return lost tasks that are now surely over. */
    std::vector<ended_task> announce(const wire::announcement& info, mono_time now);
    /** Takes out lost tasks whose time is over, and servers silent for long with nothing running.
     */
    std::vector<ended_task> expire(mono_time now);
    /** Forgets what is not this instance's any more and has nothing running. */
    void keep_only(const std::function<bool(const server_id&)>& mine);

    /**
     * Chooses the least loaded server with a free slot.
     * @param permission what the control state says of each server, now.
     * @param avoid servers that were tried already.
     */
    template <class Permission>
    std::optional<server_id> choose(const pool_id& pool, const std::set<server_id>& avoid,
                                    mono_time now, Permission&& permission) const;

    /** @return free slots of a pool, now. */
    template <class Permission>
    wire::pool_load load(const pool_id& pool, mono_time now, Permission&& permission) const;

    void started(const server_id& server, const request_id& id, running_task task);
    /** The answer came, or the task surely never ran. */
    std::optional<ended_task> ended(const server_id& server, const request_id& id, mono_time now);
    /** The answer was lost; the task keeps its place until it is surely over. */
    void lost(const server_id& server, const request_id& id, mono_time now);
    void note(const server_id& server, attempt_outcome outcome, mono_time now);

    const std::map<server_id, homed_server>& all() const noexcept { return servers_; }
    bool alive(const server_id& server, mono_time now) const;

private:
    bool too_many_on_probation(const pool_id& pool) const;

    std::map<server_id, homed_server> servers_;
    std::map<server_id, pool_id> pools_;
};

/** Retries are allowed as a part of the traffic, so that a wave of failures is not multiplied. */
class retry_budget {
public:
    /** One more first attempt was made. */
    void earn() noexcept;
    /** @return whether one more retry may be made, and takes it. */
    bool spend() noexcept;

private:
    static constexpr double part = 0.1;
    static constexpr double most_saved = 50;
    double saved_{10};
};

} // namespace fescue::dispatch

#include "fescuestream/dispatch/server_table-inl.h"
