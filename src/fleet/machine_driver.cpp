#include "machine_driver.h"

#include "slow_log.h"

#include "fescuestream/base/log.h"

#include <algorithm>

namespace fescue::fleet {

namespace {

/** After an order, the list is read again this often until it shows the outcome. */
constexpr milliseconds list_period{800};
constexpr milliseconds plan_period{100};
/** So many lists in a row without a machine say that it is gone: the pages of one are not read at
 * the same moment, and may miss a machine that changes meanwhile. */
constexpr std::size_t lists_to_be_gone = 2;
/** An order that is applied this soon after it was given is taken for one of this moment. */
constexpr milliseconds fresh_order{500};
/** The most that two machines' wall clocks are taken to differ; a step of one may be 2 s. */
constexpr milliseconds clocks_differ{2000};
/** Added to the machine service's lease on its last holder. */
constexpr milliseconds holder_margin{500};

} // namespace

machine_driver::machine_driver(core_context& shared, run_driver& driver, dispatcher& work)
    : shared_{shared}, driver_{driver}, work_{work},
      order_budget_{shared.settings.machines.orders_per_s},
      read_budget_{shared.settings.machines.reads_per_s}
{
}

void machine_driver::applied(const jobs::command& cmd)
{
    const auto* order = std::get_if<jobs::order_machine>(&cmd);
    if (order == nullptr) {
        return;
    }
    note(order->machine, {order->term, order->now});
    if (driver_.leading() && shared_.leads() && !order->to.empty()) {
        send_move(order->machine, order->to);
    }
}

void machine_driver::lead()
{
    term_ = shared_.fence();
    orders_.clear();
    withheld_.clear();
    unlisted_.clear();
    reading_ = false;
    list_wanted_ = true;
    list_read_ = mono_time{};
    next_page_.reset();
    planner_ = scheduler::pool_planner{};
}

void machine_driver::restored()
{
    noted_.clear();
    for (const auto& [machine, order] : shared_.state().machine_orders) {
        note(machine, order);
    }
}

void machine_driver::note(const std::string& machine, const jobs::machine_order& order)
{
    const milliseconds age{std::max<std::int64_t>(0, wall_now() - order.at)};
    // An order that is read from the disk is as old as two wall clocks say, which may differ.
    const bool fresh = age < fresh_order;
    const mono_time at = fresh ? shared_.now() : shared_.now() - age + clocks_differ;
    noted_[machine] = {order.term, at};
}

bool machine_driver::may_order(const std::string& machine) const
{
    const milliseconds lease =
        milliseconds{shared_.settings.bounds.machine_lease_ms} + holder_margin;
    const mono_time now = shared_.now();
    const auto noted = noted_.find(machine);
    const bool free =
        noted == noted_.end() || noted->second.term == term_ || now - noted->second.at >= lease;
    return free && shared_.leads();
}

void machine_driver::tick()
{
    if (!driver_.leading() || !shared_.leads() || shared_.settings.machines.address.empty() ||
        shared_.state().doc.version == 0) {
        return;
    }
    read_list_if_due();
    const mono_time now = shared_.now();
    if (now - last_plan_ < plan_period || machines_.empty()) {
        return;
    }
    last_plan_ = now;
    for (const auto& [id, wave] : shared_.state().waves) {
        if (!wave.is_done()) {
            drive_wave(id, wave);
        }
    }
    drive_pools();
}

// ---- the list of machines

void machine_driver::read_list_if_due()
{
    const mono_time now = shared_.now();
    if (!reading_ && list_wanted_ && now - list_read_ >= list_period) {
        reading_ = true;
        list_read_ = now;
        page_machines_.clear();
        next_page_ = "";
    }
    if (next_page_ && read_budget_.take(now)) {
        read_page(*std::exchange(next_page_, std::nullopt));
    }
}

void machine_driver::read_page(const std::string& page)
{
    shared_.counters.count("machine_lists");
    shared_.client.send(shared_.wire.list_machines(shared_.settings.machines.address, page),
                        [this, term = term_](auto&& response) {
                            if (term == term_) {
                                took_page(shared_.wire.read_machines(response));
                            }
                        });
}

void machine_driver::took_page(const result<machine_page>& page)
{
    const slow_log timing{"machine_list"};
    if (!ok(page)) {
        log::warning("machine_list_failed", {{"why", error_of(page).detail}});
        reading_ = false;
        return;
    }
    for (const machine_entry& m : value(page).machines) {
        page_machines_[m.id] = m;
    }
    if (!value(page).next.empty()) {
        next_page_ = value(page).next;
        read_list_if_due();
        return;
    }
    reading_ = false;
    list_wanted_ = false;
    machines_ = std::move(page_machines_);
    page_machines_.clear();
    if (own_machines_.empty()) {
        for (const auto& [id, m] : machines_) {
            ++own_machines_[m.pool];
        }
    }
    for (auto& [id, o] : orders_) {
        const machine_entry* m = entry_of(id);
        const bool settled = o.accepted && m != nullptr && m->state == machine_state::up &&
                             (o.to.empty() || m->pool == o.to);
        list_wanted_ = list_wanted_ || !settled;
    }
    count_unlisted();
    log::info("machine_list", {{"machines", machines_.size()}});
}

void machine_driver::count_unlisted()
{
    std::map<std::string, std::size_t> now_unlisted;
    for (const auto& [id, wave] : shared_.state().waves) {
        for (const auto& [machine, m] : wave.machines) {
            if (!m.done && !machines_.contains(machine)) {
                const std::size_t lists = unlisted_[machine] + 1;
                now_unlisted[machine] = lists;
                list_wanted_ = list_wanted_ || lists < lists_to_be_gone;
            }
        }
    }
    unlisted_ = std::move(now_unlisted);
}

bool machine_driver::unlisted(const std::string& machine) const
{
    const auto known = unlisted_.find(machine);
    return known != unlisted_.end() && known->second >= lists_to_be_gone;
}

const machine_entry* machine_driver::entry_of(const std::string& machine) const
{
    const auto found = machines_.find(machine);
    return found == machines_.end() ? nullptr : &found->second;
}

const server_view* machine_driver::server_on(const machine_entry& entry) const
{
    const auto found = driver_.servers().find(entry.server);
    return found == driver_.servers().end() ? nullptr : &found->second;
}

// ---- moves

std::vector<scheduler::pool_need> machine_driver::pool_needs() const
{
    std::vector<scheduler::pool_need> out;
    const auto& loads = work_.loads();
    for (const auto& [id, pool] : shared_.state().doc.pools) {
        scheduler::pool_need need;
        need.pool = id;
        need.standby = pool.standby;
        if (const auto own = own_machines_.find(id); own != own_machines_.end()) {
            need.own_machines = own->second;
        }
        if (const auto load = loads.find(id); load != loads.end()) {
            const pool_load& l = load->second;
            need.capacity_cpu = l.capacity_cpu;
            need.demand_cpu = l.capacity_cpu - l.free_cpu + l.wanted_cpu;
            need.arriving_cpu = l.arriving_cpu + l.lasting_cpu;
        }
        out.push_back(need);
    }
    const auto need_of = [&](const pool_id& id) {
        const auto found = std::ranges::find(out, id, &scheduler::pool_need::pool);
        return found == out.end() ? nullptr : &*found;
    };
    for (const auto& [id, m] : machines_) {
        const auto order = orders_.find(id);
        const bool moving = order != orders_.end() && !order->second.to.empty();
        auto* need = need_of(moving ? order->second.to : m.pool);
        if (need == nullptr) {
            continue;
        }
        ++need->machines;
        need->capacity_cpu += moving ? m.capacity.cpu_milli : 0;
    }
    return out;
}

std::vector<scheduler::movable_machine> machine_driver::movable() const
{
    std::vector<scheduler::movable_machine> out;
    for (const auto& [id, m] : machines_) {
        if (m.state != machine_state::up || orders_.contains(id) || !may_order(id) ||
            withheld_.contains(id) || shared_.state().out_of_service.contains(m.data_centre)) {
            continue;
        }
        const auto pool = shared_.state().doc.pools.find(m.pool);
        const bool off = pool != shared_.state().doc.pools.end() && pool->second.standby;
        const server_view* server = server_on(m);
        const bool sound = off || (server != nullptr && server->reachable() &&
                                   !server->report.leaving && server->report.pool == m.pool);
        if (sound) {
            const bool idle = server == nullptr || server->runs.empty();
            out.push_back({id, m.pool, m.capacity.cpu_milli, idle});
        }
    }
    return out;
}

void machine_driver::drive_pools()
{
    const slow_log timing{"drive_pools"};
    const mono_time now = shared_.now();
    for (auto at = orders_.begin(); at != orders_.end();) {
        const open_order& o = at->second;
        const machine_entry* entry = entry_of(at->first);
        const milliseconds move{shared_.settings.bounds.move_ms};
        const bool is_move = !o.to.empty();
        const bool list_is_newer = list_read_ > o.sent + move;
        if (is_move && o.accepted && !list_is_newer && now - o.sent > move) {
            list_wanted_ = true;
        }
        const bool there = is_move && o.accepted && list_is_newer && !reading_ &&
                           entry != nullptr && entry->state != machine_state::moving;
        const bool unknown = is_move && !o.under_way && !o.accepted && now - o.sent > order_retry;
        if (there) {
            driver_.withhold(entry->server, false);
        }
        at = there || unknown ? orders_.erase(at) : std::next(at);
    }
    for (const scheduler::pool_move& move : planner_.plan(pool_needs(), movable(), now)) {
        if (!order_budget_.take(now)) {
            shared_.counters.count("machine_orders_put_off");
            break;
        }
        order_move(move);
    }
}

void machine_driver::order_move(const scheduler::pool_move& move)
{
    const machine_entry& entry = machines_.at(move.machine);
    driver_.withhold(entry.server, true);
    orders_[move.machine] = {false, false, shared_.now(), move.to};
    log::info("move_order", {{"machine", move.machine},
                             {"server", entry.server.str()},
                             {"from", move.from.str()},
                             {"to", move.to.str()},
                             {"why", move.why},
                             {"fence", term_}});
    shared_.log.propose_here(jobs::order_machine{move.machine, move.to, term_, wall_now()});
}

void machine_driver::send_move(const std::string& machine, const pool_id& to)
{
    const machine_entry* entry = entry_of(machine);
    const auto known = orders_.find(machine);
    if (entry == nullptr || known == orders_.end() || known->second.to != to) {
        log::info("move_dropped", {{"machine", machine}, {"to", to.str()}});
        return;
    }
    const server_view* view = server_on(*entry);
    if (view != nullptr && !view->runs.empty()) {
        // Work that was on its way into the log when the move was decided.
        log::info("move_dropped", {{"machine", machine}, {"runs", view->runs.size()}});
        driver_.withhold(entry->server, false);
        orders_.erase(known);
        return;
    }
    known->second.under_way = true;
    known->second.sent = shared_.now();
    shared_.counters.count("machine_orders");
    shared_.client.send(
        shared_.wire.move_machine(shared_.settings.machines.address, machine, to,
                                  {shared_.settings.name, term_}),
        [this, machine, server = entry->server, term = term_](auto&& response) {
            if (term != term_ || !driver_.leading()) {
                return;
            }
            const machine_result r = shared_.wire.read_machine_reply(response);
            log::info("move_answer", {{"machine", machine}, {"answer", name_of(r)}});
            open_order& o = orders_[machine];
            o.under_way = false;
            o.accepted = r == machine_result::accepted;
            o.sent = shared_.now();
            if (o.accepted) {
                driver_.ended_with_machine(server);
            }
            if (!o.accepted && r != machine_result::unknown) {
                driver_.withhold(server, false);
                orders_.erase(machine);
            }
            list_wanted_ = true;
        });
}

} // namespace fescue::fleet
