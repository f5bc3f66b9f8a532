#pragma once

/**
 * @file
 * Typed messages between instances. Times travel as what is left, in milliseconds, since the
 * instances' clocks have nothing in common.
 */

#include "fescuestream/base/error.h"
#include "fescuestream/base/ids.h"
#include "fescuestream/consensus/message.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace fescue::wire {

/** First message on a connection. */
struct hello {
    instance_id from;
    incarnation life{0};
    incarnation disk{0};
    std::uint64_t cluster{0};
    data_centre_id data_centre;
    std::string callers_address;
    std::string control_address;
    std::string nonce;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(from, life, disk, cluster, data_centre, callers_address, control_address, nonce);
    }
};

/** Asks the leader to put a command into the log. */
struct propose_request {
    std::uint64_t number{0};
    std::string command;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, command);
    }
};

/** Where the command went; its effect is seen when the asker applies that entry itself. */
struct propose_reply {
    std::uint64_t number{0};
    bool accepted{false};
    log_index index{0};
    term_number term{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, accepted, index, term);
    }
};

/** An operator's or the platform's call, handed on to the leader. */
struct control_call {
    std::uint64_t number{0};
    std::string method;
    std::string path;
    std::string body;
    std::string idempotency_key;
    std::string if_match;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, method, path, body, idempotency_key, if_match);
    }
};

struct control_reply {
    std::uint64_t number{0};
    int status{0};
    std::string content_type;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, status, content_type, body);
    }
};

/** A request on its way from the instance that took it to the home of a server. */
struct work {
    request_id id;
    team_id team;
    /** Empty on an open service that was called without a key. */
    key_id key;
    service_id service;
    std::string path;
    std::string content_type;
    std::string body;
    std::int64_t left_ms{0};
    /** Set when a claim was recorded for it. */
    std::string claim_key;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, team, key, service, path, content_type, body, left_ms, claim_key);
    }
};

/** The home holds the work and will ask before starting it, unless it is repeatable. */
struct work_queued {
    request_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id);
    }
};

/** The home has a slot for queued work that may not be repeated. */
struct start_ask {
    request_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id);
    }
};

struct start_answer {
    request_id id;
    bool go{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, go);
    }
};

/** How work ended: the server's whole answer, or a refusal. */
struct work_reply {
    request_id id;
    bool refused{false};
    error_kind kind{error_kind::internal};
    std::string detail;
    /** Whether any attempt at this home may have run. */
    bool may_have_run{false};
    int status{0};
    std::string content_type;
    std::string body;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(id, refused, static_cast<std::uint8_t>(kind), detail, may_have_run, status,
                content_type, body);
    }
    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t raw = 0;
        archive(id, refused, raw, detail, may_have_run, status, content_type, body);
        kind = raw < static_cast<std::uint8_t>(error_kind::number_of_kinds)
                   ? static_cast<error_kind>(raw)
                   : error_kind::internal;
    }
};

/** What a backend server says of itself, every second. */
struct announcement {
    server_id id;
    std::string address;
    data_centre_id data_centre;
    rack_id rack;
    incarnation life{0};
    std::uint32_t slots{0};
    std::uint32_t connections{0};
    std::uint32_t processors{0};
    std::uint32_t memory_mb{0};
    std::uint32_t accelerators{0};
    std::vector<request_id> running;
    bool leaving{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, address, data_centre, rack, life, slots, connections, processors, memory_mb,
                accelerators, running, leaving);
    }
};

/** One pool's load at one home. */
struct pool_load {
    pool_id pool;
    std::uint32_t slots{0};
    std::uint32_t free{0};
    std::uint32_t queued{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(pool, slots, free, queued);
    }
};

/** What a team has running at one home, by pool. */
struct team_running {
    pool_id pool;
    team_id team;
    std::uint32_t running{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(pool, team, running);
    }
};

/** A home's load, told to every instance. */
struct load_report {
    /** As the report before; nothing else is filled in. */
    bool unchanged{false};
    bool accepting{false};
    std::vector<pool_load> pools;
    std::vector<team_running> teams;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(unchanged, accepting, pools, teams);
    }
};

/** A holder's use of one team's allotment. */
struct allotment_use {
    team_id team;
    epoch_number epoch{0};
    /** What the holder keeps to now; below the log's cap when it gave some back. */
    std::uint32_t cap{0};
    std::uint32_t running{0};
    std::uint32_t waiting{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, epoch, cap, running, waiting);
    }
};

