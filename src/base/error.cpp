#include "fescuestream/base/error.h"

#include <array>
#include <cstddef>

namespace fescue {

namespace {

using enum retry_advice;
constexpr auto ran_no = ran_state::no;
constexpr auto ran_unknown = ran_state::unknown;

constexpr std::array<error_properties, static_cast<std::size_t>(error_kind::number_of_kinds)> table{
    {
        {error_kind::bad_request, "bad_request", 400, ran_no, never, "the request is malformed"},
        {error_kind::bad_settings, "bad_settings", 400, ran_no, never,
         "the settings are not valid"},
        {error_kind::bad_catalogue, "bad_catalogue", 422, ran_no, never,
         "the catalogue is not valid"},
        {error_kind::bad_key, "bad_key", 401, ran_no, never, "the key is unknown or withdrawn"},
        {error_kind::not_permitted, "not_permitted", 401, ran_no, never,
         "the token is missing or wrong"},
        {error_kind::not_found, "not_found", 404, ran_no, never, "no resource has this name"},
        {error_kind::conflict, "conflict", 409, ran_no, never, "another order was applied first"},
        {error_kind::in_progress, "in_progress", 409, ran_unknown, later,
         "an earlier attempt with this idempotency key has not ended"},
        {error_kind::key_reused, "key_reused", 422, ran_no, never,
         "the idempotency key was used for another request"},
        {error_kind::too_large, "too_large", 413, ran_no, never, "the body is too large"},
        {error_kind::queue_full, "queue_full", 429, ran_no, later, "the queue is full"},
        {error_kind::at_limit, "at_limit", 429, ran_no, later,
         "the team's upper limit left no room before the deadline"},
        {error_kind::too_late, "too_late", 504, ran_no, later, "the deadline could not be met"},
        {error_kind::no_server, "no_server", 503, ran_no, later,
         "no backend server can take the work"},
        {error_kind::not_serving, "not_serving", 503, ran_no, soon,
         "this instance has no serving lease"},
        {error_kind::draining, "draining", 503, ran_no, soon, "this instance is shutting down"},
        {error_kind::claim_failed, "claim_failed", 503, ran_no, later,
         "the claim could not be recorded, so the work was not started"},
        {error_kind::no_leader, "no_leader", 503, ran_unknown, later,
         "no majority is reachable; send the order again with the same idempotency key"},
        {error_kind::server_refused, "server_refused", 503, ran_no, later,
         "the backend servers refused the work before starting it"},
        {error_kind::server_failed, "server_failed", 502, ran_unknown, later,
         "the backend server failed"},
        {error_kind::outcome_unknown, "outcome_unknown", 504, ran_unknown, never,
         "the work may have run; its response was lost"},
        {error_kind::corrupt_store, "corrupt_store", 500, ran_no, never,
         "the data folder is corrupt"},
        {error_kind::does_not_fit, "does_not_fit", 422, ran_no, never,
         "the job does not fit on any worker"},
        {error_kind::internal, "internal", 500, ran_unknown, never, "internal error"},
    }};

constexpr bool table_matches_enum()
{
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (static_cast<std::size_t>(table[i].kind) != i) {
            return false;
        }
    }
    return true;
}
static_assert(table_matches_enum(), "the table needs one row per error_kind, in declaration order");

} // namespace

const error_properties& properties_of(error_kind kind) noexcept
{
    return table[static_cast<std::size_t>(kind)];
}

std::string_view name_of(error_kind kind) noexcept
{
    return properties_of(kind).name;
}

} // namespace fescue
