#include "fescuestream/catalogue/state.h"

#include <algorithm>
#include <utility>

namespace fescue::catalogue {

namespace {

constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

error refuse(error_kind kind, std::string detail)
{
    return error{kind, std::move(detail)};
}

/** Cuts a team's caps to its limit; what runs above a cap stays counted. */
void cut_to_limit(control_state& state, const team_id& id, std::uint32_t limit)
{
    const auto found = state.allotments.find(id);
    if (found == state.allotments.end()) {
        return;
    }
    std::uint32_t sum = 0;
    for (const auto& [holder, a] : found->second) {
        sum += a.cap;
    }
    std::uint32_t excess = sum > limit ? sum - limit : 0;
    while (excess > 0) {
        auto largest = std::ranges::max_element(found->second, {},
                                                [](const auto& entry) { return entry.second.cap; });
        const std::uint32_t cut = std::min<std::uint32_t>(
            excess, std::max<std::uint32_t>(
                        1, largest->second.cap / static_cast<std::uint32_t>(found->second.size())));
        largest->second.cap -= cut;
        ++largest->second.epoch;
        excess -= cut;
    }
}

void cut_all_to_limits(control_state& state)
{
    for (const auto& entry : state.allotments) {
        const auto known = state.doc.teams.find(entry.first);
        cut_to_limit(state, entry.first,
                     known == state.doc.teams.end() ? 0 : known->second.upper_limit);
    }
}

/** A server keeps its pool only while the catalogue has it. */
void free_servers_of_lost_pools(control_state& state)
{
    for (auto& [id, server] : state.servers) {
        if (server.moving_to && !state.doc.pools.contains(*server.moving_to)) {
            server.moving_to.reset();
            ++server.epoch;
        }
    }
}

class applier {
public:
    applier(control_state& state, log_index index) : state_{state}, index_{index} {}

    apply_result operator()(const no_operation& /*cmd*/) { return done(); }

    apply_result operator()(const order& cmd)
    {
        if (const auto known = state_.orders.find(cmd.id); known != state_.orders.end()) {
            return answer_again(cmd, known->second);
        }
        apply_result out =
            std::visit([this](const auto& action) { return act(action); }, cmd.action);
        remember(cmd, out);
        return out;
    }

    apply_result operator()(const instance_joined& cmd)
    {
        member& m = state_.members[cmd.id];
        if (m.life != cmd.life) {
            orphan_allotments(cmd.id, cmd.life);
        }
        m = member{cmd.data_centre, cmd.life, cmd.has_disk, cmd.callers_address,
                   cmd.control_address};
        return done();
    }

    apply_result operator()(const set_allotment& cmd)
    {
        const auto team = state_.doc.teams.find(cmd.team);
        const auto holder = state_.members.find(cmd.holder);
        if (holder == state_.members.end() || holder->second.life != cmd.life) {
            return refused(error_kind::conflict, "the holder has another incarnation");
        }
        const auto& held = state_.allotments[cmd.team];
        const auto found = held.find(cmd.holder);
        const allotment before = found == held.end() ? allotment{cmd.life, 0, 0, 0} : found->second;
        if (before.epoch != cmd.expected_epoch || cmd.cap > cmd.counted) {
            return refused(error_kind::conflict, "the allotment's epoch has moved");
        }
        const std::uint32_t limit = team == state_.doc.teams.end() ? 0 : team->second.upper_limit;
        const std::uint32_t sum = state_.counted(cmd.team) - before.counted + cmd.counted;
        const bool grows = cmd.counted > before.counted || cmd.cap > before.cap;
        if (grows && sum > limit) {
            return refused(error_kind::at_limit, "the sum would exceed the team's upper limit");
        }
        state_.allotments[cmd.team][cmd.holder] =
            allotment{cmd.life, cmd.cap, cmd.counted, before.epoch + 1};
        return done();
    }

    apply_result operator()(const reclaim_allotments& cmd)
    {
        std::erase_if(state_.orphans, [&](const orphan& o) {
            return o.holder == cmd.holder && o.life == cmd.life;
        });
        return done();
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
                record = home_record{change.home, change.life, record.epoch + 1};
            }
        }
        return done();
    }

