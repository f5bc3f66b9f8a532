#include "machine_driver.h"

#include "slow_log.h"

#include "fescuestream/base/log.h"

namespace fescue::fleet {

namespace {

using jobs::task_id;

/** Delay before an order is sent again that was refused because the machine or service was busy. */
constexpr milliseconds busy_retry_delay{1000};
/** Approximate time until the short tasks on a server have ended. */
constexpr milliseconds drain_time{2500};
/** Time from the end of a machine's maintenance until the list shows it as up. */
constexpr milliseconds return_detection_time{1000};

} // namespace

// ---- maintenance

scheduler::upkeep_candidate machine_driver::candidate_of(const std::string& machine,
                                                         const jobs::upkeep_machine& m) const
{
    scheduler::upkeep_candidate out;
    out.machine = machine;
    out.begun = m.begun;
    const machine_entry* entry = find_entry(machine);
    const auto order = orders_.find(machine);
    const bool moving = order != orders_.end() && !order->second.to.empty();
    out.ready = entry != nullptr && entry->state == machine_state::up && !moving;
    out.withheld = withheld_.contains(machine);
    if (entry == nullptr && is_unlisted(machine)) {
        // There is nothing to drain; the machine service will answer that it has no such machine.
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

void machine_driver::advance_wave(const std::string& id, const jobs::upkeep_wave& wave)
{
    const slow_log timing{"drive_wave"};
    const milliseconds upkeep{shared_.settings.bounds.upkeep_ms};
    scheduler::upkeep_view view;
    view.most_at_once = wave.most_at_once;
    view.left = milliseconds{wave.asked_at + wave.duration_ms - wall_now()};
    view.each = upkeep + drain_time + return_detection_time;
    for (const auto& [machine, m] : wave.machines) {
        if (m.done) {
            continue;
        }
        if (m.begun) {
            restore_withheld(machine);
            advance_upkeep(id, machine);
        } else if (const machine_entry* entry = find_entry(machine)) {
            driver_.expect_maintenance(entry->server);
        }
        view.machines.push_back(candidate_of(machine, m));
    }
    const auto decision = scheduler::plan_upkeep(view);
    for (const std::size_t i : decision.withhold) {
        const machine_entry* entry = find_entry(view.machines[i].machine);
        withheld_[view.machines[i].machine] = entry->server;
        driver_.withhold(entry->server, true);
        log::info("machine_withheld", {{"machine", entry->id},
                                       {"server", entry->server.str()},
                                       {"wave", id},
                                       {"left_ms", view.left.count()}});
    }
    drain_withheld_servers(decision.hurry);
    for (const std::size_t i : decision.begin) {
        const std::string& machine = view.machines[i].machine;
        if (!may_order(machine)) {
            continue;
        }
        // Logged before the order is sent, so that the next leader knows the machine may be down.
        shared_.log.propose_here(jobs::step_upkeep{id, machine, false, false});
    }
}

void machine_driver::restore_withheld(const std::string& machine)
{
    const machine_entry* entry = find_entry(machine);
    const auto order = orders_.find(machine);
    const bool accepted = order != orders_.end() && order->second.accepted;
    if (entry != nullptr && !accepted) {
        // An earlier leader began the maintenance; its list of withheld machines was only in
        // memory.
        withheld_.try_emplace(machine, entry->server);
    }
}

void machine_driver::drain_withheld_servers(bool hurry)
{
    for (auto& [machine, id] : withheld_) {
        if (const machine_entry* entry = find_entry(machine)) {
            id = entry->server;
        }
        // Repeated on each call, since a restarted server accepts new runs again.
        driver_.withhold(id, true);
        const auto server = driver_.servers().find(id);
        if (server == driver_.servers().end()) {
            continue;
        }
        std::vector<task_id> stops;
        for (const auto& [task, run] : server->second.runs) {
            const auto* spec = shared_.state().spec_of(task);
            if (spec == nullptr || !run.stop_reason.empty()) {
                continue;
            }
            if (!spec->lasting) {
                if (hurry) {
                    stops.push_back(task);
                }
                continue;
            }
            std::uint32_t unavailable = 0;
            for (std::uint32_t i = 0; i < spec->tasks; ++i) {
                const task_id other{task.job, task.occurrence, task.step, i};
                unavailable += i != task.index && !driver_.is_ready(other) ? 1 : 0;
            }
            if (spec->most_unavailable == 0 || unavailable < spec->most_unavailable) {
                // From now on is_ready() is false for this task, so it counts as unavailable when
                // the next task of the step is considered.
                driver_.stop(task, "maintenance");
            }
        }
        for (const task_id& task : stops) {
            driver_.stop(task, "maintenance");
        }
    }
}

void machine_driver::advance_upkeep(const std::string& wave, const std::string& machine)
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
        if (!o.in_flight && now - o.sent_at >= order_retry_delay && may_order(machine)) {
            order_upkeep(wave, machine);
        }
        return;
    }
    const machine_entry* entry = find_entry(machine);
    const milliseconds upkeep{shared_.settings.bounds.upkeep_ms};
    const bool list_is_current = list_read_started_ > o.sent_at + upkeep;
    if (!list_is_current && now - o.sent_at > upkeep) {
        list_refresh_needed_ = true;
    }
    if (list_is_current && entry != nullptr && entry->state == machine_state::up) {
        log::info("upkeep_done", {{"machine", machine}, {"wave", wave}});
        // An earlier leader's order may have been executed long before; the server that is on the
        // machine now must accept new runs again.
        driver_.withhold(entry->server, false);
        orders_.erase(known);
        withheld_.erase(machine);
        shared_.log.propose_here(jobs::step_upkeep{wave, machine, true, false});
    } else if (list_is_current && is_unlisted(machine)) {
        log::info("upkeep_machine_gone", {{"machine", machine}, {"wave", wave}});
        orders_.erase(known);
        withheld_.erase(machine);
        shared_.log.propose_here(jobs::step_upkeep{wave, machine, true, true});
    } else if (list_is_current) {
        list_refresh_needed_ = true;
    }
}

void machine_driver::order_upkeep(const std::string& wave, const std::string& machine)
{
    const machine_entry* entry = find_entry(machine);
    const server_view* view = entry == nullptr ? nullptr : server_on(*entry);
    if (view != nullptr && !view->runs.empty()) {
        // These starts were proposed before the maintenance was decided and committed after it; the
        // server is drained again first.
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
                                on_upkeep_reply(wave, machine,
                                                shared_.wire.read_machine_reply(response));
                            }
                        });
}

void machine_driver::on_upkeep_reply(const std::string& wave, const std::string& machine,
                                     machine_result r)
{
    open_order& o = orders_[machine];
    o.in_flight = false;
    log::info("upkeep_answer", {{"machine", machine}, {"wave", wave}, {"answer", name_of(r)}});
    if (r == machine_result::accepted) {
        o.accepted = true;
        o.sent_at = shared_.now();
        if (const machine_entry* entry = find_entry(machine)) {
            driver_.record_machine_shutdown(entry->server);
        }
    } else if (r == machine_result::no_such_machine || r == machine_result::not_in_wave) {
        orders_.erase(machine);
        withheld_.erase(machine);
        shared_.log.propose_here(jobs::step_upkeep{wave, machine, true, true});
    } else if (r == machine_result::busy || r == machine_result::throttled) {
        o.sent_at = shared_.now() - order_retry_delay + busy_retry_delay;
    }
}

} // namespace fescue::fleet
