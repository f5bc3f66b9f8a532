#pragma once

/**
 * @file
 * Calls on their way between simulated servers and the schedulers. They arrive even if their sender
 * or the incarnation that they were meant for has ended.
 */

#include "farm_options.h"

#include "fescuestream/base/loop.h"

#include <functional>
#include <map>
#include <utility>

namespace fescue::fakes {

class delayed_calls {
public:
    explicit delayed_calls(event_loop& loop)
        : timer_{loop.every(milliseconds{5}, [this] { run_due_calls(); })}
    {
    }

    void add(std::int64_t delay_ms, std::function<void()> call)
    {
        calls_.emplace(now_ms() + delay_ms, std::move(call));
    }

private:
    void run_due_calls()
    {
        while (!calls_.empty() && calls_.begin()->first <= now_ms()) {
            auto call = calls_.extract(calls_.begin());
            call.mapped()();
        }
    }

    std::multimap<std::int64_t, std::function<void()>> calls_;
    timer_handle timer_;
};

} // namespace fescue::fakes
