#pragma once

/**
 * @file
 * A group of replicas with a simulated network and simulated disks. Message loss is seeded, and a
 * crash loses data that was not synced.
 */

#include "fescuestream/consensus/replica.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace fescue::fakes {

/** Synced content of a simulated disk, and its identity. */
struct fake_disk {
    store::recovered synced;
    incarnation id{0};
    /** The next write fails and is lost; later ones report success. */
    bool fails_next_write{false};
};

/**
 * A store that persists only synced data. @tparam IgnoreSync makes sync() report success without
 * persisting anything, to show that the tests detect a missing sync.
 */
template <bool IgnoreSync = false>
class fake_store {
public:
    explicit fake_store(std::shared_ptr<fake_disk> disk)
        : disk_{std::move(disk)}, unsynced_{disk_->synced}
    {
    }
    void append(const store::log_entry& entry) { modify().entries.push_back(entry); }
    void truncate_from(log_index index)
    {
        std::erase_if(modify().entries, [&](const auto& e) { return e.index >= index; });
    }
    void save_hard_state(const store::hard_state& hard) { modify().hard = hard; }
    status sync()
    {
        if (std::exchange(disk_->fails_next_write, false)) {
            unsynced_ = disk_->synced;
            dirty_ = false;
            return error{error_kind::internal, "the disk failed"};
        }
        if (!IgnoreSync) {
            disk_->synced = unsynced_;
        }
        dirty_ = false;
        return std::nullopt;
    }
    bool dirty() const noexcept { return dirty_; }
    status save_snapshot(const store::snapshot& snap, const store::hard_state& hard,
                         const std::vector<store::log_entry>& after)
    {
        if (std::exchange(disk_->fails_next_write, false)) {
            return error{error_kind::internal, "the disk failed"};
        }
        unsynced_ = {hard, snap, after, 0};
        return sync();
    }

private:
    store::recovered& modify()
    {
        dirty_ = true;
        return unsynced_;
    }
    std::shared_ptr<fake_disk> disk_;
    store::recovered unsynced_;
    bool dirty_{false};
};

template <class Store = fake_store<>>
class replica_group {
public:
    using replica = consensus::replica<Store>;

    struct member {
        std::shared_ptr<fake_disk> disk;
        std::unique_ptr<replica> log;
        std::vector<std::string> applied;
    };

    replica_group(int count, std::uint64_t seed, consensus::timing intervals = {})
        : random_{seed}, intervals_{intervals}
    {
        for (int i = 0; i < count; ++i) {
            const instance_id id{"e" + std::to_string(i)};
            members_[id].disk = std::make_shared<fake_disk>();
            members_[id].disk->id = next_disk_id_++;
        }
        for (auto& [id, m] : members_) {
            start(id);
        }
    }

    /** Forms a cluster with the first member as voter, then adds the others one at a time. */
    void form()
    {
        members_.begin()->second.log->form(7, now);
        run(50);
        for (auto& [id, m] : members_) {
            add_voter(id);
        }
    }

    void add_voter(const instance_id& id)
    {
        for (int i = 0; i < 200; ++i) {
            replica* current_leader = leader();
            if (current_leader != nullptr &&
                !current_leader->voters().contains({id, members_[id].disk->id})) {
                auto next = current_leader->voters();
                std::erase_if(next.voters, [&](const auto& v) { return v.id == id; });
                if (next.voters.size() == current_leader->voters().voters.size()) {
                    next.voters.push_back({id, members_[id].disk->id});
                }
                current_leader->propose_configuration(next);
            }
            run(5);
        }
    }

    void start(const instance_id& id)
    {
        member& m = members_[id];
        m.applied.clear();
        m.log = std::make_unique<replica>(id, m.disk->id, Store{m.disk}, m.disk->synced, "noop",
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

    /** Ends a member. What it has sent is lost too, unless sent_survives_crash is set or the
     * message is withheld. */
    void crash(const instance_id& id)
    {
        members_[id].log.reset();
        const auto concerns = [&](const packet& p) {
            return p.to == id || (p.from == id && !sent_survives_crash);
        };
        std::erase_if(last_arrival_, [&](const auto& link) {
            return link.first.first == id || link.first.second == id;
        });
        std::erase_if(in_flight_, concerns);
        std::erase_if(delayed_, [&](const auto& d) { return concerns(d.second); });
    }

    void replace_disk(const instance_id& id)
    {
        members_[id].disk = std::make_shared<fake_disk>();
        members_[id].disk->id = next_disk_id_++;
    }

    /** Advances the simulation by this many steps of 10 ms each. */
    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            now += milliseconds{10};
            for (auto& [id, m] : members_) {
                if (m.log && !paused.contains(id)) {
                    m.log->tick(now);
                }
            }
            deliver();
        }
    }

