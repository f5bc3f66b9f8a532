#include "fescuestream/catalogue/state.h"

#include "fescuestream/base/free_memory.h"

#include <algorithm>
#include <utility>

namespace fescue::catalogue {

namespace {

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

error make_error(error_kind kind, std::string detail)
{
    return error{kind, std::move(detail)};
}

/**
 * Reduces the caps of a team's allotments until their sum is within the limit. The counted values
 * stay, because tasks above the new caps may still be running.
 */
void reduce_caps_to_limit(control_state& state, const team_id& id, std::uint32_t limit)
{
    const auto team_allotments = state.allotments.find(id);
    if (team_allotments == state.allotments.end()) {
        return;
    }
    std::uint32_t sum = 0;
    for (const auto& [holder, record] : team_allotments->second) {
        sum += record.cap;
    }
    std::uint32_t excess = sum > limit ? sum - limit : 0;
    while (excess > 0) {
        auto largest = std::ranges::max_element(team_allotments->second, {},
                                                [](const auto& entry) { return entry.second.cap; });
        const std::uint32_t reduction = std::min<std::uint32_t>(
            excess,
            std::max<std::uint32_t>(1, largest->second.cap / static_cast<std::uint32_t>(
                                                                 team_allotments->second.size())));
        largest->second.cap -= reduction;
        ++largest->second.epoch;
        excess -= reduction;
    }
}

void reduce_all_caps_to_limits(control_state& state)
{
    for (const auto& entry : state.allotments) {
        const auto found = state.doc.teams.find(entry.first);
        reduce_caps_to_limit(state, entry.first,
                             found == state.doc.teams.end() ? 0 : found->second.upper_limit);
    }
}

/** Cancels pending moves of servers to pools that are no longer in the catalogue. */
void cancel_moves_to_removed_pools(control_state& state)
{
    for (auto& [id, server] : state.servers) {
        if (server.moving_to && !state.doc.pools.contains(*server.moving_to)) {
            server.moving_to.reset();
            ++server.epoch;
        }
    }
}

class command_applier {
public:
    command_applier(control_state& state, log_index index) : state_{state}, index_{index} {}

    apply_result operator()(const no_operation& /*cmd*/) { return accepted(); }

    apply_result operator()(const order& cmd)
    {
        if (const auto previous = state_.orders.find(cmd.id); previous != state_.orders.end()) {
            return replay_order_result(cmd, previous->second);
        }
        apply_result result =
            std::visit([this](const auto& action) { return apply_action(action); }, cmd.action);
        store_order_result(cmd, result);
        return result;
    }

    apply_result operator()(const register_instance& cmd)
    {
        member& record = state_.members[cmd.id];
        if (record.incarnation_id != cmd.incarnation_id) {
            orphan_allotments_of(cmd.id, cmd.incarnation_id);
        }
        record = member{cmd.data_centre, cmd.incarnation_id, cmd.has_disk, cmd.callers_address,
                        cmd.control_address};
        return accepted();
    }

    apply_result operator()(const set_allotment& cmd)
    {
        const auto team = state_.doc.teams.find(cmd.team);
        const auto holder = state_.members.find(cmd.holder);
        if (holder == state_.members.end() || holder->second.incarnation_id != cmd.incarnation_id) {
            return refused(error_kind::conflict, "the holder's incarnation does not match");
        }
        const auto& team_allotments = state_.allotments[cmd.team];
        const auto current = team_allotments.find(cmd.holder);
        const allotment previous = current == team_allotments.end()
                                       ? allotment{cmd.incarnation_id, 0, 0, 0}
                                       : current->second;
        if (previous.epoch != cmd.expected_epoch || cmd.cap > cmd.counted) {
            return refused(
                error_kind::conflict,
                "the allotment's epoch does not match, or its cap exceeds its counted value");
        }
        const std::uint32_t limit = team == state_.doc.teams.end() ? 0 : team->second.upper_limit;
        const std::uint32_t sum = state_.counted(cmd.team) - previous.counted + cmd.counted;
        const bool increases_allotment = cmd.counted > previous.counted || cmd.cap > previous.cap;
        if (increases_allotment && sum > limit) {
            return refused(error_kind::at_limit,
                           "the sum of allotments would exceed the team's upper limit");
        }
        state_.allotments[cmd.team][cmd.holder] =
            allotment{cmd.incarnation_id, cmd.cap, cmd.counted, previous.epoch + 1};
        return accepted();
    }

