#pragma once

/**
 * @file
 * Weighted fair queue of one pool at one home instance. Requests of a team are ordered by service
 * class, then by arrival; between teams, the one with the fewest running tasks relative to its
 * share goes first. The counts per service let the caller bound each service's queue.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/catalogue/document.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace fescue::admission {

/** A queued request. */
struct waiting_item {
    request_id id;
    team_id team;
    service_id service;
    catalogue::service_class priority_class{catalogue::service_class::normal};
    mono_time deadline{};
};

/** Returns a team's score; the team with the smallest score gets the next slot. */
using score_function = std::function<double(const team_id&)>;

class fair_queue {
public:
    void push(waiting_item item);
    /** Removes and returns the next item of the team with the smallest score, among the teams that
     * may start tasks. */
    std::optional<waiting_item> pick(const std::function<bool(const team_id&)>& may_start,
                                     const score_function& score);
    /** Removes and returns all items whose deadline has passed. */
    std::vector<waiting_item> remove_expired(mono_time now);
    /** Removes and returns all items that match the predicate. */
    std::vector<waiting_item> remove_if(const std::function<bool(const waiting_item&)>& predicate);

    std::size_t size() const noexcept { return size_; }
    std::size_t waiting(const service_id& service) const;
    std::size_t waiting(const team_id& team) const;
    /** @return teams with waiting items. */
    std::vector<team_id> teams() const;

private:
    static constexpr std::size_t class_count = 3;
    using class_queues = std::array<std::deque<waiting_item>, class_count>;

    void remove_from_counts(const waiting_item& item);

    std::map<team_id, class_queues> teams_;
    std::map<service_id, std::size_t> waiting_by_service_;
    std::size_t size_{0};
};

/**
 * Computes a team's score from its running tasks here and at other homes. Remote counts arrive late
 * and every home sees the same excess; dividing them by the number of homes keeps all homes from
 * correcting the whole excess at the same time.
 */
double fair_score(std::uint32_t running_here, std::uint32_t running_elsewhere, std::uint32_t homes,
                  double share) noexcept;

} // namespace fescue::admission
