#pragma once

/**
 * @file
 * Commands of the replicated job log. Applying a command a second time has no further effect.
 */

#include "fescuestream/jobs/document.h"
#include "fescuestream/jobs/model.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fescue::jobs {

/** Entry that a new leader appends to commit the entries of earlier terms. */
struct no_operation {
    template <class Archive>
    void serialize(Archive& /*archive*/)
    {
    }
};

/** Replaces the document if the new version is higher. */
struct put_document {
    document doc;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(doc);
    }
};

/** Takes a data centre out of service or puts it back in service. */
struct set_data_centre {
    data_centre_id id;
    bool in_service{true};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, in_service);
    }
};

struct submit_job {
    job_id id;
    queue_id queue;
    queue_terms terms;
    team_id account;
    job_spec spec;
    wall_ms now{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, queue, terms, account, spec, now);
    }
};

struct cancel_job {
    job_id id;
    wall_ms now{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, now);
    }
};

/** Opens the next occurrence of a recurring job when it is due. */
struct start_occurrence {
    job_id id;
    std::uint32_t occurrence{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, occurrence);
    }
};

/** Records the start of a run. Committed before the start order is sent, so that the state of every
 * later leader shows which tasks may run on which server. */
struct start_run {
    run_id run;
    server_id server;
    /** Server incarnation that the order is addressed to. */
    incarnation incarnation_id{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(run, server, incarnation_id);
    }
};

struct start_runs {
    std::vector<start_run> runs;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(runs);
    }
};

struct end_run {
    run_id run;
    run_outcome outcome{run_outcome::lost};
    std::string checkpoint;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(run, static_cast<std::uint8_t>(outcome), checkpoint);
    }
    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t raw = 0;
        archive(run, raw, checkpoint);
        outcome = raw <= static_cast<std::uint8_t>(last_value(run_outcome{}))
                      ? static_cast<run_outcome>(raw)
                      : run_outcome::lost;
    }
};

/** Records ended runs. Committed before the server is asked to discard its reports of them. */
struct end_runs {
    std::vector<end_run> ends;
    wall_ms now{0};
    /** Server and incarnation that reported the ends, and the highest report number among them. The
     * number is 0 if no server reported them. */
    server_id server;
    incarnation incarnation_id{0};
    std::uint64_t last_reported_end{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ends, now, server, incarnation_id, last_reported_end);
    }
};

/** Starts an operator's maintenance wave over these machines. */
struct start_maintenance {
    std::string id;
    std::vector<std::string> machines;
    std::int64_t duration_ms{0};
    std::uint32_t max_concurrent{1};
    wall_ms now{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, machines, duration_ms, max_concurrent, now);
    }
};

/** Advances one machine of a maintenance wave. Committed before the maintenance order is sent, and
 * again when the maintenance is done. */
struct step_maintenance {
    std::string id;
    std::string machine;
    bool done{false};
    /** Whether the machine no longer exists. */
    bool gone{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, machine, done, gone);
    }
};

/** Records a machine order. Committed before the order is sent, so that a new leader sends none for
 * this machine until the time has passed that the machine service requires between two holders. */
struct order_machine {
    std::string machine;
    /** Target pool of a move; empty for maintenance. */
    pool_id to;
    /** Term of the leader that sends the order. */
    term_number term{0};
    wall_ms now{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(machine, to, term, now);
    }
};

/** Removes ended jobs whose retention time is over. */
struct remove_jobs {
    std::vector<job_id> ids;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ids);
    }
};

/** Upper bound on the time until every lease on a server has expired. */
struct lease_bound {
    server_id server;
    incarnation incarnation_id{0};
    /** Counted from the time at which the command is applied, in milliseconds. */
    std::int64_t remaining_ms{0};
    /** The server gave notice of its end, which is expected after remaining_ms. It may still be up
     * until it refuses connections. */
    bool ended{false};
    /** Runs whose start got no answer, so that it may be executed later. */
    std::vector<run_id> unanswered_starts;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(server, incarnation_id, remaining_ms, ended, unanswered_starts);
    }
};

/** Freezes the leases of unreachable servers: until they are unfrozen, no leader renews them or
 * starts runs on the server. The time at which they expire therefore stays valid when the leader
 * changes. */
struct freeze_leases {
    std::vector<lease_bound> frozen;
    std::vector<server_id> unfrozen;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(frozen, unfrozen);
    }
};

/**
 * Records that the account was told that no such job exists: a submission that is applied later is
 * refused. Proposed only while every scheduler knows this command.
 */
struct refuse_job {
    team_id account;
    job_id id;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(account, id);
    }
};

/** Drops the refused ids that are older than the previous rotation. */
struct rotate_refused_jobs {
    /** One more than refused_jobs::rotations(); others are ignored. */
    std::uint64_t number{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number);
    }
};

/**
 * Fails a job of which a task waits that has failed as often as the terms in force allow: a later
 * configuration may allow fewer attempts. Proposed only while every scheduler knows this command.
 */
struct fail_exhausted_job {
    job_id id;
    wall_ms now{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, now);
    }
};

using command = std::variant<no_operation, put_document, set_data_centre, submit_job, cancel_job,
                             start_occurrence, start_runs, end_runs, start_maintenance,
                             step_maintenance, order_machine, remove_jobs, freeze_leases,
                             refuse_job, rotate_refused_jobs, fail_exhausted_job>;

} // namespace fescue::jobs
