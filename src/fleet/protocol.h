#pragma once

/**
 * @file
 * What the job service says to backend servers, the machine service, callers and operators, apart
 * from how it is written on the wire. A translator fills in the functions.
 */

#include "fescuestream/base/codec.h"
#include "fescuestream/base/error.h"
#include "fescuestream/http/client.h"
#include "fescuestream/http/server.h"
#include "fescuestream/jobs/document.h"
#include "fescuestream/jobs/server_report.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fescue::fleet {

// ---- backend servers

/** Where an order goes, and which server it is meant for. */
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
    /** End of the lease of all that runs on the server, on the server's clock. */
    std::int64_t lease_end_ms{0};
    /** The server refuses orders with a lower fence than the highest that it has seen. */
    term_number fence{0};
    /** Empty: the run begins from the start. */
    std::string checkpoint;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(run, payload, lease_end_ms, fence, checkpoint);
    }
};

struct stop_order {
    jobs::run_id run;
    term_number fence{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(run, fence);
    }
};

/** Renews the lease, acknowledges ends, and asks for what runs and what has ended. */
struct look_order {
    /** 0: the lease stays as it is. */
    std::int64_t lease_end_ms{0};
    term_number fence{0};
    /** Ends up to this number may be forgotten by the server. */
    std::uint64_t acknowledged{0};
    /** The answer waits this long for an end; 0: it comes at once. */
    std::int64_t wait_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(lease_end_ms, fence, acknowledged, wait_ms);
    }
};

struct pace_order {
    jobs::run_id run;
    /** Share of its full speed, 0 to 100. */
    int percent{100};
    term_number fence{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(run, percent, fence);
    }
};

/** What became of an order. */
enum class order_result : std::uint8_t {
    accepted,
    /** The server has seen a higher fence: another instance gives the orders. */
    fenced,
    /** A run as high as this one was already stopped or has ended there. */
    outdated,
    /** The order's lease had ended when it arrived. */
    too_late,
    no_room,
    no_ticket,
    /** The server is not healthy and has done nothing. */
    unhealthy,
    /** Another server answered at this address. */
    wrong_server,
    /** The order was not understood. */
    malformed,
    /** No byte of the order left: it was surely not carried out. */
    not_sent,
    /** No answer: it may have been carried out, or may yet be. */
    unknown,
};

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
    /** Of a serving task: the tail of its response times, in milliseconds; of others: the
     * thousandths of a core in use. */
    std::int64_t figure{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(run, checkpoint, percent, figure);
    }
};

struct ended_run {
    /** Counts the ends of one life of the server, from 1. */
    std::uint64_t number{0};
    jobs::run_id run;
    jobs::run_end how{jobs::run_end::lost};
    std::string checkpoint;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, run, how, checkpoint);
    }
};

struct look_reply {
    incarnation life{0};
    std::int64_t clock_ms{0};
    std::vector<active_run> active;
    std::vector<ended_run> ended;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(life, clock_ms, active, ended);
    }
};

using server_order = std::variant<start_order, stop_order, look_order, pace_order>;
/** Of a look the lists, or why there are none; of any other order what became of it. */
using server_answer = std::variant<order_reply, result<look_reply>>;

/** Longest wait for an answer to an order; a server answers at once, so this is a lost answer. */
inline constexpr milliseconds order_timeout{1000};

// ---- the machine service

enum class machine_state : std::uint8_t { up, moving, upkeep, down };

struct machine_entry {
    std::string id;
    pool_id pool;
    machine_state state{machine_state::down};
    data_centre_id data_centre;
    rack_id rack;
    jobs::resources capacity;
    /** The server that runs on it; empty: none. */
    server_id server;
};

struct machine_page {
    std::vector<machine_entry> machines;
    /** Empty: this was the last page. */
    std::string next;
};

enum class machine_result : std::uint8_t {
    accepted,
    fenced,
    busy,
    not_in_wave,
    no_such_machine,
    /** Too many calls. */
    throttled,
    /** No answer, or a fault there: it may have been carried out. */
    unknown,
};

std::string_view name_of(machine_result r) noexcept;

/** Who gives an order for a machine. */
struct machine_holder {
    std::string name;
    term_number fence{0};
};

// ---- the control address

struct put_document {
    jobs::document doc;
};
struct read_document {};
struct set_data_centre {
    data_centre_id id;
    bool in_service{true};
};
struct start_upkeep {
    std::string id;
    std::vector<std::string> machines;
    std::int64_t duration_ms{0};
    std::uint32_t most_at_once{1};
};
struct show_upkeep {
    std::string id;
};
struct server_leaves {
    server_id id;
};

using control_request = std::variant<jobs::server_report, server_leaves, put_document,
                                     read_document, set_data_centre, start_upkeep, show_upkeep>;

// ---- the translator

struct protocol {
    /** Headers of callers' requests that carry the key and the time that they wait, in order. */
    std::vector<std::string> caller_headers;

    std::function<http::client_request(const server_address&, const start_order&)> start;
    std::function<http::client_request(const server_address&, const stop_order&)> stop;
    std::function<http::client_request(const server_address&, const look_order&)> look;
    std::function<http::client_request(const server_address&, const pace_order&)> pace;
    std::function<order_reply(const http::client_response&)> read_order_reply;
    std::function<result<look_reply>(const http::client_response&)> read_look_reply;

    std::function<http::client_request(const std::string& address, const std::string& page)>
        list_machines;
    std::function<result<machine_page>(const http::client_response&)> read_machines;
    std::function<http::client_request(const std::string& address, const std::string& machine,
                                       const pool_id& to, const machine_holder&)>
        move_machine;
    std::function<http::client_request(const std::string& address, const std::string& machine,
                                       const std::string& wave, const machine_holder&)>
        begin_upkeep;
    std::function<machine_result(const http::client_response&)> read_machine_reply;

    std::function<result<jobs::job_spec>(const std::string& body)> read_job;
    std::function<std::string(jobs::job_phase)> show_phase;
    std::function<std::string(std::size_t waiting)> show_waiting;

    /** An error of kind not_found is a call that does not exist. */
    std::function<result<control_request>(const std::string& method, const std::string& path,
                                          const std::string& body)>
        read_control;
    /** Answer to a server's report; empty address: it keeps to the one it has. */
    std::function<std::string(const std::string& report_to)> show_report_taken;
    std::function<std::string(bool done)> show_upkeep_state;
};

} // namespace fescue::fleet
