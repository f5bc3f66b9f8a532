#pragma once

#include "dispatcher.h"

#include <array>

namespace fescue::fleet {

/** Working data of one scheduling round. */
struct dispatcher::scheduling_round {
    mono_time now{};
    wall_ms wall{0};
    std::map<pool_id, std::vector<scheduler::server_candidate>> servers;
    std::map<pool_id, std::vector<scheduler::queued_job>> waiting;
    /** Number of tasks in each pool that may start now. */
    std::map<pool_id, std::size_t> waiting_tasks;
    /** Resources needed by the starts in this round's batch, by account. */
    std::map<team_id, jobs::resources> added_usage;
    jobs::start_runs batch;
    std::size_t max_starts{0};
    /** Suspected tasks on a server that have not been running for long. */
    struct server_suspects {
        std::size_t runs{0};
        bool any_of_several_crashes{false};
    };
    std::map<server_id, server_suspects> suspects;
    /** Suspected tasks of each pool that wait for a server. */
    std::map<pool_id, scheduler::waiting_suspects> waiting_suspects;
    /** Consecutive suspects of one crash, and of several, without a fitting server. */
    std::array<std::size_t, 2> unplaced_suspects{};
    /** The last job has a suspect without a fitting server. */
    bool suspect_waits{false};
    /** All servers of each pool, for the log. */
    std::map<pool_id, std::vector<server_availability>> availability;
};

} // namespace fescue::fleet
