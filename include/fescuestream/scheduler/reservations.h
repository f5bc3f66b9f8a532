#pragma once

/**
 * @file
 * Reserves capacity that running tasks will free for large waiting tasks.
 *
 * Load pattern: a pool is full of small tasks. Whenever one ends, the next small one takes its
 * place, so a task that needs a large part of a server never finds enough free capacity on any,
 * although the pool frees many times that amount each second. For the most urgent such tasks, the
 * server on which they fit earliest is reserved. Less urgent tasks may still use it if they are
 * expected to end before the reservation starts, or if the server has capacity for both.
 */

#include "fescuestream/scheduler/placement.h"

#include <functional>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace fescue::scheduler {

/** When a run is expected to end, and the capacity that it frees. */
struct expected_end {
    mono_time at{};
    jobs::resources freed;
};

/** @return when a run that has begun at @p started is expected to end. One that takes longer than
 * expected is expected to take as long again as it is overdue. */
mono_time predict_end(mono_time started, milliseconds expected, mono_time now) noexcept;

/** Run time of a task that is not expected to end. */
inline constexpr milliseconds unlimited_run_time = std::chrono::hours{24 * 365};

struct reservation {
    /** Index of the server. */
    std::size_t server{0};
    /** When the server is expected to have the capacity. */
    mono_time start{};
    /** What the server will have free at the start beside the reserved capacity. */
    jobs::resources spare;
};

/** The reservations of one pool in one scheduling round. They are made anew in each round, in order
 * of urgency, so a later and more urgent job is not held up by earlier ones. */
class reservations {
public:
    /** Ends of the runs on the server with this index, in any order. */
    using ends_of_server = std::function<std::vector<expected_end>(std::size_t)>;

    /** @return whether the task needs so much of a server that it rarely finds it free. */
    static bool is_large(const jobs::resources& need, const jobs::resources& capacity) noexcept;

    /**
     * Reserves the server on which the task fits earliest.
     * @param servers the pool's servers; must be the same in all calls.
     * @param max_wait latest useful start from now.
     * @return nullptr if no server is expected to have the capacity by then, or if the round has
     * its maximum of reservations.
     */
    const reservation* reserve(std::span<const server_candidate> servers,
                               const ends_of_server& ends, const jobs::step_spec& step,
                               const placement_hints& hints, milliseconds max_wait, mono_time now);
    /** @return whether the server may take a task that is expected to end within @p run_time. */
    bool allows(std::size_t server, const jobs::resources& need, milliseconds run_time,
                mono_time now) const;
    /** Records a task that was placed on the server after it was reserved. */
    void record_placement(std::size_t server, const jobs::resources& need, milliseconds run_time,
                          mono_time now);
    bool empty() const noexcept { return reserved_.empty(); }
    bool is_full() const noexcept;

private:
    const reservation* find(std::size_t server) const;
    /** @return the ends on the server, sorted by time. */
    const std::vector<expected_end>& sorted_ends(std::size_t server, const ends_of_server& ends);

    std::vector<reservation> reserved_;
    /** Ends of the servers that were considered in this round. */
    std::unordered_map<std::size_t, std::vector<expected_end>> ends_;
};

} // namespace fescue::scheduler