    apply_result operator()(const release_orphaned_allotments& cmd)
    {
        std::erase_if(state_.orphaned_allotments, [&](const orphaned_allotment& o) {
            return o.holder == cmd.holder && o.incarnation_id == cmd.incarnation_id;
        });
        return accepted();
    }

    apply_result operator()(const set_homes& cmd)
    {
        for (const set_home& change : cmd.changes) {
            auto& shards = state_.homes[change.data_centre];
            shards.resize(shards_per_data_centre);
            if (change.shard >= shards.size()) {
                continue;
            }
            home_record& record = shards[change.shard];
            if (record.epoch == change.expected_epoch) {
                record = home_record{change.home, change.incarnation_id, record.epoch + 1};
            }
        }
        return accepted();
    }

    apply_result operator()(const register_server& cmd)
    {
        server_record& record = state_.servers[cmd.id];
        const bool data_centre_changed =
            !record.properties.id.empty() && record.properties.data_centre != cmd.data_centre;
        record.properties = cmd;
        if (data_centre_changed) {
            ++record.epoch;
        }
        return accepted();
    }

    apply_result operator()(const move_server& cmd)
    {
        const auto found = state_.servers.find(cmd.id);
        if (found == state_.servers.end() || found->second.epoch != cmd.expected_epoch) {
            return refused(error_kind::conflict, "the server's epoch does not match");
        }
        return apply_move_step(found->second, cmd);
    }

    apply_result operator()(const remove_server& cmd)
    {
        const auto found = state_.servers.find(cmd.id);
        if (found == state_.servers.end() || found->second.epoch != cmd.expected_epoch) {
            return refused(error_kind::conflict, "the server's epoch does not match");
        }
        state_.servers.erase(found);
        return accepted();
    }

    apply_result operator()(const step_wave& cmd)
    {
        const auto wave = state_.waves.find(cmd.id);
        if (wave == state_.waves.end()) {
            return refused(error_kind::not_found, "the wave does not exist");
        }
        const auto server = wave->second.servers.find(cmd.server);
        if (server == wave->second.servers.end() || server->second.phase != cmd.from) {
            return refused(error_kind::conflict,
                           "the server is not in the expected phase of the wave");
        }
        server->second = wave_server{cmd.to, cmd.incarnation_id};
        if (const auto record = state_.servers.find(cmd.server); record != state_.servers.end()) {
            // Once the home reports the new epoch, it starts no more tasks on this server, and the
            // leader can rely on that.
            ++record->second.epoch;
        }
        return accepted();
    }

    apply_result operator()(const begin_claim& cmd)
    {
        apply_result result = accepted();
        const auto existing = state_.claims.find(cmd.id);
        if (existing != state_.claims.end()) {
            result.stored_claim = existing->second;
            result.claimed_by_request = existing->second.request == cmd.request;
            return result;
        }
        evict_oldest_claims(cmd.now);
        if (state_.claims.size() >= max_stored_claims) {
            return refused(error_kind::claim_failed,
                           "the maximum number of stored claims is reached");
        }
        claim new_claim;
        new_claim.request = cmd.request;
        new_claim.fingerprint = cmd.fingerprint;
        new_claim.started = cmd.now;
        new_claim.expires_at = cmd.expires_at;
        state_.claims.emplace(cmd.id, new_claim);
        state_.claim_ids_by_age.push_back(cmd.id);
        result.stored_claim = new_claim;
        result.claimed_by_request = true;
        return result;
    }

