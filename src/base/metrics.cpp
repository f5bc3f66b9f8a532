#include "fescuestream/base/metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <vector>

namespace fescue {

namespace {

namespace bh = boost::histogram;

constexpr double min_latency_ms = 0.05;
constexpr double max_latency_ms = 60'000;
constexpr unsigned bucket_count = 40;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram =
    decltype(bh::make_histogram(log_axis{bucket_count, min_latency_ms, max_latency_ms}));

constexpr std::array<std::string_view, 5> retry_names{"not_connected", "server_refused",
                                                      "answer_lost", "home_lost", "home_refused"};
constexpr std::array<std::string_view, 8> latency_names{
    "request",      "queue_wait", "server",     "order_commit",
    "server_order", "entry_call", "job_accept", "task_wait"};

} // namespace

std::string_view name_of(retry_reason reason) noexcept
{
    return retry_names[static_cast<std::size_t>(reason)];
}

struct metrics::histograms {
    std::array<histogram, latency_names.size()> by_kind;
    std::array<double, latency_names.size()> sum_ms{};

    histograms()
    {
        by_kind.fill(bh::make_histogram(log_axis{bucket_count, min_latency_ms, max_latency_ms}));
    }
};

metrics::metrics() : histograms_{std::make_unique<histograms>()} {}
metrics::~metrics() = default;

void metrics::refused(error_kind kind) noexcept
{
    ++refusals_[static_cast<std::size_t>(kind)];
}

void metrics::retried(retry_reason reason) noexcept
{
    ++retries_[static_cast<std::size_t>(reason)];
}

void metrics::count(std::string_view name, std::uint64_t by)
{
    const auto found = counters_.find(name);
    if (found != counters_.end()) {
        found->second += by;
    } else {
        counters_.emplace(name, by);
    }
}

void metrics::gauge(std::string_view name, double value)
{
    gauges_[std::string{name}] = value;
}

void metrics::observe(latency_kind kind, mono_clock::duration took)
{
    const double ms = std::chrono::duration<double, std::milli>(took).count();
    histograms_->by_kind[static_cast<std::size_t>(kind)](ms);
    histograms_->sum_ms[static_cast<std::size_t>(kind)] += ms;
}

std::string metrics::render() const
{
    std::string out;
    const auto line = std::back_inserter(out);
    fmt::format_to(line, "# TYPE fescue_refusals_total counter\n");
    for (std::size_t i = 0; i < refusals_.size(); ++i) {
        fmt::format_to(line, "fescue_refusals_total{{kind=\"{}\"}} {}\n",
                       name_of(static_cast<error_kind>(i)), refusals_[i]);
    }
    fmt::format_to(line, "# TYPE fescue_retries_total counter\n");
    for (std::size_t i = 0; i < retries_.size(); ++i) {
        fmt::format_to(line, "fescue_retries_total{{reason=\"{}\"}} {}\n", retry_names[i],
                       retries_[i]);
    }
    for (const auto& [name, n] : counters_) {
        fmt::format_to(line, "# TYPE fescue_{0}_total counter\nfescue_{0}_total {1}\n", name, n);
    }
    for (const auto& [name, v] : gauges_) {
        fmt::format_to(line, "# TYPE fescue_{0} gauge\nfescue_{0} {1}\n", name, v);
    }
    for (std::size_t i = 0; i < latency_names.size(); ++i) {
        const histogram& h = histograms_->by_kind[i];
        const std::string name = fmt::format("fescue_{}_latency_ms", latency_names[i]);
        fmt::format_to(line, "# TYPE {} histogram\n", name);
        double cumulative = h.at(-1);
        for (const auto& bin : bh::indexed(h)) {
            cumulative += *bin;
            fmt::format_to(line, "{}_bucket{{le=\"{:.3f}\"}} {}\n", name, bin.bin().upper(),
                           cumulative);
        }
        cumulative += h.at(static_cast<int>(bucket_count));
        fmt::format_to(line, "{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n{0}_count {1}\n", name,
                       cumulative, histograms_->sum_ms[i]);
    }
    return out;
}

} // namespace fescue
