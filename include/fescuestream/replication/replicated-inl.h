#pragma once

#include "fescuestream/base/log.h"
#include "fescuestream/base/scope_timer.h"
#include "fescuestream/replication/replicated.h"

#include <sodium.h>

namespace fescue::replication {

namespace internal {

inline constexpr milliseconds tick_period{20};
inline constexpr milliseconds retry_period{400};
/** Outcomes kept for proposals whose log index arrives after the entry was applied. */
inline constexpr std::size_t max_recent_outcomes = 8192;

inline std::uint64_t random_seed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof seed);
    return seed;
}

inline wire::message to_wire(consensus::message&& m)
{
    return std::visit([](auto& body) { return wire::message{std::move(body)}; }, m);
}

} // namespace internal

template <state_machine M>
replicated<M>::replicated(event_loop& loop, instance_id self, incarnation disk, any_store store,
                          store::recovered recovered_state, replicated_events<M> events,
                          snapshot_policy policy, consensus::timing intervals)
    : loop_{loop}, self_{self}, events_{std::move(events)}, policy_{policy},
      replica_{std::move(self),
               disk,
               std::move(store),
               std::move(recovered_state),
               M::encode(M::no_operation_command()),
               intervals,
               internal::random_seed(),
               loop.now()}
{
    tick_timer_ = loop_.every(internal::tick_period, [this] { tick(); });
    loop_.on_iteration_end([this] { flush(); });
}

template <state_machine M>
std::optional<log_position> replicated<M>::propose(command_type cmd, milliseconds timeout,
                                                   callback on_complete)
{
    const std::uint64_t number = next_number_++;
    proposal p;
    {
        const scope_timer timing{"encode_command"};
        p.bytes = M::encode(cmd);
    }
    p.on_complete = std::move(on_complete);
    p.deadline = replica_.halted() ? loop_.now() : loop_.now() + timeout;
    auto& stored = proposals_.emplace(number, std::move(p)).first->second;
    submit(number, stored, loop_.now());
    return stored.index == 0 ? std::nullopt
                             : std::optional{log_position{stored.index, stored.term}};
}

template <state_machine M>
bool replicated<M>::await(const log_position& at, milliseconds timeout, callback on_complete)
{
    // A leader never removes entries of its own term.
    if (!replica_.is_leader() || replica_.term() != at.term || at.index <= replica_.applied()) {
        return false;
    }
    proposal p;
    p.on_complete = std::move(on_complete);
    p.deadline = loop_.now() + timeout;
    p.index = at.index;
    p.term = at.term;
    p.may_retry = false;
    proposals_.emplace(next_number_++, std::move(p));
    return true;
}

template <state_machine M>
void replicated<M>::propose_once(const command_type& cmd, milliseconds timeout,
                                 callback on_complete)
{
    const auto index = replica_.propose(M::encode(cmd));
    proposal p;
    p.on_complete = std::move(on_complete);
    p.deadline = index ? loop_.now() + timeout : loop_.now();
    p.index = index.value_or(0);
    p.term = replica_.term();
    p.may_retry = false;
    proposals_.emplace(next_number_++, std::move(p));
}

template <state_machine M>
bool replicated<M>::propose_here(const command_type& cmd)
{
    return replica_.propose(M::encode(cmd)).has_value();
}

template <state_machine M>
void replicated<M>::submit(std::uint64_t number, proposal& p, mono_time now)
{
    p.last_attempt = now;
    if (const auto index = replica_.propose(p.bytes)) {
        p.index = *index;
        p.term = replica_.term();
        return;
    }
    if (!replica_.leader().empty()) {
        events_.send(replica_.leader(), wire::propose_request{number, p.bytes});
    }
}

template <state_machine M>
bool replicated<M>::needs_retry(const proposal& p, mono_time now) const
{
    const bool in_log = p.index > replica_.applied();
    return p.may_retry &&
           now - p.last_attempt > (in_log ? internal::retry_period * 4 : internal::retry_period);
}

template <state_machine M>
void replicated<M>::tick()
{
    const mono_time now = loop_.now();
    replica_.tick(now);
    std::vector<std::uint64_t> expired;
    for (auto& [number, p] : proposals_) {
        if (now >= p.deadline) {
            expired.push_back(number);
        } else if (needs_retry(p, now)) {
            submit(number, p, now);
        }
    }
    for (const std::uint64_t number : expired) {
        complete(number, error{error_kind::no_leader,
                               "the command was not committed and applied before the deadline"});
    }
    compact_if_due();
}

