#pragma once

#include "fescuestream/base/codec.h"
#include "fescuestream/consensus/replica.h"

namespace fescue::consensus {

namespace internal {

/**
 * Contact time of the replica with itself: later than any clock reading, with a margin below the
 * maximum so that adding an interval does not overflow.
 */
inline constexpr mono_time self_contact_time = mono_time::max() - std::chrono::hours{24};

inline std::int64_t to_nanoseconds(mono_time t) noexcept
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(t.time_since_epoch()).count();
}

inline mono_time from_nanoseconds(std::int64_t t) noexcept
{
    return mono_time{std::chrono::duration_cast<mono_clock::duration>(std::chrono::nanoseconds{t})};
}

} // namespace internal

template <log_store Store>
replica<Store>::replica(instance_id self, incarnation disk, Store store,
                        store::recovered recovered_state, std::string noop_command,
                        timing intervals, std::uint64_t seed, mono_time now)
    : self_{std::move(self)}, disk_{disk}, store_{std::move(store)},
      noop_command_{std::move(noop_command)}, timing_{intervals}, random_{seed},
      hard_state_{recovered_state.hard}, entries_{std::move(recovered_state.entries)}
{
    configurations_.emplace_back(0, configuration{});
    if (recovered_state.snap) {
        snap_ = std::move(recovered_state.snap);
        base_index_ = snap_->index;
        base_term_ = snap_->term;
        commit_ = snap_->index;
        restore_pending_ = true;
        adopt_configuration(snap_->index, snap_->configuration);
    }
    for (const store::log_entry& entry : entries_) {
        if (entry.kind == store::entry_kind::configuration) {
            adopt_configuration(entry.index, entry.bytes);
        }
    }
    synced_ = last_index();
    count_unapplied_bytes();
    no_vote_before_ = formed() ? now + timing_.election : now;
    reset_election_timer(now);
}

template <log_store Store>
bool replica<Store>::form(std::uint64_t cluster, mono_time now)
{
    if (formed() || halted_) {
        return false;
    }
    hard_state_.term = 1;
    hard_state_.voted_for = self_;
    store_.save_hard_state(hard_state_);
    const configuration initial{cluster, {voter{self_, disk_}}, {}};
    append_entry({1, last_index() + 1, store::entry_kind::configuration, to_bytes(initial)});
    become_leader(now);
    return true;
}

template <log_store Store>
void replica<Store>::set_peers(const std::set<instance_id>& peers)
{
    std::erase_if(peers_, [&](const auto& peer) { return !peers.contains(peer.first); });
    for (const instance_id& id : peers) {
        if (id != self_ && !peers_.contains(id)) {
            progress p;
            p.next_index = last_index() + 1;
            peers_.emplace(id, p);
        }
    }
}

template <log_store Store>
void replica<Store>::peer_connected(const instance_id& peer)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        found->second.next_index = found->second.match + 1;
        found->second.sent_commit = 0;
        found->second.snapshot_sent = false;
        found->second.large_sent = 0;
        found->second.last_sent = mono_time{};
        // The peer may have restarted or moved to another machine, so earlier readings of its
        // monotonic clock are not comparable.
        found->second.lease_probe = 0;
    }
}

template <log_store Store>
void replica<Store>::step(const instance_id& from, const message& m, mono_time now)
{
    if (halted_) {
        return;
    }
    std::visit([&](const auto& body) { handle(from, body, now); }, m);
}

template <log_store Store>
void replica<Store>::tick(mono_time now)
{
    if (halted_) {
        return;
    }
    if (role_ == role::leader) {
        const auto quorum_timeout = timing_.election * quorum_timeout_elections;
        if (now - quorum_contact() > quorum_timeout && now - leader_since_ > quorum_timeout) {
            become_follower(hard_state_.term, now);
        }
        return;
    }
    if (!leader_.empty() && now - last_leader_contact_ > timing_.election * 2) {
        leader_ = instance_id{};
    }
    if (now >= election_deadline_ && is_voter()) {
        start_election(true, now);
    }
}

template <log_store Store>
std::optional<log_index> replica<Store>::propose(std::string command)
{
    if (role_ != role::leader) {
        return std::nullopt;
    }
    append_entry(
        {hard_state_.term, last_index() + 1, store::entry_kind::command, std::move(command)});
    return last_index();
}

