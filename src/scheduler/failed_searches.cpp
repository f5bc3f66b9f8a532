#include "fescuestream/scheduler/failed_searches.h"

#include <algorithm>

namespace fescue::scheduler {

void failed_searches::add(const jobs::step_spec& step, const placement_hints& hints)
{
    const bool limit_applies = step.max_per_server > 0 && hints.step_on_server != nullptr &&
                               !hints.step_on_server->empty();
    if (!limit_applies) {
        searches_.push_back({step.label, step.required_capacity(),
                             step.long_running && hints.may_use_draining, hints.may_share_server});
    }
}

bool failed_searches::rule_out(const jobs::step_spec& step, const placement_hints& hints) const
{
    const jobs::resources need = step.required_capacity();
    const bool may_use_draining = step.long_running && hints.may_use_draining;
    return std::ranges::any_of(searches_, [&](const search& failed) {
        return failed.need.fits(need) && (failed.label.empty() || failed.label == step.label) &&
               (failed.may_use_draining || !may_use_draining) &&
               (failed.may_share_server || !hints.may_share_server);
    });
}

} // namespace fescue::scheduler
