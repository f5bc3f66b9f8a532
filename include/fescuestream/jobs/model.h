#pragma once

/**
 * @file
 * Jobs as callers describe them: steps of equal tasks with dependencies, and what each task needs.
 */

#include "fescuestream/base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::jobs {

using queue_id = strong_id<struct queue_tag>;

/** A job's id: 16 lower-case hexadecimal digits on every interface. */
struct job_id {
    std::uint64_t number{0};

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter mistakes the defaulted comparison.
    auto operator<=>(const job_id&) const = default;

    /** @return the id's digits. */
    std::string text() const;
    /** @return the id, or nothing when the text is not 16 lower-case hexadecimal digits. */
    static std::optional<job_id> parse(std::string_view text) noexcept;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number);
    }
};

/** Room on a server, or a part of it. */
struct resources {
    /** Thousandths of a core. */
    std::int64_t cpu_milli{0};
    std::int64_t memory_mb{0};
    std::int64_t accelerators{0};

    bool operator==(const resources&) const = default;
    resources& operator+=(const resources& other) noexcept;
    resources& operator-=(const resources& other) noexcept;
    /** @return whether this much is within the room. */
    bool fits(const resources& room) const noexcept
    {
        return cpu_milli <= room.cpu_milli && memory_mb <= room.memory_mb &&
               accelerators <= room.accelerators;
    }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(cpu_milli, memory_mb, accelerators);
    }
};

resources operator+(resources a, const resources& b) noexcept;
resources operator-(resources a, const resources& b) noexcept;

/** One step of a job: tasks of the same kind. */
struct step_spec {
    std::uint32_t tasks{1};
    resources need;
    /** The caller's guess of a task's run time, in milliseconds; may be far off. */
    std::int64_t estimate_ms{0};
    /** Earlier steps that must be done first, counted from 0. */
    std::vector<std::uint32_t> after;
    /** Tasks save checkpoints that a later run can resume from. */
    bool checkpoints{false};
    /** The tasks run only together, and end together. */
    bool gang{false};
    /** Tasks on more than one rack slow each other down. */
    bool same_rack{false};
    /** Label that the server must have; empty: any. */
    std::string label;
    /** Rack that holds the data; empty: any. */
    std::string data_rack;
    /** Most tasks of the step on one server; 0: no bound. */
    std::uint32_t most_per_server{0};
    /** Copies of a task may run at the same time. */
    bool copies_may_race{false};
    /** The tasks run until the job is cancelled and are started again however they end. */
    bool lasting{false};
    /** What the tasks run; tasks of one image behave alike. */
    std::string image;
    /** Limit on the tail of a serving task's response times, in milliseconds; 0: none. */
    std::int64_t tail_limit_ms{0};
    /** The tasks take the processor time that others leave; their cpu is not counted as room. */
    bool filler{false};
    /** Most tasks of a lasting step that orders may make unavailable at one time; 0: no bound. */
    std::uint32_t most_unavailable{0};

    /** @return what a task takes of a server's room. */
    resources room_needed() const noexcept
    {
        return filler ? resources{0, need.memory_mb, need.accelerators} : need;
    }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(tasks, need, estimate_ms, after, checkpoints, gang, same_rack, label, data_rack,
                most_per_server, copies_may_race, lasting, image, tail_limit_ms, filler,
                most_unavailable);
    }
};

/** When a job's steps run: once at once, or several times at set times. */
struct recurrence {
    /** 0: once, at once. */
    std::uint32_t times{0};
    wall_ms first_at{0};
    std::int64_t interval_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(times, first_at, interval_ms);
    }
};

/** What a caller hands in. */
struct job_spec {
    /** Handed to each task as it is. */
    std::string payload;
    std::vector<step_spec> steps;
    recurrence repeats;

    bool lasting() const noexcept;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(payload, steps, repeats);
    }
};

/** Names one task of one occurrence of a job. */
struct task_id {
    job_id job;
    std::uint32_t occurrence{0};
    std::uint32_t step{0};
    std::uint32_t index{0};

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter mistakes the defaulted comparison.
    auto operator<=>(const task_id&) const = default;

    /** @return JOB.OCCURRENCE.STEP.INDEX. */
    std::string text() const;
    static std::optional<task_id> parse(std::string_view text) noexcept;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(job, occurrence, step, index);
    }
};

/** A task's run: its attempt number and the life of the server that it was sent to. */
struct run_id {
    task_id task;
    std::uint32_t attempt{0};

    // NOLINTNEXTLINE(modernize-use-nullptr): the linter mistakes the defaulted comparison.
    auto operator<=>(const run_id&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(task, attempt);
    }
};

/** How a run ended. */
enum class run_end : std::uint8_t {
    done,
    /** By the task's own fault or the server's; the only end that counts as a failed attempt. */
    failed,
    /** On an order. */
    stopped,
    /** Its lease ran out. */
    lapsed,
    /** Another member of its gang ended. */
    gang_broken,
    /** The other members of its gang did not start in time. */
    gang_incomplete,
    /** It never began: the server refused it, or can no longer begin it. */
    not_begun,
    /** The server's life ended, or its lease has certainly run out unseen. */
    lost,
};

std::string_view name_of(run_end end) noexcept;

/** A job as callers see it. */
enum class job_phase : std::uint8_t { pending, in_progress, completed, failed, cancelled };

std::string_view name_of(job_phase phase) noexcept;

/** @return whether nothing of the job may start any more. */
constexpr bool is_over(job_phase phase) noexcept
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
