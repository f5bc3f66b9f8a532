#include "fescuestream/base/log.h"
#include "fescuestream/replication/replicated.h"

namespace fescue::replication {

result<opened_disk> open_disk(const std::string& folder)
{
    if (folder.empty()) {
        return opened_disk{any_store{store::memory_store{}}, 0, {}};
    }
    auto disk = store::disk_store::open(folder);
    if (!ok(disk)) {
        return error_of(disk);
    }
    auto& opened = value(disk);
    auto found = opened.take_recovered();
    const incarnation life = opened.disk_life();
    if (found.torn_bytes > 0) {
        log::warning("torn_tail_cut", {{"bytes", found.torn_bytes}});
    }
    return opened_disk{any_store{std::move(opened)}, life, std::move(found)};
}

} // namespace fescue::replication
