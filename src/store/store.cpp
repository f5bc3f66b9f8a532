#include "fescuestream/store/store.h"

#include "fescuestream/base/codec.h"

#include <boost/crc.hpp>
#include <fcntl.h>
#include <sodium.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace fescue::store {

namespace {

constexpr std::uint32_t record_magic = 0x46534331; // "FSC1"
constexpr mode_t private_file_mode = 0600;
constexpr mode_t private_folder_mode = 0700;

struct record_header {
    std::uint32_t magic{record_magic};
    std::uint32_t size{0};
    std::uint32_t payload_crc{0};
    std::uint32_t header_crc{0};
};

std::uint32_t crc32(const void* data, std::size_t size)
{
    boost::crc_32_type crc;
    crc.process_bytes(data, size);
    return crc.checksum();
}

std::uint32_t header_crc32(const record_header& header)
{
    return crc32(&header, offsetof(record_header, header_crc));
}

/** Removes all entries from an index on. */
struct truncation {
    log_index from{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(from);
    }
};

using record_item = std::variant<log_entry, truncation, hard_state, snapshot>;

/** Encodes like a vector of record_item, without copies of the items. */
struct snapshot_items {
    const hard_state& hard;
    const snapshot& snap;
    const std::vector<log_entry>& after;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(cereal::make_size_tag(after.size() + 2));
        save_item(archive, hard);
        save_item(archive, snap);
        for (const log_entry& entry : after) {
            save_item(archive, entry);
        }
    }

    template <class Archive, class Item>
    static void save_item(Archive& archive, const Item& item)
    {
        static const auto index = static_cast<std::int32_t>(record_item{Item{}}.index());
        archive(index, item);
    }
};

/** @return the payload of the valid record at the front of the bytes, or nullopt. */
std::optional<std::string_view> parse_record(std::string_view bytes)
{
    record_header header;
    if (bytes.size() < sizeof header) {
        return std::nullopt;
    }
    std::memcpy(&header, bytes.data(), sizeof header);
    if (header.magic != record_magic || header.header_crc != header_crc32(header) ||
        header.size > bytes.size() - sizeof header) {
        return std::nullopt;
    }
    const auto payload = bytes.substr(sizeof header, header.size);
    if (crc32(payload.data(), payload.size()) != header.payload_crc) {
        return std::nullopt;
    }
    return payload;
}

bool contains_valid_record(std::string_view bytes)
{
    std::string magic(sizeof record_magic, '\0');
    std::memcpy(magic.data(), &record_magic, sizeof record_magic);
    for (auto at = bytes.find(magic); at != std::string_view::npos;
         at = bytes.find(magic, at + 1)) {
        if (parse_record(bytes.substr(at))) {
            return true;
        }
    }
    return false;
}

class log_replayer {
public:
    explicit log_replayer(recovered& out) : out_{out} {}

    void operator()(log_entry& entry)
    {
        const log_index next = last_index() + 1;
        if (entry.index != next) {
            index_gap_ = true;
            return;
        }
        out_.entries.push_back(std::move(entry));
    }
    void operator()(const truncation& record)
    {
        std::erase_if(out_.entries, [&](const log_entry& e) { return e.index >= record.from; });
    }
    void operator()(const hard_state& hard) { out_.hard = hard; }
    void operator()(snapshot& snap)
    {
        out_.entries.clear();
        out_.snap = std::move(snap);
    }
    bool has_index_gap() const noexcept { return index_gap_; }

private:
    log_index last_index() const
    {
        if (!out_.entries.empty()) {
            return out_.entries.back().index;
        }
        return out_.snap ? out_.snap->index : 0;
    }

    recovered& out_;
    bool index_gap_{false};
};

error os_error(const std::string& what)
{
    return error{error_kind::internal, what + ": " + std::strerror(errno)};
}

bool write_all(int fd, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = write(fd, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

status sync_folder(const std::string& folder)
{
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        return os_error("cannot open '" + folder + "'");
    }
    const bool synced = fsync(fd) == 0;
    close(fd);
    return synced ? status{} : os_error("cannot sync '" + folder + "'");
}

/** Replaces a file atomically: after a crash it has either the old or the new content. */
status replace_file(const std::string& folder, const std::string& name, std::string_view header,
                    std::string_view bytes)
{
    const std::string temporary = folder + "/" + name + ".new";
    const std::string final_name = folder + "/" + name;
    const int fd =
        ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, private_file_mode);
    if (fd < 0) {
        return os_error("cannot write '" + temporary + "'");
    }
    const bool written = write_all(fd, header) && write_all(fd, bytes) && fsync(fd) == 0;
    close(fd);
    if (!written || rename(temporary.c_str(), final_name.c_str()) != 0) {
        return os_error("cannot replace '" + final_name + "'");
    }
    return sync_folder(folder);
}

std::optional<std::string> read_file(const std::string& file)
{
    std::ifstream in{file, std::ios::binary};
    if (!in) {
        return std::nullopt;
    }
    std::error_code fault;
    const auto size = std::filesystem::file_size(file, fault);
    std::string out;
    out.reserve(fault ? 0 : static_cast<std::size_t>(size));
    out.assign(std::istreambuf_iterator<char>{in}, {});
    return out;
}

std::string make_record_header(std::string_view payload)
{
    record_header header;
    header.size = static_cast<std::uint32_t>(payload.size());
    header.payload_crc = crc32(payload.data(), payload.size());
    header.header_crc = header_crc32(header);
    std::string out(sizeof header, '\0');
    std::memcpy(out.data(), &header, sizeof header);
    return out;
}

} // namespace

