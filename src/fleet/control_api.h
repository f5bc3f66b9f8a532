#pragma once

/**
 * @file
 * Handles operators' requests and backend servers' reports at the leader.
 */

#include "caller_api.h"
#include "core_context.h"
#include "run_driver.h"

#include "fescuestream/base/log_limiter.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fescue::fleet {

class control_api {
public:
    /** @param broadcast_report sends a server's report to the other schedulers. */
    control_api(core_context& context, run_driver& driver,
                std::function<void(const jobs::server_report&)> broadcast_report)
        : context_{context}, driver_{driver}, broadcast_report_{std::move(broadcast_report)}
    {
    }

    /** Replies to a call, possibly after it returns. Precondition: this instance leads. */
    void handle_call(const wire::forwarded_call& in, const reply_function& reply);

private:
    result<control_request> parse(const wire::forwarded_call& in) const;
    void handle(const jobs::server_report& report, const reply_function& reply);
    void handle(const deregister_server& m, const reply_function& reply);
    void handle(put_document&& m, const reply_function& reply);
    /**
     * Replies to a repeated document without parsing it: at once if it is in force, or with the
     * outcome of the proposal if it is on its way. @return whether it was such a document.
     */
    bool handle_repeated_document(const wire::forwarded_call& in, const reply_function& reply);
    void handle(const get_document& m, const reply_function& reply);
    void handle(const set_data_centre& m, const reply_function& reply);
    void handle(const start_maintenance& m, const reply_function& reply);
    void handle(const get_maintenance& m, const reply_function& reply);
    /** @return the callback that replies with the outcome of a proposal. */
    job_log::callback reply_with_outcome(const char* command_name, const reply_function& reply);
    std::optional<replication::log_position> propose(jobs::command cmd, const char* command_name,
                                                     const reply_function& reply);
    /** Proposes an order that the next leader must not be asked to carry out: a delayed copy of the
     * proposal could undo a later order. */
    void propose_once(const jobs::command& cmd, const char* command_name,
                      const reply_function& reply);

    /** A valid document that is not proposed yet, and the calls that put it. */
    struct unproposed_document {
        jobs::document doc;
        std::vector<reply_function> replies;
    };
    /**
     * Proposes a document in an iteration of the event loop after the one that read it: to read and
     * to encode a large one take long, and heartbeats are sent between the two.
     */
    void propose_later(jobs::document&& doc, const reply_function& reply);
    void propose_next_document();

    /** The text of a proposed document, and where it is in the log. */
    struct proposed_document {
        std::string source;
        replication::log_position at;
    };

    core_context& context_;
    run_driver& driver_;
    std::function<void(const jobs::server_report&)> broadcast_report_;
    log::limiter refusals_;
    std::deque<unproposed_document> unproposed_;
    timer_handle propose_timer_;
    std::optional<proposed_document> last_proposed_;
};

} // namespace fescue::fleet
