#include "control.h"
#include "documents.h"
#include "fleet/validation.h"
#include "json_fields.h"
#include "machines.h"
#include "orders.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

using namespace fescue;
using namespace fescue::platform;

namespace {

constexpr std::size_t deep = 1'000'000;
constexpr const char* two_to_64_less_1 = "18446744073709551615";
constexpr const char* two_to_63 = "9223372036854775808";
constexpr const char* least_int64 = "-9223372036854775808";

std::string nested_arrays(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

http::client_response response_with(std::string body)
{
    http::client_response out;
    out.outcome = http::delivery::answered;
    out.status = 200;
    out.body = std::move(body);
    return out;
}

/** A valid report in which the value of one field, given as JSON text, can be replaced. */
std::string report_with(const std::string& field = "", const std::string& json_text = "")
{
    const std::array<std::pair<std::string, std::string>, 10> fields{
        {{"service", R"("huvo11a")"},
         {"address", R"("10.128.0.9:8080")"},
         {"zone", R"("zona-sanjose")"},
         {"state", R"("draining")"},
         {"remaining_ms", "400"},
         {"capacity", R"({"cpu":16000,"mem_mb":32768,"gpu":0})"},
         {"labels", R"(["a","r1-3"])"},
         {"wall_clock_ms", "482113"},
         {"seq", "4"},
         {"born", "1786000000000"}}};
    std::string out;
    for (const auto& [name, value] : fields) {
        out += (out.empty() ? "{\"" : ",\"") + name + "\":" + (name == field ? json_text : value);
    }
    return out + "}";
}

bool takes_report(const std::string& body, const std::string& id = "i-7f3a91c2")
{
    return ok(parse_control_request("PUT", "/instances/" + id, body));
}

/** A valid step of a job with additional fields, given as JSON text. */
std::string job_with(const std::string& fields, const std::string& job_fields = "")
{
    return R"({"spec":"x","steps":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":900)" + fields +
           "}]" + job_fields + "}";
}

std::string document_with(const std::string& route_fields, const std::string& tenant_fields = "")
{
    return R"({"version":7,"services":[{"name":"s"}],"routes":[{"name":"r","host":"h",)"
           R"("path_prefix":"/p/","service":"s","timeout_ms":3000)" +
           route_fields + R"(}],"tenants":[{"name":"t","api_keys":["k"])" + tenant_fields + "}]}";
}

std::string poll_body(const std::string& active, const std::string& finished = "",
                      const std::string& fields = R"("wall_clock_ms":5000)")
{
    return "{" + fields + R"(,"active":[)" + active + R"(],"finished":[)" + finished + "]}";
}

const std::string good_run = R"(["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,7])";
const std::string good_machine =
    R"({"machine":"m-1","pool":"p","state":"up","zone":"z","labels":["a","r1"],)"
    R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"id":"i-1"})";

} // namespace

TEST_CASE("odd entries: a deeply nested page token does not end the process")
{
    const auto page = parse_machine_page(
        response_with(R"({"machines":[],"next_token":)" + nested_arrays(deep) + "}"));
    CHECK_FALSE(ok(page));
}

TEST_CASE("odd entries: a deeply nested wave id does not end the process")
{
    const auto request =
        make_maintenance_request("127.0.0.1:1", "m-1", nested_arrays(deep), {"core-1", 1});
    CHECK(request.body.find("\"rollout_batch\":\"[[") != std::string::npos);
}

