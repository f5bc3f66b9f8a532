#include "scheduler_group.h"

#include "fescuestream/base/log.h"

#include <sodium.h>

#include <algorithm>

namespace fescue::fleet {

namespace {

/** A disconnected voter that has been silent for longer is removed, if enough others remain. Longer
 * than a restart, and shorter than the time after which a scheduler that replaces a removed one is
 * relied on: from then on another disk may be lost, and the voters that are gone must not count. */
constexpr milliseconds voter_removal_timeout{2500};

consensus::configuration without_voter(consensus::configuration c, const consensus::voter& v)
{
    std::erase(c.voters, v);
    return c;
}

} // namespace

voter_change plan_voters(const consensus::configuration& current, const instance_id& self,
                         const std::map<instance_id, scheduler_peer>& peers,
                         const std::function<bool(const instance_id&, incarnation)>& caught_up,
                         std::size_t min_voters, mono_time now)
{
    for (const auto& [id, peer] : peers) {
        const consensus::voter candidate{id, peer.disk};
        if (!peer.connected || peer.disk == 0 || current.contains(candidate) ||
            !caught_up(id, peer.disk)) {
            continue;
        }
        const auto replaced = std::ranges::find(current.voters, id, &consensus::voter::id);
        consensus::configuration next = current;
        if (replaced != current.voters.end()) {
            // The same address with a different disk: the old disk is lost and cannot vote again.
            next = without_voter(next, *replaced);
            next.voters.push_back(candidate);
            return {voter_change::kind::replace, candidate, next};
        }
        next.voters.push_back(candidate);
        return {voter_change::kind::add, candidate, next};
    }
    // The voter that has been silent for longest is the most likely one to be gone for good.
    const consensus::voter* dead = nullptr;
    mono_time heard_before = now - voter_removal_timeout;
    for (const consensus::voter& v : current.voters) {
        const auto peer = peers.find(v.id);
        const bool silent = v.id != self && peer != peers.end() && !peer->second.connected;
        if (silent && peer->second.last_heard < heard_before) {
            dead = &v;
            heard_before = peer->second.last_heard;
        }
    }
    if (dead != nullptr && current.voters.size() > min_voters) {
        return {voter_change::kind::remove, *dead, without_voter(current, *dead)};
    }
    return {};
}

void scheduler_group::on_hello(const wire::hello& who)
{
    if (who.disk != 0) {
        peers_[who.from] = {who.disk, who.data_centre, true, context_.now()};
    }
}

void scheduler_group::on_message(const instance_id& id)
{
    const auto found = peers_.find(id);
    if (found != peers_.end()) {
        found->second.last_heard = context_.now();
    }
}

void scheduler_group::on_disconnected(const instance_id& id)
{
    const auto found = peers_.find(id);
    if (found != peers_.end()) {
        found->second.connected = false;
    }
}

std::vector<instance_id> scheduler_group::schedulers() const
{
    std::vector<instance_id> out{context_.settings.id};
    for (const auto& [id, peer] : peers_) {
        out.push_back(id);
    }
    return out;
}

std::map<data_centre_id, std::vector<instance_id>> scheduler_group::connected_by_data_centre() const
{
    std::map<data_centre_id, std::vector<instance_id>> out;
    for (const auto& [id, peer] : peers_) {
        if (peer.connected) {
            out[peer.data_centre].push_back(id);
        }
    }
    return out;
}

std::size_t scheduler_group::min_voters() const
{
    return voters_to_serve(context_.settings.seeds.size(), context_.settings.tolerated_disk_losses);
}

bool scheduler_group::has_enough_voters() const
{
    return context_.log.replica().voters().voters.size() >= min_voters();
}

void scheduler_group::bootstrap_if_responsible()
{
    // Only the lowest seed may form a group, and only on the first start of the deployment, so that
    // two groups never form. The other schedulers join it one at a time.
    const auto& seeds = context_.settings.seeds;
    const bool may_bootstrap = context_.settings.first_start &&
                               *std::ranges::min_element(seeds) == context_.settings.id.str();
    const auto connected_peers = static_cast<std::size_t>(
        std::ranges::count_if(peers_, [](const auto& p) { return p.second.connected; }));
    if (!may_bootstrap || context_.log.replica().formed() || connected_peers + 1 < min_voters()) {
        return;
    }
    std::uint64_t cluster = 0;
    randombytes_buf(&cluster, sizeof cluster);
    if (context_.log.replica().form(cluster | 1U, context_.now())) {
        log::info("group_formed", {{"cluster", cluster | 1U}, {"met", connected_peers}});
    }
}

void scheduler_group::tick()
{
    auto& replica = context_.log.replica();
    std::set<instance_id> others;
    for (const auto& [id, peer] : peers_) {
        others.insert(id);
    }
    for (const consensus::voter& v : replica.voters().voters) {
        if (v.id != context_.settings.id) {
            others.insert(v.id);
            // A voter that has not connected since this process started gets the full removal
            // timeout.
            peers_.try_emplace(v.id, scheduler_peer{v.disk, {}, false, context_.now()});
        }
    }
    replica.set_peers(others);
    bootstrap_if_responsible();
    if (!replica.settled()) {
        return;
    }
    const auto caught_up = [&](const instance_id& id, incarnation disk) {
        return is_caught_up(replica, id, disk);
    };
    const voter_change change =
        plan_voters(replica.voters(), context_.settings.id, peers_, caught_up,
                    voters_to_tolerate(context_.settings.tolerated_disk_losses), context_.now());
    if (change.action != voter_change::kind::none && replica.propose_configuration(change.next)) {
        log::info("voters_change", {{"voter", change.voter.id.str()},
                                    {"added", change.action != voter_change::kind::remove},
                                    {"voters", change.next.voters.size()}});
    }
}

} // namespace fescue::fleet
