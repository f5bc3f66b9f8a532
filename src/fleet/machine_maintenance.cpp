#include "machine_driver.h"

#include "scope_timer.h"

#include "fescuestream/base/log.h"

#include <algorithm>
#include <tuple>

namespace fescue::fleet {

namespace {

using jobs::task_id;

/** Delay before an order is sent again that was refused because the machine or service was busy. */
constexpr milliseconds busy_retry_delay{1000};
/** Approximate time until the short tasks on a server have ended. */
constexpr milliseconds drain_time{2500};
/** Time from the end of a machine's maintenance until the list shows it as up. */
constexpr milliseconds return_detection_time{1000};
/** Minimum run time of a long-running task that had to start on a server that is being drained. */
constexpr milliseconds min_time_on_draining_server{4000};

/** @return whether a run that started while its server was being drained may be stopped: stopping
 * it earlier than the runs that keep the server from being empty would only make its task wait. */
bool may_move_again(const server_view& view, const run_view& run, mono_time now)
{
    return now - run.ordered_at >= min_time_on_draining_server &&
           std::ranges::all_of(view.runs, [](const auto& entry) {
               const run_view& other = entry.second;
               return !other.long_running || other.started_while_draining ||
                      !other.stop_reason.empty();
           });
}

} // namespace

scheduler::maintenance_candidate
machine_driver::make_candidate(const std::string& wave, const std::string& machine,
                               const jobs::maintenance_machine& m) const
{
    scheduler::maintenance_candidate out;
    out.machine = machine;
    out.started = m.started || proposed_starts_.contains({wave, machine});
    if (is_held_by_another(wave, machine)) {
        return out;
    }
    const machine_entry* entry = find_entry(machine);
    out.ready =
        entry != nullptr && entry->state == machine_state::up && !may_host_unlisted_server(*entry);
    out.cordoned = cordoned_.contains(machine);
    if (entry == nullptr && is_unlisted(machine)) {
        // The machine is not in the list, so there is nothing to drain: it is ready at once.
        out.ready = true;
        out.cordoned = true;
    }
    const server_view* server = entry == nullptr ? nullptr : server_on(*entry);
    if (server == nullptr) {
        return out;
    }
    for (const auto& [task, run] : server->runs) {
        const auto* spec = context_.state().find_step_spec(task);
        ++(spec != nullptr && spec->long_running ? out.long_running_tasks : out.other_tasks);
    }
    return out;
}

void machine_driver::advance_waves()
{
    std::vector<std::pair<wall_ms, const std::string*>> open;
    for (const auto& [id, wave] : context_.state().waves) {
        if (!wave.is_done()) {
            open.emplace_back(wave.asked_at + wave.duration_ms, &id);
        }
    }
    // Waves that share machines get them in the order of their deadlines.
    std::ranges::sort(open, [](const auto& a, const auto& b) {
        return std::tie(a.first, *a.second) < std::tie(b.first, *b.second);
    });
    for (const auto& [deadline, id] : open) {
        advance_wave(*id, context_.state().waves.at(*id));
    }
}

void machine_driver::advance_wave(const std::string& id, const jobs::maintenance_wave& wave)
{
    const scope_timer timing{"drive_wave"};
    const milliseconds maintenance{context_.settings.bounds.maintenance_ms};
    scheduler::maintenance_view view;
    view.max_concurrent = wave.max_concurrent;
    view.time_left = milliseconds{wave.asked_at + wave.duration_ms - wall_now()};
    view.time_per_machine = maintenance + drain_time + return_detection_time;
    for (const auto& [machine, m] : wave.machines) {
        if (m.done) {
            continue;
        }
        if (m.started) {
            restore_cordoned(id, machine);
            advance_maintenance(id, machine);
        } else if (const machine_entry* entry = find_entry(machine)) {
            driver_.expect_maintenance(entry->server);
        }
        view.machines.push_back(make_candidate(id, machine, m));
    }
    const auto decision = scheduler::plan_maintenance(view);
    for (const std::size_t i : decision.cordon) {
        const machine_entry* entry = find_entry(view.machines[i].machine);
        cordoned_[view.machines[i].machine] = {entry->server, id, false};
        driver_.drain(entry->server);
        log::info("machine_withheld", {{"machine", entry->id},
                                       {"server", entry->server.str()},
                                       {"wave", id},
                                       {"left_ms", view.time_left.count()}});
    }
    drain_cordoned_servers(decision.deadline_at_risk);
    for (const std::size_t i : decision.start) {
        const std::string& machine = view.machines[i].machine;
        if (!may_order(machine)) {
            continue;
        }
        if (const auto cordoned = cordoned_.find(machine); cordoned != cordoned_.end()) {
            cordoned->second.begun = true;
            driver_.cordon(cordoned->second.server, true);
        }
        // Recorded in the job log before the order is sent, so that the log shows the next leader
        // that the machine may be down.
        if (context_.log.propose_here(jobs::step_maintenance{id, machine, false, false})) {
            proposed_starts_.emplace(id, machine);
        }
    }
}

bool machine_driver::is_held_by_another(const std::string& wave, const std::string& machine) const
{
    if (const auto order = orders_.find(machine); order != orders_.end()) {
        return !order->second.is_maintenance_for(wave);
    }
    const auto cordoned = cordoned_.find(machine);
    return cordoned != cordoned_.end() && cordoned->second.wave != wave;
}

void machine_driver::restore_cordoned(const std::string& wave, const std::string& machine)
{
    const machine_entry* entry = find_entry(machine);
    const auto order = orders_.find(machine);
    const bool is_past =
        order != orders_.end() && (order->second.accepted || order->second.end_proposed);
    if (entry != nullptr && !is_past && !is_held_by_another(wave, machine)) {
        // An earlier leader began the maintenance; its list of cordoned machines was only in
        // memory.
        cordoned_.try_emplace(machine, cordoned_machine{entry->server, wave, true})
            .first->second.begun = true;
    }
}

void machine_driver::on_maintenance_step(const jobs::step_maintenance& cmd)
{
    proposed_starts_.erase({cmd.id, cmd.machine});
    if (!cmd.done && !cmd.gone) {
        return;
    }
    const auto order = orders_.find(cmd.machine);
    if (order != orders_.end() && order->second.is_maintenance_for(cmd.id)) {
        orders_.erase(order);
    }
    const auto cordoned = cordoned_.find(cmd.machine);
    if (cordoned != cordoned_.end() && cordoned->second.wave == cmd.id) {
        release_cordoned(cmd.machine);
    }
}

void machine_driver::release_cordoned(const std::string& machine)
{
    const auto found = cordoned_.find(machine);
    if (found != cordoned_.end()) {
        driver_.cordon(found->second.server, false);
        cordoned_.erase(found);
    }
}

void machine_driver::drain_cordoned_servers(bool deadline_at_risk)
{
    for (auto& [machine, cordoned] : cordoned_) {
        const auto order = orders_.find(machine);
        if (order != orders_.end() && order->second.accepted) {
            // The server has ended; the one that follows it is not to be drained.
            continue;
        }
        server_id& id = cordoned.server;
        if (const machine_entry* entry = find_entry(machine)) {
            id = entry->server;
        }
        // Repeated on each call, since a restarted server accepts new runs again.
        if (cordoned.begun) {
            driver_.cordon(id, true);
        } else {
            driver_.drain(id);
        }
        const auto server = driver_.servers().find(id);
        if (server == driver_.servers().end()) {
            continue;
        }
        std::vector<task_id> stops;
        for (const auto& [task, run] : server->second.runs) {
            const auto* spec = context_.state().find_step_spec(task);
            if (spec == nullptr || !run.stop_reason.empty()) {
                continue;
            }
            if (!spec->long_running) {
                if (deadline_at_risk) {
                    stops.push_back(task);
                }
                continue;
            }
            if (run.started_while_draining &&
                !may_move_again(server->second, run, context_.now())) {
                continue;
            }
            if (driver_.may_be_stopped_for_maintenance(task)) {
                // From now on is_ready() is false for this task, so it counts as unavailable when
                // the next task of the step is considered.
                driver_.stop(task, std::string{maintenance_stop});
            }
        }
        for (const task_id& task : stops) {
            driver_.stop(task, std::string{maintenance_stop});
        }
    }
}

void machine_driver::advance_maintenance(const std::string& wave, const std::string& machine)
{
    if (is_held_by_another(wave, machine)) {
        return;
    }
    const mono_time now = context_.now();
    const auto known = orders_.find(machine);
    if (known == orders_.end()) {
        if (may_order(machine)) {
            order_maintenance(wave, machine);
        }
        return;
    }
    open_order& o = known->second;
    if (o.end_proposed) {
        return;
    }
    if (!o.accepted) {
        if (!o.in_flight && now - o.sent_at >= order_retry_delay && may_order(machine)) {
            order_maintenance(wave, machine);
        }
        return;
    }
    const machine_entry* entry = find_entry(machine);
    const milliseconds maintenance{context_.settings.bounds.maintenance_ms};
    const bool list_is_current = machines_as_of_ > o.sent_at + maintenance;
    if (!list_is_current && now - o.sent_at > maintenance) {
        list_refresh_needed_ = true;
    }
    if (list_is_current && entry != nullptr && entry->state == machine_state::up) {
        log::info("upkeep_done", {{"machine", machine}, {"wave", wave}});
        // An earlier leader's order may have been executed long before; the server that is on the
        // machine now must accept new runs again.
        driver_.cordon(entry->server, false);
        cordoned_.erase(machine);
        propose_maintenance_end(machine, o, false);
    } else if (list_is_current && is_unlisted(machine)) {
        log::info("upkeep_machine_gone", {{"machine", machine}, {"wave", wave}});
        release_cordoned(machine);
        propose_maintenance_end(machine, o, true);
    } else if (list_is_current) {
        list_refresh_needed_ = true;
    }
}

void machine_driver::propose_maintenance_end(const std::string& machine, open_order& order,
                                             bool gone)
{
    order.end_proposed =
        context_.log.propose_here(jobs::step_maintenance{order.wave, machine, true, gone});
}

void machine_driver::order_maintenance(const std::string& wave, const std::string& machine)
{
    const machine_entry* entry = find_entry(machine);
    if (entry != nullptr && !may_take_down(*entry)) {
        // A start was committed, or another server appeared, after the maintenance had been
        // decided; the server is drained again first.
        return;
    }
    if (!order_budget_.try_acquire(context_.now())) {
        return;
    }
    orders_[machine] = {++last_order_number_, false, false, context_.now(), {}, wave};
    context_.log.propose_here(jobs::order_machine{machine, {}, term_, wall_now()});
}

void machine_driver::send_maintenance(const std::string& machine)
{
    const auto known = orders_.find(machine);
    if (known == orders_.end() || known->second.is_move() || known->second.in_flight ||
        known->second.accepted) {
        return;
    }
    const std::string wave = known->second.wave;
    const machine_entry* entry = find_entry(machine);
    find_unlisted_servers();
    if (entry != nullptr && !may_take_down(*entry)) {
        log::info("upkeep_put_off", {{"machine", machine}, {"wave", wave}});
        orders_.erase(known);
        return;
    }
    known->second.in_flight = true;
    known->second.sent_at = context_.now();
    context_.counters.count("machine_orders");
    log::info("upkeep_order", {{"machine", machine}, {"wave", wave}, {"fence", term_}});
    context_.client.send(
        context_.server_protocol.make_maintenance_request(
            context_.settings.machines.address, machine, wave, {context_.settings.name, term_}),
        [this, machine, number = known->second.number,
         server = entry == nullptr ? server_id{} : entry->server, term = term_](auto&& response) {
            if (term == term_ && driver_.leading()) {
                on_maintenance_reply(machine, number, server,
                                     context_.server_protocol.parse_machine_reply(response));
            }
        });
}

void machine_driver::on_maintenance_reply(const std::string& machine, std::uint64_t number,
                                          const server_id& server, machine_result r)
{
    const auto known = orders_.find(machine);
    const bool outdated = known == orders_.end() || known->second.number != number;
    log::info("upkeep_answer",
              {{"machine", machine}, {"answer", name_of(r)}, {"outdated", outdated}});
    if (outdated) {
        return;
    }
    open_order& o = known->second;
    o.in_flight = false;
    if (r == machine_result::accepted) {
        o.accepted = true;
        o.sent_at = context_.now();
        driver_.record_machine_shutdown(server);
    } else if (r == machine_result::no_such_machine || r == machine_result::not_in_wave) {
        release_cordoned(machine);
        propose_maintenance_end(machine, o, true);
    } else if (r == machine_result::busy || r == machine_result::throttled) {
        o.sent_at = context_.now() - order_retry_delay + busy_retry_delay;
    }
}

} // namespace fescue::fleet
