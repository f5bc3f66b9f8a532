#pragma once

/**
 * @file
 * One replica of the replicated log (Raft). Its only I/O is through its store, and the current time
 * is passed in by the caller. Messages and committed entries are emitted by flush().
 */

#include "fescuestream/consensus/message.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fescue::consensus {

/** Timeouts and delays of the protocol. */
struct timing {
    milliseconds heartbeat{200};
    /** The election timeout is drawn from one to two times this value after leader contact. */
    milliseconds election{600};
    /** How long an instance may act on its state after contact with the leader. */
    milliseconds lease{3000};
    /**
     * Longest delay before followers are sent a new commit index that has no entries to travel
     * with; 0: none.
     */
    milliseconds commit_delay{0};
    /**
     * How long a leader may defer syncing its own entries when its followers form a majority
     * without it, even with one of them down. It counts itself towards the commit of those entries
     * only after the sync; 0: it syncs immediately. Terms and votes are always synced before they
     * are sent.
     */
    milliseconds leader_sync_delay{0};
};

/** A leader steps down after this many election intervals without contact with a majority. */
inline constexpr int quorum_timeout_elections = 2;
/** A snapshot that a peer has not confirmed within this time no longer delays those of other peers.
 */
inline constexpr milliseconds snapshot_timeout{10'000};
/** An append request takes no further entries once it has this many bytes of them. */
inline constexpr std::size_t max_append_bytes = 1U << 20U;
/**
 * Entries kept in memory before a snapshot's index, so that followers that lag by less need no
 * snapshot.
 */
inline constexpr std::size_t retained_entries = 2048;
/** Bytes of these entries that are kept at most, unless the owner of the replica sets a limit. */
inline constexpr std::size_t default_retained_bytes = 32U << 20U;

enum class role : std::uint8_t { follower, candidate, leader };

/** Replication progress of another instance, as tracked by the leader. */
struct progress {
    log_index next_index{1};
    log_index match{0};
    log_index applied{0};
    log_index sent_commit{0};
    incarnation disk{0};
    mono_time last_sent{};
    /** Leader's clock when it sent the newest request that was answered. */
    mono_time last_contact{};
    /** Newest reading of the instance's own clock, and when it was received. */
    std::int64_t lease_probe{0};
    mono_time lease_probe_received_at{};
    /** Upper bound on the start of the last renewed lease, on the leader's clock. */
    mono_time lease_renewed_at{};
    bool snapshot_sent{false};
    /** When a snapshot was sent, or a heartbeat because another peer is receiving one. */
    mono_time snapshot_attempt_at{};
    /**
     * Last index of the latest large append request; 0: none. Until it is acknowledged, messages
     * may overtake that request, so no further entries are sent.
     */
    log_index large_sent{0};

    bool awaits_large_append() const noexcept { return large_sent > match; }
};

/** Requirements of the replica on its store. */
template <class S>
concept log_store = requires(S s, const store::log_entry& entry, const store::hard_state& hard,
                             const store::snapshot& snap, const std::vector<store::log_entry>& es)
{
    s.append(entry);
    s.truncate_from(log_index{1});
    s.save_hard_state(hard);
    {
        s.sync()
        } -> std::same_as<status>;
    {
        s.dirty()
        } -> std::convertible_to<bool>;
    {
        s.save_snapshot(snap, hard, es)
        } -> std::same_as<status>;
};

/** Callbacks for the output of flush(). */
struct outputs {
    std::function<void(const instance_id&, message&&)> send;
    /** Called for each committed command, in order. */
    std::function<void(const store::log_entry&)> apply;
    /** Called instead of apply when a snapshot replaces the state. */
    std::function<void(const store::snapshot&)> restore;
    /** Writes buffered messages to the network; called before a disk sync. May be empty. */
    std::function<void()> push;
};

template <log_store Store>
class replica {
public:
    /**
     * @param self this instance.
     * @param disk identity of its disk; 0: no disk, the instance never votes.
     * @param recovered_state what the store held on opening.
     * @param noop_command encoded command that a new leader appends first in its term.
     */
    replica(instance_id self, incarnation disk, Store store, store::recovered recovered_state,
            std::string noop_command, timing intervals, std::uint64_t seed, mono_time now);

    /** Makes this instance the only voter of a new cluster. @return false if already formed. */
    bool form(std::uint64_t cluster, mono_time now);
    /** Sets the instances that the log is replicated to, voters or not. */
    void set_peers(const std::set<instance_id>& peers);
    /** Restarts replication to a peer after a reconnect: messages in flight may be lost. */
    void peer_connected(const instance_id& peer);

    void step(const instance_id& from, const message& m, mono_time now);
    void tick(mono_time now);
    /** Appends a command. @return its index, or nullopt when this is not the leader. */
    std::optional<log_index> propose(std::string command);
    /**
     * Proposes a configuration. If a majority of it may share no voter with a majority of the
     * current one, decisions need both from now on until the leader has committed that; then it
     * proposes the configuration alone. @return false when this is not a settled leader, the
     * previous change is not complete yet, or the configuration has no voters.
     */
    bool propose_configuration(const configuration& next);
    /**
     * Syncs pending writes, then emits messages, committed entries and snapshots. Emits nothing
     * once the replica has halted. @return the failure of the store that halted it, if any.
     */
    status flush(mono_time now, const outputs& out);
    /** Replaces the log up to the last applied entry by a snapshot of the state. Keeps at most
     * @p max_retained_bytes of the entries before it. */
    status compact(std::string state, std::size_t max_retained_bytes = default_retained_bytes);
    /** Steps down before a planned stop, so that another replica can take over at once. */
    void resign(mono_time now);
    /**
     * Stops this replica for good: it sends, stores and applies nothing more. A store that has
     * failed is never used again, because a later sync may succeed without the lost writes.
     */
    void halt();
    bool halted() const noexcept { return halted_; }

    bool is_leader() const noexcept { return role_ == role::leader; }
    /** @return the known leader; empty after two election intervals without contact. */
    const instance_id& leader() const noexcept { return leader_; }
    term_number term() const noexcept { return hard_state_.term; }
    log_index commit() const noexcept { return commit_; }
    log_index applied() const noexcept { return applied_; }
    /** @return the bytes of the entries that are not applied yet, of this leader or an earlier one.
     */
    std::size_t unapplied_bytes() const noexcept { return unapplied_bytes_; }
    log_index last_index() const noexcept { return base_index_ + entries_.size(); }
    log_index snapshot_index() const noexcept { return snap_ ? snap_->index : 0; }
    const configuration& voters() const noexcept { return configurations_.back().second; }
    bool formed() const noexcept { return voters().cluster != 0; }
    /** @return until when this instance may act on its state. */
    mono_time lease_until() const;
    /** @return whether this leader has committed an entry of its own term: its state is current. */
    bool settled() const noexcept { return is_leader() && commit_ >= term_start_index_; }
    /**
     * @return whether no other instance can be leader now: a majority has been in contact with this
     * leader within the interval in which it grants no votes. Required for linearizable reads.
     */
    bool has_leader_lease(mono_time now) const
    {
        return settled() && now - quorum_contact() < timing_.election;
    }
    const std::map<instance_id, progress>& peers() const noexcept { return peers_; }
    /** @return whether the instance may still hold a lease, from this or a previous leader. */
    bool may_hold_lease(const instance_id& id, mono_time now) const;
    const timing& intervals() const noexcept { return timing_; }

private:
    void handle(const instance_id& from, const append_request& m, mono_time now);
    void handle(const instance_id& from, const append_reply& m, mono_time now);
    void handle(const instance_id& from, const vote_request& m, mono_time now);
    void handle(const instance_id& from, const vote_reply& m, mono_time now);
    void handle(const instance_id& from, const install_snapshot& m, mono_time now);

    /** Halts this replica if the store has failed. @return its argument. */
    status halt_on(status fault);
    void become_follower(term_number term, mono_time now);
    void start_election(bool pre_vote, mono_time now);
    void become_leader(mono_time now);
    void count_vote(const voter& from, mono_time now);
    void record_leader_contact(const instance_id& leader, mono_time now);
    void reset_election_timer(mono_time now);
    bool log_is_up_to_date(log_index last_index, term_number last_term) const;
    bool is_voter() const;
    term_number term_at(log_index index) const;
    const store::log_entry& entry_at(log_index index) const;
    void append_entry(store::log_entry entry);
    bool may_defer_sync(mono_time now) const;
    status sync_if_due(mono_time now, const outputs& out);
    void mark_all_synced();
    void truncate_from(log_index index);
    void count_unapplied_bytes();
    /** @return the index before the first entry that is kept in front of a snapshot. */
    log_index first_retained_base(std::size_t max_bytes) const;
    /** Installs a snapshot beyond the commit index. */
    void replace_log_prefix(const store::snapshot& snap);
    void advance_commit();
    /** Ends a committed transition between two configurations. */
    void complete_transition();
    /** @return the highest value that a majority of the voters has reached. */
    template <class ValueOf>
    static auto reached_by_majority(const std::vector<voter>& voters, const ValueOf& value_of);
    /** @return the highest value that every majority needed for a decision has reached. */
    template <class ValueOf>
    auto reached_by_quorum(const ValueOf& value_of) const;
    void apply_committed(const outputs& out);
    void send_appends(mono_time now, const outputs& out);
    void send_append(const instance_id& to, progress& p, mono_time now, const outputs& out);
    /**
     * Sends a heartbeat that overtakes a large append request: it refers to the last entry that the
     * peer is known to have, because the peer would not accept a later one yet.
     */
    void send_overtaking_heartbeat(const instance_id& to, progress& p, mono_time now,
                                   const outputs& out);
    /** @return whether a peer is receiving a snapshot. One at a time does, because each of them is
     * in memory several times. */
    bool snapshot_in_progress(mono_time now) const;
    void send_empty_heartbeat(const instance_id& to, progress& p, mono_time now,
                              const outputs& out) const;
    /** Fills in the fields that renew the lease. */
    void renew_lease(append_request& m, progress& p, mono_time now) const;
    void send_replies(mono_time now, const outputs& out);
    mono_time quorum_contact() const;
    void adopt_configuration(log_index index, const std::string& bytes);

    instance_id self_;
    incarnation disk_;
    Store store_;
    std::string noop_command_;
    timing timing_;
    std::mt19937_64 random_;

    store::hard_state hard_state_;
    role role_{role::follower};
    bool pre_voting_{false};
    instance_id leader_;
    mono_time last_leader_contact_{};
    mono_time election_deadline_{};
    mono_time lease_until_{};
    mono_time leader_since_{};
    /**
     * A restarted voter has lost its record of recent leader contact, so it grants no votes before
     * this time.
     */
    mono_time no_vote_before_{};

    /** Entries from base_index_ + 1 on. */
    std::vector<store::log_entry> entries_;
    log_index base_index_{0};
    term_number base_term_{0};
    std::optional<store::snapshot> snap_;
    bool restore_pending_{false};
    log_index commit_{0};
    log_index applied_{0};
    std::size_t unapplied_bytes_{0};
    log_index synced_{0};
    /** Last index known to match the log of the leader of matched_term_. */
    log_index matched_{0};
    term_number matched_term_{0};
    /** The failure of the store that halted this replica. */
    status fault_;
    /** Time of the oldest write that is not synced yet. */
    std::optional<mono_time> unsynced_since_;
    log_index term_start_index_{0};
    /** Configurations with the index of their log entry; the last one is in effect. */
    std::vector<std::pair<log_index, configuration>> configurations_;

    std::set<voter> votes_;
    std::map<instance_id, progress> peers_;
    std::map<instance_id, append_reply> pending_replies_;
    std::vector<std::pair<instance_id, message>> messages_after_sync_;
    bool halted_{false};
};

} // namespace fescue::consensus

#include "fescuestream/consensus/replica-inl.h"
