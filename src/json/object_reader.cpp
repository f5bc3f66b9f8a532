#include "fescuestream/json/object_reader.h"

#include <algorithm>
#include <cmath>

namespace fescue::json {

namespace {

constexpr std::size_t max_name_length = 64;

std::string join_path(const std::string& path, const std::string& name)
{
    return path.empty() ? name : path + "." + name;
}

} // namespace

bool is_name(const std::string& text) noexcept
{
    const auto is_name_char = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::ranges::all_of(text, is_name_char);
}

std::string to_text(const field_errors& all)
{
    std::string out;
    for (const field_error& f : all) {
        if (!out.empty()) {
            out += "; ";
        }
        out += (f.path.empty() ? "document" : f.path) + ": " + f.what;
    }
    return out;
}

std::optional<value_type> parse(const std::string& text, field_errors& out)
{
    std::vector<std::set<std::string>> keys_of_open_objects;
    std::vector<std::string> duplicate_keys;
    const auto on_parse_event = [&](int /*depth*/, value_type::parse_event_t event,
                                    value_type& parsed) {
        if (event == value_type::parse_event_t::object_start) {
            keys_of_open_objects.emplace_back();
        } else if (event == value_type::parse_event_t::object_end) {
            keys_of_open_objects.pop_back();
        } else if (event == value_type::parse_event_t::key &&
                   !keys_of_open_objects.back().insert(parsed.get<std::string>()).second) {
            duplicate_keys.push_back(parsed.get<std::string>());
        }
        return true;
    };
    constexpr bool allow_exceptions = true;
    constexpr bool ignore_comments = true;
    try {
        auto parsed = value_type::parse(text, on_parse_event, allow_exceptions, ignore_comments);
        for (const std::string& name : duplicate_keys) {
            out.push_back({name, "stands twice in one object"});
        }
        return parsed;
    } catch (const value_type::exception& e) {
        out.push_back({"", std::string{"not JSON: "} + e.what()});
        return std::nullopt;
    }
}

object_reader::object_reader(const value_type& object, std::string path, field_errors& out)
    : object_{object}, path_{std::move(path)}, field_errors_{out}
{
    if (!object_.is_object()) {
        field_errors_.push_back({path_, "must be an object"});
    }
}

void object_reader::report(const std::string& name, std::string what)
{
    field_errors_.push_back({join_path(path_, name), std::move(what)});
}

const value_type* object_reader::find(const std::string& name)
{
    requested_.insert(name);
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}

const value_type* object_reader::find_or_report(const std::string& name, bool has_fallback)
{
    const value_type* found = find(name);
    if (found == nullptr && !has_fallback && object_.is_object()) {
        report(name, "is required");
    }
    return found;
}

std::string object_reader::text(const std::string& name, std::optional<std::string> fallback)
{
    const value_type* found = find_or_report(name, fallback.has_value());
    if (found == nullptr) {
        return fallback.value_or("");
    }
    if (!found->is_string()) {
        report(name, "must be a string");
        return {};
    }
    return found->get<std::string>();
}

std::string object_reader::name(const std::string& field, std::optional<std::string> fallback)
{
    const bool present = find(field) != nullptr;
    std::string out = text(field, std::move(fallback));
    if (present && !out.empty() && !is_name(out)) {
        report(field, "'" + out + "' is not a name (1 to 64 letters, digits, '-', '_', '.')");
    }
    if (present && out.empty()) {
        report(field, "must not be empty");
    }
    return out;
}

std::int64_t object_reader::number(const std::string& name, range allowed,
                                   std::optional<std::int64_t> fallback)
{
    const value_type* found = find_or_report(name, fallback.has_value());
    if (found == nullptr) {
        return fallback.value_or(allowed.min);
    }
    const bool exceeds_int64 =
        found->is_number_unsigned() && found->get<std::uint64_t>() > INT64_MAX;
    if (!found->is_number_integer() || exceeds_int64 || found->get<std::int64_t>() < allowed.min ||
        found->get<std::int64_t>() > allowed.max) {
        report(name, "must be an integer from " + std::to_string(allowed.min) + " to " +
                         std::to_string(allowed.max));
        return allowed.min;
    }
    return found->get<std::int64_t>();
}

double object_reader::real(const std::string& name, double min, double max,
                           std::optional<double> fallback)
{
    const value_type* found = find_or_report(name, fallback.has_value());
    if (found == nullptr) {
        return fallback.value_or(min);
    }
    if (!found->is_number() || found->get<double>() < min || found->get<double>() > max) {
        report(name, "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
        return min;
    }
    return found->get<double>();
}

bool object_reader::flag(const std::string& name, bool fallback)
{
    const value_type* found = find(name);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_boolean()) {
        report(name, "must be true or false");
        return fallback;
    }
    return found->get<bool>();
}

std::vector<std::string> object_reader::texts(const std::string& name)
{
    std::vector<std::string> out;
    const value_type* found = find(name);
    if (found == nullptr) {
        return out;
    }
    if (!found->is_array()) {
        report(name, "must be an array of strings");
        return out;
    }
    for (const value_type& element : *found) {
        if (!element.is_string()) {
            report(name, "must be an array of strings");
            return out;
        }
        out.push_back(element.get<std::string>());
    }
    return out;
}

void object_reader::for_each_member(
    const std::string& name,
    const std::function<void(const std::string&, object_reader&)>& callback)
{
    const value_type* found = find(name);
    if (found == nullptr) {
        return;
    }
    if (!found->is_object()) {
        report(name, "must be an object whose values are objects");
        return;
    }
    for (const auto& [member, content] : found->items()) {
        if (!is_name(member)) {
            report(name, "'" + member + "' is not a name (1 to 64 letters, digits, '-', '_', '.')");
        }
        object_reader inner{content, join_path(join_path(path_, name), member), field_errors_};
        callback(member, inner);
        inner.finish();
    }
}

void object_reader::for_each_element(const std::string& name,
                                     const std::function<void(object_reader&)>& callback)
{
    const value_type* found = find(name);
    if (found == nullptr) {
        return;
    }
    if (!found->is_array()) {
        report(name, "must be an array of objects");
        return;
    }
    for (std::size_t i = 0; i < found->size(); ++i) {
        object_reader inner{(*found)[i], join_path(path_, name) + "[" + std::to_string(i) + "]",
                            field_errors_};
        callback(inner);
        inner.finish();
    }
}

void object_reader::finish()
{
    if (!object_.is_object()) {
        return;
    }
    for (const auto& [member, content] : object_.items()) {
        if (!requested_.contains(member)) {
            report(member, "is not a known field");
        }
    }
}

} // namespace fescue::json
