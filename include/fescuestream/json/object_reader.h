#pragma once

/**
 * @file
 * Reads JSON objects with every field checked. All faults are gathered with their paths, so one
 * try names everything that is wrong; unknown fields are faults too.
 */

#include "fescuestream/base/error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescue::json {

using value_type = nlohmann::json;

/** One thing that is wrong, and where. */
struct fault {
    std::string path;
    std::string what;
};

using faults = std::vector<fault>;

/** @return "path: what; path: what". */
std::string to_text(const faults& all);

/** Parses text, comments allowed. A key that stands twice is a fault. */
std::optional<value_type> parse(const std::string& text, faults& out);

/** Whole-number range, both ends allowed. */
struct range {
    std::int64_t least{0};
    std::int64_t most{0};
};

/** Reads one object's fields; finish() reports those that nobody asked for. */
class object_reader {
public:
    object_reader(const value_type& object, std::string path, faults& out);

    /** Each returns the fallback when the field is absent; without a fallback that is a fault. */
    std::string text(const std::string& name, std::optional<std::string> fallback = {});
    std::int64_t number(const std::string& name, range allowed,
                        std::optional<std::int64_t> fallback = {});
    double real(const std::string& name, double least, double most,
                std::optional<double> fallback = {});
    bool flag(const std::string& name, bool fallback);
    std::vector<std::string> texts(const std::string& name);
    /** A name: 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'. */
    std::string name(const std::string& field, std::optional<std::string> fallback = {});

    /** @return the field, marked as known, or nullptr. */
    const value_type* find(const std::string& name);
    /** Calls for each member of an object of objects; names are checked. */
    void each(const std::string& name,
              const std::function<void(const std::string&, object_reader&)>& call);
    /** Calls for each element of an array of objects. */
    void each_element(const std::string& name, const std::function<void(object_reader&)>& call);

    void report(const std::string& name, std::string what);
    /** Reports every field that was not asked for. */
    void finish();
    const std::string& path() const noexcept { return path_; }

private:
    const value_type* required(const std::string& name, bool has_fallback);

    const value_type& object_;
    std::string path_;
    faults& faults_;
    std::set<std::string> known_;
};

/** @return whether the text is a name as object_reader::name() takes them. */
bool is_name(const std::string& text) noexcept;

} // namespace fescue::json
