#pragma once

/**
 * @file
 * A fake machine service that carries out maintenance orders: a machine is down for some time and
 * returns with a new server. It records what each wave got.
 */

#include "scheduling_leader.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fescue::fakes {

class maintenance_service {
public:
    maintenance_service(event_loop& loop, std::uint16_t port)
        : loop_{loop}, server_{loop, [this](http::exchange_id exchange, http::request&& request) {
                                   handle_request(exchange, request);
                               }}
    {
        REQUIRE_FALSE(server_.listen({"127.0.0.1", port}, {}));
    }

    void add_machine(const std::string& id) { machines_[id] = {}; }
    /** A machine's server has crashed, and the next one has started. @return the id of that one. */
    std::string replace_server(const std::string& machine)
    {
        ++machines_.at(machine).life;
        return server_on(machine);
    }
    std::string server_on(const std::string& machine) const
    {
        return "i-" + machine + "-" + std::to_string(machines_.at(machine).life);
    }
    bool has_maintained(const std::string& wave, const std::string& machine) const
    {
        return maintained_.contains({wave, machine});
    }
    /** @return the largest number of machines that were down for the wave at the same time. */
    std::size_t max_down(const std::string& wave) const
    {
        const auto known = max_down_.find(wave);
        return known == max_down_.end() ? 0 : known->second;
    }
    bool is_up(const std::string& machine) const { return machines_.at(machine).wave.empty(); }

    /** How long the maintenance of a machine takes. */
    milliseconds duration{200};
    /** Delay of the replies to orders, and of the list, which shows the time of its request. */
    milliseconds order_delay{0};
    milliseconds list_delay{0};
    int orders{0};
    int list_reads{0};
    /** Called when a machine is taken down, with the server that ends. */
    std::function<void(const std::string& server)> on_shutdown{[](const std::string&) {}};

private:
    struct machine {
        int life{1};
        /** The wave for which the machine is down; empty: it is up. */
        std::string wave;
    };

    void handle_request(http::exchange_id exchange, const http::request& request)
    {
        if (request.method != "POST") {
            ++list_reads;
            respond_after(list_delay, exchange, {200, "application/json", list().dump(), {}});
            return;
        }
        ++orders;
        const auto body = nlohmann::json::parse(request.body);
        const std::string refusal = maintain(body.at("machine"), body.at("rollout_batch").dump());
        const std::string reply = nlohmann::json{{"reason", refusal}}.dump();
        respond_after(order_delay, exchange,
                      {refusal.empty() ? 200 : 409, "application/json", reply, {}});
    }

    /** @return why the order is refused; empty if it is accepted. */
    std::string maintain(const std::string& id, std::string wave)
    {
        std::erase(wave, '"');
        machine& m = machines_.at(id);
        if (has_maintained(wave, id)) {
            return "";
        }
        if (!m.wave.empty()) {
            return "busy";
        }
        on_shutdown(server_on(id));
        m.wave = wave;
        maintained_.emplace(wave, id);
        const auto down = static_cast<std::size_t>(std::ranges::count_if(
            machines_, [&](const auto& entry) { return entry.second.wave == wave; }));
        max_down_[wave] = std::max(max_down_[wave], down);
        timers_.push_back(loop_.after(duration, [&m] {
            m.wave.clear();
            ++m.life;
        }));
        return "";
    }

    nlohmann::json list() const
    {
        nlohmann::json out{{"machines", nlohmann::json::array()}, {"next_token", nullptr}};
        for (const auto& [id, m] : machines_) {
            out["machines"].push_back(
                {{"machine", id},
                 {"pool", pool.str()},
                 {"state", m.wave.empty() ? "up" : "upkeep"},
                 {"zone", "z"},
                 {"labels", {"a", "r1"}},
                 {"capacity", {{"cpu", 64000}, {"mem_mb", 64000}, {"gpu", 0}}},
                 {"id", m.wave.empty() ? server_on(id) : ""}});
        }
        return out;
    }

    void respond_after(milliseconds delay, http::exchange_id exchange, const http::response& reply)
    {
        if (delay == milliseconds{0}) {
            server_.respond(exchange, http::response{reply});
            return;
        }
        timers_.push_back(loop_.after(
            delay, [this, exchange, reply] { server_.respond(exchange, http::response{reply}); }));
    }

    event_loop& loop_;
    std::map<std::string, machine> machines_;
    /** Waves and the machines that were down for them. */
    std::set<std::pair<std::string, std::string>> maintained_;
    std::map<std::string, std::size_t> max_down_;
    std::vector<timer_handle> timers_;
    http::server server_;
};

} // namespace fescue::fakes
