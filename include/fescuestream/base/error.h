#pragma once

/**
 * @file
 * Error kinds, the table of their HTTP responses, and the value-or-error result type.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace fescue {

/** Closed set of reasons for which a request or an order is rejected or fails. */
enum class error_kind : std::uint8_t {
    bad_request,
    bad_settings,
    bad_catalogue,
    bad_key,
    not_permitted,
    not_found,
    conflict,
    in_progress,
    key_reused,
    too_large,
    queue_full,
    at_limit,
    too_late,
    no_server,
    not_serving,
    draining,
    claim_failed,
    no_leader,
    server_refused,
    server_failed,
    outcome_unknown,
    corrupt_store,
    does_not_fit,
    internal,
    number_of_kinds
};
constexpr error_kind last_value(error_kind /*type*/) noexcept
{
    return error_kind::internal;
}

/** Whether the work of a failed request was started. */
enum class ran_state : std::uint8_t { no, unknown };

/** Retry advice for the caller. */
enum class retry_advice : std::uint8_t { never, later, soon };

/** Response properties of one error kind. */
struct error_properties {
    error_kind kind;
    std::string_view name;
    int http_status;
    ran_state ran;
    retry_advice advice;
    std::string_view message;
};

const error_properties& properties_of(error_kind kind) noexcept;
/** @return the kind's name in responses, logs and metrics. */
std::string_view name_of(error_kind kind) noexcept;

/** An error kind with details of this occurrence. */
struct error {
    error_kind kind{error_kind::internal};
    std::string detail;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, detail);
    }
};

/** A value or an error. */
template <class T>
using result = std::variant<T, error>;

/** A result without a value. */
using status = std::optional<error>;

template <class T>
bool ok(const result<T>& r) noexcept
{
    return r.index() == 0;
}

template <class T>
const T& value(const result<T>& r)
{
    return std::get<0>(r);
}

template <class T>
T& value(result<T>& r)
{
    return std::get<0>(r);
}

template <class T>
const error& error_of(const result<T>& r)
{
    return std::get<1>(r);
}

} // namespace fescue
