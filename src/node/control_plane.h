#pragma once

/**
 * @file
 * This instance's replica of the control state, and the way to put commands into the log from
 * any instance. Commands are safe to propose twice, so a lost proposal is proposed again.
 */

#include "fescuestream/base/loop.h"
#include "fescuestream/catalogue/state.h"
#include "fescuestream/consensus/replica.h"
#include "fescuestream/store/store.h"
#include "fescuestream/wire/message.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace fescue::node {

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

using log_replica = consensus::replica<any_store>;
using apply_outcome = result<catalogue::apply_result>;

/** What the control plane tells its owner. */
struct control_events {
    std::function<bool(const instance_id&, const wire::message&)> send;
    /** A command was applied to the state. */
    std::function<void(const catalogue::command&, const catalogue::apply_result&)> applied;
    /** The whole state was replaced. */
    std::function<void()> restored;
    /** The disk failed; the instance must stop. */
    std::function<void(const error&)> failed;
};

class control_plane {
public:
    using callback = std::function<void(const apply_outcome&)>;

    control_plane(event_loop& loop, instance_id self, incarnation disk, any_store store,
                  store::recovered found, control_events events);

    const catalogue::control_state& state() const noexcept { return state_; }
    log_replica& replica() noexcept { return replica_; }
    const log_replica& replica() const noexcept { return replica_; }

    /** Proposes until the command is applied here or the time is over. */
    void propose(catalogue::command cmd, milliseconds patience, callback done);
    /** Proposes without caring for the result; only on the leader. */
    void propose_here(const catalogue::command& cmd);

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
        catalogue::apply_result outcome;
    };

    bool needs_retry(const proposal& p, mono_time now) const;
    void tick();
    void flush();
    void try_proposal(std::uint64_t number, proposal& p, mono_time now);
    void settle(std::uint64_t number, log_index index, term_number term);
    void finish(std::uint64_t number, const apply_outcome& outcome);
    void apply_entry(const store::log_entry& entry);
    void compact_if_long();

    event_loop& loop_;
    instance_id self_;
    control_events events_;
    catalogue::control_state state_;
    log_replica replica_;
    std::map<std::uint64_t, proposal> proposals_;
    std::uint64_t next_number_{1};
    std::deque<applied_entry> recent_;
    std::uint64_t applied_count_{0};
    timer_handle ticker_;
};

} // namespace fescue::node
