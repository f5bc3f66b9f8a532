#pragma once

#include "fescuestream/base/log.h"
#include "fescuestream/replication/replicated.h"

#include <sodium.h>

namespace fescue::replication {

namespace internal {

inline constexpr milliseconds tick_period{20};
inline constexpr milliseconds retry_period{400};
/** Outcomes kept for proposals whose place in the log is told after they were applied. */
inline constexpr std::size_t kept_results = 8192;

inline std::uint64_t random_seed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof seed);
    return seed;
}

inline wire::message to_wire(const consensus::message& m)
{
    return std::visit([](const auto& body) { return wire::message{body}; }, m);
}

} // namespace internal

template <state_machine M>
replicated<M>::replicated(event_loop& loop, instance_id self, incarnation disk, any_store store,
                          store::recovered found, replicated_events<M> events,
                          snapshot_policy policy, consensus::timing intervals)
    : loop_{loop}, self_{self}, events_{std::move(events)}, policy_{policy},
      replica_{std::move(self),        disk,      std::move(store),        std::move(found),
               M::encode(M::filler()), intervals, internal::random_seed(), loop.now()}
{
    ticker_ = loop_.every(internal::tick_period, [this] { tick(); });
    loop_.at_round_end([this] { flush(); });
}

template <state_machine M>
void replicated<M>::propose(command_type cmd, milliseconds patience, callback done)
{
    const std::uint64_t number = next_number_++;
    proposal p;
    p.bytes = M::encode(cmd);
    p.done = std::move(done);
    p.give_up = loop_.now() + patience;
    auto& kept = proposals_.emplace(number, std::move(p)).first->second;
    try_proposal(number, kept, loop_.now());
}

template <state_machine M>
bool replicated<M>::propose_here(const command_type& cmd)
{
    return replica_.propose(M::encode(cmd)).has_value();
}

template <state_machine M>
void replicated<M>::try_proposal(std::uint64_t number, proposal& p, mono_time now)
{
    p.last_try = now;
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
    const bool placed = p.index > replica_.applied();
    return now - p.last_try > (placed ? internal::retry_period * 4 : internal::retry_period);
}

template <state_machine M>
void replicated<M>::tick()
{
    const mono_time now = loop_.now();
    replica_.tick(now);
    std::vector<std::uint64_t> over;
    for (auto& [number, p] : proposals_) {
        if (now >= p.give_up) {
            over.push_back(number);
        } else if (needs_retry(p, now)) {
            try_proposal(number, p, now);
        }
    }
    for (const std::uint64_t number : over) {
        finish(number, error{error_kind::no_leader, "no majority answered in time"});
    }
    compact_if_long();
}

template <state_machine M>
void replicated<M>::flush()
{
    const consensus::outputs out{
        [this](const instance_id& to, const consensus::message& m) {
            events_.send(to, internal::to_wire(m));
        },
        [this](const store::log_entry& entry) { apply_entry(entry); },
        [this](const store::snapshot& snap) {
            auto read = M::decode_state(snap.state);
            if (!ok(read)) {
                events_.failed(error_of(read));
                return;
            }
            state_ = std::move(value(read));
            recent_.clear();
            events_.restored();
        },
        events_.push,
    };
    if (const auto fault = replica_.flush(loop_.now(), out)) {
        events_.failed(*fault);
    }
}

template <state_machine M>
void replicated<M>::apply_entry(const store::log_entry& entry)
{
    const auto cmd = M::decode(entry.bytes);
    if (!ok(cmd)) {
        events_.failed(error_of(cmd));
        return;
    }
    const auto outcome = M::apply(state_, entry.index, value(cmd));
    ++applied_count_;
    bytes_since_snapshot_ += entry.bytes.size();
    recent_.push_back({entry.index, entry.term, outcome});
    if (recent_.size() > internal::kept_results) {
        recent_.pop_front();
    }
    events_.applied(value(cmd), outcome);
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, p] : proposals_) {
        if (p.index == entry.index) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        settle(number, entry.index, entry.term);
    }
}

template <state_machine M>
void replicated<M>::settle(std::uint64_t number, log_index index, term_number term)
{
    const auto found = proposals_.find(number);
    if (found == proposals_.end() || recent_.empty() || index < recent_.front().index) {
        return;
    }
    for (auto at = recent_.rbegin(); at != recent_.rend() && at->index >= index; ++at) {
        if (at->index != index) {
            continue;
        }
        if (at->term != term || found->second.term != term) {
            // Another leader's entry took the place: the command is proposed again.
            found->second.index = 0;
            return;
        }
        finish(number, at->outcome);
        return;
    }
}

template <state_machine M>
void replicated<M>::finish(std::uint64_t number, const result<outcome_type>& outcome)
{
    auto node = proposals_.extract(number);
    if (!node.empty() && node.mapped().done) {
        node.mapped().done(outcome);
    }
}

template <state_machine M>
void replicated<M>::received(const instance_id& from, const consensus::message& m)
{
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
        settle(m.number, m.index, m.term);
    }
}

template <state_machine M>
void replicated<M>::compact_if_long()
{
    const bool long_log = replica_.applied() >= replica_.snapshot_index() + policy_.entries;
    if (!long_log && bytes_since_snapshot_ < policy_.bytes) {
        return;
    }
    bytes_since_snapshot_ = 0;
    if (const auto fault = replica_.compact(M::encode_state(state_))) {
        events_.failed(*fault);
    }
}

} // namespace fescue::replication