template <log_store Store>
bool replica<Store>::propose_configuration(const configuration& next)
{
    const bool previous_committed = configurations_.back().first <= commit_;
    if (!settled() || !previous_committed || voters().is_joint() || next.voters.empty()) {
        return false;
    }
    configuration first_step = next;
    first_step.outgoing.clear();
    if (!majorities_overlap(voters(), next)) {
        first_step.outgoing = voters().voters;
    }
    append_entry({hard_state_.term, last_index() + 1, store::entry_kind::configuration,
                  to_bytes(first_step)});
    return true;
}

template <log_store Store>
void replica<Store>::resign(mono_time now)
{
    if (role_ == role::leader) {
        become_follower(hard_state_.term, now);
        election_deadline_ = now + timing_.lease;
    }
}

template <log_store Store>
bool replica<Store>::may_defer_sync(mono_time now) const
{
    const std::size_t voter_count = voters().voters.size();
    const bool quorum_without_self =
        voter_count >= 2 && voter_count - 2 >= majority_of(voter_count) && !voters().is_joint();
    const bool replies_pending = !messages_after_sync_.empty() || !pending_replies_.empty();
    return role_ == role::leader && quorum_without_self && !replies_pending &&
           now - *unsynced_since_ < timing_.leader_sync_delay;
}

template <log_store Store>
status replica<Store>::sync_if_due(mono_time now, const outputs& out)
{
    if (store_.dirty()) {
        unsynced_since_ = unsynced_since_.value_or(now);
        if (may_defer_sync(now)) {
            return std::nullopt;
        }
        if (out.push) {
            out.push();
        }
        if (auto fault = store_.sync()) {
            return fault;
        }
    }
    mark_all_synced();
    return std::nullopt;
}

template <log_store Store>
void replica<Store>::mark_all_synced()
{
    synced_ = last_index();
    unsynced_since_.reset();
}

template <log_store Store>
void replica<Store>::halt()
{
    if (role_ == role::leader) {
        lease_until_ = std::max(lease_until_, quorum_contact() + timing_.lease);
    }
    halted_ = true;
    role_ = role::follower;
    leader_ = instance_id{};
    votes_.clear();
    pending_replies_.clear();
    messages_after_sync_.clear();
}

template <log_store Store>
status replica<Store>::halt_on(status fault)
{
    if (fault) {
        fault_ = fault;
        halt();
    }
    return fault;
}

template <log_store Store>
status replica<Store>::flush(mono_time now, const outputs& out)
{
    if (halted_) {
        return fault_;
    }
    if (role_ == role::leader) {
        // Sends before the local sync, so that followers and this replica write in parallel.
        send_appends(now, out);
    }
    if (auto fault = halt_on(sync_if_due(now, out))) {
        return fault;
    }
    if (role_ == role::leader) {
        advance_commit();
        complete_transition();
    }
    apply_committed(out);
    send_replies(now, out);
    if (role_ == role::leader) {
        send_appends(now, out);
    }
    return std::nullopt;
}

template <log_store Store>
status replica<Store>::compact(std::string state, std::size_t max_retained_bytes)
{
    if (halted_ || applied_ == 0 || applied_ <= snapshot_index()) {
        return std::nullopt;
    }
    store::snapshot created;
    created.index = applied_;
    created.term = term_at(applied_);
    created.state = std::move(state);
    for (const auto& [index, config] : configurations_) {
        if (index <= applied_) {
            created.configuration = to_bytes(config);
        }
    }
    const auto first_retained =
        entries_.begin() + static_cast<std::ptrdiff_t>(applied_ - base_index_);
    const std::vector<store::log_entry> remaining{first_retained, entries_.end()};
    if (auto fault = halt_on(store_.save_snapshot(created, hard_state_, remaining))) {
        return fault;
    }
    mark_all_synced();
    snap_ = std::move(created);
    if (const log_index new_base = first_retained_base(max_retained_bytes);
        new_base > base_index_) {
        base_term_ = term_at(new_base);
        entries_.erase(entries_.begin(),
                       entries_.begin() + static_cast<std::ptrdiff_t>(new_base - base_index_));
        base_index_ = new_base;
    }
    return std::nullopt;
}

