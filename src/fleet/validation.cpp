#include "validation.h"

#include "fescuestream/json/untrusted.h"

#include <algorithm>

namespace fescue::fleet {

namespace {

constexpr int max_percent = 100;

status invalid(const char* what)
{
    return error{error_kind::bad_request, what};
}

bool is_valid_name(std::string_view text) noexcept
{
    const auto is_control = [](unsigned char c) { return c < 0x20 || c == 0x7f; };
    return text.size() <= max_name_bytes && std::ranges::none_of(text, is_control) &&
           json::is_utf8(text);
}

bool is_valid_amount(std::int64_t amount) noexcept
{
    return amount >= 0 && amount <= max_resource_amount;
}

bool is_valid_capacity(const jobs::resources& capacity) noexcept
{
    return is_valid_amount(capacity.cpu_milli) && is_valid_amount(capacity.memory_mb) &&
           is_valid_amount(capacity.accelerators);
}

bool is_valid_clock(std::int64_t clock_ms) noexcept
{
    return clock_ms >= -max_time_ms && clock_ms <= max_time_ms;
}

bool is_valid_incarnation(incarnation id) noexcept
{
    return id <= static_cast<incarnation>(max_time_ms);
}

/** Checks the parts of an order that other schedulers choose. */
struct order_check {
    status operator()(const start_order& o) const
    {
        return json::is_utf8(o.payload) && json::is_utf8(o.checkpoint)
                   ? std::nullopt
                   : invalid("the payload or the checkpoint is not valid UTF-8");
    }
    status operator()(const stop_order& /*o*/) const { return std::nullopt; }
    status operator()(const poll_order& o) const
    {
        return o.wait_ms >= 0 && o.wait_ms <= max_duration_ms ? std::nullopt
                                                              : invalid("wait_ms is out of range");
    }
    status operator()(const throttle_order& o) const
    {
        return o.percent >= 0 && o.percent <= max_percent ? std::nullopt
                                                          : invalid("percent is out of range");
    }
};

} // namespace

bool is_valid_id(std::string_view text) noexcept
{
    const auto is_printable = [](char c) { return c > ' ' && c <= '~'; };
    return !text.empty() && text.size() <= max_id_bytes && std::ranges::all_of(text, is_printable);
}

status check_report(const jobs::server_report& report)
{
    if (!is_valid_id(report.id.str())) {
        return invalid("the server's id is not 1 to 128 printable ASCII characters");
    }
    if (!ok(http::parse_endpoint(report.address))) {
        return invalid("address must be IP:PORT");
    }
    const bool names_ok = is_valid_name(report.pool.str()) &&
                          is_valid_name(report.data_centre.str()) &&
                          is_valid_name(report.rack.str()) && report.labels.size() <= max_labels &&
                          std::ranges::all_of(report.labels, is_valid_name);
    if (!names_ok) {
        return invalid("a name or a label is too long or contains control characters");
    }
    if (!is_valid_capacity(report.capacity)) {
        return invalid("capacity is out of range");
    }
    if (!is_valid_incarnation(report.incarnation_id)) {
        return invalid("the start time is out of range");
    }
    if (report.remaining_ms < 0 || report.remaining_ms > max_duration_ms) {
        return invalid("the remaining time is out of range");
    }
    return is_valid_clock(report.clock_ms) ? std::nullopt : invalid("the clock is out of range");
}

status check_machine(const machine_entry& machine)
{
    const bool server_ok = machine.server.empty() || is_valid_id(machine.server.str());
    const bool names_ok =
        is_valid_id(machine.id) && server_ok && is_valid_name(machine.pool.str()) &&
        is_valid_name(machine.data_centre.str()) && is_valid_name(machine.rack.str());
    if (!names_ok) {
        return invalid("an id or a name is too long or contains control characters");
    }
    return is_valid_capacity(machine.capacity) ? std::nullopt : invalid("capacity is out of range");
}

status check_order(const server_address& to, const server_order& order)
{
    if (!ok(http::parse_endpoint(to.address)) || !is_valid_id(to.id.str())) {
        return invalid("the order's address is invalid");
    }
    return std::visit(order_check{}, order);
}

status check_poll_reply(const poll_reply& reply)
{
    if (!is_valid_clock(reply.clock_ms) || !is_valid_incarnation(reply.incarnation_id)) {
        return invalid("the clock or the start time is out of range");
    }
    for (const active_run& r : reply.active) {
        if (r.percent < 0 || r.percent > max_percent || !json::is_utf8(r.checkpoint)) {
            return invalid("an active run is invalid");
        }
    }
    for (const ended_run& r : reply.ended) {
        if (r.sequence > max_end_sequence || !json::is_utf8(r.checkpoint)) {
            return invalid("an ended run is invalid");
        }
    }
    return std::nullopt;
}

status check_answer(const server_answer& answer)
{
    if (const auto* reply = std::get_if<order_reply>(&answer)) {
        return is_valid_clock(reply->clock_ms.value_or(0)) ? std::nullopt
                                                           : invalid("the clock is out of range");
    }
    const auto& poll = std::get<result<poll_reply>>(answer);
    return ok(poll) ? check_poll_reply(value(poll)) : std::nullopt;
}

} // namespace fescue::fleet