    apply_result operator()(const server_seen& cmd)
    {
        server_record& record = state_.servers[cmd.id];
        const bool moved_data_centre =
            !record.about.id.empty() && record.about.data_centre != cmd.data_centre;
        record.about = cmd;
        if (moved_data_centre) {
            ++record.epoch;
        }
        return done();
    }

    apply_result operator()(const move_server& cmd)
    {
        const auto found = state_.servers.find(cmd.id);
        if (found == state_.servers.end() || found->second.epoch != cmd.expected_epoch) {
            return refused(error_kind::conflict, "the server's epoch has moved");
        }
        return step_move(found->second, cmd);
    }

    apply_result operator()(const forget_server& cmd)
    {
        const auto found = state_.servers.find(cmd.id);
        if (found == state_.servers.end() || found->second.epoch != cmd.expected_epoch) {
            return refused(error_kind::conflict, "the server's epoch has moved");
        }
        state_.servers.erase(found);
        return done();
    }

    apply_result operator()(const step_wave& cmd)
    {
        const auto wave = state_.waves.find(cmd.id);
        if (wave == state_.waves.end()) {
            return refused(error_kind::not_found, "there is no such wave");
        }
        const auto server = wave->second.servers.find(cmd.server);
        if (server == wave->second.servers.end() || server->second.phase != cmd.from) {
            return refused(error_kind::conflict, "the server has left that phase");
        }
        server->second = wave_server{cmd.to, cmd.life};
        if (const auto record = state_.servers.find(cmd.server); record != state_.servers.end()) {
            // The home confirms the new epoch, so the leader knows that it starts nothing more.
            ++record->second.epoch;
        }
        return done();
    }

    apply_result operator()(const begin_claim& cmd)
    {
        apply_result out = done();
        const auto known = state_.claims.find(cmd.id);
        if (known != state_.claims.end()) {
            out.found = known->second;
            out.claim_is_ours = known->second.request == cmd.request;
            return out;
        }
        make_room_for_claim(cmd.now);
        if (state_.claims.size() >= kept_claims) {
            return refused(error_kind::claim_failed, "too many claims are kept");
        }
        claim made;
        made.request = cmd.request;
        made.fingerprint = cmd.fingerprint;
        made.begun = cmd.now;
        made.over_at = cmd.over_at;
        state_.claims.emplace(cmd.id, made);
        state_.claim_age.push_back(cmd.id);
        out.found = made;
        out.claim_is_ours = true;
        return out;
    }

    apply_result operator()(const end_claim& cmd)
    {
        const auto known = state_.claims.find(cmd.id);
        if (known == state_.claims.end() || known->second.request != cmd.request) {
            return refused(error_kind::not_found, "there is no such claim");
        }
        claim& kept = known->second;
        if (kept.outcome == claim_outcome::answered) {
            return done();
        }
        if (cmd.outcome == claim_outcome::not_run) {
            state_.claims.erase(known);
            std::erase(state_.claim_age, cmd.id);
            return done();
        }
        state_.kept_answer_bytes += cmd.body.size();
        kept.outcome = cmd.outcome;
        kept.status = cmd.status;
        kept.content_type = cmd.content_type;
        kept.body = cmd.body;
        forget_oldest_answers();
        return done();
    }

private:
    apply_result done() const { return {index_, std::nullopt, {}, std::nullopt, false}; }
    apply_result refused(error_kind kind, std::string detail) const
    {
        return {index_, refuse(kind, std::move(detail)), {}, std::nullopt, false};
    }
    apply_result made(std::string id) const
    {
        return {index_, std::nullopt, std::move(id), std::nullopt, false};
    }

    apply_result answer_again(const order& cmd, const order_answer& first) const
    {
        if (first.fingerprint != cmd.fingerprint) {
            return refused(error_kind::key_reused, "the order's id was used for another order");
        }
        return {first.version, first.refused, first.id, std::nullopt, false};
    }

    void remember(const order& cmd, const apply_result& out)
    {
        state_.orders[cmd.id] = order_answer{cmd.fingerprint, out.version, out.refused, out.id};
        state_.order_age.push_back(cmd.id);
        while (state_.order_age.size() > kept_orders) {
            state_.orders.erase(state_.order_age.front());
            state_.order_age.pop_front();
        }
    }

