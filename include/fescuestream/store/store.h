#pragma once

/**
 * @file
 * Log and snapshots under one data folder. Each sync() writes one checksummed record, so a crash
 * can tear the last record only: a torn tail is cut, and damage before it is refused.
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

/** The term and the vote given in it. */
struct hard_state {
    term_number term{0};
    instance_id voted_for;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(term, voted_for);
    }
};

/** The state after an entry, in place of the log up to it. */
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

/** What a folder holds. */
struct recovered {
    hard_state hard;
    std::optional<snapshot> snap;
    std::vector<log_entry> entries;
    /** Bytes of a torn record that were cut from the log's end. */
    std::size_t torn_bytes{0};
};

/** Reads the log file's bytes. Pure, so that it can be fed anything. */
result<recovered> read_log(std::string_view bytes);
/** Wraps a payload as a record with checksums over header and payload. */
std::string make_record(std::string_view payload);

/** The data folder of one instance. */
class disk_store {
public:
    /** Opens or makes the folder. Another process that holds it is an error. */
    static result<disk_store> open(const std::string& folder);

    disk_store(disk_store&&) noexcept;
    disk_store& operator=(disk_store&&) noexcept;
    disk_store(const disk_store&) = delete;
    disk_store& operator=(const disk_store&) = delete;
    ~disk_store();

    /** Identity of this disk: made once a folder, so a wiped disk has another. */
    incarnation disk_life() const noexcept;
    /** What was found at opening; moved out once. */
    recovered take_recovered();

    /** Each is durable only after the next sync(). */
    void append(const log_entry& entry);
    void truncate_from(log_index index);
    void save_hard_state(const hard_state& hard);
    /** Writes what was given since the last call and waits for the disk. */
    status sync();
    /** @return whether there is something to sync. */
    bool dirty() const noexcept;
    /** Replaces the log up to the snapshot; durable on return. */
    status save_snapshot(const snapshot& snap, const hard_state& hard,
                         const std::vector<log_entry>& after);

    struct impl;

private:
    explicit disk_store(std::unique_ptr<impl> i);
    std::unique_ptr<impl> impl_;
};

/** A store without a disk: it keeps nothing, so its owner must not vote in a group. */
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
