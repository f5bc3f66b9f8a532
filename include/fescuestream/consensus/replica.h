#pragma once

/**
 * @file
 * One replica of the replicated log. It does no I/O but through its store, and reads no clock:
 * time is an argument. Messages and entries leave through flush().
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

/** The log's intervals. */
struct timing {
    milliseconds heartbeat{200};
    /** An election starts between one and two of these after the leader was last heard. */
    milliseconds election{600};
    /** How long an instance may act on what it knows after hearing from the leader. */
    milliseconds lease{3000};
    /** Followers are told of new commits alone this much later at most; 0: at once. */
    milliseconds commit_delay{0};
    /** A leader whose followers are a majority without it, even with one of them away, leaves its
     * entries unsynced for so long, and counts itself for them only then; 0: it syncs at once.
     * Terms and votes are always synced before anyone is told. */
    milliseconds leader_sync_delay{0};
};

/** A leader gives up when no majority answered for this many election intervals. */
inline constexpr int quorum_patience = 2;
/** Most bytes of entries in one message. */
inline constexpr std::size_t largest_append_bytes = 1U << 20U;
/** Entries kept in memory behind a snapshot, for followers that are a little late. */
inline constexpr std::size_t kept_tail = 2048;

enum class role : std::uint8_t { follower, candidate, leader };

/** What the leader knows of another instance. */
struct progress {
    log_index next{1};
    log_index match{0};
    log_index applied{0};
    log_index sent_commit{0};
    incarnation disk{0};
    mono_time last_sent{};
    /** Leader's clock at the sending of the newest request that was answered. */
    mono_time contact{};
    /** Newest clock reading that the instance sent, and when it came here. */
    std::int64_t probe{0};
    mono_time probe_at{};
    /** The lease that was renewed last began no later than this. */
    mono_time renewed{};
    bool snapshot_sent{false};
};

/** A store as the replica needs it. */
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

/** Where flush() puts what leaves the replica. */
struct outputs {
    std::function<void(const instance_id&, const message&)> send;
    /** Called for each committed command, in order. */
    std::function<void(const store::log_entry&)> apply;
    /** Called in place of entries when the state came as a snapshot. */
    std::function<void(const store::snapshot&)> restore;
    /** Writes out what was sent so far; called before the disk is waited for. May be empty. */
    std::function<void()> push;
};

template <log_store Store>
class replica {
public:
    /**
     * @param self this instance.
     * @param disk identity of its disk; 0: none, it never votes.
     * @param found what the store held.
     * @param filler bytes of the command that a new leader commits first.
     */
    replica(instance_id self, incarnation disk, Store store, store::recovered found,
            std::string filler, timing intervals, std::uint64_t seed, mono_time now);

    /** Makes this instance the only voter of a new system. @return false if already formed. */
    bool form(std::uint64_t cluster, mono_time now);
    /** All other instances that the log goes to, voters or not. */
    void set_peers(const std::set<instance_id>& peers);
    /** The connection to a peer is new: what was under way is lost. */
    void peer_connected(const instance_id& peer);

    void step(const instance_id& from, const message& m, mono_time now);
    void tick(mono_time now);
    /** Appends a command. @return its index, or nothing when this is not the leader. */
    std::optional<log_index> propose(std::string command);
    /** Changes the voters by one. @return false when not now. */
    bool propose_configuration(const configuration& next);
    /** Syncs what is new, then lets messages, entries and snapshots out. */
    status flush(mono_time now, const outputs& out);
    /** Replaces the log up to the last applied entry by its state. */
    status compact(std::string state);
    /** Steps down for a planned stop, so that another takes over at once. */
    void resign(mono_time now);

