#include "fescuestream/admission/allotment.h"

#include <algorithm>
#include <numeric>

namespace fescue::admission {

namespace {

/** Planning state of one holder of a team's allotment. */
struct candidate {
    instance_id id;
    incarnation incarnation_id{0};
    catalogue::allotment held;
    wire::allotment_usage use;
    bool is_home{false};
    /** No further change in this plan: already changed, or its report is for another epoch. */
    bool settled{false};
    std::uint32_t target{0};

    std::uint32_t demand() const noexcept { return use.running + use.waiting; }
    bool blocked() const noexcept { return use.waiting > 0; }
    bool idle() const noexcept { return use.waiting == 0 && use.running < held.cap; }
};

class team_plan {
public:
    team_plan(const catalogue::control_state& state, const team_id& team, std::uint32_t limit,
              allotment_plan& out)
        : team_{team}, limit_{limit}, counted_{state.counted(team)}, out_{out}
    {
    }

    void add(candidate c) { candidates_.push_back(std::move(c)); }

    void run()
    {
        std::uint32_t reachable = 0;
        for (const candidate& c : candidates_) {
            reachable += c.held.counted;
        }
        // Allotments of unreachable and ended holders are unavailable until the holder reports
        // again or they are reclaimed.
        const std::uint32_t unreachable = counted_ - std::min(counted_, reachable);
        reachable_limit_ = limit_ - std::min(limit_, unreachable);
        apply_releases();
        set_targets();
        grant();
        request_releases();
    }

private:
    void apply_releases()
    {
        for (candidate& c : candidates_) {
            if (c.use.epoch != c.held.epoch) {
                c.settled = c.held.epoch != 0;
                continue;
            }
            const std::uint32_t cap = std::min(c.use.cap, c.held.cap);
            const std::uint32_t counted = std::max(cap, c.use.running);
            if (cap != c.held.cap || counted < c.held.counted) {
                change(c, cap, std::min(counted, c.held.counted));
            }
        }
    }

    void set_targets()
    {
        const auto homes = std::ranges::count_if(candidates_, &candidate::is_home);
        std::uint64_t demand = 0;
        for (const candidate& c : candidates_) {
            demand += c.is_home ? c.demand() : 0;
        }
        if (homes == 0) {
            return;
        }
        const bool scarce = demand > reachable_limit_;
        const std::uint64_t spare = scarce ? 0 : reachable_limit_ - demand;
        std::uint64_t remaining = reachable_limit_;
        for (candidate& c : candidates_) {
            const std::uint64_t share =
                scarce ? std::uint64_t{c.demand()} * reachable_limit_ / demand
                       : c.demand() + spare / static_cast<std::uint64_t>(homes);
            c.target = c.is_home ? static_cast<std::uint32_t>(std::min(share, remaining)) : 0;
            remaining -= c.target;
        }
        distribute_remainder(remaining);
    }

    /** Distributes the rounding remainder in units of one: homes with blocked work first, then by
     * smallest target. */
    void distribute_remainder(std::uint64_t remaining)
    {
        std::vector<candidate*> order;
        for (candidate& c : candidates_) {
            if (c.is_home) {
                order.push_back(&c);
            }
        }
        std::ranges::stable_sort(order, [](const candidate* a, const candidate* b) {
            return std::pair{!a->blocked(), a->target} < std::pair{!b->blocked(), b->target};
        });
        for (std::size_t i = 0; remaining > 0 && !order.empty(); ++i, --remaining) {
            ++order[i % order.size()]->target;
        }
    }

    void grant()
    {
        std::uint32_t free = limit_ - std::min(limit_, counted_);
        for (const bool blocked_pass : {true, false}) {
            for (candidate& c : candidates_) {
                if (c.settled || c.blocked() != blocked_pass || c.held.cap >= c.target) {
                    continue;
                }
                const std::uint32_t headroom = free + (c.held.counted - c.held.cap);
                const std::uint32_t cap = std::min(c.target, c.held.cap + headroom);
                if (cap > c.held.cap) {
                    const std::uint32_t counted = std::max(cap, c.held.counted);
                    free -= counted - c.held.counted;
                    change(c, cap, counted);
                }
            }
        }
    }