/** A server as its home sees it. */
struct server_use {
    server_id id;
    incarnation life{0};
    std::uint32_t running{0};
    bool leaving{false};
    bool alive{false};
    bool on_probation{false};
    /** Epoch that the home acts on; it starts nothing under an older one. */
    epoch_number epoch{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, life, running, leaving, alive, on_probation, epoch);
    }
};

/** Demand for a pool since the last report. */
struct pool_demand {
    pool_id pool;
    std::uint32_t running{0};
    std::uint32_t queued{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(pool, running, queued);
    }
};

/** What an instance tells the leader. */
struct instance_report {
    incarnation life{0};
    /** It shuts down, so it wants no homes and no allotments. */
    bool draining{false};
    std::vector<allotment_use> allotments;
    std::vector<server_use> servers;
    std::vector<pool_demand> demand;
    /** Servers that announced themselves here, and whose home did not confirm them. */
    std::vector<announcement> strays;
    /** Instances that this one does not hear. */
    std::vector<instance_id> not_heard;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(life, draining, allotments, servers, demand, strays, not_heard);
    }
};

/** The leader asks a holder to keep to less, for the others' sake. */
struct release_ask {
    team_id team;
    epoch_number epoch{0};
    std::uint32_t keep{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, epoch, keep);
    }
};

/** A call that another instance took and the leader answers. */
struct forwarded_call {
    enum class origin_kind : std::uint8_t { caller, control };

    std::uint64_t number{0};
    origin_kind origin{origin_kind::caller};
    std::string method;
    std::string host;
    std::string path;
    std::string key;
    std::string body;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(number, static_cast<std::uint8_t>(origin), method, host, path, key, body);
    }
    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t raw = 0;
        archive(number, raw, method, host, path, key, body);
        origin = raw == 0 ? origin_kind::caller : origin_kind::control;
    }
};

struct forwarded_reply {
    std::uint64_t number{0};
    /** 0: this instance does not lead; the call was not looked at. */
    int status{0};
    std::string body;
    /** When the caller should come back; 0: nothing is said. */
    std::int64_t retry_after_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, status, body, retry_after_ms);
    }
};

/** An order to a backend server that another instance sends for the asker. */
struct relayed_call {
    std::uint64_t number{0};
    /** Server and order, as fleet::relay writes them. */
    std::string order;
    /** The asker's wall clock: an old call is not sent any more. */
    wall_ms asked_at{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, order, asked_at);
    }
};

struct relayed_answer {
    std::uint64_t number{0};
    /** What came of the order, as fleet::relay writes it. */
    std::string answer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, answer);
    }
};

/** Keeps a connection's silence from being taken for a fault; tells what the sender knows. */
struct ping {
    /** Whom the sender takes for the leader, and since which term; empty: nobody. */
    instance_id leader;
    term_number term{0};
    /** Instances with disks that the sender knows. */
    std::vector<instance_id> schedulers;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(leader, term, schedulers);
    }
};

/** What backend servers said of themselves, passed on by the leader so that any instance that
 * follows it knows them at once. */
struct server_reports {
    struct report {
        /** An encoded jobs::server_report. */
        std::string bytes;
        /** Time since the sender last heard of the server: servers that ended long ago would else
         * come to life with each new connection. */
        std::int64_t age_ms{0};

        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(bytes, age_ms);
        }
    };
    /** A server that ended, and the life of it that did. */
    struct ended {
        server_id id;
        incarnation life{0};

        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(id, life);
        }
    };
    std::vector<report> reports;
    std::vector<ended> gone;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(reports, gone);
    }
};

using message =
    std::variant<hello, consensus::append_request, consensus::append_reply, consensus::vote_request,
                 consensus::vote_reply, consensus::install_snapshot, propose_request, propose_reply,
                 control_call, control_reply, work, work_queued, start_ask, start_answer,
                 work_reply, announcement, load_report, instance_report, release_ask,
                 forwarded_call, forwarded_reply, ping, server_reports, relayed_call,
                 relayed_answer>;

/** Datagram between instances: who is alive, and whom it hears. */
struct heartbeat {
    instance_id from;
    incarnation life{0};
    std::uint64_t sequence{0};
    /** What is left of its lease from the log's leader; 0: it has none. */
    std::int64_t lease_left_ms{0};
    std::vector<instance_id> hears;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(from, life, sequence, lease_left_ms, hears);
    }
};

} // namespace fescue::wire
