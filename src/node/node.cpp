#include "node.h"

#include "answers.h"
#include "api.h"
#include "context.h"
#include "home.h"
#include "ingress.h"
#include "leader.h"

#include "fescuestream/base/codec.h"
#include "fescuestream/base/log.h"
#include "fescuestream/wire/frame.h"
#include "fescuestream/wire/transport.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <cstring>

namespace fescue::node {

namespace {

constexpr milliseconds heartbeat_period{250};
constexpr milliseconds housekeeping_period{10};
constexpr milliseconds report_period{200};
/** A report that says nothing new is sent this often. */
constexpr milliseconds same_report_period{600};
/** Least time between two reports when demand or a server calls for one. */
constexpr milliseconds report_pause{3};
constexpr milliseconds load_period{200};
constexpr milliseconds load_pause{20};
/** A balancer needs about this long to notice that the instance is not ready. */
constexpr milliseconds unready_grace{1000};
constexpr milliseconds longest_shutdown{30'000};
constexpr std::size_t most_strays = 4096;

std::string text_of(const http::endpoint& at)
{
    return at.ip + ":" + std::to_string(at.port);
}

std::vector<wire::peer_address> addresses_of(const settings::instance_settings& s)
{
    std::vector<wire::peer_address> out;
    for (const settings::peer& p : s.peers) {
        out.push_back({p.id, p.address});
    }
    return out;
}

std::uint64_t random_number()
{
    std::uint64_t out = 0;
    randombytes_buf(&out, sizeof out);
    return out;
}

} // namespace

struct instance::impl {
    event_loop& loop;
    settings::instance_settings settings;
    incarnation life;
    incarnation disk{0};
    metrics counters;
    decision_log decisions;
    http::client client;
    dispatch::router router;
    membership::heartbeat_table heartbeats;
    std::unique_ptr<wire::transport> transport;
    std::unique_ptr<control_plane> control;
    std::unique_ptr<context> shared;
    std::unique_ptr<home> homes;
    std::unique_ptr<ingress> entry;
    std::unique_ptr<leader> lead;
    std::unique_ptr<api> operators;
    std::unique_ptr<http::server> callers;
    std::unique_ptr<http::server> controls;
    std::vector<timer_handle> timers;
    std::vector<instance_id> neighbours;
    std::map<instance_id, incarnation> peer_lives;
    std::map<instance_id, std::uint64_t> peer_clusters;
    std::map<server_id, wire::announcement> strays;
    bool strays_are_new{false};
    std::uint64_t beat_sequence{0};
    mono_time last_report{};
    mono_time last_load{};
    std::string last_load_bytes;
    /** Peers that have the present load report. */
    std::set<instance_id> told_load;
    std::string last_report_bytes;
    mono_time last_whole_report{};
    mono_time cut_off_since{};
    mono_time shutdown_began{};
    bool resigned{false};
    int exit_code{0};

    impl(event_loop& l, settings::instance_settings s)
        : loop{l}, settings{std::move(s)}, life{random_number() >> 1U}, client{l}
    {
    }

    // ---- start

    status start()
    {
        auto opened = replication::open_disk(settings.data_folder);
        if (!ok(opened)) {
            return error_of(opened);
        }
        disk = value(opened).life;
        transport = std::make_unique<wire::transport>(
            loop, settings.cluster_secret, settings.listen.peers, addresses_of(settings),
            wire::transport_events{
                [this](const wire::hello& who, wire::message&& m) { received(who, std::move(m)); },
                [this](const wire::heartbeat& beat) { heartbeats.heard(beat, loop.now()); },
                [this](const wire::hello& who) { connected(who); },
                [this](const instance_id& who) { disconnected(who); }});
        control = std::make_unique<control_plane>(
            loop, settings.id, disk, std::move(value(opened).store), std::move(value(opened).found),
            control_events{[this](const instance_id& to, const wire::message& m) {
                               return transport->send(to, m);
                           },
                           [this](const catalogue::command& cmd,
                                  const catalogue::apply_result& /*outcome*/) { applied(cmd); },
                           [this] { restored(); }, [this](const error& e) { failed(e); }});
        make_parts();
        return open_ports();
    }

    void make_parts()
    {
        shared = std::make_unique<context>(context{loop,
                                                   settings,
                                                   *control,
                                                   counters,
                                                   decisions,
                                                   client,
                                                   router,
                                                   life,
                                                   {},
                                                   false,
                                                   {},
                                                   {},
                                                   {}});
        shared->serving = [this] { return serving(); };
        shared->cut_off_for = [this] { return cut_off_for(); };
        shared->send = [this](const instance_id& to, wire::message&& m) {
            return send(to, std::move(m));
        };
        homes = std::make_unique<home>(*shared);
        entry = std::make_unique<ingress>(*shared);
        lead = std::make_unique<leader>(*shared);
        operators = std::make_unique<api>(
            *shared, *lead,
            api_events{[this](const wire::announcement& info) { announced(info); },
                       [this] { return form(); }, [this] { homes->restored(); }});
    }

