#pragma once

/**
 * @file
 * The leader's view of one backend server: its clock, its lease, and its runs. These types do no
 * I/O and take the current time as an argument.
 */

#include "protocol.h"
#include "server_fence.h"

#include "fescuestream/jobs/model.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fescue::fleet {

/** Lowest rate of a server's clock relative to true time; the platform's documentation allows 2 %
 * drift. */
inline constexpr double min_clock_rate = 0.98;

/** Computes a lower bound on a server's monotonic clock. */
class server_clock {
public:
    /** Records a reading. @param received_at when it arrived; the server took it earlier. */
    void record_reading(std::int64_t clock_ms, mono_time received_at) noexcept;
    /** @return a lower bound on the clock now, or nothing if there is no reading. */
    std::optional<std::int64_t> lower_bound(mono_time now) const noexcept;
    /** @return whether a reading that was taken after @p sent is too low for this clock, so that
     * it comes from a later incarnation of the server, whose clock started anew. */
    bool is_before(std::int64_t clock_ms, mono_time sent) const noexcept;
    void reset() noexcept { reading_.reset(); }

private:
    struct reading {
        std::int64_t clock_ms{0};
        mono_time received_at{};
    };
    std::optional<reading> reading_;
};

enum class run_stage : std::uint8_t {
    /** An earlier leader sent the start; the server has not been polled yet. */
    inherited,
    /** The start has been sent and not answered. */
    ordered,
    /** The server has accepted the start, or lists the run. */
    confirmed,
    /** The start got no answer. Unless a poll lists the run, the server may execute the start until
     * it has confirmed a higher fencing token, or until no copy can arrive. */
    in_doubt,
};

std::string_view name_of(run_stage stage) noexcept;

struct run_view {
    std::uint32_t attempt{0};
    /** Capacity that the run takes on the server. */
    jobs::resources allocated;
    bool long_running{false};
    /** The run serves its own users and has a latency limit. */
    bool latency_limited{false};
    run_stage stage{run_stage::ordered};
    /** Server incarnation in which a poll listed the run; 0: none has. */
    incarnation listed_in{0};
    mono_time ordered_at{};
    /** Number of copies of the start that were sent, and how many of them got no answer. */
    std::uint32_t starts_sent{0};
    std::uint32_t starts_unanswered{0};
    /** Fencing token of the latest copy, and the highest one of a copy without an answer. */
    term_number start_token{0};
    term_number unanswered_token{0};
    /** By when every copy without an answer has been executed or refused. */
    mono_time late_starts_end{};
    /** The reply to the start came from a later incarnation than the one that it was meant for. */
    bool started_by_later_incarnation{false};
    /** When the start timed out. Polls sent earlier do not show whether it was executed. */
    mono_time in_doubt_since{};
    /** The start was sent by an earlier leader, which recorded that it got no answer. */
    bool earlier_start_unanswered{false};
    /** Polls sent after this time list the run if it is or was on the server. */
    std::optional<mono_time> visible_from;
    /** Why the run is to be stopped; empty: no stop is requested. */
    std::string stop_reason;
    bool stop_in_flight{false};
    bool stop_acknowledged{false};
    bool stop_failure_logged{false};
    mono_time last_stop_attempt{};
    /** The end of the run has been proposed to the log. */
    bool end_proposed{false};
    int percent{0};
    std::int64_t load_metric{0};
    std::string checkpoint;
    /** The server was being drained for maintenance when the run started: no other had capacity. */
    bool started_while_draining{false};
    /** Since when every poll has shown the run at full work. */
    std::optional<mono_time> ready_since;
    /** Percentage of full speed in the last accepted throttle order. */
    int speed_percent{100};
    bool throttle_in_flight{false};

    /** @return whether a copy of the start is on its way, so that the server or its next
     * incarnation may execute it. */
    bool start_may_arrive(mono_time now) const noexcept;
    /** Records that a copy of the start got no answer.
     * @param until when it has been executed or refused. */
    void record_unanswered_start(term_number token, mono_time until) noexcept;
    /** Records that the server has executed one copy of the start. */
    void record_execution(incarnation by) noexcept;
};

