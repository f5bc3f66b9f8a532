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
struct open_occurrence {
    job_id id;
    std::uint32_t occurrence{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, occurrence);
    }
};

/** Records the start of a run. Committed before the start order is sent, so that every later leader
 * knows which tasks may run on which server. */
struct begin_run {
    run_id run;
    server_id server;
    /** Server incarnation that the order is addressed to. */
    incarnation life{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(run, server, life);
    }
};

struct begin_runs {
    std::vector<begin_run> runs;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(runs);
    }
};

struct end_run {
    run_id run;
    run_end how{run_end::lost};
    std::string checkpoint;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(run, static_cast<std::uint8_t>(how), checkpoint);
    }
    template <class Archive>
    void load(Archive& archive)
    {
        std::uint8_t raw = 0;
        archive(run, raw, checkpoint);
        how = raw <= static_cast<std::uint8_t>(run_end::lost) ? static_cast<run_end>(raw)
                                                              : run_end::lost;
    }
};

/** Records ended runs. Committed before the server is told to discard its reports of them. */
struct end_runs {
    std::vector<end_run> ends;
    wall_ms now{0};
    /** Server and incarnation that reported the ends, and the highest report number among them. The
     * number is 0 if no server reported them. */
    server_id server;
    incarnation life{0};
    std::uint64_t listed_up_to{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ends, now, server, life, listed_up_to);
    }
};

/** Starts an operator's maintenance wave over these machines. */
struct start_upkeep {
    std::string id;
    std::vector<std::string> machines;
    std::int64_t duration_ms{0};
    std::uint32_t most_at_once{1};
    wall_ms now{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, machines, duration_ms, most_at_once, now);
    }
};

/** Advances one machine of a maintenance wave. Committed before the maintenance order is sent, and
 * again when the maintenance is done. */
struct step_upkeep {
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
struct forget_jobs {
    std::vector<job_id> ids;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ids);
    }
};

using command = std::variant<no_operation, put_document, set_data_centre, submit_job, cancel_job,
                             open_occurrence, begin_runs, end_runs, start_upkeep, step_upkeep,
                             order_machine, forget_jobs>;

} // namespace fescue::jobs
