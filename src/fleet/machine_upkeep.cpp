#include "machine_driver.h"

#include "slow_log.h"

#include "fescuestream/base/log.h"

namespace fescue::fleet {

namespace {

using jobs::task_id;

/** A machine that is busy is tried again after this. */
constexpr milliseconds busy_pause{1000};
/** What a server takes to be emptied of short work, about. */
constexpr milliseconds emptying_time{2500};
/** What a machine takes beyond its time of maintenance until the list shows it. */
constexpr milliseconds noticing_time{1000};

} // namespace

// ---- maintenance

scheduler::upkeep_candidate machine_driver::candidate_of(const std::string& machine,
                                                         const jobs::upkeep_machine& m) const
{
    scheduler::upkeep_candidate out;
    out.machine = machine;
    out.begun = m.begun;
    const machine_entry* entry = entry_of(machine);
    const auto order = orders_.find(machine);
    const bool moving = order != orders_.end() && !order->second.to.empty();
    out.ready = entry != nullptr && entry->state == machine_state::up && !moving;
    out.withheld = withheld_.contains(machine);
    if (entry == nullptr && unlisted(machine)) {
        // There is nothing to empty; the machine service will say that there is no such machine.
        out.ready = true;
        out.withheld = true;
    }
    const server_view* server = entry == nullptr ? nullptr : server_on(*entry);
    if (server == nullptr) {
        return out;
    }
    for (const auto& [task, run] : server->runs) {
        const auto* spec = shared_.state().spec_of(task);
        ++(spec != nullptr && spec->lasting ? out.lasting_tasks : out.other_tasks);
    }
    return out;
}

void machine_driver::drive_wave(const std::string& id, const jobs::upkeep_wave& wave)
{
    const slow_log timing{"drive_wave"};
    const milliseconds upkeep{shared_.settings.bounds.upkeep_ms};
    scheduler::upkeep_view view;
    view.most_at_once = wave.most_at_once;
    view.left = milliseconds{wave.asked_at + wave.duration_ms - wall_now()};
    view.each = upkeep + emptying_time + noticing_time;
    for (const auto& [machine, m] : wave.machines) {
        if (m.done) {
            continue;
        }
        if (m.begun) {
            keep_withheld(machine);
            close_upkeep(id, machine);
        } else if (const machine_entry* entry = entry_of(machine)) {
            driver_.expect_maintenance(entry->server);
        }
        view.machines.push_back(candidate_of(machine, m));
    }
    const auto decision = scheduler::plan_upkeep(view);
    for (const std::size_t i : decision.withhold) {
        const machine_entry* entry = entry_of(view.machines[i].machine);
        withheld_[view.machines[i].machine] = entry->server;
        driver_.withhold(entry->server, true);
        log::info("machine_withheld", {{"machine", entry->id},
                                       {"server", entry->server.str()},
                                       {"wave", id},
                                       {"left_ms", view.left.count()}});
    }
    empty_servers(decision.hurry);
    for (const std::size_t i : decision.begin) {
        const std::string& machine = view.machines[i].machine;
        if (!may_order(machine)) {
            continue;
        }
        // Whoever leads next must know that the machine may be down.
        shared_.log.propose_here(jobs::step_upkeep{id, machine, false, false});
    }
}

void machine_driver::keep_withheld(const std::string& machine)
{
    const machine_entry* entry = entry_of(machine);
    const auto order = orders_.find(machine);
    const bool accepted = order != orders_.end() && order->second.accepted;
    if (entry != nullptr && !accepted) {
        // An earlier leader began it: what it was told in memory is not known here.
        withheld_.try_emplace(machine, entry->server);
    }
}

void machine_driver::empty_servers(bool hurry)
{
    for (auto& [machine, id] : withheld_) {
        if (const machine_entry* entry = entry_of(machine)) {
            id = entry->server;
        }
        // Again each time: a server that restarts in the meantime takes work anew.
        driver_.withhold(id, true);
        const auto server = driver_.servers().find(id);
        if (server == driver_.servers().end()) {
            continue;
        }
        std::vector<task_id> stops;
        for (const auto& [task, run] : server->second.runs) {
            const auto* spec = shared_.state().spec_of(task);
            if (spec == nullptr || !run.stop_why.empty()) {
                continue;
            }
            if (!spec->lasting) {
                if (hurry) {
                    stops.push_back(task);
                }
                continue;
            }
            std::uint32_t away = 0;
            for (std::uint32_t i = 0; i < spec->tasks; ++i) {
                const task_id other{task.job, task.occurrence, task.step, i};
                away += i != task.index && !driver_.at_work(other) ? 1 : 0;
            }
            if (spec->most_unavailable == 0 || away < spec->most_unavailable) {
                // One at a time: the next is looked at when this one counts as away.
                driver_.stop(task, "maintenance");
            }
        }
        for (const task_id& task : stops) {
            driver_.stop(task, "maintenance");
        }
    }
}

void machine_driver::close_upkeep(const std::string& wave, const std::string& machine)
{
    const mono_time now = shared_.now();
    const auto known = orders_.find(machine);
    if (known == orders_.end()) {
        if (may_order(machine)) {
            order_upkeep(wave, machine);
        }
        return;
    }
    open_order& o = known->second;
    if (!o.accepted) {
        if (!o.under_way && now - o.sent >= order_retry && may_order(machine)) {
            order_upkeep(wave, machine);
        }
        return;
    }
    const machine_entry* entry = entry_of(machine);
    const milliseconds upkeep{shared_.settings.bounds.upkeep_ms};
    const bool list_is_newer = list_read_ > o.sent + upkeep;
    if (!list_is_newer && now - o.sent > upkeep) {
        list_wanted_ = true;
    }
    if (list_is_newer && entry != nullptr && entry->state == machine_state::up) {
        log::info("upkeep_done", {{"machine", machine}, {"wave", wave}});
        // The order may have been carried out long before, for an earlier leader: then this is the
        // server that runs there now.
        driver_.withhold(entry->server, false);
        orders_.erase(known);
        withheld_.erase(machine);
        shared_.log.propose_here(jobs::step_upkeep{wave, machine, true, false});
    } else if (list_is_newer && unlisted(machine)) {
        log::info("upkeep_machine_gone", {{"machine", machine}, {"wave", wave}});
        orders_.erase(known);
        withheld_.erase(machine);
        shared_.log.propose_here(jobs::step_upkeep{wave, machine, true, true});
    } else if (list_is_newer) {
        list_wanted_ = true;
    }
}

void machine_driver::order_upkeep(const std::string& wave, const std::string& machine)
{
    const machine_entry* entry = entry_of(machine);
    const server_view* view = entry == nullptr ? nullptr : server_on(*entry);
    if (view != nullptr && !view->runs.empty()) {
        // Work that was on its way into the log when the upkeep was decided; it is emptied again.
        return;
    }
    if (!order_budget_.take(shared_.now())) {
        return;
    }
    orders_[machine] = {true, false, shared_.now(), {}};
    shared_.counters.count("machine_orders");
    shared_.log.propose_here(jobs::order_machine{machine, {}, term_, wall_now()});
    log::info("upkeep_order", {{"machine", machine}, {"wave", wave}, {"fence", term_}});
    shared_.client.send(shared_.wire.begin_upkeep(shared_.settings.machines.address, machine, wave,
                                                  {shared_.settings.name, term_}),
                        [this, wave, machine, term = term_](auto&& response) {
                            if (term == term_ && driver_.leading()) {
                                upkeep_answered(wave, machine,
                                                shared_.wire.read_machine_reply(response));
                            }
                        });
}

void machine_driver::upkeep_answered(const std::string& wave, const std::string& machine,
                                     machine_result r)
{
    open_order& o = orders_[machine];
    o.under_way = false;
    log::info("upkeep_answer", {{"machine", machine}, {"wave", wave}, {"answer", name_of(r)}});
    if (r == machine_result::accepted) {
        o.accepted = true;
        o.sent = shared_.now();
        if (const machine_entry* entry = entry_of(machine)) {
            driver_.ended_with_machine(entry->server);
        }
    } else if (r == machine_result::no_such_machine || r == machine_result::not_in_wave) {
        orders_.erase(machine);
        withheld_.erase(machine);
        shared_.log.propose_here(jobs::step_upkeep{wave, machine, true, true});
    } else if (r == machine_result::busy || r == machine_result::throttled) {
        o.sent = shared_.now() - order_retry + busy_pause;
    }
}

} // namespace fescue::fleet
