#include "fescuestream/base/loop.h"

#include <ev.h>

#include <map>
#include <utility>
#include <vector>

namespace fescue {

namespace {

double to_seconds(milliseconds duration) noexcept
{
    return static_cast<double>(duration.count()) / 1000.0;
}

/** When a timer of a manual clock is due; timers of the same time run in the order of creation. */
using manual_due_time = std::pair<mono_time, std::uint64_t>;
using manual_timers = std::map<manual_due_time, timer_handle::state*>;

} // namespace

struct timer_handle::state {
    struct ev_loop* loop{nullptr};
    ev_timer timer{};
    std::function<void()> callback;
    /** Null, unless the loop has a manual clock. */
    manual_timers* scheduled{nullptr};
    manual_due_time due;
    milliseconds repeat{0};

    state() = default;
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state()
    {
        if (scheduled != nullptr) {
            scheduled->erase(due);
        } else {
            ev_timer_stop(loop, &timer);
        }
    }

    static void on_event(struct ev_loop* /*loop*/, ev_timer* watcher, int /*events*/)
    {
        // The callback may destroy its own handle, so a copy is invoked.
        const auto callback = static_cast<state*>(watcher->data)->callback;
        callback();
    }
};

timer_handle::timer_handle() noexcept = default;
timer_handle::timer_handle(std::unique_ptr<state> subscription) noexcept
    : state_{std::move(subscription)}
{
}
timer_handle::timer_handle(timer_handle&&) noexcept = default;
timer_handle& timer_handle::operator=(timer_handle&&) noexcept = default;
timer_handle::~timer_handle() = default;

struct io_handle::state {
    struct ev_loop* loop{nullptr};
    ev_io io{};
    std::function<void(io_interest)> callback;

    state() = default;
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() { ev_io_stop(loop, &io); }

    static void on_event(struct ev_loop* /*loop*/, ev_io* watcher, int events)
    {
        const auto callback = static_cast<state*>(watcher->data)->callback;
        callback({(events & EV_READ) != 0, (events & EV_WRITE) != 0});
    }
};

io_handle::io_handle() noexcept = default;
io_handle::io_handle(std::unique_ptr<state> subscription) noexcept : state_{std::move(subscription)}
{
}
io_handle::io_handle(io_handle&&) noexcept = default;
io_handle& io_handle::operator=(io_handle&&) noexcept = default;
io_handle::~io_handle() = default;

struct signal_watcher {
    ev_signal watcher{};
    std::function<void()> callback;
};

struct event_loop::impl {
    struct ev_loop* loop{nullptr};
    ev_prepare prepare{};
    ev_check check{};
    ev_idle idle{};
    std::vector<std::function<void()>> iteration_end_calls;
    std::vector<std::function<void()>> deferred_calls;
    std::vector<std::unique_ptr<signal_watcher>> signal_watchers;
    mono_time iteration_began_at{mono_clock::now()};
    mono_time previous_iteration_began_at{iteration_began_at};
    milliseconds slow_iteration_threshold{0};
    std::function<void(milliseconds)> slow_iteration_call;
    mono_clock::duration busy_time{};
    manual_timers scheduled;
    std::uint64_t next_manual_timer{0};

