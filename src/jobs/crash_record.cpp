#include "fescuestream/jobs/crash_record.h"

#include <algorithm>

namespace fescue::jobs {

void crash_record::add(const run_loss& loss)
{
    const bool is_known = std::ranges::any_of(losses_, [&](const run_loss& known) {
        return known.attempt == loss.attempt ||
               (known.server == loss.server && known.incarnation_id == loss.incarnation_id);
    });
    if (!is_known) {
        losses_.push_back(loss);
    } else if (loss.crashed) {
        confirm(loss.attempt);
    }
}

bool crash_record::confirm(std::uint32_t attempt)
{
    const auto found = std::ranges::find(losses_, attempt, &run_loss::attempt);
    if (found == losses_.end() || found->crashed) {
        return false;
    }
    found->crashed = true;
    return true;
}

bool crash_record::dismiss(std::uint32_t attempt)
{
    return std::erase_if(losses_, [&](const run_loss& loss) { return loss.attempt == attempt; }) >
           0;
}

std::size_t crash_record::crashes() const noexcept
{
    return static_cast<std::size_t>(std::ranges::count_if(losses_, &run_loss::crashed));
}

std::size_t crash_record::crashes_alone() const noexcept
{
    return static_cast<std::size_t>(std::ranges::count_if(
        losses_, [](const run_loss& loss) { return loss.crashed && loss.alone; }));
}

bool crash_record::is_culprit() const noexcept
{
    return crashes_alone() >= max_crashes_alone || crashes() >= max_crashes;
}

} // namespace fescue::jobs
