#pragma once

/**
 * @file
 * Replicas with a hand-written network and disks: messages are delivered in a seeded order, may
 * be dropped, and a crash loses what was not synced.
 */

#include "fescuestream/consensus/replica.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace fescue::fakes {

/** What a disk has, and what was only written. */
struct disk_content {
    store::recovered synced;
    incarnation life{0};
};

/** A store that keeps only what was synced. @tparam LoseSync pretends to sync, for the proof that
 * syncing matters. */
template <bool LoseSync = false>
class fake_store {
public:
    explicit fake_store(std::shared_ptr<disk_content> disk)
        : disk_{std::move(disk)}, memory_{disk_->synced}
    {
    }
    void append(const store::log_entry& entry) { touch().entries.push_back(entry); }
    void truncate_from(log_index index)
    {
        std::erase_if(touch().entries, [&](const auto& e) { return e.index >= index; });
    }
    void save_hard_state(const store::hard_state& hard) { touch().hard = hard; }
    status sync()
    {
        if (!LoseSync) {
            disk_->synced = memory_;
        }
        dirty_ = false;
        return std::nullopt;
    }
    bool dirty() const noexcept { return dirty_; }
    status save_snapshot(const store::snapshot& snap, const store::hard_state& hard,
                         const std::vector<store::log_entry>& after)
    {
        memory_ = {hard, snap, after, 0};
        return sync();
    }

private:
    store::recovered& touch()
    {
        dirty_ = true;
        return memory_;
    }
    std::shared_ptr<disk_content> disk_;
    store::recovered memory_;
    bool dirty_{false};
};

template <class Store = fake_store<>>
class replica_group {
public:
    using replica = consensus::replica<Store>;

    struct member {
        std::shared_ptr<disk_content> disk;
        std::unique_ptr<replica> log;
        std::vector<std::string> applied;
    };

    replica_group(int count, std::uint64_t seed, consensus::timing intervals = {})
        : random_{seed}, intervals_{intervals}
    {
        for (int i = 0; i < count; ++i) {
            const instance_id id{"e" + std::to_string(i)};
            members_[id].disk = std::make_shared<disk_content>();
            members_[id].disk->life = next_disk_++;
        }
        for (auto& [id, m] : members_) {
            start(id);
        }
    }

    /** Forms a system with the first as voter, then adds the others as voters, one at a time. */
    void form()
    {
        members_.begin()->second.log->form(7, now);
        run(50);
        for (auto& [id, m] : members_) {
            grow(id);
        }
    }

    void grow(const instance_id& id)
    {
        for (int i = 0; i < 200; ++i) {
            replica* l = leader();
            if (l != nullptr && !l->voters().contains({id, members_[id].disk->life})) {
                auto next = l->voters();
                std::erase_if(next.voters, [&](const auto& v) { return v.id == id; });
                if (next.voters.size() == l->voters().voters.size()) {
                    next.voters.push_back({id, members_[id].disk->life});
                }
                l->propose_configuration(next);
            }
            run(5);
        }
    }

    void start(const instance_id& id)
    {
        member& m = members_[id];
        m.applied.clear();
        m.log = std::make_unique<replica>(id, m.disk->life, Store{m.disk}, m.disk->synced, "noop",
                                          intervals_, random_(), now);
        std::set<instance_id> others;
        for (const auto& [other, unused] : members_) {
            others.insert(other);
        }
        m.log->set_peers(others);
        for (auto& [other, o] : members_) {
            if (o.log) {
                o.log->peer_connected(id);
            }
        }
    }

    void crash(const instance_id& id)
    {
        members_[id].log.reset();
        std::erase_if(network_, [&](const auto& p) { return p.to == id || p.from == id; });
    }

    void wipe(const instance_id& id)
    {
        members_[id].disk = std::make_shared<disk_content>();
        members_[id].disk->life = next_disk_++;
    }

    /** Runs for some steps of 10 ms each. */
    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            now += milliseconds{10};
            for (auto& [id, m] : members_) {
                if (m.log && !frozen.contains(id)) {
                    m.log->tick(now);
                }
            }
            deliver();
        }
    }

    replica* leader()
    {
        replica* best = nullptr;
        for (auto& [id, m] : members_) {
            if (m.log && m.log->settled() && (best == nullptr || m.log->term() > best->term())) {
                best = m.log.get();
            }
        }
        return best;
    }

    member& at(const instance_id& id) { return members_[id]; }
    std::map<instance_id, member>& all() { return members_; }

    mono_time now{std::chrono::hours{1}};
    std::set<instance_id> frozen;
    std::set<std::pair<instance_id, instance_id>> cut;
    double drop{0};

private:
    struct packet {
        instance_id from;
        instance_id to;
        consensus::message m;
    };

    void flush_all()
    {
        for (auto& [id, m] : members_) {
            if (!m.log || frozen.contains(id)) {
                continue;
            }
            const consensus::outputs out{
                [this, &id = id](const instance_id& to, const consensus::message& body) {
                    network_.push_back({id, to, body});
                },
                [&m = m](const store::log_entry& e) { m.applied.push_back(e.bytes); },
                [&m = m](const store::snapshot& s) { m.applied.assign(1, s.state); }};
            m.log->flush(now, out);
        }
    }

    void deliver()
    {
        flush_all();
        for (int round = 0; round < 6 && !network_.empty(); ++round) {
            std::deque<packet> batch;
            batch.swap(network_);
            for (packet& p : batch) {
                member& to = members_[p.to];
                const bool lost = std::uniform_real_distribution<>{0, 1}(random_) < drop ||
                                  cut.contains({p.from, p.to});
                if (!lost && to.log && !frozen.contains(p.to)) {
                    to.log->step(p.from, p.m, now);
                } else if (lost && members_[p.from].log) {
                    members_[p.from].log->peer_connected(p.to);
                }
            }
            flush_all();
        }
    }

    std::map<instance_id, member> members_;
    std::deque<packet> network_;
    std::mt19937_64 random_;
    consensus::timing intervals_;
    incarnation next_disk_{1};
};

} // namespace fescue::fakes
