#pragma once

/**
 * @file
 * The servers of worker_farm. On SIGUSR1 one of them disappears, for good or for a few seconds.
 * Forgetful servers crash or leave one after the other, and restart as a new incarnation.
 */

#include "simulated_server.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fescue::fakes {

class server_fleet {
public:
    server_fleet(event_loop& loop, http::client& client, execution_checker& checker,
                 const farm_options& opts);

private:
    struct slot {
        std::string id;
        /** Incarnations so far. */
        std::uint64_t incarnations{0};
        /** Ids so far. */
        int ids{0};
        /** Absent while the server is down. */
        std::unique_ptr<simulated_server> server;
        timer_handle leave_timer;
    };

    slot& slot_at(int number);
    void start_server(int number);
    /** Removes a server with long-running tasks if there is one, else any that runs tasks. */
    void remove_random_server();
    void schedule_restart();
    void restart_random_server();
    void leave(int number);
    /** Ends the server and starts its next incarnation after the given time. */
    void restart(int number, const char* outcome, std::int64_t absence_ms);
    std::int64_t random_between(std::int64_t first, std::int64_t last);

    const farm_options& opts_;
    delayed_calls in_transit_;
    farm_context farm_;
    std::mt19937_64 random_;
    std::vector<slot> slots_;
    timer_handle restart_timer_;
    int servers_gone_{0};
};

} // namespace fescue::fakes
