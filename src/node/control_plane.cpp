#include "control_plane.h"

#include "fescuestream/base/log.h"

#include <sodium.h>

namespace fescue::node {

namespace {

constexpr milliseconds tick_period{20};
constexpr milliseconds retry_period{400};
constexpr std::size_t kept_results = 8192;
/** Entries after which the log is replaced by a snapshot. */
constexpr log_index entries_per_snapshot = 8192;

std::uint64_t random_seed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof seed);
    return seed;
}

wire::message to_wire(const consensus::message& m)
{
    return std::visit([](const auto& body) { return wire::message{body}; }, m);
}

} // namespace

control_plane::control_plane(event_loop& loop, instance_id self, incarnation disk, any_store store,
                             store::recovered found, control_events events)
    : loop_{loop}, self_{self}, events_{std::move(events)}, replica_{std::move(self),
                                                                     disk,
                                                                     std::move(store),
                                                                     std::move(found),
                                                                     catalogue::encode(
                                                                         catalogue::no_operation{}),
                                                                     consensus::timing{},
                                                                     random_seed(),
                                                                     loop.now()}
{
    ticker_ = loop_.every(tick_period, [this] { tick(); });
    loop_.at_round_end([this] { flush(); });
}

void control_plane::propose(catalogue::command cmd, milliseconds patience, callback done)
{
    const std::uint64_t number = next_number_++;
    proposal p;
    p.bytes = catalogue::encode(cmd);
    p.done = std::move(done);
    p.give_up = loop_.now() + patience;
    auto& kept = proposals_.emplace(number, std::move(p)).first->second;
    try_proposal(number, kept, loop_.now());
}

void control_plane::propose_here(const catalogue::command& cmd)
{
    replica_.propose(catalogue::encode(cmd));
}

void control_plane::try_proposal(std::uint64_t number, proposal& p, mono_time now)
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

bool control_plane::needs_retry(const proposal& p, mono_time now) const
{
    const bool placed = p.index > replica_.applied();
    return now - p.last_try > (placed ? retry_period * 4 : retry_period);
}

void control_plane::tick()
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

void control_plane::flush()
{
    const consensus::outputs out{
        [this](const instance_id& to, const consensus::message& m) {
            events_.send(to, to_wire(m));
        },
        [this](const store::log_entry& entry) { apply_entry(entry); },
        [this](const store::snapshot& snap) {
            auto read = catalogue::decode_state(snap.state);
            if (!ok(read)) {
                events_.failed(error_of(read));
                return;
            }
            state_ = std::move(value(read));
            recent_.clear();
            events_.restored();
        },
    };
    if (const auto fault = replica_.flush(loop_.now(), out)) {
        events_.failed(*fault);
    }
}

void control_plane::apply_entry(const store::log_entry& entry)
{
    const auto cmd = catalogue::decode(entry.bytes);
    if (!ok(cmd)) {
        events_.failed(error_of(cmd));
        return;
    }
    const auto outcome = catalogue::apply(state_, entry.index, value(cmd));
    ++applied_count_;
    recent_.push_back({entry.index, entry.term, outcome});
    if (recent_.size() > kept_results) {
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

void control_plane::settle(std::uint64_t number, log_index index, term_number term)
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

void control_plane::finish(std::uint64_t number, const apply_outcome& outcome)
{
    auto node = proposals_.extract(number);
    if (!node.empty() && node.mapped().done) {
        node.mapped().done(outcome);
    }
}

void control_plane::received(const instance_id& from, const consensus::message& m)
{
    replica_.step(from, m, loop_.now());
}

void control_plane::received(const instance_id& from, const wire::propose_request& m)
{
    wire::propose_reply reply;
    reply.number = m.number;
    const auto index = replica_.propose(m.command);
    reply.accepted = index.has_value();
    reply.index = index.value_or(0);
    reply.term = replica_.term();
    events_.send(from, reply);
}

void control_plane::received(const instance_id& /*from*/, const wire::propose_reply& m)
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

void control_plane::compact_if_long()
{
    if (replica_.applied() < replica_.snapshot_index() + entries_per_snapshot) {
        return;
    }
    if (const auto fault = replica_.compact(catalogue::encode_state(state_))) {
        events_.failed(*fault);
    }
}

} // namespace fescue::node
