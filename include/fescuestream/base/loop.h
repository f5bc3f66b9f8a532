#pragma once

/**
 * @file
 * The event loop, one per process and single-threaded: timers, descriptors, signals.
 */

#include "fescuestream/base/ids.h"

#include <functional>
#include <memory>
#include <optional>

struct ev_loop;

namespace fescue {

/** Owns a timer; destroying the handle cancels it. */
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

/** Owns a descriptor watch; destroying the handle ends it. */
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

/** Events that a descriptor is watched for or is ready for. */
struct io_interest {
    bool readable{false};
    bool writable{false};
};

/** Time at which the clock of an event loop for simulations starts. */
struct manual_clock {
    mono_time start{};
};

/** Thin wrapper around a libev loop. */
class event_loop {
public:
    event_loop();
    /** Makes a loop for simulations: its clock and its timers only advance in advance(). */
    explicit event_loop(manual_clock clock);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Runs until stop(). */
    void run();
    void stop();
    /**
     * Advances a manual clock. Runs the timers that become due in the order of their times, each in
     * an iteration of its own.
     */
    void advance(milliseconds duration);

    /** Invokes the callback once after a delay. */
    [[nodiscard]] timer_handle after(milliseconds delay, std::function<void()> callback);
    /** Invokes the callback periodically; the first time after one period. */
    [[nodiscard]] timer_handle every(milliseconds period, std::function<void()> callback);
    /** Invokes the callback whenever the descriptor is ready. */
    [[nodiscard]] io_handle watch(int fd, io_interest interest,
                                  std::function<void(io_interest)> callback);
    /** Invokes the callback at the end of every loop iteration, before the loop blocks. */
    void on_iteration_end(std::function<void()> callback);
    /**
     * Invokes the callback after an iteration that reached the threshold, with its duration from
     * the end of the wait for events to the next wait. Replaces an earlier callback.
     */
    void on_slow_iteration(milliseconds threshold, std::function<void(milliseconds)> callback);
    /** @return total time spent in iterations, without the waits for events. Stays 0 with a manual
     * clock. */
    mono_clock::duration busy_time() const noexcept;
    /**
     * @return the earliest time at which the events that this iteration handles may have occurred:
     * when the previous iteration looked for events. It is long ago after an iteration that took
     * long, and after the process was stopped.
     */
    mono_time events_since() const noexcept;
    /** Invokes the callback once, at the end of the current loop iteration. */
    void defer(std::function<void()> callback);
    /** Invokes the callback when the process receives the signal. */
    void on_signal(int number, std::function<void()> callback);

    /** Reads the monotonic clock uncached, so that time spent in a stopped process is seen. */
    mono_time now() const noexcept { return manual_now_ ? *manual_now_ : mono_clock::now(); }

    struct impl;

private:
    timer_handle add_timer(milliseconds first, milliseconds repeat, std::function<void()> callback);

    std::unique_ptr<impl> impl_;
    std::optional<mono_time> manual_now_;
};

} // namespace fescue
