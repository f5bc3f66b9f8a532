#pragma once

/**
 * @file
 * What the leader believes about one backend server: its clock, its lease, and its runs. Pure
 * values; time is an argument.
 */

#include "protocol.h"

#include "fescuestream/jobs/model.h"

#include <map>
#include <optional>
#include <string>

namespace fescue::fleet {

/** A server's clock may run this much slower than true time; the platform's pages say 2 %. */
inline constexpr double slowest_clock = 0.98;

/** Bounds a server's own steady clock from below. */
class server_clock {
public:
    /** A reading that came at this time; it was taken earlier. */
    void read(std::int64_t clock_ms, mono_time came_at) noexcept;
    /** @return what the clock shows at least; nothing when it was never read. */
    std::optional<std::int64_t> at_least(mono_time now) const noexcept;
    void forget() noexcept { reading_.reset(); }

private:
    struct reading {
        std::int64_t clock_ms{0};
        mono_time came_at{};
    };
    std::optional<reading> reading_;
};

enum class run_stage : std::uint8_t {
    /** Another leader gave the order; the server has not been looked at yet. */
    inherited,
    /** The order is on its way. */
    ordered,
    /** The server has answered that it runs. */
    confirmed,
    /** The order got no answer: until the server shows the run, it may be carried out at any time
     * before a stop is answered. */
    in_doubt,
};

struct run_view {
    std::uint32_t attempt{0};
    /** What it takes of the server's room. */
    jobs::resources room;
    bool lasting{false};
    /** It must answer its own users within a limit. */
    bool serves{false};
    run_stage stage{run_stage::ordered};
    mono_time ordered_at{};
    /** When its start was given up as unanswered; only looks sent after that tell anything. */
    mono_time doubted_at{};
    /** From then on the server's lists show the run if it is there or was there. */
    std::optional<mono_time> shown_from;
    /** Why it is to be stopped; empty: it is not. */
    std::string stop_why;
    bool stop_under_way{false};
    bool stop_answered{false};
    bool stop_failed{false};
    mono_time stop_tried{};
    /** Its end is on its way into the log. */
    bool end_proposed{false};
    int percent{0};
    std::int64_t figure{0};
    std::string checkpoint;
    /** When it was first seen at its full work. */
    std::optional<mono_time> at_work_since;
    /** Share of full speed that the server was last told. */
    int pace{100};
    bool pace_under_way{false};
};

struct server_view {
    jobs::server_report report;
    mono_time heard{};
    server_clock clock;
    /** The server has seen this leader's fence, and its lists were read after that. */
    bool fenced{false};
    /** End of the newest lease sent, on the server's clock; 0: none by this leader. */
    std::int64_t lease_end_ms{0};
    /** Leases by earlier leaders are over then. */
    mono_time inherited_lease_over{};
    /** Ends that are in the log and may be forgotten there. */
    std::uint64_t acknowledged{0};
    /** Ends that were taken from the lists so far. */
    std::uint64_t taken{0};
    std::map<jobs::task_id, run_view> runs;
    bool looking{false};
    mono_time next_look{};
    /** When the newest look that was answered was sent. */
    mono_time looked_at{};
    /** Looks and orders without an answer, in a row. */
    std::uint32_t misses{0};
    /** The server said that it leaves and has ended. */
    bool left{false};
    /** No new work before then: it refused some. */
    mono_time refused_until{};
    /** Withheld from new work by an order of ours: maintenance or a move. */
    bool withheld{false};
    /** Its machine will be maintained soon. */
    bool maintenance_due{false};
    /** Room that runs in the log take. */
    jobs::resources used;
    /** Runs among them that last, and that serve within a limit. */
    std::uint32_t lasting_runs{0};
    std::uint32_t serving_runs{0};

    /** Drops the leader's view of what runs there, and what is counted from it. */
    void forget_runs() noexcept;
    bool reachable() const noexcept { return misses == 0 && !left; }
    /** @return whether a lasting task that began of late is not at its full work yet. */
    bool starts_up(mono_time now, milliseconds of_late) const noexcept;
    /** @return whether everything on the server has certainly lost its lease. */
    bool lease_surely_over(mono_time now) const noexcept;
    jobs::resources free() const noexcept { return report.capacity - used; }
};

} // namespace fescue::fleet
