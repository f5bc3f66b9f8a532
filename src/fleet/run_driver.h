#pragma once

/**
 * @file
 * Carries the job log out on the backend servers: starts what the log says was begun, renews
 * leases, takes ends into the log, and stops what may no longer run.
 */

#include "core_context.h"
#include "server_view.h"

#include "fescuestream/wire/message.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fescue::fleet {

class run_driver {
public:
    /** @param room_changed called when servers may have room for more. */
    run_driver(core_context& shared, std::function<void()> room_changed);

    /** This instance leads from now on. */
    void lead();
    /** It leads no more. */
    void follow();
    bool leading() const noexcept { return leading_; }

    /** A server reported. @param age time since then, when another instance passes it on.
     * @return whether its report said something new besides its clock. */
    bool heard(const jobs::server_report& report, milliseconds age = milliseconds{0});
    /** A server said that it ends now. */
    void left(const server_id& id);
    /** A server ended by an order for its machine; the other instances are to know. */
    void ended_with_machine(const server_id& id);
    /** Another instance knows that this life of a server has ended. */
    void told_gone(const wire::server_reports::ended& server);
    /** @return servers that ended since the last call. */
    std::vector<wire::server_reports::ended> take_gone() { return std::exchange(gone_, {}); }
    void applied(const jobs::command& cmd);
    void tick();

    /** Stops a task's present run. @param why goes into the log. */
    void stop(const jobs::task_id& task, const std::string& why);
    /** Sets a task's share of its full speed. */
    void pace(const jobs::task_id& task, int percent);
    void withhold(const server_id& id, bool on);
    /** The server's machine will be maintained soon: lasting tasks start elsewhere if they can. */
    void expect_maintenance(const server_id& id);

    const std::map<server_id, server_view>& servers() const noexcept { return servers_; }
    /** @return whether the task was seen at its full work of late and is to stay there. */
    bool at_work(const jobs::task_id& task) const;
    /** @return the leader's view of a task's run, or nullptr. */
    const run_view* view_of(const jobs::task_id& task) const;
    /** @return starts and stops that have not been answered. */
    std::size_t orders_under_way() const noexcept { return under_way_; }

private:
    run_view& enter(server_view& view, const jobs::task_id& task, run_view run);
    bool leave(const jobs::run_id& name);
    std::pair<server_view*, run_view*> locate(const jobs::task_id& task);
    void adopt_runs();
    void begun(const jobs::begin_run& cmd);
    void ended(const jobs::end_runs& cmd);
    void stop_all(const jobs::job_id& job, const std::string& why);
    void stop_gang(const jobs::task_id& task);
    void change_life(server_view& view);
    /** @return when leases by earlier leaders are certainly over. */
    mono_time inherited_leases_over(mono_time now) const;

    void send_order(const server_view& view, const server_order& order, relay::callback done);
    void send_start(server_view& view, const jobs::task_id& task, run_view& run);
    void start_answered(const server_id& id, const jobs::run_id& run, const order_reply& reply,
                        mono_time sent);
    void send_stop(server_view& view, const jobs::task_id& task, run_view& run);
    void stop_answered(const server_id& id, const jobs::run_id& run, const order_reply& reply);
    void look(server_view& view);
    void looked(const server_id& id, const result<look_reply>& reply, mono_time sent);
    void take_lists(server_view& view, const look_reply& reply, mono_time sent);
    void take_ends(server_view& view, const look_reply& reply);
    void take_active(server_view& view, const look_reply& reply);
    void take_absent(server_view& view, const look_reply& reply, mono_time sent);
    void give_up_lost(server_view& view);
    milliseconds look_pause() const;
    bool look_due(const server_view& view, mono_time now) const;
    void propose_end(const jobs::run_id& run, jobs::run_end how, std::string checkpoint,
                     const char* why);
    void send_ends(jobs::end_runs&& batch);
    std::int64_t extend_lease(server_view& view, mono_time now);
    run_view* find_run(const server_id& id, const jobs::run_id& run);

    core_context& shared_;
    std::function<void()> room_changed_;
    std::map<server_id, server_view> servers_;
    /** The server of each run. */
    std::unordered_map<jobs::task_id, server_id> where_;
    jobs::end_runs pending_ends_;
    std::vector<wire::server_reports::ended> gone_;
    bool leading_{false};
    term_number term_{0};
    std::size_t under_way_{0};
    /** Servers that ran something at the last tick. */
    std::size_t busy_servers_{0};
};

} // namespace fescue::fleet