    status open_ports()
    {
        callers = std::make_unique<http::server>(
            loop, [this](http::exchange_id id, http::request&& in) { call(id, std::move(in)); });
        controls =
            std::make_unique<http::server>(loop, [this](http::exchange_id id, http::request&& in) {
                operators->take(id, std::move(in));
            });
        entry->set_server(*callers);
        operators->set_server(*controls);
        std::set<instance_id> peers;
        for (const settings::peer& p : settings.peers) {
            peers.insert(p.id);
        }
        control->replica().set_peers(peers);
        if (auto fault = callers->listen(settings.listen.callers, settings.tls)) {
            return fault;
        }
        if (auto fault = controls->listen(settings.listen.control, settings.tls)) {
            return fault;
        }
        if (auto fault = transport->start([this] { return hello(); })) {
            return fault;
        }
        if (settings.peers.empty() && !control->replica().formed()) {
            control->replica().form(random_number(), loop.now());
            if (settings.data_folder.empty()) {
                log::warning("no_disk", {{"effect", "the state is lost at the next stop"}});
            }
        }
        lead->greeted(hello());
        timers.push_back(loop.every(heartbeat_period, [this] { beat(); }));
        timers.push_back(loop.every(housekeeping_period, [this] { keep_house(); }));
        loop.at_round_end([this] { round_end(); });
        return std::nullopt;
    }

    wire::hello hello() const
    {
        wire::hello h;
        h.from = settings.id;
        h.life = life;
        h.disk = disk;
        h.cluster = control->replica().voters().cluster;
        h.data_centre = settings.data_centre;
        h.callers_address = text_of(settings.listen.callers);
        h.control_address = text_of(settings.listen.control);
        return h;
    }

    status form()
    {
        if (control->replica().formed()) {
            return std::nullopt;
        }
        if (settings.data_folder.empty() && !settings.peers.empty()) {
            return error{error_kind::conflict, "this instance has no disk; ask one that has"};
        }
        for (const auto& [id, cluster] : peer_clusters) {
            if (cluster != 0) {
                return error{error_kind::conflict,
                             "instance '" + id.str() + "' belongs to a formed system"};
            }
        }
        control->replica().form(random_number() | 1U, loop.now());
        log::info("formed", {{"instance", settings.id.str()}});
        return std::nullopt;
    }

    // ---- how this instance may serve

    membership::serving serving() const
    {
        membership::serving_inputs in;
        in.self = settings.id;
        in.now = loop.now();
        in.leader_lease_until = control->replica().lease_until();
        in.has_state = control->replica().formed() && control->state().applied > 0 &&
                       control->state().members.contains(settings.id) &&
                       control->state().members.at(settings.id).life == life;
        in.neighbours = neighbours;
        return membership::decide_serving(in, heartbeats);
    }

    milliseconds cut_off_for() const
    {
        const mono_time lease = control->replica().lease_until();
        const mono_time now = loop.now();
        return now < lease ? milliseconds{0}
                           : std::chrono::duration_cast<milliseconds>(now - lease);
    }

    void refresh_neighbours()
    {
        neighbours.clear();
        for (const auto& [id, m] : control->state().members) {
            if (id != settings.id && m.life != 0 && m.data_centre == settings.data_centre) {
                neighbours.push_back(id);
            }
        }
    }

    // ---- messages

    bool send(const instance_id& to, wire::message&& m)
    {
        if (to != settings.id) {
            return transport->send(to, m);
        }
        loop.soon([this, m = std::make_shared<wire::message>(std::move(m))] {
            deliver(settings.id, std::move(*m));
        });
        return true;
    }

    void received(const wire::hello& who, wire::message&& m)
    {
        const auto mine = control->replica().voters().cluster;
        if (mine != 0 && who.cluster != 0 && who.cluster != mine) {
            return;
        }
        deliver(who.from, std::move(m));
    }

    void deliver(const instance_id& from, wire::message&& m)
    {
        std::visit([&](auto&& body) { take(from, std::forward<decltype(body)>(body)); },
                   std::move(m));
    }

