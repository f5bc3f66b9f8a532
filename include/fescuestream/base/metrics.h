#pragma once

/**
 * @file
 * Counters, gauges and latency histograms of one instance, in the Prometheus text format.
 */

#include "fescuestream/base/error.h"
#include "fescuestream/base/ids.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace fescue {

/** Why work was sent again. */
enum class retry_reason : std::uint8_t {
    not_connected,
    server_refused,
    answer_lost,
    home_lost,
    home_refused,
    number_of_reasons
};

std::string_view name_of(retry_reason reason) noexcept;

enum class latency_kind : std::uint8_t {
    request,
    queue_wait,
    server,
    order_commit,
    /** From sending an order to a backend server to its response. */
    server_order,
    /** From a call's arrival at an entry instance to its response. */
    entry_call,
    /** From a job's arrival at the leader to its commit in the log. */
    job_accept,
    /** From the time a task became ready to the order that starts it. */
    task_wait,
    number_of_kinds
};

class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    void refused(error_kind kind) noexcept;
    void retried(retry_reason reason) noexcept;
    void count(std::string_view name, std::uint64_t by = 1);
    void gauge(std::string_view name, double value);
    void observe(latency_kind kind, mono_clock::duration took);
    std::string render() const;

private:
    struct histograms;
    std::array<std::uint64_t, static_cast<std::size_t>(error_kind::number_of_kinds)> refusals_{};
    std::array<std::uint64_t, static_cast<std::size_t>(retry_reason::number_of_reasons)> retries_{};
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, double, std::less<>> gauges_;
    std::unique_ptr<histograms> histograms_;
};

} // namespace fescue
