#pragma once

#include "fescuestream/base/codec.h"
#include "fescuestream/consensus/replica.h"

namespace fescue::consensus {

namespace internal {

/** Contact with oneself: later than any clock, and far enough from its end to add to. */
inline constexpr mono_time always = mono_time::max() - std::chrono::hours{24};

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
replica<Store>::replica(instance_id self, incarnation disk, Store store, store::recovered found,
                        std::string filler, timing intervals, std::uint64_t seed, mono_time now)
    : self_{std::move(self)}, disk_{disk}, store_{std::move(store)}, filler_{std::move(filler)},
      timing_{intervals}, random_{seed}, hard_{found.hard}, entries_{std::move(found.entries)}
{
    configurations_.emplace_back(0, configuration{});
    if (found.snap) {
        snap_ = std::move(found.snap);
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
    no_vote_before_ = formed() ? now + timing_.election : now;
    reset_election_timer(now);
}

template <log_store Store>
bool replica<Store>::form(std::uint64_t cluster, mono_time now)
{
    if (formed()) {
        return false;
    }
    hard_.term = 1;
    hard_.voted_for = self_;
    store_.save_hard_state(hard_);
    const configuration first{cluster, {voter{self_, disk_}}};
    append_entry({1, last_index() + 1, store::entry_kind::configuration, to_bytes(first)});
    become_leader(now);
    return true;
}

template <log_store Store>
void replica<Store>::set_peers(const std::set<instance_id>& peers)
{
    std::erase_if(peers_, [&](const auto& known) { return !peers.contains(known.first); });
    for (const instance_id& id : peers) {
        if (id != self_ && !peers_.contains(id)) {
            progress p;
            p.next = last_index() + 1;
            peers_.emplace(id, p);
        }
    }
}

template <log_store Store>
void replica<Store>::peer_connected(const instance_id& peer)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end()) {
        found->second.next = found->second.match + 1;
        found->second.sent_commit = 0;
        found->second.snapshot_sent = false;
        found->second.last_sent = mono_time{};
        // Another machine, or the same one after a restart, has another clock.
        found->second.probe = 0;
    }
}

template <log_store Store>
void replica<Store>::step(const instance_id& from, const message& m, mono_time now)
{
    std::visit([&](const auto& body) { handle(from, body, now); }, m);
}

template <log_store Store>
void replica<Store>::tick(mono_time now)
{
    if (role_ == role::leader) {
        const auto patience = timing_.election * quorum_patience;
        if (now - quorum_contact() > patience && now - led_since_ > patience) {
            become_follower(hard_.term, now);
        }
        return;
    }
    if (!leader_.empty() && now - leader_heard_ > timing_.election * 2) {
        leader_ = instance_id{};
    }
    if (now >= election_at_ && am_voter()) {
        start_election(true, now);
    }
}

template <log_store Store>
std::optional<log_index> replica<Store>::propose(std::string command)
{
    if (role_ != role::leader) {
        return std::nullopt;
    }
    append_entry({hard_.term, last_index() + 1, store::entry_kind::command, std::move(command)});
    return last_index();
}

template <log_store Store>
bool replica<Store>::propose_configuration(const configuration& next)
{
    const bool previous_committed = configurations_.back().first <= commit_;
    if (!settled() || !previous_committed || next.voters.empty()) {
        return false;
    }
    append_entry({hard_.term, last_index() + 1, store::entry_kind::configuration, to_bytes(next)});
    return true;
}

template <log_store Store>
void replica<Store>::resign(mono_time now)
{
    if (role_ == role::leader) {
        become_follower(hard_.term, now);
        election_at_ = now + timing_.lease;
    }
}

template <log_store Store>
bool replica<Store>::may_sync_later(mono_time now) const
{
    const std::size_t all = voters().voters.size();
    const bool others_suffice = all >= 2 && all - 2 >= voters().majority();
    const bool awaited = !after_sync_.empty() || !replies_.empty();
    return role_ == role::leader && others_suffice && !awaited &&
           now - *unsynced_since_ < timing_.leader_sync_delay;
}

template <log_store Store>
status replica<Store>::sync_if_due(mono_time now, const outputs& out)
{
    if (store_.dirty()) {
        unsynced_since_ = unsynced_since_.value_or(now);
        if (may_sync_later(now)) {
            return std::nullopt;
        }
        if (out.push) {
            out.push();
        }
        if (auto fault = store_.sync()) {
            return fault;
        }
    }
    all_synced();
    return std::nullopt;
}

template <log_store Store>
void replica<Store>::all_synced()
{
    synced_ = last_index();
    unsynced_since_.reset();
}

template <log_store Store>
status replica<Store>::flush(mono_time now, const outputs& out)
{
    if (role_ == role::leader) {
        // Followers write at the same time as this disk does.
        send_appends(now, out);
    }
    if (auto fault = sync_if_due(now, out)) {
        return fault;
    }
    if (role_ == role::leader) {
        advance_commit();
    }
    release_commits(out);
    send_replies(now, out);
    if (role_ == role::leader) {
        send_appends(now, out);
    }
    return std::nullopt;
}

template <log_store Store>
status replica<Store>::compact(std::string state)
{
    if (applied_ == 0 || applied_ <= snapshot_index()) {
        return std::nullopt;
    }
    store::snapshot made;
    made.index = applied_;
    made.term = term_at(applied_);
    made.state = std::move(state);
    for (const auto& [index, config] : configurations_) {
        if (index <= applied_) {
            made.configuration = to_bytes(config);
        }
    }
    const auto first_kept = entries_.begin() + static_cast<std::ptrdiff_t>(applied_ - base_index_);
    const std::vector<store::log_entry> after{first_kept, entries_.end()};
    if (auto fault = store_.save_snapshot(made, hard_, after)) {
        return fault;
    }
    all_synced();
    snap_ = std::move(made);
    if (applied_ - base_index_ > kept_tail) {
        const log_index new_base = applied_ - kept_tail;
        base_term_ = term_at(new_base);
        entries_.erase(entries_.begin(),
                       entries_.begin() + static_cast<std::ptrdiff_t>(new_base - base_index_));
        base_index_ = new_base;
    }
    return std::nullopt;
}

template <log_store Store>
mono_time replica<Store>::lease_until() const
{
    if (role_ == role::leader) {
        // A new leader still has the lease that the one before it renewed.
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
    // A leader before this one may have renewed it until it gave up.
    const mono_time other_leader = led_since_ + timing_.election * quorum_patience;
    const mono_time renewed = std::max(found->second.renewed, other_leader);
    return now < renewed + timing_.lease;
}

// ---- messages

template <log_store Store>
void replica<Store>::handle(const instance_id& from, const append_request& m, mono_time now)
{
    append_reply reply;
    reply.sent_at = m.sent_at;
    if (m.term < hard_.term) {
        reply.term = hard_.term;
        after_sync_.emplace_back(from, reply);
        return;
    }
    if (m.term > hard_.term || role_ != role::follower) {
        become_follower(m.term, now);
    }
    heard_leader(from, now);
    if (m.lease_echo != 0) {
        const auto renewed = internal::from_nanoseconds(m.lease_echo) + timing_.lease;
        lease_until_ = std::max(lease_until_, renewed);
    }
    const bool known = m.prev_index >= base_index_ && m.prev_index <= last_index();
    reply.matched = known && term_at(m.prev_index) == m.prev_term;
    if (!reply.matched) {
        reply.match = commit_;
        replies_[from] = reply;
        return;
    }
    log_index at = m.prev_index;
    for (const store::log_entry& entry : m.entries) {
        ++at;
        if (at <= last_index()) {
            if (at <= commit_ || term_at(at) == entry.term) {
                continue;
            }
            truncate_from(at);
        }
        append_entry(entry);
    }
    reply.match = at;
    commit_ = std::max(commit_, std::min(m.commit, at));
    const auto waiting = replies_.find(from);
    if (waiting != replies_.end() && waiting->second.matched) {
        reply.match = std::max(reply.match, waiting->second.match);
    }
    replies_[from] = reply;
}

template <log_store Store>
void replica<Store>::handle(const instance_id& from, const append_reply& m, mono_time now)
{
    if (m.term > hard_.term) {
        become_follower(m.term, now);
        return;
    }
    const auto found = peers_.find(from);
    if (role_ != role::leader || m.term != hard_.term || found == peers_.end()) {
        return;
    }
    progress& p = found->second;
    p.disk = m.disk;
    p.contact = std::max(p.contact, internal::from_nanoseconds(m.sent_at));
    if (m.lease_probe > p.probe) {
        p.probe = m.lease_probe;
        p.probe_at = now;
    }
    p.applied = m.applied;
    if (m.matched) {
        p.match = std::max(p.match, m.match);
        p.next = std::max(p.next, p.match + 1);
        p.snapshot_sent = false;
    } else {
        p.match = std::min(p.match, m.match);
        p.next = m.match + 1;
        p.last_sent = mono_time{};
    }
}

template <log_store Store>
void replica<Store>::handle(const instance_id& from, const vote_request& m, mono_time now)
{
    vote_reply reply;
    reply.pre_vote = m.pre_vote;
    reply.disk = disk_;
    const bool current = log_is_current(m.last_index, m.last_term);
    const bool leader_is_near = role_ == role::leader || now < no_vote_before_ ||
                                (!leader_.empty() && now - leader_heard_ < timing_.election);
    if (m.pre_vote) {
        reply.term = m.term;
        reply.granted = m.term > hard_.term && current && !leader_is_near && disk_ != 0;
        after_sync_.emplace_back(from, reply);
        return;
    }
    if (m.term > hard_.term && !leader_is_near) {
        become_follower(m.term, now);
    }
    reply.term = hard_.term;
    const bool free_vote = hard_.voted_for.empty() || hard_.voted_for == from;
    reply.granted = m.term == hard_.term && current && free_vote && disk_ != 0 &&
                    role_ != role::leader && !leader_is_near;
    if (reply.granted) {
        hard_.voted_for = from;
        store_.save_hard_state(hard_);
        reset_election_timer(now);
    }
    after_sync_.emplace_back(from, reply);
}

template <log_store Store>
void replica<Store>::handle(const instance_id& from, const vote_reply& m, mono_time now)
{
    if (!m.granted) {
        if (!m.pre_vote && m.term > hard_.term) {
            become_follower(m.term, now);
        }
        return;
    }
    const term_number wanted = hard_.term + (pre_voting_ ? 1 : 0);
    if (role_ == role::candidate && m.pre_vote == pre_voting_ && m.term == wanted) {
        count_vote({from, m.disk}, now);
    }
}

template <log_store Store>
void replica<Store>::handle(const instance_id& from, const install_snapshot& m, mono_time now)
{
    if (m.term < hard_.term) {
        return;
    }
    if (m.term > hard_.term || role_ != role::follower) {
        become_follower(m.term, now);
    }
    heard_leader(from, now);
    append_reply reply;
    reply.sent_at = m.sent_at;
    reply.matched = true;
    reply.match = std::max(m.snap.index, commit_);
    if (m.snap.index > commit_) {
        snap_ = m.snap;
        entries_.clear();
        base_index_ = snap_->index;
        base_term_ = snap_->term;
        commit_ = snap_->index;
        restore_pending_ = true;
        configurations_.resize(1);
        adopt_configuration(snap_->index, snap_->configuration);
        if (store_.save_snapshot(*snap_, hard_, {})) {
            // Not durable, so it must not be acknowledged; the next sync reports the fault.
            return;
        }
    }
    replies_[from] = reply;
}

// ---- roles

template <log_store Store>
void replica<Store>::become_follower(term_number term, mono_time now)
{
    if (term > hard_.term) {
        hard_.term = term;
        hard_.voted_for = instance_id{};
        store_.save_hard_state(hard_);
        leader_ = instance_id{};
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
        ++hard_.term;
        hard_.voted_for = self_;
        store_.save_hard_state(hard_);
    }
    reset_election_timer(now);
    vote_request ask;
    ask.term = hard_.term + (pre_vote ? 1 : 0);
    ask.pre_vote = pre_vote;
    ask.last_index = last_index();
    ask.last_term = term_at(last_index());
    ask.disk = disk_;
    for (const voter& v : voters().voters) {
        if (v.id != self_) {
            after_sync_.emplace_back(v.id, ask);
        }
    }
    count_vote({self_, disk_}, now);
}

template <log_store Store>
void replica<Store>::count_vote(const voter& from, mono_time now)
{
    if (!voters().contains(from)) {
        return;
    }
    votes_.insert(from);
    if (votes_.size() < voters().majority()) {
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
    led_since_ = now;
    votes_.clear();
    for (auto& [id, p] : peers_) {
        const incarnation disk = p.disk;
        p = progress{};
        p.disk = disk;
        p.next = last_index() + 1;
    }
    append_entry({hard_.term, last_index() + 1, store::entry_kind::command, filler_});
    first_of_term_ = last_index();
}

template <log_store Store>
void replica<Store>::heard_leader(const instance_id& leader, mono_time now)
{
    leader_ = leader;
    leader_heard_ = now;
    reset_election_timer(now);
}

template <log_store Store>
void replica<Store>::reset_election_timer(mono_time now)
{
    std::uniform_int_distribution<milliseconds::rep> extra{0, timing_.election.count()};
    election_at_ = now + timing_.election + milliseconds{extra(random_)};
}

template <log_store Store>
mono_time replica<Store>::quorum_contact() const
{
    std::vector<mono_time> contacts;
    for (const voter& v : voters().voters) {
        const auto found = peers_.find(v.id);
        if (v.id == self_) {
            contacts.push_back(internal::always);
        } else if (found != peers_.end() && found->second.disk == v.disk) {
            contacts.push_back(found->second.contact);
        } else {
            contacts.push_back(mono_time{});
        }
    }
    std::sort(contacts.begin(), contacts.end(), std::greater<>{});
    return contacts.empty() ? mono_time{} : contacts[voters().majority() - 1];
}

// ---- the log

template <log_store Store>
bool replica<Store>::am_voter() const
{
    return formed() && voters().contains({self_, disk_});
}

template <log_store Store>
bool replica<Store>::log_is_current(log_index last, term_number last_term) const
{
    const term_number mine = term_at(last_index());
    return last_term > mine || (last_term == mine && last >= last_index());
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
    entries_.push_back(std::move(entry));
}

template <log_store Store>
void replica<Store>::truncate_from(log_index index)
{
    store_.truncate_from(index);
    entries_.resize(static_cast<std::size_t>(index - base_index_ - 1));
    synced_ = std::min(synced_, last_index());
    while (configurations_.size() > 1 && configurations_.back().first >= index) {
        configurations_.pop_back();
    }
}

template <log_store Store>
void replica<Store>::adopt_configuration(log_index index, const std::string& bytes)
{
    const auto read = from_bytes<configuration>(bytes);
    if (ok(read)) {
        configurations_.emplace_back(index, value(read));
    }
}

template <log_store Store>
void replica<Store>::advance_commit()
{
    std::vector<log_index> matches;
    for (const voter& v : voters().voters) {
        const auto found = peers_.find(v.id);
        if (v.id == self_) {
            matches.push_back(v.disk == disk_ ? synced_ : 0);
        } else if (found != peers_.end() && found->second.disk == v.disk) {
            matches.push_back(found->second.match);
        } else {
            matches.push_back(0);
        }
    }
    std::sort(matches.begin(), matches.end(), std::greater<>{});
    const log_index agreed = matches[voters().majority() - 1];
    if (agreed > commit_ && term_at(agreed) == hard_.term) {
        commit_ = agreed;
    }
}

template <log_store Store>
void replica<Store>::release_commits(const outputs& out)
{
    if (restore_pending_) {
        restore_pending_ = false;
        applied_ = snap_->index;
        out.restore(*snap_);
    }
    while (applied_ < commit_) {
        ++applied_;
        const store::log_entry entry = entry_at(applied_);
        if (entry.kind == store::entry_kind::command) {
            out.apply(entry);
        }
    }
    if (role_ == role::leader && commit_ >= configurations_.back().first && !am_voter()) {
        role_ = role::follower;
        leader_ = instance_id{};
    }
}

template <log_store Store>
void replica<Store>::send_replies(mono_time now, const outputs& out)
{
    for (auto& [to, reply] : replies_) {
        reply.term = hard_.term;
        reply.applied = applied_;
        reply.disk = disk_;
        reply.lease_probe = internal::to_nanoseconds(now);
        out.send(to, reply);
    }
    replies_.clear();
    const auto held = std::move(after_sync_);
    after_sync_.clear();
    for (const auto& [to, m] : held) {
        out.send(to, m);
    }
}

template <log_store Store>
void replica<Store>::send_appends(mono_time now, const outputs& out)
{
    for (auto& [id, p] : peers_) {
        const bool due = now - p.last_sent >= timing_.heartbeat;
        const bool commit_news =
            p.sent_commit < commit_ && now - p.last_sent >= timing_.commit_delay;
        const bool news = p.next <= last_index() || commit_news;
        if (due || (news && !p.snapshot_sent)) {
            send_append(id, p, now, out);
        }
    }
}

template <log_store Store>
void replica<Store>::send_append(const instance_id& to, progress& p, mono_time now,
                                 const outputs& out)
{
    p.last_sent = now;
    if (p.next <= base_index_ && snap_ && !p.snapshot_sent) {
        p.snapshot_sent = true;
        out.send(to, install_snapshot{hard_.term, *snap_, internal::to_nanoseconds(now)});
        p.next = snap_->index + 1;
        return;
    }
    append_request m;
    m.term = hard_.term;
    m.prev_index = std::max(p.next, base_index_ + 1) - 1;
    m.prev_term = term_at(m.prev_index);
    std::size_t bytes = 0;
    for (log_index i = m.prev_index + 1; i <= last_index() && bytes < largest_append_bytes; ++i) {
        m.entries.push_back(entry_at(i));
        bytes += m.entries.back().bytes.size();
    }
    p.next = m.prev_index + m.entries.size() + 1;
    m.commit = commit_;
    p.sent_commit = commit_;
    m.sent_at = internal::to_nanoseconds(now);
    const mono_time contact = quorum_contact();
    const auto age = std::max(mono_clock::duration::zero(), now - contact);
    if (contact != mono_time{} && age < timing_.election * quorum_patience && p.probe != 0) {
        // A follower's lease ends with the leader's own, so that a data centre that is cut off
        // together with the leader changes over as one.
        m.lease_echo = p.probe - std::chrono::duration_cast<std::chrono::nanoseconds>(age).count();
        p.renewed = p.probe_at - age;
    }
    out.send(to, m);
}

} // namespace fescue::consensus
