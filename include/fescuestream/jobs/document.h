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
struct recommendation_terms {
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
    std::uint32_t max_failed_runs{1};
    /** A job's target completion time is this factor times its critical path, plus slack_ms. */
    double slack_factor{1};
    /** Constant part of the target completion time, in milliseconds. */
    std::int64_t slack_ms{0};
    std::optional<recommendation_terms> recommendation;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(pool, priority, max_failed_runs, slack_factor, slack_ms, recommendation.has_value(),
                recommendation.value_or(recommendation_terms{}));
    }
    template <class Archive>
    void load(Archive& archive)
    {
        bool has_recommendation = false;
        recommendation_terms loaded_recommendation;
        archive(pool, priority, max_failed_runs, slack_factor, slack_ms, has_recommendation,
                loaded_recommendation);
        recommendation = has_recommendation ? std::optional{loaded_recommendation} : std::nullopt;
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
    bool enforces_capacity{true};
    /** Whether the pool's machines are switched off and cost nothing. */
    bool standby{false};
    std::string health_path;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(enforces_capacity, standby, health_path);
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
    /** @return whether the pool's servers refuse tasks that exceed their capacity; false if the
     * pool is unknown. */
    bool enforces_capacity(const pool_id& pool) const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, queues, pools, accounts, source);
    }
};

/** @return the first error of a document, if any: an unknown pool, a duplicate route or a duplicate
 * key. */
std::optional<std::string> find_error(const document& doc);

} // namespace fescue::jobs
