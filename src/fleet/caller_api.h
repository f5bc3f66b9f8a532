#pragma once

/**
 * @file
 * Handles callers' requests at the leader: submit a job, query its state, cancel it, count the
 * pending jobs of a queue.
 */

#include "core_context.h"

#include "fescuestream/wire/message.h"

#include <functional>
#include <optional>

namespace fescue::fleet {

/** Sends the reply to a call. */
using reply_function = std::function<void(wire::forwarded_reply&&)>;

class caller_api {
public:
    explicit caller_api(core_context& context) : context_{context} {}

    /** Replies to a call, possibly after it returns. Precondition: this instance leads. */
    void handle_call(const wire::forwarded_call& in, const reply_function& reply);
    void on_leadership_gained() { rotated_at_ = context_.now(); }
    /** Drops the refused ids that are older than a submission may be on its way. */
    void drop_old_refusals();

private:
    void submit(const wire::forwarded_call& in, const jobs::queue& queue, const team_id& account,
                const std::string& job_id_text, const reply_function& reply);
    /** @return the reply to the submission of a job whose id is in use: that it was accepted,
     * unless the job is not the caller's. */
    wire::forwarded_reply acknowledge(const team_id& account, const jobs::queue& queue,
                                      const jobs::job_id& id) const;
    void get_state(const team_id& account, const jobs::queue& queue, const std::string& job_id_text,
                   const reply_function& reply) const;
    void cancel(const team_id& account, const jobs::queue& queue, const std::string& job_id_text,
                const reply_function& reply);
    /** Answers a cancel of a job that does not exist, once a submission that is on its way can't be
     * accepted any more. */
    void refuse_later_submission(const team_id& account, const jobs::job_id& id,
                                 const reply_function& reply);
    std::size_t count_pending(const jobs::queue_id& queue) const;
    /** @return the job, or nullptr if it does not exist or is not the caller's. */
    const jobs::job* find_job(const team_id& account, const jobs::queue& queue,
                              const jobs::job_id& id) const;
    /** @return whether the queue accepted the job, or may have under an id that the document no
     * longer has. */
    bool is_job_of_queue(const jobs::job& job, const jobs::queue& queue) const;

    /** @return the refusal of a job for which there is no memory, if so. */
    std::optional<wire::forwarded_reply> refuse_for_memory(const jobs::job_id& id,
                                                           const jobs::job_spec& spec,
                                                           std::size_t document_bytes);

    core_context& context_;
    /** Refused ids that could not be recorded in the log, since a scheduler of an earlier version
     * would not understand them. */
    jobs::refused_jobs unrecorded_refusals_;
    mono_time rotated_at_{};
};

} // namespace fescue::fleet
