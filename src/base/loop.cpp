#include "fescuestream/base/loop.h"

#include <ev.h>

#include <vector>

namespace fescue {

namespace {

double seconds_of(milliseconds duration) noexcept
{
    return static_cast<double>(duration.count()) / 1000.0;
}

} // namespace

struct timer_handle::state {
    struct ev_loop* loop{nullptr};
    ev_timer timer{};
    std::function<void()> call;

    state() = default;
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() { ev_timer_stop(loop, &timer); }

    static void fired(struct ev_loop* /*loop*/, ev_timer* watcher, int /*events*/)
    {
        // The call may end its own subscription, so it is run from a copy.
        const auto call = static_cast<state*>(watcher->data)->call;
        call();
    }
};

timer_handle::timer_handle() noexcept = default;
timer_handle::timer_handle(std::unique_ptr<state> s) noexcept : state_{std::move(s)} {}
timer_handle::timer_handle(timer_handle&&) noexcept = default;
timer_handle& timer_handle::operator=(timer_handle&&) noexcept = default;
timer_handle::~timer_handle() = default;

struct io_handle::state {
    struct ev_loop* loop{nullptr};
    ev_io io{};
    std::function<void(io_interest)> call;

    state() = default;
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() { ev_io_stop(loop, &io); }

    static void fired(struct ev_loop* /*loop*/, ev_io* watcher, int events)
    {
        const auto call = static_cast<state*>(watcher->data)->call;
        call({(events & EV_READ) != 0, (events & EV_WRITE) != 0});
    }
};

io_handle::io_handle() noexcept = default;
io_handle::io_handle(std::unique_ptr<state> s) noexcept : state_{std::move(s)} {}
io_handle::io_handle(io_handle&&) noexcept = default;
io_handle& io_handle::operator=(io_handle&&) noexcept = default;
io_handle::~io_handle() = default;

struct signal_watch {
    ev_signal watcher{};
    std::function<void()> call;
};

struct event_loop::impl {
    struct ev_loop* loop{nullptr};
    ev_prepare prepare{};
    ev_idle idle{};
    std::vector<std::function<void()>> round_end;
    std::vector<std::function<void()>> once;
    std::vector<std::unique_ptr<signal_watch>> signals;

    static void prepared(struct ev_loop* loop, ev_prepare* watcher, int /*events*/)
    {
        auto& self = *static_cast<impl*>(watcher->data);
        auto now_calls = std::move(self.once);
        self.once.clear();
        for (auto& call : now_calls) {
            call();
        }
        for (auto& call : self.round_end) {
            call();
        }
        if (self.once.empty()) {
            ev_idle_stop(loop, &self.idle);
        } else {
            ev_idle_start(loop, &self.idle);
        }
    }
    static void idled(struct ev_loop* /*loop*/, ev_idle* /*watcher*/, int /*events*/) {}
};

event_loop::event_loop() : impl_{std::make_unique<impl>()}
{
    impl_->loop = ev_loop_new(EVFLAG_AUTO);
    ev_prepare_init(&impl_->prepare, &impl::prepared);
    ev_idle_init(&impl_->idle, &impl::idled);
    impl_->prepare.data = impl_.get();
    ev_prepare_start(impl_->loop, &impl_->prepare);
}

event_loop::~event_loop()
{
    for (auto& s : impl_->signals) {
        ev_signal_stop(impl_->loop, &s->watcher);
    }
    ev_prepare_stop(impl_->loop, &impl_->prepare);
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

namespace {

std::unique_ptr<timer_handle::state> make_timer(struct ev_loop* loop, milliseconds first,
                                                milliseconds repeat, std::function<void()> call)
{
    auto s = std::make_unique<timer_handle::state>();
    s->loop = loop;
    s->call = std::move(call);
    ev_timer_init(&s->timer, &timer_handle::state::fired, seconds_of(first), seconds_of(repeat));
    s->timer.data = s.get();
    ev_now_update(loop);
    ev_timer_start(loop, &s->timer);
    return s;
}

} // namespace

timer_handle event_loop::after(milliseconds delay, std::function<void()> call)
{
    return timer_handle{make_timer(impl_->loop, delay, milliseconds{0}, std::move(call))};
}

timer_handle event_loop::every(milliseconds period, std::function<void()> call)
{
    return timer_handle{make_timer(impl_->loop, period, period, std::move(call))};
}

io_handle event_loop::watch(int fd, io_interest interest, std::function<void(io_interest)> call)
{
    auto s = std::make_unique<io_handle::state>();
    s->loop = impl_->loop;
    s->call = std::move(call);
    const int events = (interest.readable ? EV_READ : 0) | (interest.writable ? EV_WRITE : 0);
    ev_io_init(&s->io, &io_handle::state::fired, fd, events);
    s->io.data = s.get();
    ev_io_start(impl_->loop, &s->io);
    return io_handle{std::move(s)};
}

void event_loop::at_round_end(std::function<void()> call)
{
    impl_->round_end.push_back(std::move(call));
}

void event_loop::soon(std::function<void()> call)
{
    impl_->once.push_back(std::move(call));
    ev_idle_start(impl_->loop, &impl_->idle);
}

void event_loop::on_signal(int number, std::function<void()> call)
{
    auto s = std::make_unique<signal_watch>();
    s->call = std::move(call);
    ev_signal_init(
        &s->watcher,
        [](struct ev_loop* /*loop*/, ev_signal* watcher, int /*events*/) {
            static_cast<signal_watch*>(watcher->data)->call();
        },
        number);
    s->watcher.data = s.get();
    ev_signal_start(impl_->loop, &s->watcher);
    impl_->signals.push_back(std::move(s));
}

} // namespace fescue
