#include "load.h"

#include "fescuestream/http/client.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace fescue::ctl {

namespace {

class load_generator {
public:
    explicit load_generator(const options& opts) : opts_{opts}, client_{loop_} {}

    int run()
    {
        started_ = loop_.now();
        end_ = started_ + std::chrono::seconds{opts_.seconds};
        if (opts_.rate <= 0) {
            send_timer_ = loop_.every(milliseconds{1}, [this] { send_due_requests(); });
        }
        send_due_requests();
        loop_.run();
        print();
        return ok_count_ > 0 ? 0 : 1;
    }

private:
    void send_due_requests()
    {
        const mono_time now = loop_.now();
        if (now >= end_) {
            if (in_flight_ == 0) {
                loop_.stop();
            } else if (opts_.rate > 0) {
                loop_.defer([this] { send_due_requests(); });
            }
            return;
        }
        const double elapsed = std::chrono::duration<double>(now - started_).count();
        const auto due_count = static_cast<std::uint64_t>(elapsed * opts_.rate) + 1;
        while (in_flight_ < opts_.connections && (opts_.rate <= 0 || sent_count_ < due_count)) {
            send_request();
        }
        if (opts_.rate > 0) {
            // Timers have a resolution of 1 ms; polling in every loop iteration spaces requests
            // evenly.
            loop_.defer([this] { send_due_requests(); });
        }
    }

    void send_request()
    {
        http::client_request request;
        const std::string& target = opts_.targets[sent_count_ % opts_.targets.size()];
        request.url = (opts_.tls ? "https://" : "http://") + target + opts_.path;
        request.body = opts_.body;
        request.timeout = milliseconds{opts_.timeout_ms};
        request.ca_file = opts_.ca_file;
        // Backend servers expect a request id, which an entry instance would otherwise set.
        request.headers.push_back({"Fescue-Request-Id", "load-" + std::to_string(sent_count_)});
        if (!opts_.key.empty()) {
            request.headers.push_back({"Authorization", "Bearer " + opts_.key});
        }
        ++sent_count_;
        ++in_flight_;
        const mono_time sent_at = loop_.now();
        client_.send(std::move(request),
                     [this, sent_at](http::client_response&& r) { on_response(sent_at, r); });
    }

    void on_response(mono_time sent_at, const http::client_response& r)
    {
        --in_flight_;
        ++outcomes_[r.outcome == http::delivery::answered ? std::to_string(r.status)
                                                          : r.error_message];
        if (r.outcome == http::delivery::answered && r.status == 200) {
            ++ok_count_;
            latencies_us_.push_back(
                std::chrono::duration<double, std::micro>(loop_.now() - sent_at).count());
        }
        if (opts_.rate <= 0) {
            loop_.defer([this] { send_due_requests(); });
        }
    }

    double percentile(double quantile)
    {
        if (latencies_us_.empty()) {
            return 0;
        }
        const auto index =
            static_cast<std::size_t>(quantile * static_cast<double>(latencies_us_.size() - 1));
        std::ranges::nth_element(latencies_us_,
                                 latencies_us_.begin() + static_cast<std::ptrdiff_t>(index));
        return latencies_us_[index];
    }

    void print()
    {
        const double per_second = static_cast<double>(ok_count_) / opts_.seconds;
        const double p50 = percentile(0.5);
        const double p99 = percentile(0.99);
        if (opts_.json) {
            const nlohmann::json out{{"answered", ok_count_},
                                     {"per_second", per_second},
                                     {"p50_us", p50},
                                     {"p99_us", p99},
                                     {"outcomes", outcomes_}};
            fmt::print("{}\n", out.dump());
            return;
        }
        fmt::print("answered {} ({:.0f}/s), p50 {:.0f} us, p99 {:.0f} us\n", ok_count_, per_second,
                   p50, p99);
        for (const auto& [outcome, count] : outcomes_) {
            fmt::print("  {:>8} {}\n", count, outcome);
        }
    }

    const options& opts_;
    event_loop loop_;
    http::client client_;
    timer_handle send_timer_;
    mono_time started_{};
    mono_time end_{};
    std::uint64_t sent_count_{0};
    std::uint64_t in_flight_{0};
    std::uint64_t ok_count_{0};
    std::vector<double> latencies_us_;
    std::map<std::string, std::uint64_t> outcomes_;
};

} // namespace

int run_load(const options& opts)
{
    if (opts.targets.empty() || opts.path.empty()) {
        fmt::print(stderr, "fescuectl: load needs --target and --path\n");
        return 2;
    }
    return load_generator{opts}.run();
}

} // namespace fescue::ctl
