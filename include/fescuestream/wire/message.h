#pragma once

/**
 * @file
 * Typed messages between instances. Deadlines are sent as remaining milliseconds, because the
 * monotonic clocks of different instances are not comparable.
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
    incarnation incarnation_id{0};
    incarnation disk{0};
    std::uint64_t cluster{0};
    data_centre_id data_centre;
    std::string callers_address;
    std::string control_address;
    std::string nonce;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(from, incarnation_id, disk, cluster, data_centre, callers_address, control_address,
                nonce);
    }
};

/** Asks the leader to append a command to the log. */
struct propose_request {
    std::uint64_t number{0};
    std::string command;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, command);
    }
};

/** Log position of the command; the requester sees its effect when it applies that entry. */
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

/** A control API call from an operator or the platform, forwarded to the leader. */
struct control_call {
    std::uint64_t call_id{0};
    std::string method;
    std::string path;
    std::string body;
    std::string idempotency_key;
    std::string if_match;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(call_id, method, path, body, idempotency_key, if_match);
    }
};

struct control_reply {
    std::uint64_t call_id{0};
    int status{0};
    std::string content_type;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(call_id, status, content_type, body);
    }
};

/** A request forwarded from the instance that accepted it to the home of a server. */
struct work {
    request_id id;
    team_id team;
    /** Empty when an open service is called without a key. */
    key_id key;
    service_id service;
    std::string path;
    std::string content_type;
    std::string body;
    std::int64_t remaining_ms{0};
    /** Set when a claim is recorded for the request. */
    std::string claim_key;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, team, key, service, path, content_type, body, remaining_ms, claim_key);
    }
};

/** The home has queued the work; it asks before starting it, unless the work is repeatable. */
struct work_queued {
    request_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id);
    }
};

/** The home has a slot for queued non-repeatable work and asks whether to start it. */
struct start_confirm_request {
    request_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id);
    }
};

struct start_confirm_reply {
    request_id id;
    bool go{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, go);
    }
};

/** Result of a request: the server's complete response, or a refusal. */
struct work_reply {
    request_id id;
    bool refused{false};
    error_kind kind{error_kind::internal};
    std::string detail;
    /** Whether an attempt at this home may have been executed. */
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

/** State that a backend server announces every second. */
struct announcement {
    server_id id;
    std::string address;
    data_centre_id data_centre;
    rack_id rack;
    incarnation incarnation_id{0};
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
        archive(id, address, data_centre, rack, incarnation_id, slots, connections, processors,
                memory_mb, accelerators, running, leaving);
    }
};

/** Load of one pool at one home. */
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

/** Running requests of one team at one home, by pool. */
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

/** Load of a home, sent to every instance. */
struct load_report {
    /** Same as the previous report; the other fields are empty. */
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

/** Usage of one team's allotment by one holder. */
struct allotment_usage {
    team_id team;
    epoch_number epoch{0};
    /** Cap currently applied by the holder; below the logged cap after it released a part. */
    std::uint32_t cap{0};
    std::uint32_t running{0};
    std::uint32_t waiting{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, epoch, cap, running, waiting);
    }
};

/** State of a server as seen by its home. */
struct server_usage {
    server_id id;
    incarnation incarnation_id{0};
    std::uint32_t running{0};
    bool leaving{false};
    bool alive{false};
    bool on_probation{false};
    /** Epoch applied by the home; it starts no work under an older one. */
    epoch_number epoch{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, incarnation_id, running, leaving, alive, on_probation, epoch);
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

/** Periodic report of an instance to the leader. */
struct instance_report {
    incarnation incarnation_id{0};
    /** The instance is shutting down and must be assigned no homes and no allotments. */
    bool draining{false};
    std::vector<allotment_usage> allotments;
    std::vector<server_usage> servers;
    std::vector<pool_demand> demand;
    /** Servers that announced themselves here but are not confirmed by their home. */
    std::vector<announcement> unrouted_announcements;
    /** Instances whose heartbeats are not received here. */
    std::vector<instance_id> not_heard;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation_id, draining, allotments, servers, demand, unrouted_announcements,
                not_heard);
    }
};

/** The leader asks a holder to reduce its cap, to free capacity for other holders. */
struct release_request {
    team_id team;
    epoch_number epoch{0};
    std::uint32_t keep{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, epoch, keep);
    }
};

/** A call accepted by another instance and answered by the leader. */
struct forwarded_call {
    enum class origin_kind : std::uint8_t { caller, control };

    std::uint64_t call_id{0};
    origin_kind origin{origin_kind::caller};
    std::string method;
    std::string host;
    std::string path;
    std::string key;
    std::string body;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(call_id, static_cast<std::uint8_t>(origin), method, host, path, key, body);
    }
    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t raw = 0;
        archive(call_id, raw, method, host, path, key, body);
        origin = raw == 0 ? origin_kind::caller : origin_kind::control;
    }
};

