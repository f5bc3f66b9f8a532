#pragma once

/**
 * @file
 * The replicated job state and the function that applies a command to it. Neither performs I/O nor
 * reads a clock.
 */

#include "fescuestream/base/error.h"
#include "fescuestream/jobs/command.h"
#include "fescuestream/jobs/crash_record.h"
#include "fescuestream/jobs/refused_jobs.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescue::jobs {

enum class task_phase : std::uint8_t { waiting, running, done };

struct task {
    task_phase phase{task_phase::waiting};
    /** Number of the latest run, starting at 1; 0 if there was none. */
    std::uint32_t attempt{0};
    std::uint32_t failed_runs{0};
    /** Server and incarnation of the current run; valid in phase running. */
    server_id server;
    incarnation incarnation_id{0};
    std::string checkpoint;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(static_cast<std::uint8_t>(phase), attempt, failed_runs, server, incarnation_id,
                checkpoint);
    }
    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t raw = 0;
        archive(raw, attempt, failed_runs, server, incarnation_id, checkpoint);
        phase = static_cast<task_phase>(raw);
    }
};

struct step {
    std::vector<task> tasks;
    std::uint32_t done{0};
    std::uint32_t running{0};

    bool is_done() const noexcept { return done == tasks.size(); }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(tasks, done, running);
    }
};

struct occurrence {
    std::vector<step> steps;

    bool is_done() const noexcept;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(steps);
    }
};

struct job {
    queue_id queue;
    /** Terms of the queue when the job was accepted. */
    queue_terms terms;
    team_id account;
    /** Cleared once the job has ended and none of its tasks is running. */
    job_spec spec;
    job_phase phase{job_phase::pending};
    wall_ms accepted_at{0};
    wall_ms ended_at{0};
    std::map<std::uint32_t, occurrence> occurrences;
    std::uint32_t occurrences_opened{0};
    std::uint32_t occurrences_done{0};
    std::uint32_t running{0};

    /** @return whether all steps that @p step depends on are done in occurrence @p o. */
    bool may_start(const occurrence& o, std::size_t step) const;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(queue, terms, account, spec, static_cast<std::uint8_t>(phase), accepted_at,
                ended_at, occurrences, occurrences_opened, occurrences_done, running);
    }
    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t raw = 0;
        archive(queue, terms, account, spec, raw, accepted_at, ended_at, occurrences,
                occurrences_opened, occurrences_done, running);
        phase = static_cast<job_phase>(raw);
    }
};

struct maintenance_machine {
    bool started{false};
    bool done{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(started, done);
    }
};

struct maintenance_wave {
    std::map<std::string, maintenance_machine> machines;
    std::int64_t duration_ms{0};
    std::uint32_t max_concurrent{1};
    wall_ms asked_at{0};

    bool is_done() const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(machines, duration_ms, max_concurrent, asked_at);
    }
};

/** The latest order for a machine. */
struct machine_order {
    term_number term{0};
    wall_ms at{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, at);
    }
};

/** The state that the job log replicates to every voter. */
struct state {
    document doc;
    std::set<data_centre_id> out_of_service;
    std::map<job_id, job> jobs;
    std::map<std::string, maintenance_wave> waves;
    std::map<std::string, machine_order> machine_orders;
    /** Servers with runs whose leases are frozen. */
    std::map<server_id, lease_bound> frozen_leases;
    /** Tasks whose runs were lost with a server. Kept for a job given up because of them until the
     * job is removed. */
    std::map<task_id, crash_record> crash_records;
    /** Ids that were cancelled before their submission arrived. */
    refused_jobs refused;

    // Indexes derived from the fields above; not part of a snapshot.
    /** Jobs that have not ended or still have running tasks. */
    std::set<job_id> active_jobs;
    /** Jobs that have not ended and have scheduled occurrences that are not opened yet. */
    std::set<job_id> recurring_jobs;
    /** Tasks with a current run, by server. */
    std::map<server_id, std::set<task_id>> runs;
    /** Resources needed by the running tasks of each account. */
    std::map<team_id, resources> in_use;
    /** Size of the checkpoints of all tasks. */
    std::size_t checkpoint_bytes{0};

    /** @return the task, or nullptr if it does not exist. */
    const task* find(const task_id& id) const;
    /** @return the spec of the task's step, or nullptr if it does not exist. */
    const step_spec* find_step_spec(const task_id& id) const;
    /** @return the queue's current terms, or those stored with the job if the queue was removed. */
    const queue_terms& current_terms(const job& j) const;
    /** @return whether the task has failed as often as the terms in force allow. */
    bool has_used_attempts(const job& j, const step_spec& spec, const task& t) const;
    /** Rebuilds the derived indexes. */
    void rebuild_indexes();

    // Empty fields at the end are omitted, as in snapshots of versions without them.
    template <class Archive>
    void save(Archive& archive) const
    {
        archive(doc, out_of_service, jobs, waves, machine_orders);
        // Versions without these fields read snapshots that omit them, and write such snapshots.
        if (!frozen_leases.empty() || !crash_records.empty() || !refused.empty()) {
            archive(frozen_leases, crash_records);
        }
        if (!refused.empty()) {
            archive(refused);
        }
    }
    template <class Archive>
    void load(Archive& archive)
    {
        archive(doc, out_of_service, jobs, waves, machine_orders);
        if (archive.remaining() > 0) {
            archive(frozen_leases, crash_records);
        }
        if (archive.remaining() > 0) {
            archive(refused);
        }
    }
};

/** Result of applying a command, returned to its proposer. */
struct outcome {
    std::optional<error> refused;
    /** Whether the state changed. */
    bool changed{false};
};

outcome apply(state& s, const command& cmd);

/** State machine traits of the job log, for fescue::replication. */
struct machine {
    using state_type = state;
    using command_type = command;
    using outcome_type = outcome;

    static std::string encode(const command& cmd);
    static result<command> decode(const std::string& bytes);
    static std::string encode_state(const state& s);
    static result<state> decode_state(const std::string& bytes);
    static outcome apply(state& s, log_index index, const command& cmd);
    static command no_operation_command() { return no_operation{}; }
};

} // namespace fescue::jobs