    replica* leader()
    {
        replica* highest_term_leader = nullptr;
        for (auto& [id, m] : members_) {
            if (m.log && m.log->settled() &&
                (highest_term_leader == nullptr || m.log->term() > highest_term_leader->term())) {
                highest_term_leader = m.log.get();
            }
        }
        return highest_term_leader;
    }

    member& at(const instance_id& id) { return members_[id]; }
    std::map<instance_id, member>& all() { return members_; }

    mono_time now{std::chrono::hours{1}};
    std::set<instance_id> paused;
    std::set<std::pair<instance_id, instance_id>> cut;
    double drop_probability{0};
    /** Large append requests take up to this time, and other messages overtake them. */
    milliseconds large_delay{0};
    /** Every message takes up to this time; those of one process to another keep their order. */
    milliseconds message_delay{0};
    /** What a member has sent arrives although it has crashed since. */
    bool sent_survives_crash{false};
    /** Number of large append requests sent so far. */
    int large_sent{0};
    /** Selects the messages that stay in the network until release_withheld(). */
    std::function<bool(const instance_id& from, const instance_id& to, const consensus::message&)>
        withholds;

    /** Delivers the withheld messages in the next step, whether or not their senders still run. */
    void release_withheld()
    {
        withholds = nullptr;
        std::ranges::move(std::exchange(withheld_, {}), std::back_inserter(in_flight_));
    }
    std::size_t withheld_count() const noexcept { return withheld_.size(); }

    /** Replaces a member's log by a snapshot of what it has applied. */
    status compact(const instance_id& id)
    {
        member& m = members_[id];
        std::string state;
        for (const std::string& command : m.applied) {
            state += command + '\n';
        }
        return m.log->compact(std::move(state));
    }

private:
    static std::vector<std::string> split_lines(const std::string& text)
    {
        std::vector<std::string> out;
        std::istringstream in{text};
        for (std::string line; std::getline(in, line);) {
            out.push_back(line);
        }
        return out;
    }

    struct packet {
        instance_id from;
        instance_id to;
        consensus::message m;
    };

    void flush_all()
    {
        for (auto& [id, m] : members_) {
            if (!m.log || paused.contains(id)) {
                continue;
            }
            const consensus::outputs out{
                [this, &id = id](const instance_id& to, const consensus::message& body) {
                    send({id, to, body});
                },
                [&m = m](const store::log_entry& e) { m.applied.push_back(e.bytes); },
                [&m = m](const store::snapshot& s) { m.applied = split_lines(s.state); }};
            m.log->flush(now, out);
        }
    }

    void send(packet&& p)
    {
        if (withholds && withholds(p.from, p.to, p.m)) {
            withheld_.push_back(std::move(p));
            return;
        }
        if (message_delay.count() > 0) {
            std::uniform_int_distribution<milliseconds::rep> delay{0, message_delay.count()};
            mono_time& arrival = last_arrival_[{p.from, p.to}];
            arrival = std::max(arrival, now + milliseconds{delay(random_)});
            delayed_.emplace(arrival, std::move(p));
            return;
        }
        const auto* append = std::get_if<consensus::append_request>(&p.m);
        const bool large = append != nullptr && is_large(*append);
        large_sent += large ? 1 : 0;
        if (!large || large_delay.count() == 0) {
            in_flight_.push_back(std::move(p));
            return;
        }
        std::uniform_int_distribution<milliseconds::rep> part_of_delay{large_delay.count() / 2,
                                                                       large_delay.count()};
        delayed_.emplace(now + milliseconds{part_of_delay(random_)}, std::move(p));
    }

    void deliver()
    {
        while (!delayed_.empty() && delayed_.begin()->first <= now) {
            in_flight_.push_back(std::move(delayed_.extract(delayed_.begin()).mapped()));
        }
        flush_all();
        for (int round = 0; round < 6 && !in_flight_.empty(); ++round) {
            std::deque<packet> batch;
            batch.swap(in_flight_);
            for (packet& p : batch) {
                member& to = members_[p.to];
                const bool lost =
                    std::uniform_real_distribution<>{0, 1}(random_) < drop_probability ||
                    cut.contains({p.from, p.to});
                if (!lost && to.log && !paused.contains(p.to)) {
                    to.log->step(p.from, p.m, now);
                } else if (lost && members_[p.from].log) {
                    members_[p.from].log->peer_connected(p.to);
                }
            }
            flush_all();
        }
    }

    std::map<instance_id, member> members_;
    std::deque<packet> in_flight_;
    std::vector<packet> withheld_;
    std::multimap<mono_time, packet> delayed_;
    std::map<std::pair<instance_id, instance_id>, mono_time> last_arrival_;
    std::mt19937_64 random_;
    consensus::timing intervals_;
    incarnation next_disk_id_{1};
};

} // namespace fescue::fakes