    apply_result operator()(const end_claim& cmd)
    {
        const auto found = state_.claims.find(cmd.id);
        if (found == state_.claims.end() || found->second.request != cmd.request) {
            return refused(error_kind::not_found,
                           "the claim does not exist or belongs to another request");
        }
        claim& stored = found->second;
        if (stored.outcome == claim_outcome::answered) {
            return accepted();
        }
        if (cmd.outcome == claim_outcome::not_run) {
            state_.claims.erase(found);
            std::erase(state_.claim_ids_by_age, cmd.id);
            return accepted();
        }
        state_.stored_answer_bytes += cmd.body.size();
        stored.outcome = cmd.outcome;
        stored.status = cmd.status;
        stored.content_type = cmd.content_type;
        stored.body = cmd.body;
        evict_oldest_answers();
        return accepted();
    }

private:
    apply_result accepted() const { return {index_, std::nullopt, {}, std::nullopt, false}; }
    apply_result refused(error_kind kind, std::string detail) const
    {
        return {index_, make_error(kind, std::move(detail)), {}, std::nullopt, false};
    }
    apply_result created(std::string id) const
    {
        return {index_, std::nullopt, std::move(id), std::nullopt, false};
    }

    apply_result replay_order_result(const order& cmd, const stored_order_result& stored) const
    {
        if (stored.fingerprint != cmd.fingerprint) {
            return refused(error_kind::key_reused,
                           "the order id was already used for a different order");
        }
        return {stored.version, stored.refused, stored.id, std::nullopt, false};
    }

    void store_order_result(const order& cmd, const apply_result& result)
    {
        state_.orders[cmd.id] =
            stored_order_result{cmd.fingerprint, result.version, result.refused, result.id};
        state_.order_ids_by_age.push_back(cmd.id);
        while (state_.order_ids_by_age.size() > max_stored_orders) {
            state_.orders.erase(state_.order_ids_by_age.front());
            state_.order_ids_by_age.pop_front();
        }
    }

    apply_result apply_action(const put_catalogue& action)
    {
        if (action.expected_version != state_.catalogue_version) {
            return refused(error_kind::conflict, "the catalogue is at version " +
                                                     std::to_string(state_.catalogue_version));
        }
        state_.doc = action.doc;
        state_.catalogue_version = index_;
        reduce_all_caps_to_limits(state_);
        cancel_moves_to_removed_pools(state_);
        return accepted();
    }

    apply_result apply_action(const issue_key& action)
    {
        if (!state_.doc.teams.contains(action.team)) {
            return refused(error_kind::not_found, "there is no team '" + action.team.str() + "'");
        }
        state_.keys[action.id] = key_record{action.team, action.hash};
        return created(action.id.str());
    }

    apply_result apply_action(const revoke_key& action)
    {
        if (state_.keys.erase(action.id) == 0) {
            return refused(error_kind::not_found, "there is no key '" + action.id.str() + "'");
        }
        return accepted();
    }

    apply_result apply_action(const set_data_centre& action)
    {
        state_.doc.data_centres[action.id].in_service = action.in_service;
        state_.catalogue_version = index_;
        return accepted();
    }

    apply_result apply_action(const start_wave& action)
    {
        wave new_wave;
        new_wave.action = action.action;
        new_wave.deadline = action.deadline;
        for (const server_id& server : action.servers) {
            if (!state_.servers.contains(server)) {
                return refused(error_kind::not_found, "there is no server '" + server.str() + "'");
            }
            new_wave.servers[server] = wave_server{};
        }
        state_.waves[action.id] = std::move(new_wave);
        return created(action.id.str());
    }

    void orphan_allotments_of(const instance_id& id, fescue::incarnation new_incarnation)
    {
        for (auto& [team, holders] : state_.allotments) {
            const auto found = holders.find(id);
            if (found == holders.end() || found->second.incarnation_id == new_incarnation) {
                continue;
            }
            if (found->second.counted > 0) {
                state_.orphaned_allotments.push_back(
                    {team, id, found->second.incarnation_id, found->second.counted});
            }
            holders.erase(found);
        }
    }

