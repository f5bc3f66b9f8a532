#pragma once

/**
 * @file
 * The job model: a job is a graph of steps, each a number of identical tasks with a resource
 * demand.
 */

#include "fescuestream/base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::jobs {

using queue_id = strong_id<struct queue_tag>;

/** Id of a job, written as 16 lower-case hexadecimal digits on every interface. */
struct job_id {
    std::uint64_t number{0};

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the defaulted comparison.
    auto operator<=>(const job_id&) const = default;

    std::string text() const;
    /** @return the id, or nullopt if the text is not 16 lower-case hexadecimal digits. */
    static std::optional<job_id> parse(std::string_view text) noexcept;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number);
    }
};

/** Resource capacity of a server, or an amount of it. */
struct resources {
    /** CPU in thousandths of a core. */
    std::int64_t cpu_milli{0};
    std::int64_t memory_mb{0};
    std::int64_t accelerators{0};

    bool operator==(const resources&) const = default;
    resources& operator+=(const resources& other) noexcept;
    resources& operator-=(const resources& other) noexcept;
    /** @return whether this amount fits into the available one. */
    bool fits(const resources& capacity) const noexcept
    {
        return cpu_milli <= capacity.cpu_milli && memory_mb <= capacity.memory_mb &&
               accelerators <= capacity.accelerators;
    }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(cpu_milli, memory_mb, accelerators);
    }
};

resources operator+(resources a, const resources& b) noexcept;
resources operator-(resources a, const resources& b) noexcept;

/** One step of a job: a number of identical tasks. */
struct step_spec {
    std::uint32_t tasks{1};
    resources need;
    /** The caller's estimate of a task's run time in milliseconds; may be inaccurate. */
    std::int64_t estimate_ms{0};
    /** Indexes of the earlier steps that this one depends on, counted from 0. */
    std::vector<std::uint32_t> depends_on;
    /** Whether tasks save checkpoints from which a later run can resume. */
    bool checkpoints{false};
    /** Gang scheduling: the tasks run only at the same time and end together. */
    bool gang{false};
    /** Whether tasks slow each other down when they are spread over several racks. */
    bool same_rack{false};
    /** Label that the server must have; empty allows any server. */
    std::string label;
    /** Rack that holds the input data; empty means no preference. */
    std::string preferred_rack;
    /** Maximum number of the step's tasks on one server; 0 means no limit. */
    std::uint32_t max_per_server{0};
    /** Whether speculative copies of a task may run at the same time. */
    bool speculative{false};
    /** Whether the tasks run until the job is cancelled and are restarted however they end. */
    bool long_running{false};
    /** Image that the tasks run. Tasks of the same image behave alike. */
    std::string image;
    /** Tail latency limit of a serving task in milliseconds; 0 means none. */
    std::int64_t latency_limit_ms{0};
    /** Whether the tasks only use idle CPU time. Their CPU demand takes no capacity. */
    bool best_effort{false};
    /** Maximum number of tasks of a long-running step that orders may make unavailable at the same
     * time; 0 means no limit. */
    std::uint32_t max_unavailable{0};

    /** @return the part of a server's capacity that a task takes. */
    resources required_capacity() const noexcept
    {
        return best_effort ? resources{0, need.memory_mb, need.accelerators} : need;
    }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(tasks, need, estimate_ms, depends_on, checkpoints, gang, same_rack, label,
                preferred_rack, max_per_server, speculative, long_running, image, latency_limit_ms,
                best_effort, max_unavailable);
    }
};

/** Schedule of a job: run once immediately, or several times at a fixed interval. */
struct recurrence {
    /** Number of occurrences; 0 means once, immediately. */
    std::uint32_t times{0};
    wall_ms first_at{0};
    std::int64_t interval_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(times, first_at, interval_ms);
    }
};

/** A job as submitted by a caller. */
struct job_spec {
    /** Passed to each task unchanged. */
    std::string payload;
    std::vector<step_spec> steps;
    recurrence schedule;

    /** @return whether any step is long-running. */
    bool has_long_running_steps() const noexcept;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(payload, steps, schedule);
    }
};

/** Identifies one task of one occurrence of a job. */
struct task_id {
    job_id job;
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    std::uint32_t index{0};

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the defaulted comparison.
    auto operator<=>(const task_id&) const = default;

    /** @return the id as JOB.OCCURRENCE.STEP.INDEX, the format that parse() accepts. */
    std::string text() const;
    static std::optional<task_id> parse(std::string_view text) noexcept;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(job, occurrence, step, index);
    }
};

/** Identifies a run by its task and attempt number. */
struct run_id {
    task_id task;
    std::uint32_t attempt{0};

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the defaulted comparison.
    auto operator<=>(const run_id&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(task, attempt);
    }
};

/** Reason for the end of a run. */
enum class run_outcome : std::uint8_t {
    done,
    /** Failure of the task or the server; the only reason that counts as a failed attempt. */
    failed,
    /** Stopped by an order. */
    stopped,
    /** The run's lease expired. */
    lapsed,
    /** Another member of its gang ended. */
    gang_broken,
    /** Other members of its gang did not start in time. */
    gang_incomplete,
    /** The run never started: the server refused it or can no longer start it. */
    not_begun,
    /** The lease must have expired while the server was unreachable, or the server no longer knows
     * the run. Whether the server crashed is not known yet. */
    lost,
    /** As lost, but no reason to suspect the task: the server ended as announced, or it did not
     * crash, or a long-running task had been at work there. */
    lost_unsuspected,
    /** The server's incarnation ended without notice, so the task may have crashed it. Sent for a
     * run that has already ended as lost, it corrects that outcome; so does lost_unsuspected. */
    server_crashed,
    /** As lost and server_crashed, but servers that ran only other jobs were lost at the same time,
     * so that the task is unlikely to be the cause. Earlier versions read both as lost. */
    lost_with_others,
    server_crashed_with_others,
};
constexpr run_outcome last_value(run_outcome /*type*/) noexcept
{
    return run_outcome::server_crashed_with_others;
}

/** @return whether the run ended with a server that certainly crashed. */
constexpr bool has_crashed(run_outcome reason) noexcept
{
    return reason == run_outcome::server_crashed ||
           reason == run_outcome::server_crashed_with_others;
}

/** @return whether the run ended with a server that crashed or may have. */
constexpr bool may_have_crashed(run_outcome reason) noexcept
{
    return has_crashed(reason) || reason == run_outcome::lost ||
           reason == run_outcome::lost_with_others;
}

/** @return whether servers that ran only other jobs were lost at the same time. */
constexpr bool was_lost_with_others(run_outcome reason) noexcept
{
    return reason == run_outcome::lost_with_others ||
           reason == run_outcome::server_crashed_with_others;
}

std::string_view name_of(run_outcome reason) noexcept;

/** Job state as reported to callers. */
enum class job_phase : std::uint8_t { pending, in_progress, completed, failed, cancelled };

std::string_view name_of(job_phase phase) noexcept;

/** @return whether the job has ended, so that none of its tasks may start. */
constexpr bool has_ended(job_phase phase) noexcept
{
    return phase >= job_phase::completed;
}

} // namespace fescue::jobs

template <>
struct std::hash<fescue::jobs::task_id> {
    std::size_t operator()(const fescue::jobs::task_id& t) const noexcept
    {
        const std::uint64_t position = (std::uint64_t{t.occurrence} << 40U) ^
                                       (std::uint64_t{t.step} << 24U) ^ std::uint64_t{t.index};
        return std::hash<std::uint64_t>{}((t.job.number ^ position) * 0x9e3779b97f4a7c15ULL);
    }
};
