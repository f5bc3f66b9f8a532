#pragma once

/**
 * @file
 * Ids whose cancelling was answered with "no such job". A submission of such an id by the same
 * account that arrives later is refused.
 *
 * Load pattern: one account cancels unknown ids as fast as it can. Nothing that was recorded is
 * dropped before its time; instead the account's further ids are not recorded, so that their
 * cancelling can't be confirmed. An account may take at most as much room as it leaves free, so
 * that there is always room for other accounts.
 */

#include "fescuestream/base/ids.h"
#include "fescuestream/jobs/model.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace fescue::jobs {

/** Part of the replicated state. Without a clock: ids are dropped at the second rotation. */
class refused_jobs {
public:
    /** Limits the memory to about 3 MB. */
    static constexpr std::size_t max_ids = 40'000;

    /** @return whether another id of the account can be recorded. */
    bool has_room(const team_id& account) const;
    /** Precondition: has_room(). */
    void add(const team_id& account, const job_id& id);
    bool contains(const team_id& account, const job_id& id) const;
    /** Drops the ids that were added before the previous rotation. @param number one more than
     * rotations(); others are ignored. */
    void rotate(std::uint64_t number);
    /** @return the number of rotations since it was last empty. */
    std::uint64_t rotations() const noexcept { return rotations_; }
    std::size_t size() const noexcept { return size_; }
    bool empty() const noexcept { return size_ == 0; }

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(rotations_, recent_, older_);
    }
    template <class Archive>
    void load(Archive& archive)
    {
        archive(rotations_, recent_, older_);
        size_ = count(recent_) + count(older_);
    }

private:
    using ids_by_account = std::map<team_id, std::set<job_id>>;

    static std::size_t count(const ids_by_account& ids);
    static std::size_t count(const ids_by_account& ids, const team_id& account);

    ids_by_account recent_;
    ids_by_account older_;
    std::uint64_t rotations_{0};
    std::size_t size_{0};
};

} // namespace fescue::jobs
