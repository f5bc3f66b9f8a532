#pragma once

/**
 * @file
 * The operators' document for jobs: queues, pools and client accounts. One version is in force.
 */

#include "fescuestream/jobs/model.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::jobs {

/** An outside service decides which servers may run a queue's steps. */
struct advice_terms {
    std::int64_t base_ms{0};
    std::int64_t per_server_ms{0};
    std::int64_t valid_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(base_ms, per_server_ms, valid_ms);
    }
};

/** What holds for the jobs of a queue; a job keeps the terms under which it was accepted. */
struct queue_terms {
    pool_id pool;
    /** 0 comes first. */
    std::int32_t priority{0};
    /** A task fails for good after this many failed runs. */
    std::uint32_t most_failed_runs{1};
    /** A job should be done within this many times its longest chain of work... */
    double stretch{1};
    /** ...and this much more. */
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
        bool advised = false;
        advice_terms given;
        archive(pool, priority, most_failed_runs, stretch, extra_ms, advised, given);
        advice = advised ? std::optional{given} : std::nullopt;
    }
};

struct queue {
    queue_id id;
    /** Host name and beginning of the path by which callers reach it. */
    std::string host;
    std::string path_prefix;
    /** Callers need no key. */
    bool open{false};
    queue_terms terms;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(id, host, path_prefix, open, terms);
    }
};

struct job_pool {
    /** Servers refuse what does not fit. Where false, this system alone keeps them within it. */
    bool guarded{true};
    /** Its machines are off and cost nothing. */
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
    /** Share when all is full. */
    double weight{1};
    /** Most that may run at one time; a 0 is no limit. */
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
    /** The text that operators sent, which they read back unchanged. */
    std::string source;

    /** @return the queue with the longest matching prefix, or nullptr. */
    const queue* route(std::string_view host, std::string_view path) const;
    /** @return the account that holds the key, or nullptr. */
    const team_id* owner_of(std::string_view key) const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, queues, pools, accounts, source);
    }
};

/** @return what is wrong with a document, or nothing: unknown pools, doubled routes or keys. */
std::optional<std::string> fault_in(const document& doc);

} // namespace fescue::jobs
