#pragma once

/**
 * @file
 * Protocol between the job service and backend servers, the machine service, callers and operators,
 * independent of its encoding. A protocol adapter provides the encoding functions.
 */

#include "fescuestream/base/codec.h"
#include "fescuestream/base/error.h"
#include "fescuestream/http/client.h"
#include "fescuestream/http/server.h"
#include "fescuestream/jobs/document.h"
#include "fescuestream/jobs/server_report.h"
#include "fescuestream/wire/message.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fescue::fleet {

/** Address to which an order is sent, and id of the server that it is intended for. */
struct server_address {
    std::string address;
    server_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(address, id);
    }
};

struct start_order {
    jobs::run_id run;
    std::string payload;
    /** End of the lease that covers all runs on the server, on the server's clock. */
    std::int64_t lease_end_ms{0};
    /** Fencing token: the server refuses a lower one than the highest that it has seen. */
    term_number fencing_token{0};
    /** Checkpoint to resume from; empty: the run starts from the beginning. */
    std::string checkpoint;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(run, payload, lease_end_ms, fencing_token, checkpoint);
    }
};

struct stop_order {
    jobs::run_id run;
    term_number fencing_token{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(run, fencing_token);
    }
};

/** Polls a server: renews the lease, acknowledges ended runs, and requests the active and the ended
 * runs. */
struct poll_order {
    /** 0: does not change the lease. */
    std::int64_t lease_end_ms{0};
    term_number fencing_token{0};
    /** The server may discard its records of ended runs up to this number. */
    std::uint64_t acknowledged_end{0};
    /** Long poll: longest time that the answer waits for a run to end; 0: no wait. */
    std::int64_t wait_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(lease_end_ms, fencing_token, acknowledged_end, wait_ms);
    }
};

struct throttle_order {
    jobs::run_id run;
    /** Percentage of full speed, 0 to 100. */
    int percent{100};
    term_number fencing_token{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(run, percent, fencing_token);
    }
};

/** Outcome of an order. */
enum class order_result : std::uint8_t {
    accepted,
    /** The server has seen a higher fencing token, of another leader or of a later order. */
    fenced,
    /** A run of this task with this or a higher attempt was stopped or has ended there. */
    outdated,
    /** The order's lease had expired when it arrived. */
    too_late,
    no_room,
    no_ticket,
    /** The server is unhealthy and did not execute the order. */
    unhealthy,
    /** A server with another id answered at this address. */
    wrong_server,
    /** The server could not parse the order. */
    malformed,
    /** No byte of the order was sent, so it was certainly not executed. */
    not_sent,
    /** No answer: the order may have been executed or may still be executed. */
    unknown,
};
constexpr order_result last_value(order_result /*type*/) noexcept
{
    return order_result::unknown;
}

std::string_view name_of(order_result r) noexcept;

struct order_reply {
    order_result result{order_result::unknown};
    std::optional<std::int64_t> clock_ms;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(result, clock_ms);
    }
};

struct active_run {
    jobs::run_id run;
    std::string checkpoint;
    int percent{0};
    /** For a serving task, its tail latency in milliseconds; for other tasks, its CPU usage in
     * thousandths of a core. */
    std::int64_t load_metric{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(run, checkpoint, percent, load_metric);
    }
};

struct ended_run {
    /** Sequence number of the end within one incarnation of the server, from 1. */
    std::uint64_t sequence{0};
    jobs::run_id run;
    jobs::run_outcome outcome{jobs::run_outcome::lost};
    std::string checkpoint;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(sequence, run, outcome, checkpoint);
    }
};

struct poll_reply {
    incarnation incarnation_id{0};
    std::int64_t clock_ms{0};
    std::vector<active_run> active;
    std::vector<ended_run> ended;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(incarnation_id, clock_ms, active, ended);
    }
};

using server_order = std::variant<start_order, stop_order, poll_order, throttle_order>;
/** For a poll_order, the lists of runs or the error; for any other order, its outcome. */
using server_answer = std::variant<order_reply, result<poll_reply>>;

/** Content of wire::relayed_call::order. */
struct addressed_order {
    server_address to;
    server_order order;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(to, order);
    }
};

