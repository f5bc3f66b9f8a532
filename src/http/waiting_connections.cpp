#include "fescuestream/http/waiting_connections.h"

#include <algorithm>

namespace fescue::http {

namespace {

std::optional<connection_id> first_of(const std::set<std::pair<mono_time, connection_id>>& ids)
{
    return ids.empty() ? std::nullopt : std::optional{ids.begin()->second};
}

} // namespace

void waiting_connections::begin(connection_id id, std::uint64_t received, bool served,
                                mono_time now)
{
    end(id);
    connection& c = connections_[id];
    c.received = received;
    c.served = served;
    c.since = now;
    (served ? idle_ : unserved_).emplace(now, id);
    check_at(id, c, now + std::min(header_timeout_, idle_timeout_));
}

void waiting_connections::end(connection_id id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end()) {
        return;
    }
    const connection& c = found->second;
    (c.served ? idle_ : unserved_).erase({c.since, id});
    checks_.erase({c.next_check, id});
    connections_.erase(found);
}

std::optional<connection_id> waiting_connections::due(mono_time now) const
{
    return checks_.empty() || checks_.begin()->first > now ? std::nullopt : first_of(checks_);
}

bool waiting_connections::has_expired(connection_id id, std::uint64_t received, mono_time now)
{
    connection& c = connections_.at(id);
    if (received > c.received) {
        // The head began after the previous check at the earliest.
        c.head_seen_at = c.head_seen_at.value_or(now);
        check_at(id, c, *c.head_seen_at + header_timeout_);
        return now - *c.head_seen_at >= header_timeout_;
    }
    check_at(id, c, std::min(now + header_timeout_, c.since + idle_timeout_));
    return now - c.since >= idle_timeout_;
}

std::optional<connection_id> waiting_connections::longest_unserved() const
{
    return first_of(unserved_);
}

std::optional<connection_id> waiting_connections::longest_idle() const
{
    return first_of(idle_);
}

void waiting_connections::check_at(connection_id id, connection& c, mono_time time)
{
    checks_.erase({c.next_check, id});
    c.next_check = time;
    checks_.emplace(time, id);
}

} // namespace fescue::http