template <log_store Store>
log_index replica<Store>::first_retained_base(std::size_t max_bytes) const
{
    log_index base = applied_;
    std::size_t bytes = 0;
    while (base > base_index_ && applied_ - base < retained_entries) {
        bytes += entry_at(base).bytes.size();
        if (bytes > max_bytes) {
            break;
        }
        --base;
    }
    return base;
}

template <log_store Store>
mono_time replica<Store>::lease_until() const
{
    if (role_ == role::leader) {
        // A new leader keeps the lease that its predecessor renewed.
        return std::max(lease_until_, quorum_contact() + timing_.lease);
    }
    return lease_until_;
}

template <log_store Store>
bool replica<Store>::may_hold_lease(const instance_id& id, mono_time now) const
{
    const auto found = peers_.find(id);
    if (found == peers_.end()) {
        return false;
    }
    // A previous leader may have renewed the lease until it stepped down for lack of a quorum.
    const mono_time earlier_leader_until =
        leader_since_ + timing_.election * quorum_timeout_elections;
    const mono_time last_renewal = std::max(found->second.lease_renewed_at, earlier_leader_until);
    return now < last_renewal + timing_.lease;
}

template <log_store Store>
void replica<Store>::handle(const instance_id& from, const append_request& m, mono_time now)
{
    append_reply reply;
    reply.sent_at = m.sent_at;
    if (m.term < hard_state_.term) {
        reply.term = hard_state_.term;
        messages_after_sync_.emplace_back(from, reply);
        return;
    }
    if (m.term > hard_state_.term || role_ != role::follower) {
        become_follower(m.term, now);
    }
    record_leader_contact(from, now);
    if (m.lease_echo != 0) {
        const auto renewed_until = internal::from_nanoseconds(m.lease_echo) + timing_.lease;
        lease_until_ = std::max(lease_until_, renewed_until);
    }
    const bool prev_in_range = m.prev_index >= base_index_ && m.prev_index <= last_index();
    reply.matched = prev_in_range && term_at(m.prev_index) == m.prev_term;
    if (!reply.matched) {
        reply.match = commit_;
        pending_replies_[from] = reply;
        return;
    }
    const auto pending = pending_replies_.find(from);
    if (m.entries.empty() && pending != pending_replies_.end() && !pending->second.matched) {
        // A heartbeat that overtook a request does not tell the leader that it was refused.
        pending->second.sent_at = std::max(pending->second.sent_at, m.sent_at);
        return;
    }
    log_index index = m.prev_index;
    for (const store::log_entry& entry : m.entries) {
        ++index;
        if (index <= last_index()) {
            if (index <= commit_ || term_at(index) == entry.term) {
                continue;
            }
            truncate_from(index);
        }
        append_entry(entry);
    }
    commit_ = std::max(commit_, std::min(m.commit, index));
    // What matched this leader's log matches it for the rest of its term. A heartbeat may refer to
    // an earlier entry, and the reply to the request that it overtook may have been lost.
    matched_ = matched_term_ == m.term ? std::max(matched_, index) : index;
    matched_term_ = m.term;
    reply.match = matched_;
    pending_replies_[from] = reply;
}

template <log_store Store>
void replica<Store>::handle(const instance_id& from, const append_reply& m, mono_time now)
{
    if (m.term > hard_state_.term) {
        become_follower(m.term, now);
        return;
    }
    const auto found = peers_.find(from);
    if (role_ != role::leader || m.term != hard_state_.term || found == peers_.end()) {
        return;
    }
    progress& p = found->second;
    p.disk = m.disk;
    p.last_contact = std::max(p.last_contact, internal::from_nanoseconds(m.sent_at));
    if (m.lease_probe > p.lease_probe) {
        p.lease_probe = m.lease_probe;
        p.lease_probe_received_at = now;
    }
    p.applied = m.applied;
    if (m.matched) {
        p.match = std::max(p.match, m.match);
        p.next_index = std::max(p.next_index, p.match + 1);
        p.snapshot_sent = false;
    } else {
        p.match = std::min(p.match, m.match);
        p.next_index = m.match + 1;
        p.large_sent = 0;
        p.last_sent = mono_time{};
    }
}

