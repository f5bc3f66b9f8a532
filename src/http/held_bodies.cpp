#include "fescuestream/http/held_bodies.h"

#include "fescuestream/http/request_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace fescue::http {

namespace {

/** Descriptors for files, listening sockets, and connections to other instances and to servers. */
constexpr std::size_t other_descriptors = 512;
constexpr std::size_t min_connections = 64;

} // namespace

request_limits fit_descriptors(request_limits limits)
{
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY) {
        return limits;
    }
    const auto available = static_cast<std::size_t>(descriptors.rlim_cur);
    const std::size_t fitting = available > other_descriptors + min_connections
                                    ? available - other_descriptors
                                    : min_connections;
    limits.max_connections = std::min(limits.max_connections, fitting);
    return limits;
}

void held_bodies::begin(body_id id, mono_time now)
{
    bodies_[id] = {0, now, true};
    unfinished_.emplace(now, id);
}

bool held_bodies::try_resize(body_id id, std::size_t bytes)
{
    body& b = bodies_.at(id);
    const std::size_t others = bytes_ - b.bytes;
    if (bytes > max_bytes_ || others > max_bytes_ - bytes) {
        return false;
    }
    bytes_ = others + bytes;
    b.bytes = bytes;
    return true;
}

void held_bodies::record_progress(body_id id, mono_time now)
{
    body& b = bodies_.at(id);
    if (!b.unfinished || b.last_progress == now) {
        return;
    }
    unfinished_.erase({b.last_progress, id});
    b.last_progress = now;
    unfinished_.emplace(now, id);
}

void held_bodies::complete(body_id id)
{
    body& b = bodies_.at(id);
    unfinished_.erase({b.last_progress, id});
    b.unfinished = false;
}

void held_bodies::remove(body_id id)
{
    const auto found = bodies_.find(id);
    if (found == bodies_.end()) {
        return;
    }
    bytes_ -= found->second.bytes;
    unfinished_.erase({found->second.last_progress, id});
    bodies_.erase(found);
}

std::optional<body_id> held_bodies::longest_stalled(body_id except, std::size_t min_bytes) const
{
    const auto found = std::ranges::find_if(unfinished_, [&](const auto& entry) {
        return entry.second != except && bodies_.at(entry.second).bytes >= min_bytes;
    });
    return found == unfinished_.end() ? std::nullopt : std::optional{found->second};
}

std::optional<body_id> held_bodies::stalled_since(mono_time time) const
{
    if (unfinished_.empty() || unfinished_.begin()->first > time) {
        return std::nullopt;
    }
    return unfinished_.begin()->second;
}

} // namespace fescue::http