    apply_result apply_move_step(server_record& record, const move_server& cmd)
    {
        switch (cmd.step) {
        case move_step::drain:
            record.moving_to = cmd.to;
            break;
        case move_step::cancel:
            record.moving_to.reset();
            break;
        case move_step::assign:
            if (state_.doc.pools.contains(record.pool) && record.moving_to != cmd.to) {
                return refused(error_kind::conflict, "the server was not drained for that pool");
            }
            record.pool = cmd.to;
            record.moving_to.reset();
            break;
        }
        ++record.epoch;
        return accepted();
    }

    /**
     * Drops the oldest stored answers until the total is within max_stored_answer_bytes. The claims
     * themselves stay, so that their requests are not run again.
     */
    void evict_oldest_answers()
    {
        for (const claim_id& id : state_.claim_ids_by_age) {
            if (state_.stored_answer_bytes <= max_stored_answer_bytes) {
                return;
            }
            claim& stored = state_.claims.at(id);
            if (!stored.body.empty()) {
                state_.stored_answer_bytes -= stored.body.size();
                free_memory(stored.body);
                stored.outcome = claim_outcome::unknown;
            }
        }
    }

    /**
     * Drops the oldest claims whose work is over: those past their retention time, and, while the
     * store is full, those with a recorded outcome.
     */
    void evict_oldest_claims(wall_ms now)
    {
        while (!state_.claim_ids_by_age.empty()) {
            const auto oldest = state_.claims.find(state_.claim_ids_by_age.front());
            const bool expired = now - oldest->second.started > claim_retention_ms;
            const bool work_is_over = now > oldest->second.expires_at;
            const bool evictable_for_space = state_.claims.size() >= max_stored_claims &&
                                             work_is_over &&
                                             oldest->second.outcome != claim_outcome::running;
            if (!(expired && work_is_over) && !evictable_for_space) {
                return;
            }
            state_.stored_answer_bytes -= oldest->second.body.size();
            state_.claims.erase(oldest);
            state_.claim_ids_by_age.pop_front();
        }
    }

    control_state& state_;
    log_index index_;
};

} // namespace

std::uint64_t stable_hash(std::string_view text) noexcept
{
    std::uint64_t hash = fnv_offset;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= fnv_prime;
    }
    return hash;
}

std::uint32_t shard_of(const server_id& server) noexcept
{
    return static_cast<std::uint32_t>((stable_hash(server.str()) >> 16U) % shards_per_data_centre);
}

std::uint32_t control_state::counted(const team_id& team) const
{
    std::uint32_t sum = 0;
    if (const auto found = allotments.find(team); found != allotments.end()) {
        for (const auto& [holder, record] : found->second) {
            sum += record.counted;
        }
    }
    for (const orphaned_allotment& orphaned : orphaned_allotments) {
        sum += orphaned.team == team ? orphaned.counted : 0;
    }
    return sum;
}

const home_record* control_state::find_home(const data_centre_id& dc, const server_id& server) const
{
    const auto shards = homes.find(dc);
    if (shards == homes.end() || shards->second.size() != shards_per_data_centre) {
        return nullptr;
    }
    const home_record& record = shards->second[shard_of(server)];
    return record.home.empty() ? nullptr : &record;
}

std::optional<wave_phase> control_state::find_wave_phase(const server_id& server) const
{
    for (const auto& [id, active_wave] : waves) {
        const auto found = active_wave.servers.find(server);
        if (found != active_wave.servers.end() && found->second.phase != wave_phase::back) {
            return found->second.phase;
        }
    }
    return std::nullopt;
}

apply_result apply(control_state& state, log_index index, const command& cmd)
{
    state.applied = index;
    return std::visit(command_applier{state, index}, cmd);
}

} // namespace fescue::catalogue
