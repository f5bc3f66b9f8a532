#pragma once

/**
 * @file
 * Operators' orders and backend servers' reports at the leader.
 */

#include "caller_api.h"
#include "core_context.h"
#include "run_driver.h"

#include <functional>

namespace fescue::fleet {

class control_api {
public:
    /** @param share passes a server's report on to the other schedulers. */
    control_api(core_context& shared, run_driver& driver,
                std::function<void(const jobs::server_report&)> share)
        : shared_{shared}, driver_{driver}, share_{std::move(share)}
    {
    }

    /** Answers a call now or later. This instance leads. */
    void call(const wire::forwarded_call& in, const reply_function& reply);

private:
    void take(const jobs::server_report& report, const reply_function& reply);
    void take(const server_leaves& m, const reply_function& reply);
    void take(const put_document& m, const reply_function& reply);
    void take(const read_document& m, const reply_function& reply);
    void take(const set_data_centre& m, const reply_function& reply);
    void take(const start_upkeep& m, const reply_function& reply);
    void take(const show_upkeep& m, const reply_function& reply);
    void order(jobs::command cmd, const char* what, const reply_function& reply);

    core_context& shared_;
    run_driver& driver_;
    std::function<void(const jobs::server_report&)> share_;
};

} // namespace fescue::fleet