template <log_store Store>
void replica<Store>::handle(const instance_id& from, const vote_request& m, mono_time now)
{
    vote_reply reply;
    reply.pre_vote = m.pre_vote;
    reply.disk = disk_;
    const bool log_up_to_date = log_is_up_to_date(m.last_index, m.last_term);
    // Also if the leader's term is over: the leader may not know that yet.
    const bool leader_active = role_ == role::leader || now < no_vote_before_ ||
                               now - last_leader_contact_ < timing_.election;
    if (m.pre_vote) {
        reply.granted = m.term > hard_state_.term && log_up_to_date && !leader_active && disk_ != 0;
        // A refusal carries this replica's term: a candidate with an older term but a longer log
        // could otherwise never ask for a term that this replica accepts.
        reply.term = reply.granted ? m.term : hard_state_.term;
        messages_after_sync_.emplace_back(from, reply);
        return;
    }
    if (m.term > hard_state_.term && !leader_active) {
        become_follower(m.term, now);
    }
    reply.term = hard_state_.term;
    const bool vote_available = hard_state_.voted_for.empty() || hard_state_.voted_for == from;
    reply.granted = m.term == hard_state_.term && log_up_to_date && vote_available && disk_ != 0 &&
                    role_ != role::leader && !leader_active;
    if (reply.granted) {
        hard_state_.voted_for = from;
        store_.save_hard_state(hard_state_);
        reset_election_timer(now);
    }
    messages_after_sync_.emplace_back(from, reply);
}

template <log_store Store>
void replica<Store>::handle(const instance_id& from, const vote_reply& m, mono_time now)
{
    if (!m.granted) {
        const bool relevant = !m.pre_vote || role_ == role::candidate;
        if (relevant && m.term > hard_state_.term) {
            become_follower(m.term, now);
        }
        return;
    }
    const term_number expected_term = hard_state_.term + (pre_voting_ ? 1 : 0);
    if (role_ == role::candidate && m.pre_vote == pre_voting_ && m.term == expected_term) {
        count_vote({from, m.disk}, now);
    }
}

template <log_store Store>
void replica<Store>::handle(const instance_id& from, const install_snapshot& m, mono_time now)
{
    if (m.term < hard_state_.term) {
        return;
    }
    if (m.term > hard_state_.term || role_ != role::follower) {
        become_follower(m.term, now);
    }
    record_leader_contact(from, now);
    append_reply reply;
    reply.sent_at = m.sent_at;
    reply.matched = true;
    reply.match = std::max(m.snap.index, commit_);
    if (m.snap.index > commit_) {
        replace_log_prefix(m.snap);
        halt_on(store_.save_snapshot(*snap_, hard_state_, entries_));
    }
    if (!halted_) {
        pending_replies_[from] = reply;
    }
}

template <log_store Store>
void replica<Store>::replace_log_prefix(const store::snapshot& snap)
{
    // Entries after the snapshot may have been acknowledged, so they are kept if the log matches.
    const bool matches = snap.index <= last_index() && term_at(snap.index) == snap.term;
    if (matches) {
        entries_.erase(entries_.begin(),
                       entries_.begin() + static_cast<std::ptrdiff_t>(snap.index - base_index_));
    } else {
        entries_.clear();
    }
    snap_ = snap;
    base_index_ = snap.index;
    base_term_ = snap.term;
    commit_ = snap.index;
    restore_pending_ = true;
    matched_ = std::min(matched_, last_index());
    configurations_.resize(1);
    adopt_configuration(snap.index, snap.configuration);
    for (const store::log_entry& entry : entries_) {
        if (entry.kind == store::entry_kind::configuration) {
            adopt_configuration(entry.index, entry.bytes);
        }
    }
}

