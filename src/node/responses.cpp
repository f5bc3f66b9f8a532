#include "responses.h"

#include <nlohmann/json.hpp>

namespace fescue::node {

namespace {

constexpr const char* retry_after_s = "1";

}

http::response error_response(error_kind kind, const std::string& detail, bool may_have_run)
{
    const error_properties& row = properties_of(kind);
    const bool unknown = may_have_run || row.ran == ran_state::unknown;
    const char* ran = unknown ? "unknown" : "no";
    const std::string message =
        detail.empty() ? std::string{row.message} : std::string{row.message} + ": " + detail;
    const nlohmann::json body{{"error", row.name}, {"ran", ran}, {"message", message}};
    http::response out;
    out.status = row.http_status;
    out.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    out.headers.push_back({"Fescue-Ran", ran});
    if (row.advice != retry_advice::never && !unknown) {
        out.headers.push_back({"Retry-After", retry_after_s});
    }
    return out;
}

http::response json_response(int status, std::string body)
{
    http::response out;
    out.status = status;
    out.body = std::move(body);
    return out;
}

} // namespace fescue::node
