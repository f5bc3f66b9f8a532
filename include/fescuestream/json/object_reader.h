#pragma once

/**
 * @file
 * Reads and validates the fields of JSON objects. Errors are collected with their paths, so that
 * one pass reports all of them; unknown fields are errors too.
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

/** One validation error and the path of the field. */
struct field_error {
    std::string path;
    std::string what;
};

using field_errors = std::vector<field_error>;

/** Formats errors as "path: what; path: what". */
std::string to_text(const field_errors& all);

/** Parses JSON with comments. Duplicate keys within an object are reported as errors. */
std::optional<value_type> parse(const std::string& text, field_errors& out);

/** Integer range; both bounds are inclusive. */
struct range {
    std::int64_t min{0};
    std::int64_t max{0};
};

/** Reads one object's fields; finish() reports fields that were never requested as unknown. */
class object_reader {
public:
    object_reader(const value_type& object, std::string path, field_errors& out);

    /** The readers return the fallback if the field is absent; without one, that is an error. */
    std::string text(const std::string& name, std::optional<std::string> fallback = {});
    std::int64_t number(const std::string& name, range allowed,
                        std::optional<std::int64_t> fallback = {});
    double real(const std::string& name, double min, double max,
                std::optional<double> fallback = {});
    bool flag(const std::string& name, bool fallback);
    std::vector<std::string> texts(const std::string& name);
    /** Reads an identifier: 1 to 64 characters out of a-z, A-Z, 0-9, '-', '_' and '.'. */
    std::string name(const std::string& field, std::optional<std::string> fallback = {});

    /** Marks the field as known. @return its value, or nullptr if it is absent. */
    const value_type* find(const std::string& name);
    /** Invokes the callback for each member of an object of objects; validates their names. */
    void for_each_member(const std::string& name,
                         const std::function<void(const std::string&, object_reader&)>& callback);
    /** Invokes the callback for each element of an array of objects. */
    void for_each_element(const std::string& name,
                          const std::function<void(object_reader&)>& callback);

    /** Adds an error for a field. */
    void report(const std::string& name, std::string what);
    /** Reports every field that was not requested as unknown. */
    void finish();
    const std::string& path() const noexcept { return path_; }

private:
    const value_type* find_or_report(const std::string& name, bool has_fallback);

    const value_type& object_;
    std::string path_;
    field_errors& field_errors_;
    std::set<std::string> requested_;
};

/** @return whether the text is a valid name, see object_reader::name(). */
bool is_name(const std::string& text) noexcept;

} // namespace fescue::json
