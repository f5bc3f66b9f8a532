#pragma once

/**
 * @file
 * A replicated state machine: holds this instance's copy of the state and proposes commands to the
 * log from any instance. Commands must be idempotent, because a lost proposal is retried.
 */

#include "fescuestream/base/loop.h"
#include "fescuestream/base/scope_timer.h"
#include "fescuestream/consensus/replica.h"
#include "fescuestream/store/store.h"
#include "fescuestream/wire/frame.h"
#include "fescuestream/wire/message.h"

#include <concepts>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fescue::replication {

/** A store with or without a disk, chosen at startup. */
class any_store {
public:
    explicit any_store(std::variant<store::memory_store, store::disk_store> s)
        : store_{std::move(s)}
    {
    }
    void append(const store::log_entry& entry)
    {
        const scope_timer timing{"store_entry"};
        std::visit([&](auto& s) { s.append(entry); }, store_);
    }
    void truncate_from(log_index index)
    {
        std::visit([&](auto& s) { s.truncate_from(index); }, store_);
    }
    void save_hard_state(const store::hard_state& hard)
    {
        std::visit([&](auto& s) { s.save_hard_state(hard); }, store_);
    }
    status sync()
    {
        const scope_timer timing{"sync_log"};
        return std::visit([](auto& s) { return s.sync(); }, store_);
    }
    bool dirty() const
    {
        return std::visit([](const auto& s) { return s.dirty(); }, store_);
    }
    status save_snapshot(const store::snapshot& snap, const store::hard_state& hard,
                         const std::vector<store::log_entry>& after)
    {
        return std::visit([&](auto& s) { return s.save_snapshot(snap, hard, after); }, store_);
    }

private:
    std::variant<store::memory_store, store::disk_store> store_;
};

/** An opened store with its disk identity and recovered content. */
struct opened_disk {
    any_store store;
    incarnation incarnation_id{0};
    fescue::store::recovered found;
};

/** Opens the data folder; an empty name gives a store without a disk. */
result<opened_disk> open_disk(const std::string& folder);

using log_replica = consensus::replica<any_store>;

/** A state with its commands and their encodings; no_operation_command() is a no-op command. */
template <class M>
concept state_machine = requires(typename M::state_type& s, const typename M::command_type& cmd,
                                 const std::string& bytes)
{
    {
        M::encode(cmd)
        } -> std::same_as<std::string>;
    {
        M::decode(bytes)
        } -> std::same_as<result<typename M::command_type>>;
    {
        M::encode_state(s)
        } -> std::same_as<std::string>;
    {
        M::decode_state(bytes)
        } -> std::same_as<result<typename M::state_type>>;
    {
        M::apply(s, log_index{1}, cmd)
        } -> std::same_as<typename M::outcome_type>;
    {
        M::no_operation_command()
        } -> std::convertible_to<typename M::command_type>;
};

/** Callbacks of a replicated state machine. */
template <state_machine M>
struct replicated_events {
    std::function<bool(const instance_id&, const wire::message&)> send;
    /** Called after a command is applied to the state. */
    std::function<void(const typename M::command_type&, const typename M::outcome_type&)> applied;
    /** Called after a snapshot replaces the state. */
    std::function<void()> restored;
    /** The disk failed or stored data is undecodable; the instance must stop. */
    std::function<void(const error&)> failed;
    /** Writes buffered messages to the network; called before a disk sync. May be empty. */
    std::function<void()> push;
};

/** The log is compacted into a snapshot when either limit is reached. */
struct snapshot_policy {
    log_index entries{8192};
    std::size_t bytes{64U << 20U};
    /** Bytes of the entries before a snapshot that are kept for followers that lag. */
    std::size_t retained_bytes{consensus::default_retained_bytes};
};

/** Place of an entry in the log: one leader appends at most one entry at an index in its term. */
struct log_position {
    log_index index{0};
    term_number term{0};
};

template <state_machine M>
class replicated {
public:
    using state_type = typename M::state_type;
    using command_type = typename M::command_type;
    using outcome_type = typename M::outcome_type;
    using callback = std::function<void(const result<outcome_type>&)>;

    replicated(event_loop& loop, instance_id self, incarnation disk, any_store store,
               store::recovered recovered_state, replicated_events<M> events,
               snapshot_policy policy = {}, consensus::timing intervals = {});

    const state_type& state() const noexcept { return state_; }
    log_replica& replica() noexcept { return replica_; }
    const log_replica& replica() const noexcept { return replica_; }

    /**
     * Retries the proposal until the command is applied on this instance or the timeout ends.
     * @return the position of the command if this instance leads and has appended it.
     */
    std::optional<log_position> propose(command_type cmd, milliseconds timeout,
                                        callback on_complete);
    /**
     * Waits for a command that this leader has appended in its current term, for a caller that
     * repeats an order. Proposes nothing. @return false, without calling back, if the command is
     * not on its way: it is applied already, or this instance no longer leads that term.
     */
    bool await(const log_position& at, milliseconds timeout, callback on_complete);
    /** Proposes at this instance only, without retries; fails at the next tick if it does not lead.
     */
    void propose_once(const command_type& cmd, milliseconds timeout, callback on_complete);
    /** Proposes without waiting for the outcome. @return false when this is not the leader. */
    bool propose_here(const command_type& cmd);

    void received(const instance_id& from, const consensus::message& m);
    void received(const instance_id& from, const wire::propose_request& m);
    void received(const instance_id& from, const wire::propose_reply& m);
    /** @return number of entries applied since startup, for metrics. */
    std::uint64_t applied_count() const noexcept { return applied_count_; }

private:
    struct proposal {
        std::string bytes;
        callback on_complete;
        mono_time deadline{};
        mono_time last_attempt{};
        log_index index{0};
        term_number term{0};
        /** Whether it is proposed again if its entry is lost. */
        bool may_retry{true};
    };
    struct applied_entry {
        log_index index{0};
        term_number term{0};
        outcome_type outcome;
    };

    bool needs_retry(const proposal& p, mono_time now) const;
    void tick();
    void flush();
    /** Stops the replica and fails the open proposals, whose outcome is unknown. */
    void fail(const error& e);
    void submit(std::uint64_t number, proposal& p, mono_time now);
    void complete_if_applied(std::uint64_t number, log_index index, term_number term);
    void complete(std::uint64_t number, const result<outcome_type>& outcome);
    void apply_entry(const store::log_entry& entry);
    void compact_if_due();

    event_loop& loop_;
    instance_id self_;
    replicated_events<M> events_;
    snapshot_policy policy_;
    state_type state_;
    log_replica replica_;
    std::map<std::uint64_t, proposal> proposals_;
    std::uint64_t next_number_{wire::random_first_number()};
    std::deque<applied_entry> recent_outcomes_;
    std::uint64_t applied_count_{0};
    std::size_t bytes_since_snapshot_{0};
    bool failed_{false};
    timer_handle tick_timer_;
};

} // namespace fescue::replication

#include "fescuestream/replication/replicated-inl.h"
