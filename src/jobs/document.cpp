#include "fescuestream/jobs/document.h"

#include <algorithm>
#include <set>

namespace fescue::jobs {

const queue* document::route(std::string_view host, std::string_view path) const
{
    const queue* longest_match = nullptr;
    for (const auto& [id, q] : queues) {
        const bool is_longer =
            longest_match == nullptr || q.path_prefix.size() > longest_match->path_prefix.size();
        if (is_longer && q.host == host && path.starts_with(q.path_prefix)) {
            longest_match = &q;
        }
    }
    return longest_match;
}

const team_id* document::owner_of(std::string_view key) const
{
    for (const auto& [id, a] : accounts) {
        if (std::ranges::find(a.keys, key) != a.keys.end()) {
            return &id;
        }
    }
    return nullptr;
}

bool document::enforces_capacity(const pool_id& pool) const
{
    const auto found = pools.find(pool);
    return found != pools.end() && found->second.enforces_capacity;
}

std::optional<std::string> find_error(const document& doc)
{
    std::set<std::pair<std::string, std::string>> routes;
    for (const auto& [id, q] : doc.queues) {
        if (!doc.pools.contains(q.terms.pool)) {
            return "queue '" + id.str() + "' refers to the unknown pool '" + q.terms.pool.str() +
                   "'";
        }
        if (!routes.emplace(q.host, q.path_prefix).second) {
            return "two queues share the host '" + q.host + "' and the path prefix '" +
                   q.path_prefix + "'";
        }
    }
    std::map<std::string, team_id> owners;
    for (const auto& [id, a] : doc.accounts) {
        for (const std::string& key : a.keys) {
            const team_id& owner = owners.emplace(key, id).first->second;
            if (owner != id) {
                return "accounts '" + owner.str() + "' and '" + id.str() + "' share a key";
            }
        }
    }
    return std::nullopt;
}

} // namespace fescue::jobs