template <log_store Store>
void replica<Store>::become_follower(term_number term, mono_time now)
{
    if (term > hard_state_.term) {
        hard_state_.term = term;
        hard_state_.voted_for = instance_id{};
        store_.save_hard_state(hard_state_);
        leader_ = instance_id{};
        // Their matches were confirmed to a leader of an earlier term, whose entries may be gone.
        pending_replies_.clear();
    }
    if (role_ == role::leader) {
        lease_until_ = std::max(lease_until_, quorum_contact() + timing_.lease);
        leader_ = instance_id{};
    }
    role_ = role::follower;
    pre_voting_ = false;
    votes_.clear();
    reset_election_timer(now);
}

template <log_store Store>
void replica<Store>::start_election(bool pre_vote, mono_time now)
{
    role_ = role::candidate;
    pre_voting_ = pre_vote;
    votes_.clear();
    leader_ = instance_id{};
    if (!pre_vote) {
        ++hard_state_.term;
        hard_state_.voted_for = self_;
        store_.save_hard_state(hard_state_);
    }
    reset_election_timer(now);
    vote_request request;
    request.term = hard_state_.term + (pre_vote ? 1 : 0);
    request.pre_vote = pre_vote;
    request.last_index = last_index();
    request.last_term = term_at(last_index());
    request.disk = disk_;
    std::set<instance_id> others;
    for (const auto& voters_asked : {voters().voters, voters().outgoing}) {
        for (const voter& v : voters_asked) {
            others.insert(v.id);
        }
    }
    others.erase(self_);
    for (const instance_id& id : others) {
        messages_after_sync_.emplace_back(id, request);
    }
    count_vote({self_, disk_}, now);
}

template <log_store Store>
void replica<Store>::count_vote(const voter& from, mono_time now)
{
    if (!voters().may_vote(from)) {
        return;
    }
    votes_.insert(from);
    if (!reached_by_quorum([&](const voter& v) { return votes_.contains(v); })) {
        return;
    }
    if (pre_voting_) {
        start_election(false, now);
    } else {
        become_leader(now);
    }
}

template <log_store Store>
void replica<Store>::become_leader(mono_time now)
{
    role_ = role::leader;
    pre_voting_ = false;
    leader_ = self_;
    leader_since_ = now;
    votes_.clear();
    for (auto& [id, p] : peers_) {
        const incarnation disk = p.disk;
        p = progress{};
        p.disk = disk;
        p.next_index = last_index() + 1;
    }
    append_entry({hard_state_.term, last_index() + 1, store::entry_kind::command, noop_command_});
    term_start_index_ = last_index();
}

template <log_store Store>
void replica<Store>::record_leader_contact(const instance_id& leader, mono_time now)
{
    leader_ = leader;
    last_leader_contact_ = now;
    reset_election_timer(now);
}

template <log_store Store>
void replica<Store>::reset_election_timer(mono_time now)
{
    std::uniform_int_distribution<milliseconds::rep> extra{0, timing_.election.count()};
    election_deadline_ = now + timing_.election + milliseconds{extra(random_)};
}

template <log_store Store>
template <class ValueOf>
auto replica<Store>::reached_by_majority(const std::vector<voter>& voters, const ValueOf& value_of)
{
    std::vector<decltype(value_of(voter{}))> values;
    for (const voter& v : voters) {
        values.push_back(value_of(v));
    }
    std::sort(values.begin(), values.end(), std::greater<>{});
    return values.empty() ? decltype(value_of(voter{})){} : values[majority_of(values.size()) - 1];
}

template <log_store Store>
template <class ValueOf>
auto replica<Store>::reached_by_quorum(const ValueOf& value_of) const
{
    const auto reached = reached_by_majority(voters().voters, value_of);
    return voters().is_joint() ? std::min(reached, reached_by_majority(voters().outgoing, value_of))
                               : reached;
}

template <log_store Store>
mono_time replica<Store>::quorum_contact() const
{
    return reached_by_quorum([&](const voter& v) {
        const auto found = peers_.find(v.id);
        if (v == voter{self_, disk_}) {
            return internal::self_contact_time;
        }
        return found != peers_.end() && found->second.disk == v.disk ? found->second.last_contact
                                                                     : mono_time{};
    });
}

template <log_store Store>
bool replica<Store>::is_voter() const
{
    return formed() && voters().may_vote({self_, disk_});
}

template <log_store Store>
bool replica<Store>::log_is_up_to_date(log_index last, term_number last_term) const
{
    const term_number own_last_term = term_at(last_index());
    return last_term > own_last_term || (last_term == own_last_term && last >= last_index());
}