std::string make_record(std::string_view payload)
{
    return make_record_header(payload).append(payload);
}

result<recovered> read_log(std::string_view bytes)
{
    recovered out;
    log_replayer replay{out};
    while (!bytes.empty()) {
        const auto payload = parse_record(bytes);
        if (!payload) {
            if (contains_valid_record(bytes.substr(1))) {
                return error{error_kind::corrupt_store, "damage before the log's last record"};
            }
            out.torn_bytes = bytes.size();
            break;
        }
        auto items = from_bytes<std::vector<record_item>>(*payload);
        if (!ok(items)) {
            return error{error_kind::corrupt_store, "cannot decode the payload of a log record"};
        }
        for (record_item& i : value(items)) {
            std::visit(replay, i);
        }
        if (replay.has_index_gap()) {
            return error{error_kind::corrupt_store, "log entry indexes are not contiguous"};
        }
        bytes.remove_prefix(sizeof(record_header) + payload->size());
    }
    return out;
}

struct disk_store::impl {
    std::string folder;
    int lock_fd{-1};
    int log_fd{-1};
    incarnation identity{0};
    recovered found;
    std::vector<record_item> pending;

    impl() = default;
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl()
    {
        if (log_fd >= 0) {
            close(log_fd);
        }
        if (lock_fd >= 0) {
            close(lock_fd);
        }
    }

    status lock()
    {
        std::error_code fault;
        const bool created = std::filesystem::create_directories(folder, fault);
        if (fault) {
            return error{error_kind::internal,
                         "cannot create '" + folder + "': " + fault.message()};
        }
        if (created && chmod(folder.c_str(), private_folder_mode) != 0) {
            return os_error("cannot set the permissions of '" + folder + "'");
        }
        const std::string file = folder + "/lock";
        lock_fd = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, private_file_mode);
        if (lock_fd < 0 || flock(lock_fd, LOCK_EX | LOCK_NB) != 0) {
            return error{error_kind::internal, "'" + folder + "' is in use by another process"};
        }
        return std::nullopt;
    }

    status read_identity()
    {
        const auto text = read_file(folder + "/identity");
        if (text && text->size() == sizeof identity) {
            std::memcpy(&identity, text->data(), sizeof identity);
            return std::nullopt;
        }
        if (read_file(folder + "/log")) {
            return error{error_kind::corrupt_store,
                         "the data folder has a log file but no identity file"};
        }
        randombytes_buf(&identity, sizeof identity);
        std::string bytes(sizeof identity, '\0');
        std::memcpy(bytes.data(), &identity, sizeof identity);
        return replace_file(folder, "identity", {}, bytes);
    }

    status read_entries()
    {
        const std::string file = folder + "/log";
        const std::string bytes = read_file(file).value_or("");
        auto read = read_log(bytes);
        if (!ok(read)) {
            error e = error_of(read);
            e.detail += " in '" + file +
                        "'; move the folder away: the instance then restarts "
                        "with an empty disk and catches up from the other instances";
            return e;
        }
        found = std::move(value(read));
        return open_log(bytes.size() - found.torn_bytes);
    }

    status open_log(std::size_t keep_bytes)
    {
        const std::string file = folder + "/log";
        log_fd = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, private_file_mode);
        if (log_fd < 0 || ftruncate(log_fd, static_cast<off_t>(keep_bytes)) != 0 ||
            fsync(log_fd) != 0) {
            return os_error("cannot open '" + file + "'");
        }
        return sync_folder(folder);
    }
};

disk_store::disk_store(std::unique_ptr<impl> i) : impl_{std::move(i)} {}
disk_store::disk_store(disk_store&&) noexcept = default;
disk_store& disk_store::operator=(disk_store&&) noexcept = default;
disk_store::~disk_store() = default;

result<disk_store> disk_store::open(const std::string& folder)
{
    auto created = std::make_unique<impl>();
    created->folder = folder;
    if (auto fault = created->lock()) {
        return *fault;
    }
    if (auto fault = created->read_identity()) {
        return *fault;
    }
    if (auto fault = created->read_entries()) {
        return *fault;
    }
    return disk_store{std::move(created)};
}

incarnation disk_store::disk_incarnation() const noexcept
{
    return impl_->identity;
}

recovered disk_store::take_recovered()
{
    return std::move(impl_->found);
}

void disk_store::append(const log_entry& entry)
{
    impl_->pending.emplace_back(entry);
}

void disk_store::truncate_from(log_index index)
{
    impl_->pending.emplace_back(truncation{index});
}

void disk_store::save_hard_state(const hard_state& hard)
{
    impl_->pending.emplace_back(hard);
}

bool disk_store::dirty() const noexcept
{
    return !impl_->pending.empty();
}

status disk_store::sync()
{
    if (impl_->pending.empty()) {
        return std::nullopt;
    }
    const std::string record = make_record(to_bytes(impl_->pending));
    impl_->pending.clear();
    if (!write_all(impl_->log_fd, record) || fdatasync(impl_->log_fd) != 0) {
        return os_error("cannot write the log");
    }
    return std::nullopt;
}

status disk_store::save_snapshot(const snapshot& snap, const hard_state& hard,
                                 const std::vector<log_entry>& after)
{
    const std::string payload = to_bytes_without_growth(snapshot_items{hard, snap, after});
    const std::string header = make_record_header(payload);
    if (auto fault = replace_file(impl_->folder, "log", header, payload)) {
        return fault;
    }
    close(impl_->log_fd);
    impl_->pending.clear();
    return impl_->open_log(header.size() + payload.size());
}

} // namespace fescue::store
