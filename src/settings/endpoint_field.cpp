#include "endpoint_field.h"

namespace fescue::settings {

http::endpoint read_endpoint(json::object_reader& reader, const std::string& field,
                             const http::endpoint* fallback)
{
    if (fallback != nullptr && reader.find(field) == nullptr) {
        return *fallback;
    }
    const std::string text = reader.text(field);
    if (text.empty()) {
        return {};
    }
    const auto parsed = http::parse_endpoint(text);
    if (!ok(parsed)) {
        reader.report(field, error_of(parsed).detail);
        return {};
    }
    return value(parsed);
}

} // namespace fescue::settings