template <log_store Store>
term_number replica<Store>::term_at(log_index index) const
{
    if (index == base_index_) {
        return base_term_;
    }
    if (index < base_index_ || index > last_index()) {
        return 0;
    }
    return entry_at(index).term;
}

template <log_store Store>
const store::log_entry& replica<Store>::entry_at(log_index index) const
{
    return entries_[static_cast<std::size_t>(index - base_index_ - 1)];
}

template <log_store Store>
void replica<Store>::append_entry(store::log_entry entry)
{
    if (entry.kind == store::entry_kind::configuration) {
        adopt_configuration(entry.index, entry.bytes);
    }
    store_.append(entry);
    unapplied_bytes_ += entry.bytes.size();
    entries_.push_back(std::move(entry));
}

template <log_store Store>
void replica<Store>::truncate_from(log_index index)
{
    store_.truncate_from(index);
    entries_.resize(static_cast<std::size_t>(index - base_index_ - 1));
    count_unapplied_bytes();
    synced_ = std::min(synced_, last_index());
    matched_ = std::min(matched_, last_index());
    while (configurations_.size() > 1 && configurations_.back().first >= index) {
        configurations_.pop_back();
    }
}

template <log_store Store>
void replica<Store>::count_unapplied_bytes()
{
    unapplied_bytes_ = 0;
    for (log_index i = std::max(applied_, base_index_) + 1; i <= last_index(); ++i) {
        unapplied_bytes_ += entry_at(i).bytes.size();
    }
}

template <log_store Store>
void replica<Store>::adopt_configuration(log_index index, const std::string& bytes)
{
    const auto decoded = from_bytes<configuration>(bytes);
    if (ok(decoded)) {
        configurations_.emplace_back(index, value(decoded));
    }
}

template <log_store Store>
void replica<Store>::advance_commit()
{
    const log_index quorum_match = reached_by_quorum([&](const voter& v) {
        const auto found = peers_.find(v.id);
        if (v == voter{self_, disk_}) {
            return synced_;
        }
        return found != peers_.end() && found->second.disk == v.disk ? found->second.match
                                                                     : log_index{0};
    });
    if (quorum_match > commit_ && term_at(quorum_match) == hard_state_.term) {
        commit_ = quorum_match;
    }
}

template <log_store Store>
void replica<Store>::complete_transition()
{
    if (voters().is_joint() && configurations_.back().first <= commit_) {
        const configuration next{voters().cluster, voters().voters, {}};
        append_entry(
            {hard_state_.term, last_index() + 1, store::entry_kind::configuration, to_bytes(next)});
    }
}

template <log_store Store>
void replica<Store>::apply_committed(const outputs& out)
{
    if (restore_pending_) {
        restore_pending_ = false;
        applied_ = snap_->index;
        count_unapplied_bytes();
        out.restore(*snap_);
    }
    while (applied_ < commit_ && !halted_) {
        ++applied_;
        const store::log_entry entry = entry_at(applied_);
        unapplied_bytes_ -= entry.bytes.size();
        if (entry.kind == store::entry_kind::command) {
            out.apply(entry);
        }
    }
    if (role_ == role::leader && commit_ >= configurations_.back().first && !is_voter()) {
        role_ = role::follower;
        leader_ = instance_id{};
    }
}

template <log_store Store>
void replica<Store>::send_replies(mono_time now, const outputs& out)
{
    for (auto& [to, reply] : pending_replies_) {
        reply.term = hard_state_.term;
        reply.applied = applied_;
        reply.disk = disk_;
        reply.lease_probe = internal::to_nanoseconds(now);
        out.send(to, reply);
    }
    pending_replies_.clear();
    auto messages = std::move(messages_after_sync_);
    messages_after_sync_.clear();
    for (auto& [to, m] : messages) {
        out.send(to, std::move(m));
    }
}