/** Timeout of an order. Servers answer at once, so the answer counts as lost after this. */
inline constexpr milliseconds order_timeout{1000};

enum class machine_state : std::uint8_t { up, moving, maintenance, down };

/** One machine as listed by the machine service. */
struct machine_entry {
    std::string id;
    pool_id pool;
    machine_state state{machine_state::down};
    data_centre_id data_centre;
    rack_id rack;
    std::vector<std::string> labels;
    jobs::resources capacity;
    /** The server that runs on the machine; empty: none. */
    server_id server;
};

struct unreadable_machine {
    /** Empty if the entry names no machine. */
    std::string id;
    std::string why;
};

struct machine_page {
    std::vector<machine_entry> machines;
    std::vector<unreadable_machine> unreadable;
    /** Token of the next page; empty: this is the last one. */
    std::string next;
};

enum class machine_result : std::uint8_t {
    accepted,
    fenced,
    busy,
    not_in_wave,
    no_such_machine,
    /** Rejected by the service's rate limit. */
    throttled,
    /** No answer, or a server error: the order may have been executed. */
    unknown,
};

std::string_view name_of(machine_result r) noexcept;

/** Identifies the sender of a machine order to the machine service, which fences stale ones. */
struct machine_lease_holder {
    std::string name;
    term_number fencing_token{0};
};

struct put_document {
    jobs::document doc;
};
struct get_document {};
struct set_data_centre {
    data_centre_id id;
    bool in_service{true};
};
struct start_maintenance {
    std::string id;
    std::vector<std::string> machines;
    std::int64_t duration_ms{0};
    std::uint32_t max_concurrent{1};
};
struct get_maintenance {
    std::string id;
};
struct deregister_server {
    server_id id;
};

/** A request received on the control address. */
using control_request =
    std::variant<jobs::server_report, deregister_server, put_document, get_document,
                 set_data_centre, start_maintenance, get_maintenance>;

struct protocol {
    /** Names of the callers' request headers for the API key and the timeout, in this order. */
    std::vector<std::string> caller_headers;

    std::function<http::client_request(const server_address&, const start_order&)>
        make_start_request;
    std::function<http::client_request(const server_address&, const stop_order&)> make_stop_request;
    std::function<http::client_request(const server_address&, const poll_order&)> make_poll_request;
    std::function<http::client_request(const server_address&, const throttle_order&)>
        make_throttle_request;
    std::function<order_reply(const http::client_response&)> parse_order_reply;
    std::function<result<poll_reply>(const http::client_response&)> parse_poll_reply;

    std::function<http::client_request(const std::string& address, const std::string& page_token)>
        make_list_machines_request;
    std::function<result<machine_page>(const http::client_response&)> parse_machine_page;
    std::function<http::client_request(const std::string& address, const std::string& machine,
                                       const pool_id& pool, const machine_lease_holder&)>
        make_move_machine_request;
    std::function<http::client_request(const std::string& address, const std::string& machine,
                                       const std::string& wave, const machine_lease_holder&)>
        make_maintenance_request;
    std::function<machine_result(const http::client_response&)> parse_machine_reply;

    /** @return the limits on callers' requests in the text of a document. */
    std::function<wire::caller_limits(const std::string& document)> parse_caller_limits;
    std::function<result<jobs::job_spec>(const std::string& body)> parse_job;
    std::function<std::string(jobs::job_phase)> format_job_phase;
    std::function<std::string(std::size_t pending)> format_pending_count;

    /** @return whether a request on the control address with this method and path puts a document.
     */
    std::function<bool(const std::string& method, const std::string& path)> is_document_put;
    /**
     * @return whether a request on the control address with this method and path is an order that
     * has no version, so that nothing in it tells an old copy from a new one.
     */
    std::function<bool(const std::string& method, const std::string& path)> is_unversioned_order;
    /** Fails with error_kind::not_found if no request has this method and path. */
    std::function<result<control_request>(const std::string& method, const std::string& path,
                                          const std::string& body)>
        parse_control_request;
    /** Reply to a server's report. If report_to is empty, the server keeps its current address. */
    std::function<std::string(const std::string& report_to)> format_report_reply;
    std::function<std::string(bool done)> format_maintenance_state;
};

} // namespace fescue::fleet
