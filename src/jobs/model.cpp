#include "fescuestream/jobs/model.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace fescue::jobs {

namespace {

constexpr std::size_t job_id_digits = 16;
constexpr int hexadecimal_base = 16;
constexpr int decimal_base = 10;

/** Parses an unsigned integer that ends at a '.' or at the end of the text, and removes both from
 * the text. */
bool consume_number(std::string_view& text, std::uint32_t& out)
{
    const auto* text_end = text.data() + text.size();
    const auto [number_end, status] = std::from_chars(text.data(), text_end, out, decimal_base);
    if (status != std::errc{}) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(number_end - text.data()));
    if (text.empty()) {
        return true;
    }
    const bool has_separator = text.front() == '.';
    text.remove_prefix(1);
    return has_separator;
}

} // namespace

std::string job_id::text() const
{
    return fmt::format("{:016x}", number);
}

std::optional<job_id> job_id::parse(std::string_view text) noexcept
{
    const auto is_digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    if (text.size() != job_id_digits || !std::ranges::all_of(text, is_digit)) {
        return std::nullopt;
    }
    job_id out;
    std::from_chars(text.data(), text.data() + text.size(), out.number, hexadecimal_base);
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

bool job_spec::has_long_running_steps() const noexcept
{
    return std::ranges::any_of(steps, [](const step_spec& s) { return s.long_running; });
}

std::string task_id::text() const
{
    return fmt::format("{:016x}.{}.{}.{}", job.number, occurrence, step, index);
}

std::optional<task_id> task_id::parse(std::string_view text) noexcept
{
    if (text.size() <= job_id_digits || text[job_id_digits] != '.') {
        return std::nullopt;
    }
    const auto job = job_id::parse(text.substr(0, job_id_digits));
    text.remove_prefix(job_id_digits + 1);
    task_id out;
    if (!job || !consume_number(text, out.occurrence) || !consume_number(text, out.step) ||
        !consume_number(text, out.index) || !text.empty()) {
        return std::nullopt;
    }
    out.job = *job;
    return out;
}

std::string_view name_of(run_outcome reason) noexcept
{
    constexpr std::array<std::string_view, 12> names{"done",
                                                     "failed",
                                                     "stopped",
                                                     "lapsed",
                                                     "gang_broken",
                                                     "gang_incomplete",
                                                     "not_begun",
                                                     "lost",
                                                     "lost_unsuspected",
                                                     "server_crashed",
                                                     "lost_with_others",
                                                     "server_crashed_with_others"};
    return names[static_cast<std::size_t>(reason)];
}

std::string_view name_of(job_phase phase) noexcept
{
    constexpr std::array<std::string_view, 5> names{"pending", "in_progress", "completed", "failed",
                                                    "cancelled"};
    return names[static_cast<std::size_t>(phase)];
}

} // namespace fescue::jobs