    void take(const instance_id& /*from*/, wire::hello&& /*m*/) {}
    /** Messages of the job service, which other instances speak. */
    template <class M>
    void take(const instance_id& from, M&& /*other*/)
    {
        log::warning("message_unexpected", {{"peer", from.str()}});
    }
    void take(const instance_id& from, consensus::append_request&& m) { step(from, std::move(m)); }
    void take(const instance_id& from, consensus::append_reply&& m) { step(from, m); }
    void take(const instance_id& from, consensus::vote_request&& m) { step(from, m); }
    void take(const instance_id& from, consensus::vote_reply&& m) { step(from, m); }
    void take(const instance_id& from, consensus::install_snapshot&& m)
    {
        step(from, std::move(m));
    }
    void step(const instance_id& from, consensus::message&& m) { control->received(from, m); }
    void take(const instance_id& from, wire::propose_request&& m) { control->received(from, m); }
    void take(const instance_id& from, wire::propose_reply&& m) { control->received(from, m); }
    void take(const instance_id& from, wire::control_call&& m)
    {
        operators->received(from, std::move(m));
    }
    void take(const instance_id& /*from*/, wire::control_reply&& m) { operators->received(m); }
    void take(const instance_id& from, wire::work&& m) { homes->submit(from, std::move(m)); }
    void take(const instance_id& from, wire::work_queued&& m) { entry->received(from, m); }
    void take(const instance_id& from, wire::start_ask&& m) { entry->received(from, m); }
    void take(const instance_id& /*from*/, wire::start_answer&& m) { homes->received(m); }
    void take(const instance_id& from, wire::work_reply&& m)
    {
        entry->received(from, std::move(m));
    }
    void take(const instance_id& /*from*/, wire::announcement&& m) { announced(m); }
    void take(const instance_id& from, wire::load_report&& m)
    {
        router.report(from, m, loop.now());
        entry->look_again();
    }
    void take(const instance_id& from, wire::instance_report&& m) { lead->received(from, m); }
    void take(const instance_id& /*from*/, wire::release_ask&& m) { homes->received(m); }

    void connected(const wire::hello& who)
    {
        const auto before = peer_lives.find(who.from);
        if (before != peer_lives.end() && before->second != who.life) {
            entry->home_lost(who.from);
        }
        peer_lives[who.from] = who.life;
        peer_clusters[who.from] = who.cluster;
        control->replica().peer_connected(who.from);
        lead->greeted(who);
        log::info("peer_connected", {{"peer", who.from.str()}});
    }

    void disconnected(const instance_id& who)
    {
        log::warning("peer_lost", {{"peer", who.str()}});
        lead->disconnected(who);
        told_load.erase(who);
        // Not from inside a send: the caller may be in the middle of its own work.
        loop.soon([this, who] { entry->home_lost(who); });
    }

    void applied(const catalogue::command& cmd)
    {
        if (std::holds_alternative<catalogue::instance_joined>(cmd)) {
            refresh_neighbours();
        }
        homes->applied(cmd);
        lead->applied(cmd);
    }

    void restored()
    {
        refresh_neighbours();
        homes->restored();
    }

    void failed(const error& e)
    {
        log::failure("stopping", {{"why", e.detail}});
        exit_code = 1;
        loop.stop();
    }

    // ---- servers

    void announced(const wire::announcement& info)
    {
        const auto& state = control->state();
        const bool same = shared->knows(info);
        const auto* record = state.home_of(info.data_centre, info.id);
        bool delivered = false;
        if (same && record != nullptr && record->home == settings.id && record->life == life) {
            homes->announce(info);
            delivered = true;
        } else if (same && record != nullptr && record->home != settings.id) {
            delivered = transport->send(record->home, info);
        }
        if (!delivered && strays.size() < most_strays) {
            strays_are_new = strays_are_new || !strays.contains(info.id);
            strays[info.id] = info;
        }
    }

    // ---- time

    void beat()
    {
        wire::heartbeat b;
        b.from = settings.id;
        b.life = life;
        b.sequence = ++beat_sequence;
        const auto left = control->replica().lease_until() - loop.now();
        b.lease_left_ms =
            std::clamp<std::int64_t>(std::chrono::duration_cast<milliseconds>(left).count(), 0,
                                     control->replica().intervals().lease.count());
        b.hears = heartbeats.all_heard(loop.now());
        // Only a data centre's own instances decide by whom they hear.
        transport->send_heartbeat(b, neighbours);
    }

    void keep_house()
    {
        const mono_time now = loop.now();
        lead->tick();
        operators->tick();
        if (now - last_report >= report_period) {
            report(now);
        }
        tell_load(now);
        for (const instance_id& silent : router.newly_silent(now)) {
            entry->home_silent(silent);
        }
        if (shared->draining) {
            continue_shutdown(now);
        }
    }

