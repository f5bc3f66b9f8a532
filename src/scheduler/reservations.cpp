#include "fescuestream/scheduler/reservations.h"

#include <algorithm>

namespace fescue::scheduler {

namespace {

/** A task that needs at least this part of a server is large. Smaller ones find capacity after one
 * or two ends on any server. */
constexpr std::int64_t large_task_divisor = 4;
/** Further ahead, the errors of the predicted ends add up to more than the reservation gains. */
constexpr milliseconds max_horizon{1000};
/** Reserved servers of a pool: each costs a search through the pool's runs, and leaves capacity
 * idle until its start. */
constexpr std::size_t max_reservations = 8;

} // namespace

mono_time predict_end(mono_time started, milliseconds expected, mono_time now) noexcept
{
    const mono_time end = started + expected;
    return end > now ? end : now + (now - end);
}

bool reservations::is_large(const jobs::resources& need, const jobs::resources& capacity) noexcept
{
    return need.cpu_milli * large_task_divisor >= capacity.cpu_milli ||
           need.memory_mb * large_task_divisor >= capacity.memory_mb;
}

bool reservations::is_full() const noexcept
{
    return reserved_.size() >= max_reservations;
}

const reservation* reservations::find(std::size_t server) const
{
    const auto found = std::ranges::find(reserved_, server, &reservation::server);
    return found == reserved_.end() ? nullptr : &*found;
}

const std::vector<expected_end>& reservations::sorted_ends(std::size_t server,
                                                           const ends_of_server& ends)
{
    const auto [known, inserted] = ends_.try_emplace(server);
    if (inserted) {
        known->second = ends(server);
        std::ranges::sort(known->second, {}, &expected_end::at);
    }
    return known->second;
}

const reservation* reservations::reserve(std::span<const server_candidate> servers,
                                         const ends_of_server& ends, const jobs::step_spec& step,
                                         const placement_hints& hints, milliseconds max_wait,
                                         mono_time now)
{
    if (is_full()) {
        return nullptr;
    }
    const jobs::resources need = step.required_capacity();
    const mono_time latest = now + std::min(max_wait, max_horizon);
    std::optional<reservation> best;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const server_candidate& c = servers[i];
        if (c.draining || c.maintenance_due || !need.fits(c.server->capacity) ||
            !is_eligible(c, step, hints) || find(i) != nullptr) {
            continue;
        }
        jobs::resources free = c.free;
        for (const expected_end& end : sorted_ends(i, ends)) {
            if (end.at > latest || (best && end.at >= best->start)) {
                break;
            }
            free += end.freed;
            if (need.fits(free)) {
                best = reservation{i, end.at, free - need};
                break;
            }
        }
    }
    if (!best) {
        return nullptr;
    }
    reserved_.push_back(*best);
    return &reserved_.back();
}

bool reservations::allows(std::size_t server, const jobs::resources& need, milliseconds run_time,
                          mono_time now) const
{
    const reservation* r = find(server);
    return r == nullptr || now + run_time <= r->start || need.fits(r->spare);
}

void reservations::record_placement(std::size_t server, const jobs::resources& need,
                                    milliseconds run_time, mono_time now)
{
    const auto found = std::ranges::find(reserved_, server, &reservation::server);
    if (found != reserved_.end() && now + run_time > found->start) {
        found->spare -= need;
    }
}

} // namespace fescue::scheduler