    /**
     * Moving capacity that is in use gains nothing, so it is requested only if a home is starving,
     * with less than half of its target. A home without any allotment gets its share even while it
     * has no demand, because it can't get one once it is partitioned from the leader.
     */
    void request_releases()
    {
        std::uint32_t needed = 0;
        bool starving = false;
        for (const candidate& c : candidates_) {
            if (c.is_home && !c.settled && !c.blocked() && c.held.cap == 0) {
                needed += c.target;
            }
            if (c.is_home && c.blocked() && c.held.cap < c.target) {
                needed += c.target - c.held.cap;
                starving = starving || c.held.cap * 2 < c.target;
            }
        }
        for (const candidate& c : candidates_) {
            const bool above_target = !c.settled && c.held.cap > c.target;
            if (above_target && !c.is_home) {
                out_.release_requests.push_back({c.id, {team_, c.held.epoch, c.target}});
            } else if (above_target && needed > 0 && (c.idle() || starving)) {
                const std::uint32_t floor = starving ? c.target : std::max(c.target, c.use.running);
                const std::uint32_t amount = std::min(needed, c.held.cap - floor);
                needed -= amount;
                if (amount > 0) {
                    out_.release_requests.push_back(
                        {c.id, {team_, c.held.epoch, c.held.cap - amount}});
                }
            }
        }
    }

    void change(candidate& c, std::uint32_t cap, std::uint32_t counted)
    {
        out_.changes.push_back({team_, c.id, c.incarnation_id, c.held.epoch, cap, counted});
        c.settled = true;
    }

    team_id team_;
    std::uint32_t limit_;
    std::uint32_t counted_;
    std::uint32_t reachable_limit_{0};
    std::vector<candidate> candidates_;
    allotment_plan& out_;
};

const catalogue::allotment* find_allotment(const catalogue::control_state& state,
                                           const team_id& team, const instance_id& holder)
{
    const auto holders = state.allotments.find(team);
    if (holders == state.allotments.end()) {
        return nullptr;
    }
    const auto found = holders->second.find(holder);
    return found == holders->second.end() ? nullptr : &found->second;
}

} // namespace

void allotment_ledger::commit(const team_id& team, const catalogue::allotment* held)
{
    entry& e = entries_[team];
    if (held == nullptr) {
        e.cap = 0;
        e.epoch = 0;
    } else if (held->epoch != e.epoch) {
        e.cap = held->cap;
        e.epoch = held->epoch;
    }
}

void allotment_ledger::commit_all(const catalogue::control_state& state, const instance_id& self,
                                  incarnation incarnation_id)
{
    for (auto& [team, e] : entries_) {
        const auto* held = find_allotment(state, team, self);
        commit(team, held != nullptr && held->incarnation_id == incarnation_id ? held : nullptr);
    }
    for (const auto& [team, holders] : state.allotments) {
        const auto found = holders.find(self);
        if (found != holders.end() && found->second.incarnation_id == incarnation_id) {
            commit(team, &found->second);
        }
    }
}

void allotment_ledger::release(const team_id& team, epoch_number epoch, std::uint32_t keep)
{
    entry& e = entries_[team];
    if (e.epoch == epoch) {
        e.cap = std::min(e.cap, keep);
    }
}

bool allotment_ledger::may_start(const team_id& team) const
{
    const auto found = entries_.find(team);
    return found != entries_.end() && found->second.running < found->second.cap;
}

void allotment_ledger::task_started(const team_id& team)
{
    ++entries_[team].running;
}

void allotment_ledger::task_ended(const team_id& team)
{
    --entries_[team].running;
}

std::uint32_t allotment_ledger::running(const team_id& team) const
{
    const auto found = entries_.find(team);
    return found == entries_.end() ? 0 : found->second.running;
}

std::uint32_t allotment_ledger::cap(const team_id& team) const
{
    const auto found = entries_.find(team);
    return found == entries_.end() ? 0 : found->second.cap;
}

std::vector<wire::allotment_usage> allotment_ledger::uses() const
{
    std::vector<wire::allotment_usage> out;
    for (const auto& [team, e] : entries_) {
        if (e.cap > 0 || e.running > 0 || e.epoch > 0) {
            out.push_back({team, e.epoch, e.cap, e.running, 0});
        }
    }
    return out;
}

allotment_plan plan_allotments(const catalogue::control_state& state,
                               const std::map<instance_id, holder_view>& holders)
{
    allotment_plan out;
    for (const auto& [team, team_config] : state.doc.teams) {
        team_plan plan{state, team, team_config.upper_limit, out};
        for (const auto& [id, view] : holders) {
            const auto known = state.members.find(id);
            if (known == state.members.end() ||
                known->second.incarnation_id != view.incarnation_id) {
                continue;
            }
            candidate c;
            c.id = id;
            c.incarnation_id = view.incarnation_id;
            c.is_home = view.is_home;
            if (const auto* held = find_allotment(state, team, id)) {
                c.held = *held;
            }
            if (const auto use = view.uses.find(team); use != view.uses.end()) {
                c.use = use->second;
            }
            plan.add(std::move(c));
        }
        plan.run();
    }
    return out;
}

} // namespace fescue::admission
