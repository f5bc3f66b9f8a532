#pragma once

/**
 * @file
 * Callers' calls at the leader: hand in a job, ask for its state, cancel it, count a queue.
 */

#include "core_context.h"

#include "fescuestream/wire/message.h"

#include <functional>

namespace fescue::fleet {

/** How a call is answered. */
using reply_function = std::function<void(wire::forwarded_reply&&)>;

class caller_api {
public:
    explicit caller_api(core_context& shared) : shared_{shared} {}

    /** Answers a call now or later. This instance leads. */
    void call(const wire::forwarded_call& in, const reply_function& reply);

private:
    void submit(const wire::forwarded_call& in, const jobs::queue& queue, const team_id& account,
                const std::string& rest, const reply_function& reply);
    void show(const team_id& account, const jobs::queue& queue, const std::string& rest,
              const reply_function& reply) const;
    void cancel(const team_id& account, const jobs::queue& queue, const std::string& rest,
                const reply_function& reply);
    std::size_t waiting_in(const jobs::queue_id& queue) const;
    const jobs::job* job_for(const team_id& account, const jobs::queue& queue,
                             const jobs::job_id& id) const;

    core_context& shared_;
};

} // namespace fescue::fleet
