#include "group.h"

#include "fescuestream/base/log.h"

#include <sodium.h>

#include <algorithm>

namespace fescue::fleet {

namespace {

/** A learner counts as caught up within this many entries. */
constexpr log_index caught_up_within = 64;
/** A voter that was not heard for so long, while others took its place, is taken out. It exceeds
 * a restart and the election after it several times over. */
constexpr milliseconds dead_after{10'000};
/** Never fewer voters than this by a removal: with two, one lost disk would end the group. */
constexpr std::size_t fewest_voters = 3;

consensus::configuration without(consensus::configuration c, const consensus::voter& v)
{
    std::erase(c.voters, v);
    return c;
}

} // namespace

voter_change plan_voters(const consensus::configuration& present, const instance_id& self,
                         const std::map<instance_id, scheduler_peer>& peers,
                         const std::function<bool(const instance_id&, incarnation)>& caught_up,
                         mono_time now)
{
    for (const auto& [id, peer] : peers) {
        const consensus::voter candidate{id, peer.disk};
        if (!peer.connected || peer.disk == 0 || present.contains(candidate) ||
            !caught_up(id, peer.disk)) {
            continue;
        }
        const auto old = std::ranges::find(present.voters, id, &consensus::voter::id);
        consensus::configuration next = present;
        if (old != present.voters.end()) {
            // The same address with another disk: the old disk is gone and can't vote again.
            next = without(next, *old);
            next.voters.push_back(candidate);
            return {voter_change::kind::replace, candidate, next};
        }
        next.voters.push_back(candidate);
        return {voter_change::kind::add, candidate, next};
    }
    for (const consensus::voter& v : present.voters) {
        const auto peer = peers.find(v.id);
        const bool alive = v.id == self || (peer != peers.end() && peer->second.connected);
        const bool dead =
            !alive && peer != peers.end() && now - peer->second.last_heard > dead_after;
        if (dead && present.voters.size() > fewest_voters) {
            return {voter_change::kind::remove, v, without(present, v)};
        }
    }
    return {};
}

void group::greeted(const wire::hello& who)
{
    if (who.disk != 0) {
        peers_[who.from] = {who.disk, who.data_centre, true, shared_.now()};
    }
}

void group::heard(const instance_id& id)
{
    const auto found = peers_.find(id);
    if (found != peers_.end()) {
        found->second.last_heard = shared_.now();
    }
}

void group::disconnected(const instance_id& id)
{
    const auto found = peers_.find(id);
    if (found != peers_.end()) {
        found->second.connected = false;
    }
}

std::vector<instance_id> group::schedulers() const
{
    std::vector<instance_id> out{shared_.settings.id};
    for (const auto& [id, peer] : peers_) {
        out.push_back(id);
    }
    return out;
}

std::map<data_centre_id, std::vector<instance_id>> group::helpers() const
{
    std::map<data_centre_id, std::vector<instance_id>> out;
    for (const auto& [id, peer] : peers_) {
        if (peer.connected) {
            out[peer.data_centre].push_back(id);
        }
    }
    return out;
}

std::size_t group::least_voters() const
{
    return std::min(fewest_voters, shared_.settings.seeds.size());
}

bool group::complete() const
{
    return shared_.log.replica().voters().voters.size() >= least_voters();
}

void group::form_first()
{
    // The lowest seed alone may form a group, and only on the first start of all: so there are
    // never two. The others join it one by one.
    const auto& seeds = shared_.settings.seeds;
    const bool mine = shared_.settings.first_start &&
                      *std::ranges::min_element(seeds) == shared_.settings.id.str();
    const auto met = static_cast<std::size_t>(
        std::ranges::count_if(peers_, [](const auto& p) { return p.second.connected; }));
    if (!mine || shared_.log.replica().formed() || met + 1 < least_voters()) {
        return;
    }
    std::uint64_t cluster = 0;
    randombytes_buf(&cluster, sizeof cluster);
    if (shared_.log.replica().form(cluster | 1U, shared_.now())) {
        log::info("group_formed", {{"cluster", cluster | 1U}, {"met", met}});
    }
}

void group::tick()
{
    auto& replica = shared_.log.replica();
    std::set<instance_id> others;
    for (const auto& [id, peer] : peers_) {
        others.insert(id);
    }
    for (const consensus::voter& v : replica.voters().voters) {
        if (v.id != shared_.settings.id) {
            others.insert(v.id);
            // A voter that was never met since this start is given the whole time.
            peers_.try_emplace(v.id, scheduler_peer{v.disk, {}, false, shared_.now()});
        }
    }
    replica.set_peers(others);
    form_first();
    if (!replica.settled()) {
        return;
    }
    const auto caught_up = [&](const instance_id& id, incarnation disk) {
        const auto p = replica.peers().find(id);
        return p != replica.peers().end() && p->second.disk == disk &&
               p->second.match + caught_up_within >= replica.last_index();
    };
    const voter_change change =
        plan_voters(replica.voters(), shared_.settings.id, peers_, caught_up, shared_.now());
    if (change.what != voter_change::kind::none && replica.propose_configuration(change.next)) {
        log::info("voters_change", {{"voter", change.voter.id.str()},
                                    {"added", change.what != voter_change::kind::remove},
                                    {"voters", change.next.voters.size()}});
    }
}

} // namespace fescue::fleet
