#pragma once

/**
 * @file
 * Commands of the job log. Each is safe to apply twice.
 */

#include "fescuestream/jobs/document.h"
#include "fescuestream/jobs/model.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace fescue::jobs {

struct no_change {
    template <class Archive>
    void serialize(Archive& /*archive*/)
    {
    }
};

/** Replaces the document if its version is higher. */
struct put_document {
    document doc;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(doc);
    }
};

/** Takes a data centre out of service or back in. */
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

/** An occurrence of a repeated job is due. */
struct open_occurrence {
    job_id id;
    std::uint32_t occurrence{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, occurrence);
    }
};

/** Recorded before the order to start leaves, so that any leader knows what may run where. */
struct begin_run {
    run_id run;
    server_id server;
    /** The life of the server that the order is for. */
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

/** Recorded before a server is told that it may forget these ends. */
struct end_runs {
    std::vector<end_run> ends;
    wall_ms now{0};
    /** The server that listed the ends, and the highest number among them; 0: none listed them. */
    server_id server;
    incarnation life{0};
    std::uint64_t listed_up_to{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ends, now, server, life, listed_up_to);
    }
};

/** Operators ask that these machines get their upkeep in time. */
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

/** Recorded before the order for a machine's upkeep leaves (begun) and once it is carried out. */
struct step_upkeep {
    std::string id;
    std::string machine;
    bool done{false};
    /** The machine no longer exists. */
    bool gone{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, machine, done, gone);
    }
};

/** Recorded before an order for a machine leaves: whoever leads next leaves the machine alone for
 * as long as the machine service asks of two holders. */
struct order_machine {
    std::string machine;
    /** Empty: maintenance. */
    pool_id to;
    /** Term of the leader that gives the order. */
    term_number term{0};
    wall_ms now{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(machine, to, term, now);
    }
};

/** Ended jobs of which nothing is told any more. */
struct forget_jobs {
    std::vector<job_id> ids;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(ids);
    }
};

using command =
    std::variant<no_change, put_document, set_data_centre, submit_job, cancel_job, open_occurrence,
                 begin_runs, end_runs, start_upkeep, step_upkeep, order_machine, forget_jobs>;

} // namespace fescue::jobs