    apply_result act(const put_catalogue& action)
    {
        if (action.if_version != state_.catalogue_version) {
            return refused(error_kind::conflict, "the catalogue is at version " +
                                                     std::to_string(state_.catalogue_version));
        }
        state_.doc = action.doc;
        state_.catalogue_version = index_;
        cut_all_to_limits(state_);
        free_servers_of_lost_pools(state_);
        return done();
    }

    apply_result act(const give_key& action)
    {
        if (!state_.doc.teams.contains(action.team)) {
            return refused(error_kind::not_found, "there is no team '" + action.team.str() + "'");
        }
        state_.keys[action.id] = key_record{action.team, action.hash};
        return made(action.id.str());
    }

    apply_result act(const withdraw_key& action)
    {
        if (state_.keys.erase(action.id) == 0) {
            return refused(error_kind::not_found, "there is no key '" + action.id.str() + "'");
        }
        return done();
    }

    apply_result act(const set_data_centre& action)
    {
        state_.doc.data_centres[action.id].in_service = action.in_service;
        state_.catalogue_version = index_;
        return done();
    }

    apply_result act(const start_wave& action)
    {
        wave w;
        w.action = action.action;
        w.deadline = action.deadline;
        for (const server_id& server : action.servers) {
            if (!state_.servers.contains(server)) {
                return refused(error_kind::not_found, "there is no server '" + server.str() + "'");
            }
            w.servers[server] = wave_server{};
        }
        state_.waves[action.id] = std::move(w);
        return made(action.id.str());
    }

    void orphan_allotments(const instance_id& id, fescue::incarnation next)
    {
        for (auto& [team, holders] : state_.allotments) {
            const auto held = holders.find(id);
            if (held == holders.end() || held->second.life == next) {
                continue;
            }
            if (held->second.counted > 0) {
                state_.orphans.push_back({team, id, held->second.life, held->second.counted});
            }
            holders.erase(held);
        }
    }

    apply_result step_move(server_record& record, const move_server& cmd)
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
        return done();
    }

    /** A claim whose answer is forgotten still keeps its work from running again. */
    void forget_oldest_answers()
    {
        for (const claim_id& id : state_.claim_age) {
            if (state_.kept_answer_bytes <= most_kept_answer_bytes) {
                return;
            }
            claim& old = state_.claims.at(id);
            if (!old.body.empty()) {
                state_.kept_answer_bytes -= old.body.size();
                old.body = std::string{};
                old.outcome = claim_outcome::unknown;
            }
        }
    }

    void make_room_for_claim(wall_ms now)
    {
        while (!state_.claim_age.empty()) {
            const auto oldest = state_.claims.find(state_.claim_age.front());
            const bool expired = now - oldest->second.begun > claim_kept_for_ms;
            const bool over = now > oldest->second.over_at;
            const bool crowded = state_.claims.size() >= kept_claims && over &&
                                 oldest->second.outcome != claim_outcome::running;
            if (!(expired && over) && !crowded) {
                return;
            }
            state_.kept_answer_bytes -= oldest->second.body.size();
            state_.claims.erase(oldest);
            state_.claim_age.pop_front();
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
    if (const auto held = allotments.find(team); held != allotments.end()) {
        for (const auto& [holder, a] : held->second) {
            sum += a.counted;
        }
    }
    for (const orphan& o : orphans) {
        sum += o.team == team ? o.counted : 0;
    }
    return sum;
}

const home_record* control_state::home_of(const data_centre_id& dc, const server_id& server) const
{
    const auto shards = homes.find(dc);
    if (shards == homes.end() || shards->second.size() != shards_per_data_centre) {
        return nullptr;
    }
    const home_record& record = shards->second[shard_of(server)];
    return record.home.empty() ? nullptr : &record;
}

std::optional<wave_phase> control_state::phase_of(const server_id& server) const
{
    for (const auto& [id, w] : waves) {
        const auto found = w.servers.find(server);
        if (found != w.servers.end() && found->second.phase != wave_phase::back) {
            return found->second.phase;
        }
    }
    return std::nullopt;
}

apply_result apply(control_state& state, log_index index, const command& cmd)
{
    state.applied = index;
    return std::visit(applier{state, index}, cmd);
}

} // namespace fescue::catalogue
