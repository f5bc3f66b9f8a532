#pragma once

#include "dispatcher.h"

#include "fescuestream/scheduler/failed_searches.h"
#include "fescuestream/scheduler/reservations.h"

#include <set>
#include <utility>

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
    /** Resources needed by the waiting tasks that were counted as demand, by account. */
    std::map<team_id, jobs::resources> claimed_usage;
    jobs::start_runs batch;
    std::size_t max_starts{0};
    /** Suspected tasks on a server that have not been running for long. */
    struct server_suspects {
        std::size_t runs{0};
        std::vector<jobs::job_id> jobs;
        bool any_of_several_crashes{false};
        /** One of them may be convicted by one more crash. */
        bool any_to_isolate{false};
    };
    std::map<server_id, server_suspects> suspects;
    /** Jobs of each pool with suspects that wait for a server. */
    std::map<pool_id, scheduler::waiting_suspects> waiting_suspects;
    std::map<pool_id, scheduler::suspect_group_sizes> group_sizes;
    /** CPU demand of the suspected tasks that wait. */
    std::map<pool_id, std::int64_t> suspect_cpu;
    /** Crashes whose cause is known: a task that has been given up ran there. */
    std::set<std::pair<server_id, incarnation>> explained_crashes;
    /** The pool whose jobs are being started: its searches, and those that failed for tasks that
     * are no suspects. */
    pool_searches* searches{nullptr};
    scheduler::failed_searches failed_searches;
    /** Capacity of that pool's servers that is reserved for its large tasks, and the job whose
     * tasks are being placed. */
    scheduler::reservations reservations;
    const scheduler::queued_job* job{nullptr};
    /** All servers of each pool, for the log. */
    std::map<pool_id, std::vector<server_availability>> availability;
};

} // namespace fescue::fleet
