#pragma once

/**
 * @file
 * The configuration document for jobs: queues, pools and client accounts. One version is active at
 * a time.
 */

#include "fescuestream/jobs/model.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::jobs {

/** Settings of the external service that recommends the servers for a queue's steps. */
struct advice_terms {
    std::int64_t decision_ms{0};
    std::int64_t period_ms{0};
    std::int64_t valid_for_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(decision_ms, period_ms, valid_for_ms);
    }
};

/** Scheduling terms of a queue's jobs. A job stores those under which it was accepted. */
struct queue_terms {
    pool_id pool;
    /** 0 is the highest priority. */
    std::int32_t priority{0};
    /** A task that has failed this many times fails its job. */
    std::uint32_t most_failed_runs{1};
    /** A job's target completion time is this factor times its critical path, plus extra_ms. */
    double stretch{1};
    /** Constant part of the target completion time, in milliseconds. */
    std::int64_t extra_ms{0};
    std::optional<advice_terms> advice;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(pool, priority, most_failed_runs, stretch, extra_ms, advice.has_value(),
                advice.value_or(advice_terms{}));
    }
    template <class Archive>
    void load(Archive& archive)
    {
        bool has_advice = false;
        advice_terms loaded_advice;
        archive(pool, priority, most_failed_runs, stretch, extra_ms, has_advice, loaded_advice);
        advice = has_advice ? std::optional{loaded_advice} : std::nullopt;
    }
};

struct queue {
    queue_id id;
    /** Host name and path prefix of the requests that are routed to this queue. */
    std::string host;
    std::string path_prefix;
    /** Whether requests without an API key are accepted. */
    bool open{false};
    queue_terms terms;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, host, path_prefix, open, terms);
    }
};

struct job_pool {
    /** Whether the servers refuse tasks that exceed their capacity. If not, only the scheduler
     * enforces the capacity. */
    bool guarded{true};
    /** Whether the pool's machines are switched off and cost nothing. */
    bool standby{false};
    std::string health_path;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(guarded, standby, health_path);
    }
};

struct account {
    std::vector<std::string> keys;
    /** Weight relative to other accounts when capacity is exhausted. */
    double weight{1};
    /** Maximum resources in use at the same time; a field of 0 means no limit. */
    resources cap;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(keys, weight, cap);
    }
};

struct document {
    std::uint64_t version{0};
    std::map<queue_id, queue> queues;
    std::map<pool_id, job_pool> pools;
    std::map<team_id, account> accounts;
    /** The document's original text, returned to operators unchanged. */
    std::string source;

    /** @return the queue of this host with the longest matching path prefix, or nullptr. */
    const queue* route(std::string_view host, std::string_view path) const;
    /** @return the account that the API key belongs to, or nullptr. */
    const team_id* owner_of(std::string_view key) const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, queues, pools, accounts, source);
    }
};

/** @return the first fault of a document, if any: an unknown pool, a duplicate route or a duplicate
 * key. */
std::optional<std::string> fault_in(const document& doc);

} // namespace fescue::jobs
