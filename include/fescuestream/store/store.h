#pragma once

/**
 * @file
 * Log and snapshots in one data folder. Each sync() writes one checksummed record, so a crash can
 * tear only the last record: a torn tail is truncated, and damage before it is an error.
 */

#include "fescuestream/base/error.h"
#include "fescuestream/base/ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescue::store {

enum class entry_kind : std::uint8_t { command, configuration };
constexpr entry_kind last_value(entry_kind /*type*/) noexcept
{
    return entry_kind::configuration;
}

struct log_entry {
    term_number term{0};
    log_index index{0};
    entry_kind kind{entry_kind::command};
    std::string bytes;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, index, kind, bytes);
    }
};

/** Current term and the vote granted in it. */
struct hard_state {
    term_number term{0};
    instance_id voted_for;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, voted_for);
    }
};

/** State after the entry at index; replaces the log up to that entry. */
struct snapshot {
    log_index index{0};
    term_number term{0};
    std::string configuration;
    std::string state;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(index, term, configuration, state);
    }
};

/** Content of a data folder. */
struct recovered {
    hard_state hard;
    std::optional<snapshot> snap;
    std::vector<log_entry> entries;
    /** Bytes of a torn record that were truncated from the end of the log. */
    std::size_t torn_bytes{0};
};

/** Parses the content of a log file. Has no side effects, so that it can be fuzzed. */
result<recovered> read_log(std::string_view bytes);
/** Encodes a payload as a record with checksums over header and payload. */
std::string make_record(std::string_view payload);

/** The data folder of one instance. */
class disk_store {
public:
    /** Opens or creates the folder. Fails if another process has locked it. */
    static result<disk_store> open(const std::string& folder);

    disk_store(disk_store&&) noexcept;
    disk_store& operator=(disk_store&&) noexcept;
    disk_store(const disk_store&) = delete;
    disk_store& operator=(const disk_store&) = delete;
    ~disk_store();

    /** Identity of this disk: generated once per folder, so it changes when the disk is wiped. */
    incarnation disk_incarnation() const noexcept;
    /** Moves out the content found on opening; call once. */
    recovered take_recovered();

    /** This and the next two calls are durable only after the next sync(). */
    void append(const log_entry& entry);
    void truncate_from(log_index index);
    void save_hard_state(const hard_state& hard);
    /** Writes all changes since the last call and waits until they are on disk. */
    status sync();
    /** @return whether there are changes to sync. */
    bool dirty() const noexcept;
    /** Replaces the log up to the snapshot; durable on return. */
    status save_snapshot(const snapshot& snap, const hard_state& hard,
                         const std::vector<log_entry>& after);

    struct impl;

private:
    explicit disk_store(std::unique_ptr<impl> i);
    std::unique_ptr<impl> impl_;
};

/** A store without a disk: it persists nothing, so its owner must not be a voter. */
class memory_store {
public:
    void append(const log_entry& /*entry*/) {}
    void truncate_from(log_index /*index*/) {}
    void save_hard_state(const hard_state& /*hard*/) {}
    status sync() { return std::nullopt; }
    bool dirty() const noexcept { return false; }
    status save_snapshot(const snapshot& /*snap*/, const hard_state& /*hard*/,
                         const std::vector<log_entry>& /*after*/)
    {
        return std::nullopt;
    }
};

} // namespace fescue::store