    void round_end()
    {
        const mono_time now = loop.now();
        if (now - last_report >= report_pause && (homes->take_blocked() || strays_are_new)) {
            report(now);
            lead->tick();
        }
        if (operators->orders_spread()) {
            operators->tick();
        }
    }

    void report(mono_time now)
    {
        last_report = now;
        wire::instance_report r;
        r.life = life;
        r.draining = shared->draining;
        homes->fill(r);
        for (auto& [id, info] : strays) {
            r.strays.push_back(std::move(info));
        }
        strays.clear();
        strays_are_new = false;
        for (const instance_id& id : neighbours) {
            if (!heartbeats.hears(id, now)) {
                r.not_heard.push_back(id);
            }
        }
        const auto& leader_id = control->replica().leader();
        const std::string bytes = leader_id.str() + to_bytes(r);
        if (bytes == last_report_bytes && now - last_whole_report < same_report_period) {
            return;
        }
        last_report_bytes = bytes;
        last_whole_report = now;
        if (leader_id == settings.id) {
            lead->received(settings.id, r);
        } else if (!leader_id.empty()) {
            transport->send(leader_id, r);
        }
    }

    void tell_load(mono_time now)
    {
        if (now - last_load < load_pause) {
            return;
        }
        const wire::load_report load = homes->load();
        const std::string bytes = to_bytes(load);
        const bool unchanged = bytes == last_load_bytes;
        if (unchanged && now - last_load < load_period) {
            return;
        }
        last_load = now;
        last_load_bytes = bytes;
        wire::load_report same;
        same.unchanged = true;
        for (const settings::peer& p : settings.peers) {
            const bool knows = unchanged && told_load.contains(p.id);
            if (transport->send(p.id, knows ? same : load)) {
                told_load.insert(p.id);
            }
        }
        router.report(settings.id, load, now);
        counters.gauge("control_bytes_sent", static_cast<double>(transport->bytes_sent()));
        counters.gauge("open_requests", static_cast<double>(entry->open_requests()));
    }

    // ---- callers

    void call(http::exchange_id id, http::request&& in)
    {
        if (in.path == "/healthz") {
            callers->respond(id, json_answer(200, R"({"alive":true})"));
            return;
        }
        if (in.path == "/readyz") {
            const bool ready = !shared->draining && serving() != membership::serving::none;
            callers->respond(id, json_answer(ready ? 200 : 503,
                                             ready ? R"({"ready":true})" : R"({"ready":false})"));
            return;
        }
        const bool late = shared->draining && loop.now() - shutdown_began > unready_grace;
        if (late) {
            counters.refused(error_kind::draining);
            callers->respond(id, refusal(error_kind::draining, ""));
            return;
        }
        entry->take(id, std::move(in));
    }

    // ---- planned stop

    void shut_down()
    {
        if (shared->draining) {
            return;
        }
        log::info("shutting_down");
        shared->draining = true;
        shutdown_began = loop.now();
    }

    bool holds_allotments() const
    {
        for (const auto& [team, holders] : control->state().allotments) {
            const auto held = holders.find(settings.id);
            if (held != holders.end() && held->second.life == life && held->second.counted > 0) {
                return true;
            }
        }
        return false;
    }

    bool is_home() const
    {
        for (const auto& [dc, shards] : control->state().homes) {
            for (const auto& r : shards) {
                if (r.home == settings.id && r.life == life) {
                    return true;
                }
            }
        }
        return false;
    }

    void continue_shutdown(mono_time now)
    {
        const auto since = now - shutdown_began;
        if (since < unready_grace) {
            return;
        }
        const bool alone = settings.peers.empty();
        homes->give_back_all();
        const bool busy = entry->open_requests() > 0 || homes->busy() > 0;
        const bool holds = !alone && (holds_allotments() || is_home());
        if ((busy || holds) && since < longest_shutdown) {
            return;
        }
        if (!alone && !resigned && control->replica().is_leader() && since < longest_shutdown) {
            resigned = true;
            control->replica().resign(now);
            timers.push_back(loop.after(heartbeat_period, [this] { loop.stop(); }));
            return;
        }
        if (!resigned) {
            log::info("stopped", {{"open_requests", entry->open_requests()}});
            loop.stop();
        }
    }
};

instance::instance(event_loop& loop, settings::instance_settings settings)
    : impl_{std::make_unique<impl>(loop, std::move(settings))}
{
}

instance::~instance() = default;

status instance::start()
{
    return impl_->start();
}

void instance::shut_down()
{
    impl_->shut_down();
}

int instance::exit_status() const noexcept
{
    return impl_->exit_code;
}

} // namespace fescue::node
