#pragma once

/**
 * @file
 * A simulation of the schedulers' run drivers, their backend servers and the network between them,
 * in virtual time and with seeded faults. It checks that no task runs twice at the same time, and
 * that starts obey the documents in force, by what the servers execute.
 */

#include "fakes/fake_server_fleet.h"
#include "fleet/run_driver.h"

#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace fescue::fakes {

/** The kinds of faults that a simulation injects. */
struct model_faults {
    /** Servers crash and start again under the same id. */
    bool restarts{false};
    /** Servers crash, start again under the same id, and are lost for good some seconds later. A
     * long-running task must run again within the time that the platform allows. */
    bool relapses{false};
    /** The same, and they may be lost at once. */
    bool early_relapses{false};
    /** Servers crash and others start at their addresses. */
    bool replacements{false};
    /** Servers crash for good, and others start at new addresses. */
    bool losses{false};
    /** Orders get no answer and are executed 2 to 12 s later. */
    bool late_orders{false};
    /** Orders and answers are lost. */
    bool lost_messages{false};
    /** Orders and answers take up to 0.9 s, so that they overtake each other. */
    bool slow_messages{false};
    /** Reports of servers arrive up to 6 s late. */
    bool late_reports{false};
    /** Servers drain, announce their end and start again. */
    bool departures{false};
    /** The notice of a server's end arrives up to 8 s late. */
    bool late_notices{false};
    /** Servers that leave stay at work for up to 3 s after their notice. */
    bool late_ends{false};
    bool leader_changes{false};
    /** Leaders are stopped for seconds, and replaced; orders of theirs leave when they go on. */
    bool stopped_leaders{false};
    bool one_way_cuts{false};
    bool cuts{false};
    /** Documents change the cap of an account under way. */
    bool caps{false};
    /** Documents send the queue to another pool, which has no servers, and back. */
    bool routes{false};
};

struct model_violation {
    mono_time at{};
    std::string kind;
    jobs::task_id task;
};

class scheduling_model {
public:
    scheduling_model(std::uint64_t seed, const model_faults& faults);
    scheduling_model(const scheduling_model&) = delete;
    scheduling_model& operator=(const scheduling_model&) = delete;
    ~scheduling_model();

    /** Runs the simulation until the end or the first violation. */
    std::optional<model_violation> run();
    /** @return the events that concern the violation, one a line. */
    std::string trace(const model_violation& violation) const;
    std::size_t starts() const noexcept { return starts_; }
    std::size_t orders() const noexcept { return orders_; }

private:
    struct scheduler;
    struct machine;
    struct trace_event {
        mono_time at{};
        std::optional<jobs::task_id> task;
        server_id server;
        std::string text;
    };

    bool chance(double probability);
    bool happens_within(milliseconds mean_interval);
    milliseconds between(milliseconds shortest, milliseconds longest);
    std::size_t pick(std::size_t count);

    bool faulty() const { return loop_.now() < faults_end_; }
    void record(std::string text, const server_id& server = {},
                std::optional<jobs::task_id> task = std::nullopt);
    void report_violation(std::string kind, const jobs::task_id& task);
    void call_after(milliseconds delay, std::function<void()> callback);

    void on_applied(const jobs::command& cmd);
    void tick();
    void tick_schedulers();
    scheduler* leader();
    void change_leader();
    void stop_leader();
    void let_lead();
    void deliver(scheduler& to, std::function<void()> callback);
    void start_waiting_tasks(scheduler& from);

    void inject_server_faults();
    void boot(machine& at, bool same_id);
    void crash(machine& at);
    void relapse(machine& at);
    /** Reports a long-running task that has had no run for too long. */
    void check_idle_times();
    void begin_departure(machine& at);
    void depart(machine& at);
    void end_departed(machine& at);
    void schedule_restart(machine& at);
    void send_report(machine& from);
    void receive_report(const jobs::server_report& report);
    void settle_servers();
    void on_run_started(const fake_server& server, const jobs::run_id& run);

    struct call {
        scheduler* from;
        std::uint64_t number;
        fleet::addressed_order to;
        mono_time sent_at{};
    };
    void send(const call& order);
    void execute(const call& order, bool late);
    void answer(const call& order, machine* from, const fleet::server_answer& reply);
    void answer_polls();
    bool is_cut(const machine& to, bool outbound) const;
    machine* find_machine(const std::string& address);
    void record_order(const call& order, const std::string& fate);

    /** @return false if there is no leader. */
    bool change_document(const std::function<void(jobs::document&)>& change);
    void change_cap();
    void change_route();
    /** Ends the changes of documents: no cap, and the pool with servers. @return false if there is
     * no leader. */
    bool restore_document();
    /** Reports a start that no document which may be in force allows. */
    void check_documents(const jobs::run_id& run);
    /** @return whether the account has room for another task, as fleet::dispatcher decides it. */
    bool has_room_in_cap(std::int64_t added_cpu) const;
    /** Jobs with even numbers belong to the account with a cap. */
    static bool is_capped(const jobs::job_id& job) { return job.number % 2 == 0; }

    void submit(bool long_running);
    bool is_long_running(const jobs::task_id& task) const
    {
        return task.job.number <= long_running_jobs;
    }
    /** @return a task that neither runs nor is done. */
    std::optional<jobs::task_id> find_idle_task() const;

    static constexpr std::uint64_t long_running_jobs = 8;
    static constexpr std::size_t machine_count = 6;
    static constexpr std::size_t scheduler_count = 3;

    std::mt19937_64 random_;
    model_faults faults_;
    double late_order_rate_;
    event_loop loop_;
    std::uint64_t next_call_{0};
    std::map<std::uint64_t, timer_handle> pending_calls_;
    server_limits limits_;
    fake_server_events server_events_;
    fleet::job_log log_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::vector<std::unique_ptr<scheduler>> schedulers_;
    mono_time faults_end_{};
    bool leader_change_pending_{false};
    std::uint64_t next_job_{0};
    std::uint64_t next_server_{0};
    mono_time next_submission_{};
    std::set<jobs::task_id> done_tasks_;
    /** When each task last ran or was last ordered to start. */
    std::map<jobs::task_id, mono_time> last_active_;
    /** Runs that ended as done, and whether their task was started again since. */
    std::map<jobs::run_id, bool> done_runs_;
    /** Documents in the order in which they were applied, and when. */
    std::vector<std::pair<mono_time, jobs::document>> documents_;
    /** When the start that a server is executing was sent. */
    mono_time executed_start_sent_at_{};
    std::vector<trace_event> trace_;
    std::optional<model_violation> violation_;
    std::size_t starts_{0};
    std::size_t orders_{0};
};

} // namespace fescue::fakes