template <log_store Store>
void replica<Store>::send_appends(mono_time now, const outputs& out)
{
    for (auto& [id, p] : peers_) {
        const bool heartbeat_due = now - p.last_sent >= timing_.heartbeat;
        const bool commit_advanced =
            p.sent_commit < commit_ && now - p.last_sent >= timing_.commit_delay;
        const bool has_updates = p.next_index <= last_index() || commit_advanced;
        if (p.awaits_large_append()) {
            if (heartbeat_due) {
                send_overtaking_heartbeat(id, p, now, out);
            }
        } else if (heartbeat_due || (has_updates && !p.snapshot_sent)) {
            send_append(id, p, now, out);
        }
    }
}

template <log_store Store>
void replica<Store>::send_append(const instance_id& to, progress& p, mono_time now,
                                 const outputs& out)
{
    const bool needs_snapshot = p.next_index <= base_index_ && snap_ && !p.snapshot_sent;
    if (needs_snapshot && snapshot_in_progress(now)) {
        if (now - p.snapshot_attempt_at >= timing_.heartbeat) {
            p.snapshot_attempt_at = now;
            send_empty_heartbeat(to, p, now, out);
        }
        return;
    }
    p.last_sent = now;
    if (needs_snapshot) {
        p.snapshot_sent = true;
        p.snapshot_attempt_at = now;
        out.send(to, install_snapshot{hard_state_.term, *snap_, internal::to_nanoseconds(now)});
        p.next_index = snap_->index + 1;
        return;
    }
    // Filled in in place, because the entries may be large.
    message body{append_request{}};
    auto& m = std::get<append_request>(body);
    m.term = hard_state_.term;
    m.prev_index = std::max(p.next_index, base_index_ + 1) - 1;
    m.prev_term = term_at(m.prev_index);
    std::size_t bytes = 0;
    for (log_index i = m.prev_index + 1; i <= last_index() && bytes < max_append_bytes; ++i) {
        m.entries.push_back(entry_at(i));
        bytes += m.entries.back().bytes.size();
    }
    p.next_index = m.prev_index + m.entries.size() + 1;
    if (is_large(m)) {
        p.large_sent = p.next_index - 1;
    }
    m.commit = commit_;
    p.sent_commit = commit_;
    renew_lease(m, p, now);
    out.send(to, std::move(body));
}

template <log_store Store>
void replica<Store>::send_overtaking_heartbeat(const instance_id& to, progress& p, mono_time now,
                                               const outputs& out)
{
    if (p.match < base_index_) {
        // The term of the peer's last entry is not known here any more, so it could not be checked.
        return;
    }
    p.last_sent = now;
    append_request m;
    m.term = hard_state_.term;
    m.prev_index = p.match;
    m.prev_term = term_at(p.match);
    m.commit = commit_;
    // The peer takes the commit index up to this entry only.
    p.sent_commit = std::max(p.sent_commit, std::min(commit_, p.match));
    renew_lease(m, p, now);
    out.send(to, std::move(m));
}

template <log_store Store>
bool replica<Store>::snapshot_in_progress(mono_time now) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
        return peer.second.snapshot_sent &&
               now - peer.second.snapshot_attempt_at < snapshot_timeout;
    });
}

template <log_store Store>
void replica<Store>::send_empty_heartbeat(const instance_id& to, progress& p, mono_time now,
                                          const outputs& out) const
{
    p.last_sent = now;
    append_request m;
    m.term = hard_state_.term;
    m.prev_index = base_index_;
    m.prev_term = base_term_;
    renew_lease(m, p, now);
    out.send(to, std::move(m));
}

template <log_store Store>
void replica<Store>::renew_lease(append_request& m, progress& p, mono_time now) const
{
    m.sent_at = internal::to_nanoseconds(now);
    const mono_time last_contact = quorum_contact();
    const auto contact_age = std::max(mono_clock::duration::zero(), now - last_contact);
    if (last_contact != mono_time{} && contact_age < timing_.election * quorum_timeout_elections &&
        p.lease_probe != 0) {
        // The echo is aged so that a follower's lease ends with the leader's own: the instances of
        // a data centre that is partitioned together with the leader lose their leases together.
        m.lease_echo = p.lease_probe -
                       std::chrono::duration_cast<std::chrono::nanoseconds>(contact_age).count();
        p.lease_renewed_at = p.lease_probe_received_at - contact_age;
    }
}

} // namespace fescue::consensus
