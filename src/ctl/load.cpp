#include "load.h"

#include "fescuestream/http/client.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace fescue::ctl {

namespace {

class load {
public:
    explicit load(const options& opts) : opts_{opts}, client_{loop_} {}

    int run()
    {
        started_ = loop_.now();
        ends_ = started_ + std::chrono::seconds{opts_.seconds};
        if (opts_.rate <= 0) {
            pacer_ = loop_.every(milliseconds{1}, [this] { pace(); });
        }
        pace();
        loop_.run();
        print();
        return answered_ > 0 ? 0 : 1;
    }

private:
    void pace()
    {
        const mono_time now = loop_.now();
        if (now >= ends_) {
            if (under_way_ == 0) {
                loop_.stop();
            } else if (opts_.rate > 0) {
                loop_.soon([this] { pace(); });
            }
            return;
        }
        const double elapsed = std::chrono::duration<double>(now - started_).count();
        const auto due = static_cast<std::uint64_t>(elapsed * opts_.rate) + 1;
        while (under_way_ < opts_.connections && (opts_.rate <= 0 || sent_ < due)) {
            send_one();
        }
        if (opts_.rate > 0) {
            // The loop's timers are a millisecond apart; looking each round sends evenly.
            loop_.soon([this] { pace(); });
        }
    }

    void send_one()
    {
        http::client_request request;
        const std::string& target = opts_.targets[sent_ % opts_.targets.size()];
        request.url = (opts_.tls ? "https://" : "http://") + target + opts_.path;
        request.body = opts_.body;
        request.timeout = milliseconds{opts_.timeout_ms};
        request.ca_file = opts_.ca_file;
        // A backend server called directly wants to know which request it is.
        request.headers.push_back({"Fescue-Request-Id", "load-" + std::to_string(sent_)});
        if (!opts_.key.empty()) {
            request.headers.push_back({"Authorization", "Bearer " + opts_.key});
        }
        ++sent_;
        ++under_way_;
        const mono_time at = loop_.now();
        client_.send(std::move(request), [this, at](http::client_response&& r) { ended(at, r); });
    }

    void ended(mono_time at, const http::client_response& r)
    {
        --under_way_;
        ++outcomes_[r.how == http::delivery::answered ? std::to_string(r.status) : r.fault];
        if (r.how == http::delivery::answered && r.status == 200) {
            ++answered_;
            took_us_.push_back(std::chrono::duration<double, std::micro>(loop_.now() - at).count());
        }
        if (opts_.rate <= 0) {
            loop_.soon([this] { pace(); });
        }
    }

    double percentile(double part)
    {
        if (took_us_.empty()) {
            return 0;
        }
        const auto at = static_cast<std::size_t>(part * static_cast<double>(took_us_.size() - 1));
        std::ranges::nth_element(took_us_, took_us_.begin() + static_cast<std::ptrdiff_t>(at));
        return took_us_[at];
    }

    void print()
    {
        const double per_second = static_cast<double>(answered_) / opts_.seconds;
        const double p50 = percentile(0.5);
        const double p99 = percentile(0.99);
        if (opts_.json) {
            const nlohmann::json out{{"answered", answered_},
                                     {"per_second", per_second},
                                     {"p50_us", p50},
                                     {"p99_us", p99},
                                     {"outcomes", outcomes_}};
            fmt::print("{}\n", out.dump());
            return;
        }
        fmt::print("answered {} ({:.0f} a second), p50 {:.0f} us, p99 {:.0f} us\n", answered_,
                   per_second, p50, p99);
        for (const auto& [outcome, count] : outcomes_) {
            fmt::print("  {:>8} {}\n", count, outcome);
        }
    }

    const options& opts_;
    event_loop loop_;
    http::client client_;
    timer_handle pacer_;
    mono_time started_{};
    mono_time ends_{};
    std::uint64_t sent_{0};
    std::uint64_t under_way_{0};
    std::uint64_t answered_{0};
    std::vector<double> took_us_;
    std::map<std::string, std::uint64_t> outcomes_;
};

} // namespace

int run_load(const options& opts)
{
    if (opts.targets.empty() || opts.path.empty()) {
        fmt::print(stderr, "fescuectl: load needs --target and --path\n");
        return 2;
    }
    return load{opts}.run();
}

} // namespace fescue::ctl