    bool is_leader() const noexcept { return role_ == role::leader; }
    /** @return the leader as far as known; empty when none was heard of late. */
    const instance_id& leader() const noexcept { return leader_; }
    term_number term() const noexcept { return hard_.term; }
    log_index commit() const noexcept { return commit_; }
    log_index applied() const noexcept { return applied_; }
    log_index last_index() const noexcept { return base_index_ + entries_.size(); }
    log_index snapshot_index() const noexcept { return snap_ ? snap_->index : 0; }
    const configuration& voters() const noexcept { return configurations_.back().second; }
    bool formed() const noexcept { return voters().cluster != 0; }
    /** @return until when this instance may act on its state. */
    mono_time lease_until() const;
    /** @return a leader that committed in its own term: its state is current. */
    bool settled() const noexcept { return is_leader() && commit_ >= first_of_term_; }
    /**
     * @return whether no other instance can lead now: a majority heard this leader within the time
     * in which none of them votes. Reads that must be current need it.
     */
    bool surely_leads(mono_time now) const
    {
        return settled() && now - quorum_contact() < timing_.election;
    }
    const std::map<instance_id, progress>& peers() const noexcept { return peers_; }
    /** @return whether the instance may still be acting on a lease that some leader renewed. */
    bool may_hold_lease(const instance_id& id, mono_time now) const;
    const timing& intervals() const noexcept { return timing_; }

private:
    void handle(const instance_id& from, const append_request& m, mono_time now);
    void handle(const instance_id& from, const append_reply& m, mono_time now);
    void handle(const instance_id& from, const vote_request& m, mono_time now);
    void handle(const instance_id& from, const vote_reply& m, mono_time now);
    void handle(const instance_id& from, const install_snapshot& m, mono_time now);

    void become_follower(term_number term, mono_time now);
    void start_election(bool pre_vote, mono_time now);
    void become_leader(mono_time now);
    void count_vote(const voter& from, mono_time now);
    void heard_leader(const instance_id& leader, mono_time now);
    void reset_election_timer(mono_time now);
    bool log_is_current(log_index last_index, term_number last_term) const;
    bool am_voter() const;
    term_number term_at(log_index index) const;
    const store::log_entry& entry_at(log_index index) const;
    void append_entry(store::log_entry entry);
    bool may_sync_later(mono_time now) const;
    status sync_if_due(mono_time now, const outputs& out);
    void all_synced();
    void truncate_from(log_index index);
    void advance_commit();
    void release_commits(const outputs& out);
    void send_appends(mono_time now, const outputs& out);
    void send_append(const instance_id& to, progress& p, mono_time now, const outputs& out);
    void send_replies(mono_time now, const outputs& out);
    mono_time quorum_contact() const;
    void adopt_configuration(log_index index, const std::string& bytes);

    instance_id self_;
    incarnation disk_;
    Store store_;
    std::string filler_;
    timing timing_;
    std::mt19937_64 random_;

    store::hard_state hard_;
    role role_{role::follower};
    bool pre_voting_{false};
    instance_id leader_;
    mono_time leader_heard_{};
    mono_time election_at_{};
    mono_time lease_until_{};
    mono_time led_since_{};
    /** A restarted voter does not know whom it promised to hear: it keeps its vote until then. */
    mono_time no_vote_before_{};

    /** Entries base_index_ + 1 and on. */
    std::vector<store::log_entry> entries_;
    log_index base_index_{0};
    term_number base_term_{0};
    std::optional<store::snapshot> snap_;
    bool restore_pending_{false};
    log_index commit_{0};
    log_index applied_{0};
    log_index synced_{0};
    /** Since when something is written and not synced. */
    std::optional<mono_time> unsynced_since_;
    log_index first_of_term_{0};
    /** Configurations by the index that brought them; the last one is in use. */
    std::vector<std::pair<log_index, configuration>> configurations_;

    std::set<voter> votes_;
    std::map<instance_id, progress> peers_;
    std::map<instance_id, append_reply> replies_;
    std::vector<std::pair<instance_id, message>> after_sync_;
};

} // namespace fescue::consensus

#include "fescuestream/consensus/replica-inl.h"
