#pragma once

/**
 * @file
 * A replicated state machine: this instance's copy of the state, and the way to put commands into
 * the log from any instance. Commands are safe to propose twice, so a lost proposal is proposed
 * again.
 */

#include "fescuestream/base/loop.h"
#include "fescuestream/consensus/replica.h"
#include "fescuestream/store/store.h"
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

/** A disk or none, chosen at start. */
class any_store {
public:
    explicit any_store(std::variant<store::memory_store, store::disk_store> s)
        : store_{std::move(s)}
    {
    }
    void append(const store::log_entry& entry)
    {
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

/** A store that was opened, with what it held. */
struct opened_disk {
    any_store store;
    incarnation life{0};
    fescue::store::recovered found;
};

/** Opens the data folder; an empty name gives a store without a disk. */
result<opened_disk> open_disk(const std::string& folder);

using log_replica = consensus::replica<any_store>;

/** A state and what may be done to it. */
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
        M::filler()
        } -> std::convertible_to<typename M::command_type>;
};

/** What a replicated state tells its owner. */
template <state_machine M>
struct replicated_events {
    std::function<bool(const instance_id&, const wire::message&)> send;
    /** A command was applied to the state. */
    std::function<void(const typename M::command_type&, const typename M::outcome_type&)> applied;
    /** The whole state was replaced. */
    std::function<void()> restored;
    /** The disk failed; the instance must stop. */
    std::function<void(const error&)> failed;
    /** Writes out what was sent so far, before the disk is waited for. May be empty. */
    std::function<void()> push;
};

/** When the log is replaced by a snapshot: whichever bound is reached first. */
struct snapshot_policy {
    log_index entries{8192};
    std::size_t bytes{64U << 20U};
};

template <state_machine M>
class replicated {
public:
    using state_type = typename M::state_type;
    using command_type = typename M::command_type;
    using outcome_type = typename M::outcome_type;
    using callback = std::function<void(const result<outcome_type>&)>;

    replicated(event_loop& loop, instance_id self, incarnation disk, any_store store,
               store::recovered found, replicated_events<M> events, snapshot_policy policy = {},
               consensus::timing intervals = {});

    const state_type& state() const noexcept { return state_; }
    log_replica& replica() noexcept { return replica_; }
    const log_replica& replica() const noexcept { return replica_; }

    /** Proposes until the command is applied here or the time is over. */
    void propose(command_type cmd, milliseconds patience, callback done);
    /** Proposes without caring for the result; only on the leader. @return whether it was taken. */
    bool propose_here(const command_type& cmd);

    void received(const instance_id& from, const consensus::message& m);
    void received(const instance_id& from, const wire::propose_request& m);
    void received(const instance_id& from, const wire::propose_reply& m);
    /** @return committed entries since start, for metrics. */
    std::uint64_t applied_count() const noexcept { return applied_count_; }

private:
    struct proposal {
        std::string bytes;
        callback done;
        mono_time give_up{};
        mono_time last_try{};
        log_index index{0};
        term_number term{0};
    };
    struct applied_entry {
        log_index index{0};
        term_number term{0};
        outcome_type outcome;
    };

    bool needs_retry(const proposal& p, mono_time now) const;
    void tick();
    void flush();
    void try_proposal(std::uint64_t number, proposal& p, mono_time now);
    void settle(std::uint64_t number, log_index index, term_number term);
    void finish(std::uint64_t number, const result<outcome_type>& outcome);
    void apply_entry(const store::log_entry& entry);
    void compact_if_long();

    event_loop& loop_;
    instance_id self_;
    replicated_events<M> events_;
    snapshot_policy policy_;
    state_type state_;
    log_replica replica_;
    std::map<std::uint64_t, proposal> proposals_;
    std::uint64_t next_number_{1};
    std::deque<applied_entry> recent_;
    std::uint64_t applied_count_{0};
    std::size_t bytes_since_snapshot_{0};
    timer_handle ticker_;
};

} // namespace fescue::replication

#include "fescuestream/replication/replicated-inl.h"