TEST_CASE("odd entries: deeply nested bodies are refused")
{
    constexpr std::size_t allowed_depth = 64;
    const std::string nested = nested_arrays(deep);
    CHECK_FALSE(parse_json(nested));
    CHECK_FALSE(parse_json(std::string(deep, '[')));
    CHECK_FALSE(parse_json(R"({"a":)" + nested + "}"));
    CHECK_FALSE(takes_report(nested));
    CHECK_FALSE(takes_report(report_with("labels", nested)));
    CHECK_FALSE(ok(parse_control_request("PUT", "/config", nested)));
    CHECK_FALSE(ok(parse_control_request("POST", "/wave-start", nested)));
    CHECK_FALSE(ok(parse_job(nested)));
    CHECK_FALSE(ok(parse_poll_reply(response_with(nested))));
    CHECK(parse_order_reply(response_with(nested)).result == fleet::order_result::accepted);
    CHECK(parse_machine_reply(response_with(nested)) == fleet::machine_result::accepted);
    CHECK(parse_json(nested_arrays(allowed_depth)));
    CHECK_FALSE(parse_json(nested_arrays(allowed_depth + 1)));
    CHECK(parse_json(R"(["[[[\"[[[", "\\"])"));
}

TEST_CASE("odd entries: an unsigned number above 2^63 does not turn negative")
{
    CHECK_FALSE(takes_report(report_with("wall_clock_ms", two_to_63)));
    const json_value object{{"n", 9223372036854775808ULL}};
    json_fields fields{object, ""};
    CHECK(fields.number("n") == 0);
    CHECK(fields.failed());
}

TEST_CASE("odd entries: a report with a number out of range is refused")
{
    REQUIRE(takes_report(report_with()));
    CHECK(takes_report(report_with("capacity", R"({"cpu":0,"mem_mb":0})")));
    CHECK(takes_report(report_with("capacity", R"({"cpu":1000000000,"mem_mb":1000000000})")));
    for (const char* amount : {two_to_64_less_1, two_to_63, least_int64, "-5", "1000000001",
                               "1e400", "1.5", "\"4\"", "true", "[]"}) {
        CAPTURE(std::string{amount});
        for (const char* name : {"cpu", "mem_mb", "gpu"}) {
            CHECK_FALSE(takes_report(
                report_with("capacity", "{\"" + std::string{name} + "\":" + amount + "}")));
        }
    }
    for (const char* number : {two_to_64_less_1, two_to_63, least_int64, "1e400", "1.5", "\"4\"",
                               "NaN", "true", "[]", "{}"}) {
        CAPTURE(std::string{number});
        for (const char* name : {"born", "seq", "wall_clock_ms", "remaining_ms"}) {
            CHECK_FALSE(takes_report(report_with(name, number)));
        }
    }
    for (const char* number : {"-1", "253402300800000"}) {
        CHECK_FALSE(takes_report(report_with("born", number)));
        CHECK_FALSE(takes_report(report_with("remaining_ms", number)));
    }
    CHECK_FALSE(takes_report(report_with("seq", "-1")));
    CHECK_FALSE(takes_report(report_with("wall_clock_ms", "253402300800000")));
}

TEST_CASE("odd entries: a report with an unusable address is refused")
{
    CHECK(takes_report(report_with("address", R"("10.0.0.1:65535")")));
    for (const char* address :
         {R"("10.0.0.1:65536")", R"("10.0.0.1:0")", R"("10.0.0.1:-1")", R"("10.0.0.1:99999999999")",
          R"("10.0.0.1:80x")", R"("10.0.0.1:")", R"("10.0.0.1")", R"("server.example:80")",
          R"("[::1]:80")", R"("10.0.0.1\u0000.example:80")", R"("10.0.0.256:80")", R"("")", "null",
          "8080", R"(["10.0.0.1:80"])"}) {
        CAPTURE(std::string{address});
        CHECK_FALSE(takes_report(report_with("address", address)));
    }
}

TEST_CASE("odd entries: a report whose names can't be used is refused")
{
    CHECK(takes_report(report_with(), std::string(128, 'i')));
    for (const std::string& id :
         {std::string(), std::string(129, 'i'), std::string("i-1\r\nKey: k"), std::string("i 1"),
          std::string("i-\x01"), std::string("i-\xff"), std::string("i-\0", 3)}) {
        CAPTURE(id);
        CHECK_FALSE(takes_report(report_with(), id));
    }
    const std::string long_text = '"' + std::string(4U << 20U, 'x') + '"';
    for (const char* name : {"service", "zone", "state"}) {
        CHECK_FALSE(takes_report(report_with(name, long_text)));
        CHECK_FALSE(takes_report(report_with(name, R"("a\nb")")));
        CHECK_FALSE(takes_report(report_with(name, "\"\xc3\x28\"")));
        CHECK_FALSE(takes_report(report_with(name, "7")));
        CHECK_FALSE(takes_report(report_with(name, R"("")")));
    }
    for (const std::string& labels :
         {std::string{R"(["a",7])"}, std::string{R"({"a":"b"})"}, std::string{R"("a")"},
          std::string{R"(["a","r\u0000"])"}, "[" + long_text + "]"}) {
        CHECK_FALSE(takes_report(report_with("labels", labels)));
    }
    std::string many = R"(["a")";
    for (int i = 0; i < 100'000; ++i) {
        many += R"(,"b")";
    }
    CHECK_FALSE(takes_report(report_with("labels", many + "]")));
}

TEST_CASE("odd entries: bytes that are no JSON object are refused")
{
    for (const std::string& body :
         {std::string{}, std::string{"null"}, std::string{"[]"}, std::string{"7"}, std::string{"{"},
          std::string("\0\0", 2), std::string{"\xff\xfe{}"}, report_with() + "}",
          report_with().substr(0, 40)}) {
        CHECK_FALSE(takes_report(body));
    }
    // RFC 8259 leaves the meaning of duplicate names open; the last one counts.
    const std::string body = report_with();
    CHECK(takes_report(R"({"seq":-1,)" + body.substr(1)));
    CHECK_FALSE(takes_report(body.substr(0, body.size() - 1) + R"(,"seq":-1})"));
}

TEST_CASE("odd entries: an odd figure in a row of active costs that figure alone")
{
    for (const char* percent : {"1e300", "-1e300", "101", "-1", two_to_64_less_1, least_int64}) {
        CAPTURE(std::string{percent});
        const auto reply = parse_poll_reply(response_with(
            poll_body(good_run + R"(,["5c0e7a21d94b36f8.0.1.18",1,"",)" + percent + ",1e300]")));
        REQUIRE(ok(reply));
        REQUIRE(value(reply).active.size() == 2);
        CHECK(value(reply).active[0].percent == 41);
        CHECK(value(reply).active[0].load_metric == 7);
        const int read = value(reply).active[1].percent;
        CHECK((read == 0 || read == 100));
        CHECK(value(reply).active[1].load_metric == 0);
    }
}

TEST_CASE("odd entries: an attempt beyond 32 bits is not read as another attempt")
{
    for (const char* attempt : {"4294967297", two_to_64_less_1}) {
        const auto active = parse_poll_reply(response_with(
            poll_body(R"(["5c0e7a21d94b36f8.0.1.17",)" + std::string{attempt} + R"(,"",41])")));
        const auto finished = parse_poll_reply(response_with(poll_body(
            "", R"([1,"5c0e7a21d94b36f8.0.1.17",)" + std::string{attempt} + R"(,"done",""])")));
        for (const auto& reply : {active, finished}) {
            const bool read_as_another =
                ok(reply) &&
                ((!value(reply).active.empty() && value(reply).active[0].run.attempt != 0) ||
                 (!value(reply).ended.empty() && value(reply).ended[0].run.attempt != 0));
            CHECK_FALSE(read_as_another);
        }
    }
}

TEST_CASE("odd entries: an end with a huge number does not hide the ends after it")
{
    // Ends up to the highest number that was read are acknowledged and not read again.
    for (const char* number : {two_to_64_less_1, two_to_63, "1000000000001"}) {
        CAPTURE(std::string{number});
        CHECK_FALSE(ok(parse_poll_reply(response_with(poll_body(
            "", "[" + std::string{number} + R"(,"5c0e7a21d94b36f8.0.1.17",2,"done",""])")))));
    }
}

TEST_CASE("odd entries: a clock or life out of range in a reply is not taken")
{
    for (const char* number : {two_to_64_less_1, "253402300800000", least_int64}) {
        const std::string n{number};
        CHECK_FALSE(
            ok(parse_poll_reply(response_with(poll_body("", "", "\"wall_clock_ms\":" + n)))));
        CHECK_FALSE(ok(parse_poll_reply(
            response_with(poll_body("", "", "\"wall_clock_ms\":5,\"born\":" + n)))));
        const auto reply = parse_order_reply(response_with("{\"wall_clock_ms\":" + n + "}"));
        CHECK(reply.result == fleet::order_result::accepted);
        CHECK_FALSE(reply.clock_ms);
    }
}

TEST_CASE("odd entries: a machine that can't be read costs that machine alone")
{
    const std::string with_capacity = R"({"machine":"m-2","pool":"p","state":"up","capacity":)";
    for (const std::string& odd :
         {std::string{"7"}, std::string{"null"}, std::string{"[]"}, std::string{"{}"},
          std::string{R"({"machine":7})"}, std::string{R"({"machine":"m-2","labels":{}})"},
          std::string{R"({"machine":"m-2","pool":7})"}, std::string{"\"\xff\""},
          with_capacity + R"({"cpu":18446744073709551615}})", with_capacity + R"({"cpu":-5}})",
          with_capacity + R"({"cpu":1e400}})", with_capacity + "[]}",
          with_capacity + nested_arrays(deep) + "}", nested_arrays(deep),
          R"({"machine":")" + std::string(100'000, 'x') + "\"}"}) {
        CAPTURE(odd.substr(0, 100));
        const auto page = parse_machine_page(response_with(
            "{\"machines\":[" + odd + "," + good_machine + "],\"next_token\":\"2\"}"));
        REQUIRE(ok(page));
        REQUIRE(value(page).machines.size() == 1);
        CHECK(value(page).machines[0].id == "m-1");
        CHECK(value(page).machines[0].capacity.cpu_milli == 16'000);
        CHECK(value(page).next == "2");
    }
    CHECK_FALSE(ok(parse_machine_page(response_with(R"({"machines":[)" + good_machine))));
    CHECK_FALSE(ok(parse_machine_page(response_with(R"({"machines":7})"))));
    CHECK_FALSE(ok(parse_machine_page(response_with("[]"))));
    // Without its token, the rest of the list would seem to be missing.
    CHECK_FALSE(ok(parse_machine_page(response_with(R"({"machines":[],"next_token":1e400})"))));
    CHECK(value(parse_machine_page(response_with(R"({"machines":[],"next_token":7})"))).next ==
          "7");
}

TEST_CASE("odd entries: an order is encoded even if a text in it is not valid UTF-8")
{
    fleet::start_order order;
    order.payload = "\xff";
    order.checkpoint = "\xc3\x28";
    CHECK_FALSE(make_start_request({"127.0.0.1:1", server_id{"i-1"}}, order).body.empty());
    CHECK_FALSE(make_move_machine_request("127.0.0.1:1", "\xff", pool_id{"\xfe"}, {"core-1", 1})
                    .body.empty());
}

TEST_CASE("odd entries: a job with a number out of range is refused")
{
    REQUIRE(ok(parse_job(job_with(""))));
    for (const char* number : {"-1", "-4294967295", least_int64, "1.5", "\"1\""}) {
        CAPTURE(std::string{number});
        for (const char* name : {"anti_affinity", "max_unavailable", "estimate_ms", "slo_ms"}) {
            CHECK_FALSE(ok(parse_job(job_with(",\"" + std::string{name} + "\":" + number))));
        }
        for (const char* name : {"repeat_count", "interval_ms"}) {
            CHECK_FALSE(ok(parse_job(job_with("", ",\"" + std::string{name} + "\":" + number))));
        }
    }
    CHECK_FALSE(ok(parse_job(job_with(R"(,"depends_on":[4294967296])"))));
}

TEST_CASE("odd entries: a limit of a job beyond 32 bits stays a high limit")
{
    const auto job = parse_job(
        job_with(R"(,"anti_affinity":4294967297,"max_unavailable":18446744073709551615)"));
    REQUIRE(ok(job));
    CHECK(value(job).steps[0].max_per_server == UINT32_MAX);
    CHECK(value(job).steps[0].max_unavailable == UINT32_MAX);
}

TEST_CASE("odd entries: sums and products over a job's largest numbers stay in range")
{
    constexpr std::int64_t largest_sum = INT64_MAX / 100'000;
    const auto job = parse_job(job_with(
        R"(,"gpu":1000000000000,"slo_ms":9223372036854775807)",
        R"(,"repeat_count":1000000,"interval_ms":9223372036854775807,"start_at_ms":9223372036854775807)"));
    if (ok(job)) {
        const auto& spec = value(job);
        CHECK(spec.steps[0].need.accelerators <= largest_sum);
        CHECK(spec.schedule.interval_ms <= (INT64_MAX - spec.schedule.first_at) / 1'000'000);
    }
}

TEST_CASE("odd entries: a document with a number out of range is refused")
{
    REQUIRE(ok(parse_document(document_with(""))));
    for (const char* number : {"-1", "-4294967295", least_int64, "1.5"}) {
        CAPTURE(std::string{number});
        CHECK_FALSE(ok(parse_document(document_with(",\"max_attempts\":" + std::string{number}))));
        CHECK_FALSE(
            ok(parse_document(document_with(",\"target_latency_ms\":" + std::string{number}))));
    }
    for (const char* number : {"4294967296", "2147483648", two_to_64_less_1, least_int64, "1.5"}) {
        CHECK_FALSE(ok(parse_document(document_with(",\"priority\":" + std::string{number}))));
    }
    const auto many = parse_document(document_with(R"(,"max_attempts":4294967297)"));
    REQUIRE(ok(many));
    CHECK(value(many).queues.begin()->second.terms.max_failed_runs == UINT32_MAX);
    CHECK(ok(parse_document(document_with("", R"(,"cap":{"cpu":9223372036854775807})"))));
    CHECK(ok(parse_document(document_with(R"(,"max_attempts":0,"priority":2147483647)"))));
}

TEST_CASE("odd entries: a wave with a number out of range is refused")
{
    const auto takes = [](const std::string& fields) {
        return ok(parse_control_request(
            "POST", "/wave-start", R"({"rollout_batch":1,"machines":["m-1"],)" + fields + "}"));
    };
    CHECK(takes(R"("duration_s":20,"cap":1)"));
    CHECK(takes(R"("duration_s":0.5)"));
    CHECK_FALSE(takes(R"("duration_s":1e300,"cap":1)"));
    CHECK_FALSE(takes(R"("duration_s":-1e300,"cap":1)"));
    CHECK_FALSE(takes(R"("duration_s":20,"cap":-1)"));
    CHECK_FALSE(takes(R"("duration_s":20,"cap":1e400)"));
}

TEST_CASE("odd entries: a report from another scheduler is held to the checks of the server's own")
{
    const auto parsed = parse_control_request("PUT", "/instances/i-1", report_with());
    REQUIRE(ok(parsed));
    const auto good = std::get<jobs::server_report>(value(parsed));
    CHECK_FALSE(fleet::check_report(good));
    const auto refuses = [&](auto change) {
        jobs::server_report odd = good;
        change(odd);
        const auto decoded = from_bytes<jobs::server_report>(to_bytes(odd));
        return ok(decoded) && fleet::check_report(value(decoded));
    };
    using report = jobs::server_report;
    CHECK(refuses([](report& r) { r.id = server_id{"i-1\r\nKey: k"}; }));
    CHECK(refuses([](report& r) { r.id = server_id{}; }));
    CHECK(refuses([](report& r) { r.address = "10.0.0.1:65536"; }));
    CHECK(refuses([](report& r) { r.address = ""; }));
    CHECK(refuses([](report& r) { r.capacity.cpu_milli = -1; }));
    CHECK(refuses([](report& r) { r.capacity.memory_mb = INT64_MAX; }));
    CHECK(refuses([](report& r) { r.capacity.accelerators = INT64_MIN; }));
    CHECK(refuses([](report& r) { r.incarnation_id = UINT64_MAX; }));
    CHECK(refuses([](report& r) { r.clock_ms = INT64_MAX; }));
    CHECK(refuses([](report& r) { r.remaining_ms = -1; }));
    CHECK(refuses([](report& r) { r.pool = pool_id{"\xff"}; }));
    CHECK(refuses([](report& r) { r.labels.assign(65, "a"); }));
}

// Fails if a text of a few megabytes takes several hundred when it is parsed.
TEST_CASE("odd entries: a text with millions of values is refused before it is parsed")
{
    const auto list = [](std::size_t values) {
        std::string text = "[";
        for (std::size_t i = 1; i < values; ++i) {
            text += "{},";
        }
        return text + "{}]";
    };
    CHECK(json::parse_untrusted(list(json::max_values / 2 - 1)));
    CHECK_FALSE(json::parse_untrusted(list(json::max_values)));
    // In a list of several writers, the entries beyond the limit are left out.
    const auto lists =
        json::parse_untrusted_lists(R"({"a":[1,)" + list(json::max_values) + R"(,2],"b":[3]})");
    REQUIRE(lists);
    CHECK(lists->at("a").at(0) == 1);
    CHECK(lists->at("a").at(1).is_discarded());
    CHECK(lists->at("a").at(2) == 2);
    CHECK(lists->at("b").at(0) == 3);
    std::string many = "[0";
    for (std::size_t i = 0; i <= json::max_values; ++i) {
        many += ",0";
    }
    const auto long_list = json::parse_untrusted_lists(R"({"a":)" + many + R"(],"b":[3]})");
    REQUIRE(long_list);
    CHECK(long_list->at("a").is_discarded());
    CHECK(long_list->at("b").at(0) == 3);
    // Characters of strings do not count.
    CHECK(json::parse_untrusted('"' + std::string(json::max_values + 1, ',') + '"'));
}

TEST_CASE("odd entries: limits of a document are read without the rest, and odd ones are none")
{
    const auto limits = platform::parse_caller_limits(
        R"({"routes":[{"limits":{"max_body_bytes":1}}],"limits":{"max_header_bytes":2,"max_body_bytes":3,)"
        R"("header_timeout_ms":-4,"idle_timeout_ms":"5"}})");
    CHECK(limits.max_head_bytes == 2);
    CHECK(limits.max_body_bytes == 3);
    CHECK(limits.header_timeout_ms == 0);
    CHECK(limits.idle_timeout_ms == 0);
    for (const char* odd :
         {"", "[]", "{}", R"({"limits":[]})", R"({"limits":{)", R"({"limits":null})"}) {
        CAPTURE(odd);
        CHECK(platform::parse_caller_limits(odd).max_body_bytes == 0);
    }
}