template <state_machine M>
void replicated<M>::flush()
{
    const consensus::outputs out{
        [this](const instance_id& to, consensus::message&& m) {
            const scope_timer timing{"send_log_message"};
            events_.send(to, internal::to_wire(std::move(m)));
        },
        [this](const store::log_entry& entry) { apply_entry(entry); },
        [this](const store::snapshot& snap) {
            // Freed first, so that not both states are in memory.
            state_ = state_type{};
            auto decoded = M::decode_state(snap.state);
            if (!ok(decoded)) {
                fail(error_of(decoded));
                return;
            }
            state_ = std::move(value(decoded));
            recent_outcomes_.clear();
            events_.restored();
        },
        events_.push,
    };
    if (const auto fault = replica_.flush(loop_.now(), out)) {
        fail(*fault);
    }
}

template <state_machine M>
void replicated<M>::fail(const error& e)
{
    if (failed_) {
        return;
    }
    failed_ = true;
    replica_.halt();
    for (auto& [number, p] : proposals_) {
        // Completed by the next tick, because the callbacks may propose.
        p.deadline = mono_time{};
    }
    events_.failed(e);
}

template <state_machine M>
void replicated<M>::apply_entry(const store::log_entry& entry)
{
    const scope_timer timing{"apply_entry"};
    const auto cmd = M::decode(entry.bytes);
    if (!ok(cmd)) {
        fail(error_of(cmd));
        return;
    }
    const auto outcome = M::apply(state_, entry.index, value(cmd));
    ++applied_count_;
    bytes_since_snapshot_ += entry.bytes.size();
    recent_outcomes_.push_back({entry.index, entry.term, outcome});
    if (recent_outcomes_.size() > internal::max_recent_outcomes) {
        recent_outcomes_.pop_front();
    }
    events_.applied(value(cmd), outcome);
    std::vector<std::uint64_t> proposals_at_index;
    for (const auto& [number, p] : proposals_) {
        if (p.index == entry.index) {
            proposals_at_index.push_back(number);
        }
    }
    for (const std::uint64_t number : proposals_at_index) {
        complete_if_applied(number, entry.index, entry.term);
    }
}

template <state_machine M>
void replicated<M>::complete_if_applied(std::uint64_t number, log_index index, term_number term)
{
    const auto found = proposals_.find(number);
    if (found == proposals_.end() || recent_outcomes_.empty() ||
        index < recent_outcomes_.front().index) {
        return;
    }
    for (auto at = recent_outcomes_.rbegin(); at != recent_outcomes_.rend() && at->index >= index;
         ++at) {
        if (at->index != index) {
            continue;
        }
        if (at->term != term || found->second.term != term) {
            if (!found->second.may_retry) {
                complete(number, error{error_kind::no_leader, "the command was not committed"});
                return;
            }
            // An entry of another leader has this index: the command is proposed again.
            found->second.index = 0;
            return;
        }
        complete(number, at->outcome);
        return;
    }
}

template <state_machine M>
void replicated<M>::complete(std::uint64_t number, const result<outcome_type>& outcome)
{
    auto node = proposals_.extract(number);
    if (!node.empty() && node.mapped().on_complete) {
        node.mapped().on_complete(outcome);
    }
}

template <state_machine M>
void replicated<M>::received(const instance_id& from, const consensus::message& m)
{
    const scope_timer timing{"receive_log_message"};
    replica_.step(from, m, loop_.now());
}

template <state_machine M>
void replicated<M>::received(const instance_id& from, const wire::propose_request& m)
{
    wire::propose_reply reply;
    reply.number = m.number;
    const auto index = replica_.propose(m.command);
    reply.accepted = index.has_value();
    reply.index = index.value_or(0);
    reply.term = replica_.term();
    events_.send(from, reply);
}

template <state_machine M>
void replicated<M>::received(const instance_id& /*from*/, const wire::propose_reply& m)
{
    const auto found = proposals_.find(m.number);
    if (found == proposals_.end() || !m.accepted) {
        return;
    }
    found->second.index = m.index;
    found->second.term = m.term;
    if (m.index <= replica_.applied()) {
        complete_if_applied(m.number, m.index, m.term);
    }
}

template <state_machine M>
void replicated<M>::compact_if_due()
{
    const bool entry_limit_reached =
        replica_.applied() >= replica_.snapshot_index() + policy_.entries;
    if (!entry_limit_reached && bytes_since_snapshot_ < policy_.bytes) {
        return;
    }
    bytes_since_snapshot_ = 0;
    const scope_timer timing{"compact_log"};
    if (const auto fault = replica_.compact(M::encode_state(state_), policy_.retained_bytes)) {
        fail(*fault);
    }
}

} // namespace fescue::replication