    static void on_check(struct ev_loop* /*loop*/, ev_check* watcher, int /*events*/)
    {
        auto& self = *static_cast<impl*>(watcher->data);
        self.previous_iteration_began_at = self.iteration_began_at;
        self.iteration_began_at = mono_clock::now();
    }
    void record_duration()
    {
        const auto took = mono_clock::now() - iteration_began_at;
        busy_time += took;
        if (slow_iteration_call && took >= slow_iteration_threshold) {
            slow_iteration_call(std::chrono::duration_cast<milliseconds>(took));
        }
    }
    void end_iteration()
    {
        auto due_calls = std::move(deferred_calls);
        deferred_calls.clear();
        for (auto& due_call : due_calls) {
            due_call();
        }
        for (auto& end_call : iteration_end_calls) {
            end_call();
        }
    }
    static void on_prepare(struct ev_loop* loop, ev_prepare* watcher, int /*events*/)
    {
        auto& self = *static_cast<impl*>(watcher->data);
        self.end_iteration();
        self.record_duration();
        if (self.deferred_calls.empty()) {
            ev_idle_stop(loop, &self.idle);
        } else {
            ev_idle_start(loop, &self.idle);
        }
    }
    static void on_idle(struct ev_loop* /*loop*/, ev_idle* /*watcher*/, int /*events*/) {}
};

event_loop::event_loop() : impl_{std::make_unique<impl>()}
{
    impl_->loop = ev_loop_new(EVFLAG_AUTO);
    ev_prepare_init(&impl_->prepare, &impl::on_prepare);
    ev_idle_init(&impl_->idle, &impl::on_idle);
    ev_check_init(&impl_->check, &impl::on_check);
    impl_->prepare.data = impl_.get();
    impl_->check.data = impl_.get();
    // The first watcher to run after the wait, so that the duration covers all others.
    ev_set_priority(&impl_->check, EV_MAXPRI);
    ev_prepare_start(impl_->loop, &impl_->prepare);
    ev_check_start(impl_->loop, &impl_->check);
}

event_loop::event_loop(manual_clock clock) : event_loop{}
{
    manual_now_ = clock.start;
}

event_loop::~event_loop()
{
    for (auto& subscription : impl_->signal_watchers) {
        ev_signal_stop(impl_->loop, &subscription->watcher);
    }
    ev_prepare_stop(impl_->loop, &impl_->prepare);
    ev_check_stop(impl_->loop, &impl_->check);
    ev_idle_stop(impl_->loop, &impl_->idle);
    ev_loop_destroy(impl_->loop);
}

void event_loop::run()
{
    ev_run(impl_->loop, 0);
}

void event_loop::stop()
{
    ev_break(impl_->loop, EVBREAK_ALL);
}

void event_loop::advance(milliseconds duration)
{
    const mono_time end = *manual_now_ + duration;
    auto& scheduled = impl_->scheduled;
    impl_->end_iteration();
    while (!scheduled.empty() && scheduled.begin()->first.first <= end) {
        timer_handle::state& next = *scheduled.begin()->second;
        manual_now_ = next.due.first;
        scheduled.erase(scheduled.begin());
        if (next.repeat > milliseconds{0}) {
            next.due = {next.due.first + next.repeat, impl_->next_manual_timer++};
            scheduled.emplace(next.due, &next);
        }
        // The callback may destroy its own handle, so a copy is invoked.
        const auto callback = next.callback;
        callback();
        impl_->end_iteration();
    }
    manual_now_ = end;
}

timer_handle event_loop::add_timer(milliseconds first, milliseconds repeat,
                                   std::function<void()> callback)
{
    auto subscription = std::make_unique<timer_handle::state>();
    subscription->loop = impl_->loop;
    subscription->callback = std::move(callback);
    if (manual_now_) {
        subscription->scheduled = &impl_->scheduled;
        subscription->due = {*manual_now_ + first, impl_->next_manual_timer++};
        subscription->repeat = repeat;
        impl_->scheduled.emplace(subscription->due, subscription.get());
        return timer_handle{std::move(subscription)};
    }
    ev_timer_init(&subscription->timer, &timer_handle::state::on_event, to_seconds(first),
                  to_seconds(repeat));
    subscription->timer.data = subscription.get();
    ev_now_update(impl_->loop);
    ev_timer_start(impl_->loop, &subscription->timer);
    return timer_handle{std::move(subscription)};
}

timer_handle event_loop::after(milliseconds delay, std::function<void()> callback)
{
    return add_timer(delay, milliseconds{0}, std::move(callback));
}

timer_handle event_loop::every(milliseconds period, std::function<void()> callback)
{
    return add_timer(period, period, std::move(callback));
}

io_handle event_loop::watch(int fd, io_interest interest, std::function<void(io_interest)> callback)
{
    auto subscription = std::make_unique<io_handle::state>();
    subscription->loop = impl_->loop;
    subscription->callback = std::move(callback);
    const int events = (interest.readable ? EV_READ : 0) | (interest.writable ? EV_WRITE : 0);
    ev_io_init(&subscription->io, &io_handle::state::on_event, fd, events);
    subscription->io.data = subscription.get();
    ev_io_start(impl_->loop, &subscription->io);
    return io_handle{std::move(subscription)};
}

void event_loop::on_iteration_end(std::function<void()> callback)
{
    impl_->iteration_end_calls.push_back(std::move(callback));
}

void event_loop::on_slow_iteration(milliseconds threshold,
                                   std::function<void(milliseconds)> callback)
{
    impl_->slow_iteration_threshold = threshold;
    impl_->slow_iteration_call = std::move(callback);
}

mono_clock::duration event_loop::busy_time() const noexcept
{
    return impl_->busy_time;
}

mono_time event_loop::events_since() const noexcept
{
    return manual_now_ ? *manual_now_ : impl_->previous_iteration_began_at;
}

void event_loop::defer(std::function<void()> callback)
{
    impl_->deferred_calls.push_back(std::move(callback));
    ev_idle_start(impl_->loop, &impl_->idle);
}

void event_loop::on_signal(int number, std::function<void()> callback)
{
    auto subscription = std::make_unique<signal_watcher>();
    subscription->callback = std::move(callback);
    ev_signal_init(
        &subscription->watcher,
        [](struct ev_loop* /*loop*/, ev_signal* watcher, int /*events*/) {
            static_cast<signal_watcher*>(watcher->data)->callback();
        },
        number);
    subscription->watcher.data = subscription.get();
    ev_signal_start(impl_->loop, &subscription->watcher);
    impl_->signal_watchers.push_back(std::move(subscription));
}

} // namespace fescue
