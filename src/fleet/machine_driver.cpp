#include "machine_driver.h"

#include "scope_timer.h"

#include "fescuestream/base/log.h"

#include <algorithm>
#include <cmath>

namespace fescue::fleet {

namespace {

/** Interval at which the list is read again after an order, until it shows the outcome. */
constexpr milliseconds list_refresh_interval{800};
constexpr milliseconds plan_interval{100};
/** Consecutive lists that must miss a machine before it counts as gone. One is not enough: the
 * pages of a list are read at different times and may miss a machine that changes in between. */
constexpr std::size_t missed_lists_before_gone = 2;
/** An order that is applied within this time of being given counts as given now. */
constexpr milliseconds max_fresh_order_age{500};
/** Largest assumed difference between the wall clocks of two machines; a clock may step by 2 s. */
constexpr milliseconds max_clock_skew{2000};
/** Safety margin added to the machine service's lease for the last holder. */
constexpr milliseconds holder_lease_margin{500};
/** Unanswered moves are bounded to what the machine service accepts in this time: they queue for a
 * few connections, and one that waits for a second is given up. */
constexpr double max_unanswered_moves_s = 0.2;
/** Time until the server of a machine that has moved is known and polled. */
constexpr milliseconds server_start_time{100};
/** Idle time after which a machine returns to standby if the demand is forecast. The return costs
 * one more move, and the platform's price of a move is that of 1.15 s of a machine in a pool. */
constexpr milliseconds forecast_break_even_time{1150};

scheduler::pool_planner make_planner(const settings::scheduling_options& options)
{
    scheduler::pool_policy policy;
    if (options.forecast_demand) {
        policy.break_even_time = forecast_break_even_time;
    }
    return scheduler::pool_planner{policy};
}

scheduler::demand_forecast make_forecast(const settings::job_bounds& bounds)
{
    return scheduler::demand_forecast{milliseconds{bounds.move_ms} + server_start_time};
}

} // namespace

machine_driver::machine_driver(core_context& shared, run_driver& driver,
                               dispatcher& task_dispatcher)
    : context_{shared}, driver_{driver}, dispatcher_{task_dispatcher},
      planner_{make_planner(shared.settings.scheduling)}, forecast_{make_forecast(
                                                              shared.settings.bounds)},
      order_budget_{shared.settings.machines.orders_per_s},
      read_budget_{shared.settings.machines.reads_per_s}
{
}

void machine_driver::on_applied(const jobs::command& cmd)
{
    if (const auto* step = std::get_if<jobs::step_maintenance>(&cmd)) {
        on_maintenance_step(*step);
        return;
    }
    const auto* order = std::get_if<jobs::order_machine>(&cmd);
    if (order == nullptr) {
        return;
    }
    record_order(order->machine, {order->term, order->now});
    if (!driver_.leading() || !context_.has_leader_lease() || order->term != term_) {
        return;
    }
    if (order->to.empty()) {
        send_maintenance(order->machine);
    } else {
        send_move(order->machine, order->to);
    }
}

void machine_driver::on_leadership_gained()
{
    term_ = context_.fencing_token();
    orders_.clear();
    cordoned_.clear();
    proposed_starts_.clear();
    missed_lists_.clear();
    // A list that was read in an earlier term may be long out of date.
    machines_.clear();
    listed_servers_.clear();
    machines_as_of_ = mono_time{};
    list_read_in_flight_ = false;
    list_refresh_needed_ = true;
    list_read_started_ = mono_time{};
    next_page_.reset();
    planner_ = make_planner(context_.settings.scheduling);
    forecast_ = make_forecast(context_.settings.bounds);
}

void machine_driver::on_state_restored()
{
    recorded_orders_.clear();
    for (const auto& [machine, order] : context_.state().machine_orders) {
        record_order(machine, order);
    }
}

void machine_driver::record_order(const std::string& machine, const jobs::machine_order& order)
{
    const milliseconds age{std::max<std::int64_t>(0, wall_now() - order.at)};
    // The age of an order restored from disk depends on two wall clocks, which may differ.
    const bool fresh = age < max_fresh_order_age;
    const mono_time latest = fresh ? context_.now() : context_.now() - age + max_clock_skew;
    recorded_orders_[machine] = {order.term, latest};
}

bool machine_driver::may_order(const std::string& machine) const
{
    const milliseconds lease =
        milliseconds{context_.settings.bounds.machine_lease_ms} + holder_lease_margin;
    const mono_time now = context_.now();
    const auto recorded = recorded_orders_.find(machine);
    const bool free = recorded == recorded_orders_.end() || recorded->second.term == term_ ||
                      now - recorded->second.latest_sent_at >= lease;
    return free && context_.has_leader_lease();
}

void machine_driver::tick()
{
    if (!driver_.leading() || !context_.has_leader_lease() ||
        context_.settings.machines.address.empty() || context_.state().doc.version == 0) {
        return;
    }
    read_list_if_due();
    const mono_time now = context_.now();
    if (now - last_plan_at_ < plan_interval || machines_.empty()) {
        return;
    }
    last_plan_at_ = now;
    find_unlisted_servers();
    list_refresh_needed_ = list_refresh_needed_ || !unlisted_servers_.empty();
    advance_waves();
    balance_pools();
}

void machine_driver::read_list_if_due()
{
    const mono_time now = context_.now();
    if (!list_read_in_flight_ && list_refresh_needed_ &&
        now - list_read_started_ >= list_refresh_interval) {
        list_read_in_flight_ = true;
        list_read_started_ = now;
        page_machines_.clear();
        unreadable_machines_.clear();
        next_page_ = "";
    }
    if (next_page_ && read_budget_.try_acquire(now)) {
        read_page(*std::exchange(next_page_, std::nullopt));
    }
}

void machine_driver::read_page(const std::string& page)
{
    context_.counters.count("machine_lists");
    context_.client.send(
        context_.server_protocol.make_list_machines_request(context_.settings.machines.address,
                                                            page),
        [this, term = term_](auto&& response) {
            if (term == term_) {
                on_page_reply(context_.server_protocol.parse_machine_page(response));
            }
        });
}

void machine_driver::on_page_reply(const result<machine_page>& page)
{
    const scope_timer timing{"machine_list"};
    if (!ok(page)) {
        log::warning("machine_list_failed", {{"why", error_of(page).detail}});
        list_read_in_flight_ = false;
        return;
    }
    for (const machine_entry& m : value(page).machines) {
        page_machines_[m.id] = m;
    }
    record_unreadable(value(page).unreadable);
    if (!value(page).next.empty()) {
        next_page_ = value(page).next;
        read_list_if_due();
        return;
    }
    list_read_in_flight_ = false;
    list_refresh_needed_ = false;
    machines_ = std::move(page_machines_);
    page_machines_.clear();
    machines_as_of_ = list_read_started_;
    listed_servers_.clear();
    for (const auto& [id, m] : machines_) {
        listed_servers_.insert(m.server);
    }
    if (initial_machines_.empty()) {
        for (const auto& [id, m] : machines_) {
            ++initial_machines_[m.pool];
        }
    }
    for (auto& [id, o] : orders_) {
        const machine_entry* m = find_entry(id);
        const bool settled = o.accepted && m != nullptr && m->state == machine_state::up &&
                             (o.to.empty() || m->pool == o.to);
        list_refresh_needed_ = list_refresh_needed_ || !settled;
    }
    count_missed_lists();
    log::info("machine_list", {{"machines", machines_.size()}});
}

void machine_driver::record_unreadable(const std::vector<unreadable_machine>& entries)
{
    for (const unreadable_machine& m : entries) {
        context_.counters.count("machine_entries_unreadable");
        if (!m.id.empty()) {
            unreadable_machines_.insert(m.id);
        }
        const auto count = unreadable_entries_.admit(m.id + ' ' + m.why, context_.now());
        if (count > 0) {
            log::warning("machine_entry_unreadable",
                         {{"machine", m.id}, {"why", m.why}, {"entries", count}});
        }
    }
}

void machine_driver::count_missed_lists()
{
    std::map<std::string, std::size_t> missed_lists;
    for (const auto& [id, wave] : context_.state().waves) {
        for (const auto& [machine, m] : wave.machines) {
            if (m.done || machines_.contains(machine)) {
                continue;
            }
            // An unreadable entry shows that the machine exists.
            if (unreadable_machines_.contains(machine)) {
                list_refresh_needed_ = true;
            } else {
                const std::size_t lists = missed_lists_[machine] + 1;
                missed_lists[machine] = lists;
                list_refresh_needed_ = list_refresh_needed_ || lists < missed_lists_before_gone;
            }
        }
    }
    missed_lists_ = std::move(missed_lists);
}

bool machine_driver::is_unlisted(const std::string& machine) const
{
    const auto known = missed_lists_.find(machine);
    return known != missed_lists_.end() && known->second >= missed_lists_before_gone;
}

const machine_entry* machine_driver::find_entry(const std::string& machine) const
{
    const auto found = machines_.find(machine);
    return found == machines_.end() ? nullptr : &found->second;
}

const server_view* machine_driver::server_on(const machine_entry& entry) const
{
    const auto found = driver_.servers().find(entry.server);
    return found == driver_.servers().end() ? nullptr : &found->second;
}

void machine_driver::find_unlisted_servers()
{
    unlisted_servers_.clear();
    for (const auto& [id, view] : driver_.servers()) {
        if (view.first_seen_at >= machines_as_of_ && !listed_servers_.contains(id)) {
            unlisted_servers_.push_back({view.report.data_centre, view.report.rack});
        }
    }
}

bool machine_driver::may_host_unlisted_server(const machine_entry& machine) const
{
    // A machine keeps its data centre and its rack.
    return std::ranges::any_of(unlisted_servers_, [&](const location& server) {
        return (server.data_centre.empty() || server.data_centre == machine.data_centre) &&
               (server.rack.empty() || server.rack == machine.rack);
    });
}

bool machine_driver::may_take_down(const machine_entry& machine) const
{
    const server_view* server = server_on(machine);
    return !may_host_unlisted_server(machine) && (server == nullptr || server->runs.empty());
}

std::vector<scheduler::pool_need> machine_driver::pool_needs() const
{
    std::vector<scheduler::pool_need> out;
    const auto& loads = dispatcher_.loads();
    for (const auto& [id, pool] : context_.state().doc.pools) {
        scheduler::pool_need need;
        need.pool = id;
        need.standby = pool.standby;
        if (const auto initial = initial_machines_.find(id); initial != initial_machines_.end()) {
            need.own_machines = initial->second;
        }
        if (const auto load = loads.find(id); load != loads.end()) {
            const pool_load& l = load->second;
            need.capacity_cpu = l.capacity_cpu;
            need.demand_cpu = l.capacity_cpu - l.free_cpu + l.startable_cpu;
            need.arrival_cpu = l.arrival_cpu + l.long_running_cpu;
            need.unplaced = l.unplaced;
            need.late_cpu = l.late_cpu;
        }
        out.push_back(need);
    }
    const auto need_of = [&](const pool_id& id) {
        const auto found = std::ranges::find(out, id, &scheduler::pool_need::pool);
        return found == out.end() ? nullptr : &*found;
    };
    for (const auto& [id, m] : machines_) {
        const auto order = orders_.find(id);
        const bool moving = order != orders_.end() && order->second.is_move();
        auto* need = need_of(moving ? order->second.to : m.pool);
        if (need == nullptr) {
            continue;
        }
        ++need->machines;
        if (moving) {
            need->capacity_cpu += m.capacity.cpu_milli;
            need->arriving.push_back({m.capacity, m.labels});
        }
    }
    return out;
}

void machine_driver::apply_forecast(std::vector<scheduler::pool_need>& needs, mono_time now)
{
    const auto& loads = dispatcher_.loads();
    for (scheduler::pool_need& need : needs) {
        const auto load = loads.find(need.pool);
        if (need.standby || load == loads.end()) {
            continue;
        }
        const pool_load& l = load->second;
        need.demand_cpu = forecast_.expected_cpu(
            need.pool, {need.demand_cpu, l.arrival_cpu, l.long_running_cpu}, now);
        need.arrival_cpu = 0;
    }
}

std::vector<scheduler::movable_machine> machine_driver::movable_machines() const
{
    std::vector<scheduler::movable_machine> out;
    for (const auto& [id, m] : machines_) {
        if (m.state != machine_state::up || orders_.contains(id) || !may_order(id) ||
            cordoned_.contains(id) || context_.state().out_of_service.contains(m.data_centre)) {
            continue;
        }
        const auto pool = context_.state().doc.pools.find(m.pool);
        const bool is_off = pool != context_.state().doc.pools.end() && pool->second.standby;
        const server_view* server = server_on(m);
        const bool is_usable =
            is_off || (server != nullptr && server->reachable() && !server->report.leaving &&
                       server->report.pool == m.pool && !may_host_unlisted_server(m));
        if (is_usable) {
            const bool idle = server == nullptr || server->runs.empty();
            // The list shows the capacity of the machine, not what its server may use at present.
            const auto& capacity = is_off ? m.capacity : server->report.capacity;
            out.push_back({id, m.pool, {capacity, m.labels}, idle});
        }
    }
    return out;
}

void machine_driver::balance_pools()
{
    const scope_timer timing{"drive_pools"};
    const mono_time now = context_.now();
    for (auto at = orders_.begin(); at != orders_.end();) {
        const open_order& o = at->second;
        const machine_entry* entry = find_entry(at->first);
        const milliseconds move{context_.settings.bounds.move_ms};
        const bool list_is_current = machines_as_of_ > o.sent_at + move;
        if (o.is_move() && o.accepted && !list_is_current && now - o.sent_at > move) {
            list_refresh_needed_ = true;
        }
        const bool arrived = o.is_move() && o.accepted && list_is_current && entry != nullptr &&
                             entry->state != machine_state::moving;
        const bool unknown =
            o.is_move() && !o.in_flight && !o.accepted && now - o.sent_at > order_retry_delay;
        if ((arrived || unknown) && entry != nullptr) {
            driver_.cordon(entry->server, false);
        }
        at = arrived || unknown ? orders_.erase(at) : std::next(at);
    }
    std::vector<scheduler::pool_need> needs = pool_needs();
    if (context_.settings.scheduling.forecast_demand) {
        apply_forecast(needs, now);
    }
    const auto moves = planner_.plan(needs, movable_machines(), available_moves(), now);
    for (const scheduler::pool_move& move : moves) {
        if (!order_budget_.try_acquire(now)) {
            context_.counters.count("machine_orders_put_off");
            break;
        }
        propose_move(move);
    }
}

std::size_t machine_driver::available_moves()
{
    const auto unanswered =
        static_cast<std::size_t>(std::ranges::count_if(orders_, [](const auto& entry) {
            return !entry.second.accepted && entry.second.is_move();
        }));
    const auto limit = static_cast<std::size_t>(
        std::ceil(context_.settings.machines.orders_per_s * max_unanswered_moves_s));
    return std::min(order_budget_.available(context_.now()), limit - std::min(limit, unanswered));
}

void machine_driver::propose_move(const scheduler::pool_move& move)
{
    const machine_entry& entry = machines_.at(move.machine);
    driver_.cordon(entry.server, true);
    orders_[move.machine] = {++last_order_number_, false, false, context_.now(), move.to};
    log::info("move_order", {{"machine", move.machine},
                             {"server", entry.server.str()},
                             {"from", move.from.str()},
                             {"to", move.to.str()},
                             {"why", move.reason},
                             {"fence", term_}});
    context_.log.propose_here(jobs::order_machine{move.machine, move.to, term_, wall_now()});
}

void machine_driver::send_move(const std::string& machine, const pool_id& to)
{
    const machine_entry* entry = find_entry(machine);
    const auto known = orders_.find(machine);
    if (entry == nullptr || known == orders_.end() || known->second.to != to) {
        log::info("move_dropped", {{"machine", machine}, {"to", to.str()}});
        return;
    }
    find_unlisted_servers();
    const bool evacuated = context_.state().out_of_service.contains(entry->data_centre);
    if (evacuated || !may_take_down(*entry)) {
        // A start was committed, or another server appeared, after the move had been decided.
        log::info("move_dropped", {{"machine", machine}, {"to", to.str()}});
        driver_.cordon(entry->server, false);
        orders_.erase(known);
        return;
    }
    known->second.in_flight = true;
    known->second.sent_at = context_.now();
    context_.counters.count("machine_orders");
    context_.client.send(
        context_.server_protocol.make_move_machine_request(
            context_.settings.machines.address, machine, to, {context_.settings.name, term_}),
        [this, machine, number = known->second.number, server = entry->server,
         term = term_](auto&& response) {
            if (term != term_ || !driver_.leading()) {
                return;
            }
            const machine_result r = context_.server_protocol.parse_machine_reply(response);
            log::info("move_answer", {{"machine", machine}, {"answer", name_of(r)}});
            list_refresh_needed_ = true;
            const auto open = orders_.find(machine);
            if (open == orders_.end() || open->second.number != number) {
                return;
            }
            open_order& o = open->second;
            o.in_flight = false;
            o.accepted = r == machine_result::accepted;
            o.sent_at = context_.now();
            if (o.accepted) {
                driver_.record_machine_shutdown(server);
            }
            if (!o.accepted && r != machine_result::unknown) {
                driver_.cordon(server, false);
                orders_.erase(open);
            }
        });
}

} // namespace fescue::fleet
