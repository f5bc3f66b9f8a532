#include "fescuestream/jobs/model.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace fescue::jobs {

namespace {

constexpr std::size_t id_digits = 16;
constexpr int hexadecimal = 16;
constexpr int decimal = 10;

/** Reads a whole number up to the next dot or the end, and moves past it. */
bool take_number(std::string_view& text, std::uint32_t& out)
{
    const auto* last = text.data() + text.size();
    const auto [end, fault] = std::from_chars(text.data(), last, out, decimal);
    if (fault != std::errc{}) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    if (text.empty()) {
        return true;
    }
    const bool dot = text.front() == '.';
    text.remove_prefix(1);
    return dot;
}

} // namespace

std::string job_id::text() const
{
    return fmt::format("{:016x}", number);
}

std::optional<job_id> job_id::parse(std::string_view text) noexcept
{
    const auto is_digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    if (text.size() != id_digits || !std::ranges::all_of(text, is_digit)) {
        return std::nullopt;
    }
    job_id out;
    std::from_chars(text.data(), text.data() + text.size(), out.number, hexadecimal);
    return out;
}

resources& resources::operator+=(const resources& other) noexcept
{
    cpu_milli += other.cpu_milli;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other) noexcept
{
    cpu_milli -= other.cpu_milli;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
}

resources operator+(resources a, const resources& b) noexcept
{
    return a += b;
}

resources operator-(resources a, const resources& b) noexcept
{
    return a -= b;
}

bool job_spec::lasting() const noexcept
{
    return std::ranges::any_of(steps, [](const step_spec& s) { return s.lasting; });
}

std::string task_id::text() const
{
    return fmt::format("{:016x}.{}.{}.{}", job.number, occurrence, step, index);
}

std::optional<task_id> task_id::parse(std::string_view text) noexcept
{
    if (text.size() <= id_digits || text[id_digits] != '.') {
        return std::nullopt;
    }
    const auto job = job_id::parse(text.substr(0, id_digits));
    text.remove_prefix(id_digits + 1);
    task_id out;
    if (!job || !take_number(text, out.occurrence) || !take_number(text, out.step) ||
        !take_number(text, out.index) || !text.empty()) {
        return std::nullopt;
    }
    out.job = *job;
    return out;
}

std::string_view name_of(run_end end) noexcept
{
    constexpr std::array<std::string_view, 8> names{"done",      "failed",      "stopped",
                                                    "lapsed",    "gang_broken", "gang_incomplete",
                                                    "not_begun", "lost"};
    return names[static_cast<std::size_t>(end)];
}

std::string_view name_of(job_phase phase) noexcept
{
    constexpr std::array<std::string_view, 5> names{"pending", "in_progress", "completed", "failed",
                                                    "cancelled"};
    return names[static_cast<std::size_t>(phase)];
}

} // namespace fescue::jobs
