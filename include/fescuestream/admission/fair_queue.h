#pragma once

/**
 * @file
 * The queue of one pool at one home: bounded by service, ordered by class and arrival within a
 * team, and between teams by who has least running for its share.
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

/** What waits. */
struct waiting_item {
    request_id id;
    team_id team;
    service_id service;
    catalogue::service_class cls{catalogue::service_class::normal};
    mono_time deadline{};
};

/** A team's claim to the next slot: the team with the smallest goes first. */
using score_function = std::function<double(const team_id&)>;

class fair_queue {
public:
    void push(waiting_item item);
    /** Takes the next item of the team with the smallest score among those that may start. */
    std::optional<waiting_item> pick(const std::function<bool(const team_id&)>& may_start,
                                     const score_function& score);
    /** Takes out every item whose deadline has passed. */
    std::vector<waiting_item> take_expired(mono_time now);
    /** Takes out every item that the predicate names. */
    std::vector<waiting_item> take_if(const std::function<bool(const waiting_item&)>& gone);

    std::size_t size() const noexcept { return size_; }
    std::size_t waiting(const service_id& service) const;
    std::size_t waiting(const team_id& team) const;
    /** @return teams with something waiting. */
    std::vector<team_id> teams() const;

private:
    static constexpr std::size_t classes = 3;
    using lanes = std::array<std::deque<waiting_item>, classes>;

    void left(const waiting_item& item);

    std::map<team_id, lanes> teams_;
    std::map<service_id, std::size_t> by_service_;
    std::size_t size_{0};
};

/**
 * A team's score from what runs here and elsewhere. What runs elsewhere is known late, and every
 * home sees the same excess; weighing it by the number of homes keeps them from all correcting it.
 */
double fair_score(std::uint32_t running_here, std::uint32_t running_elsewhere, std::uint32_t homes,
                  double share) noexcept;

} // namespace fescue::admission
