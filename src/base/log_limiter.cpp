#include "fescuestream/base/log_limiter.h"

#include <utility>

namespace fescue::log {

namespace {

constexpr milliseconds period{10'000};
/** Bounds memory. Further keys share one entry. */
constexpr std::size_t max_keys = 256;
constexpr std::string_view shared_key = "";
/** Bounds the size of a key, which may quote input. */
constexpr std::size_t max_key_bytes = 256;

} // namespace

std::uint64_t limiter::admit(std::string_view key, mono_time now)
{
    key = key.substr(0, max_key_bytes);
    auto found = entries_.find(key);
    if (found == entries_.end() && entries_.size() >= max_keys) {
        std::erase_if(entries_, [&](const auto& e) { return now - e.second.logged_at >= period; });
        key = entries_.size() >= max_keys ? shared_key : key;
        found = entries_.find(key);
    }
    if (found == entries_.end()) {
        entries_.emplace(key, entry{now, 0});
        return 1;
    }
    entry& e = found->second;
    ++e.withheld;
    if (now - e.logged_at < period) {
        return 0;
    }
    e.logged_at = now;
    return std::exchange(e.withheld, 0);
}

} // namespace fescue::log