struct server_view {
    jobs::server_report report;
    /** Memory of the view and its report that run_driver counts for it. */
    std::size_t counted_bytes{0};
    mono_time last_report_at{};
    /** When the first report reached this instance. */
    mono_time first_seen_at{};
    /** Time of the last report that reached this instance. Unlike last_report_at, it is not reset
     * by a change of leader. */
    mono_time reported_at{};
    server_clock clock;
    server_fence fence;
    /** A poll that confirms the fencing token is due although the server may have no runs. */
    bool fence_pending{false};
    /** When the last unanswered start of an ended run can no longer arrive. */
    mono_time late_starts_end{};
    /** The server has seen this leader's fencing token, and its lists have been read since. */
    bool fenced{false};
    /** End of the newest lease that this leader sent, on the server's clock; 0: none. */
    std::int64_t lease_end_ms{0};
    /** When every lease granted by an earlier leader has expired. */
    mono_time inherited_lease_expires_at{};
    /** The log records that the leases are frozen. */
    bool lease_frozen{false};
    /** This leader has proposed to freeze the leases; the command has not been applied. */
    bool freeze_pending{false};
    /** The latest such command states that the server has ended. */
    bool end_recorded{false};
    /** This leader has proposed to unfreeze the leases; the command has not been applied. */
    bool unfreeze_pending{false};
    /** Number of the last end that is committed to the log; the server may drop those up to it. */
    std::uint64_t acknowledged_end{0};
    /** Largest such number that the current incarnation has seen. */
    std::uint64_t confirmed_acknowledgement{0};
    /** Number of the last end that was read from the server's list. */
    std::uint64_t last_collected_end{0};
    std::map<jobs::task_id, run_view> runs;
    /** When this instance learned of the current incarnation. Replies to earlier orders may come
     * from the one before. */
    mono_time restarted_at{};
    /** When the leases have expired that orders for earlier incarnations may grant to this one,
     * until it refuses them. */
    mono_time stray_leases_expire_at{};
    /** When the newest order with a lease was sent. */
    mono_time lease_sent_at{};
    bool poll_in_flight{false};
    mono_time next_poll{};
    /** When the newest answered poll was sent. */
    mono_time last_poll_sent{};
    /** Consecutive polls and starts without an answer. */
    std::uint32_t misses{0};
    /** The server has sent its final shutdown notice. */
    bool has_shut_down{false};
    /** When its process is expected to have ended, if has_shut_down. */
    mono_time shut_down_by{};
    /** Its process has certainly ended: after the notice it refused a connection. */
    bool end_confirmed{false};
    /** Gets no new runs before this time, since it did not accept a start. */
    mono_time refused_until{};
    /** Runs in the last poll that the log does not know. They take capacity until they have ended,
     * but how much is not known, so the server gets no new runs meanwhile. */
    std::size_t unknown_runs{0};
    /** The server refused a start for lack of capacity, so its last report is out of date. */
    bool capacity_outdated{false};
    /** Excluded from new runs because of maintenance or a move of its machine. */
    bool cordoned{false};
    /** Being drained for maintenance that has not begun: gets only long-running tasks that have
     * waited for another server in vain. */
    bool draining{false};
    /** The server's machine is due for maintenance. */
    bool maintenance_due{false};
    /** Capacity that the runs take. */
    jobs::resources used;
    /** Runs that are long-running, and runs that have a latency limit. */
    std::uint32_t long_running_count{0};
    std::uint32_t latency_limited_count{0};

    /** Drops the runs and the totals derived from them. */
    void clear_runs() noexcept;
    /**
     * Records that the server's current incarnation has accepted an order with this token.
     * @param max_lease the longest lease that a server grants.
     */
    void confirm_fence(term_number token, mono_time now, milliseconds max_lease) noexcept;
    /** Makes the server refuse the orders that are on their way, from the next poll on. */
    void raise_fence(term_number token) noexcept;
    /** @return whether the server's current incarnation may execute a copy of the run's start. */
    bool may_execute_start(const run_view& run, mono_time now) const noexcept;
    bool reachable() const noexcept { return misses == 0 && !has_shut_down; }
    /** @return whether a lease may be granted or extended. */
    bool may_renew_lease() const noexcept { return !lease_frozen && !freeze_pending; }
    /** @return whether the last poll got no answer, or no poll can be sent. */
    bool unresponsive() const noexcept { return misses > 0 || report.address.empty(); }
    /** @return whether a long-running task that started within the window is not at full work. */
    bool has_starting_task(mono_time now, milliseconds window) const noexcept;
    /** @return whether the reported capacity is recent enough for a server that starts whatever it
     * is told to. */
    bool capacity_is_recent(mono_time now, milliseconds max_age) const noexcept
    {
        return now - reported_at < max_age;
    }
    /** @return whether every lease on the server has certainly expired. */
    bool is_lease_expired(mono_time now) const noexcept;
    /** @return time until every lease on the server has certainly expired. */
    milliseconds remaining_lease(mono_time now) const noexcept;
    jobs::resources free() const noexcept { return report.capacity - used; }
};

} // namespace fescue::fleet