struct forwarded_reply {
    std::uint64_t call_id{0};
    /** 0: the receiver is not the leader and did not process the call. */
    int status{0};
    std::string body;
    /** Value for Retry-After; 0: none. */
    std::int64_t retry_after_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(call_id, status, body, retry_after_ms);
    }
};

/** Asks the leader for the stamp that it requires of an operator's order. */
struct order_stamp_request {
    std::uint64_t call_id{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(call_id);
    }
};

/**
 * The leader's position among the operators' orders. It is requested after an order was received,
 * so the leader can tell that it has accepted a later order since.
 */
struct order_stamp {
    std::uint64_t call_id{0};
    /** 0: the sender is not the leader. */
    term_number term{0};
    /** Number of orders that the leader has accepted in this term. */
    std::uint64_t accepted_orders{0};
    /** Leader's monotonic clock in milliseconds; only the leader compares it. */
    std::int64_t issued_at_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(call_id, term, accepted_orders, issued_at_ms);
    }
};

/** An operator's order that has no version of its own. Replied to with a new stamp if the stamp is
 * outdated, otherwise with a forwarded_reply. */
struct forwarded_order {
    forwarded_call call;
    order_stamp stamp;
    /** Age of the order when the stamp arrived, in milliseconds. */
    std::int64_t age_at_stamp_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(call, stamp, age_at_stamp_ms);
    }
};

/** An order to a backend server that another instance sends on behalf of the requester. */
struct relayed_call {
    std::uint64_t number{0};
    /** Server and order, encoded by fleet::relay. */
    std::string order;
    /** Wall clock of the requester; calls that are too old are not sent. */
    wall_ms asked_at{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, order, asked_at);
    }
};

struct relayed_answer {
    std::uint64_t number{0};
    /** Result of the order, encoded by fleet::relay; empty: not sent, since it seemed expired. */
    std::string answer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, answer);
    }
};

/**
 * Keepalive, so that an idle connection is not mistaken for a failed one; carries the sender's view
 * of the cluster.
 */
struct ping {
    /** Leader and term as known to the sender; empty: no known leader. */
    instance_id leader;
    term_number term{0};
    /** Instances with a disk that are known to the sender. */
    std::vector<instance_id> schedulers;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(leader, term, schedulers);
    }
};

/**
 * Reports of backend servers, forwarded by the leader so that any instance that succeeds it has
 * them immediately.
 */
struct server_reports {
    struct report {
        /** An encoded jobs::server_report. */
        std::string bytes;
        /**
         * Time since the sender last received a report from the server. Without it, servers that
         * ended long ago would appear alive after each reconnect.
         */
        std::int64_t age_ms{0};

        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(bytes, age_ms);
        }
    };
    /** A server that ended, and which incarnation of it. */
    struct ended {
        server_id id;
        incarnation incarnation_id{0};

        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(id, incarnation_id);
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

/**
 * A part of the encoding of a large message. Other messages may be received between the parts of
 * one message; the parts of two messages are not mixed.
 */
struct message_part {
    bool last{false};
    std::string bytes;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(last, bytes);
    }
};

/**
 * Limits of the configuration document on callers' requests; 0: the document has no such limit.
 * Sent only to instances that announce in their hello that they know this message.
 */
struct caller_limits {
    /** Version of the document. */
    std::uint64_t version{0};
    std::int64_t max_head_bytes{0};
    std::int64_t max_body_bytes{0};
    std::int64_t header_timeout_ms{0};
    std::int64_t idle_timeout_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, max_head_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms);
    }
};

using message =
    std::variant<hello, consensus::append_request, consensus::append_reply, consensus::vote_request,
                 consensus::vote_reply, consensus::install_snapshot, propose_request, propose_reply,
                 control_call, control_reply, work, work_queued, start_confirm_request,
                 start_confirm_reply, work_reply, announcement, load_report, instance_report,
                 release_request, forwarded_call, forwarded_reply, ping, server_reports,
                 relayed_call, relayed_answer, message_part, caller_limits, order_stamp_request,
                 order_stamp, forwarded_order>;

/** Datagram that shows that the sender is alive and lists the instances that it considers alive. */
struct heartbeat {
    instance_id from;
    incarnation incarnation_id{0};
    std::uint64_t sequence{0};
    /** Remaining time of the lease granted by the leader of the log; 0: no lease. */
    std::int64_t lease_remaining_ms{0};
    std::vector<instance_id> heard_instances;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(from, incarnation_id, sequence, lease_remaining_ms, heard_instances);
    }
};

} // namespace fescue::wire
