#pragma once

/**
 * @file
 * The event loop (one a process, one thread) and the timer service that parts subscribe to.
 */

#include "fescuestream/base/ids.h"

#include <functional>
#include <memory>

struct ev_loop;

namespace fescue {

/** A subscription to time; it ends with the handle. */
class timer_handle {
public:
    struct state;
    timer_handle() noexcept;
    explicit timer_handle(std::unique_ptr<state> s) noexcept;
    timer_handle(timer_handle&&) noexcept;
    timer_handle& operator=(timer_handle&&) noexcept;
    timer_handle(const timer_handle&) = delete;
    timer_handle& operator=(const timer_handle&) = delete;
    ~timer_handle();

private:
    std::unique_ptr<state> state_;
};

/** A watched file descriptor; the watch ends with the handle. */
class io_handle {
public:
    struct state;
    io_handle() noexcept;
    explicit io_handle(std::unique_ptr<state> s) noexcept;
    io_handle(io_handle&&) noexcept;
    io_handle& operator=(io_handle&&) noexcept;
    io_handle(const io_handle&) = delete;
    io_handle& operator=(const io_handle&) = delete;
    ~io_handle();

private:
    std::unique_ptr<state> state_;
};

/** What a descriptor is watched for, or has become ready for. */
struct io_interest {
    bool readable{false};
    bool writable{false};
};

/** libev's loop behind a narrow face. */
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Runs until stop(). */
    void run();
    void stop();

    /** Calls once after a delay. */
    [[nodiscard]] timer_handle after(milliseconds delay, std::function<void()> call);
    /** Calls again and again. */
    [[nodiscard]] timer_handle every(milliseconds period, std::function<void()> call);
    /** Calls whenever the descriptor is ready. */
    [[nodiscard]] io_handle watch(int fd, io_interest interest,
                                  std::function<void(io_interest)> call);
    /** Calls at the end of each round of the loop, before it sleeps. */
    void at_round_end(std::function<void()> call);
    /** Calls once, at the end of this round. */
    void soon(std::function<void()> call);
    /** Calls when the process is sent the signal. */
    void on_signal(int number, std::function<void()> call);

    /** @return the monotonic clock, read now and not cached: a stopped process notices. */
    mono_time now() const noexcept { return mono_clock::now(); }

    struct impl;

private:
    std::unique_ptr<impl> impl_;
};

} // namespace fescue
