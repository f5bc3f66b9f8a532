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
    auto recovered = opened.take_recovered();
    const incarnation disk_id = opened.disk_incarnation();
    if (recovered.torn_bytes > 0) {
        log::warning("torn_tail_cut", {{"bytes", recovered.torn_bytes}});
    }
    return opened_disk{any_store{std::move(opened)}, disk_id, std::move(recovered)};
}

} // namespace fescue::replication
