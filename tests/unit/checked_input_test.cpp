#include "fescuestream/catalogue/document.h"
#include "fescuestream/settings/settings.h"

#include <doctest/doctest.h>
#include <sys/stat.h>

#include <cstdio>
#include <fstream>

using namespace fescue;

namespace {

std::string errors_of(const settings::load_result& r)
{
    const auto* field_errors = std::get_if<json::field_errors>(&r);
    return field_errors == nullptr ? "" : json::to_text(*field_errors);
}

std::string errors_of(const catalogue::parse_result& r)
{
    const auto* field_errors = std::get_if<json::field_errors>(&r);
    return field_errors == nullptr ? "" : json::to_text(*field_errors);
}

bool contains(const std::string& text, const char* part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("settings: id and data_centre are sufficient, and comments are allowed")
{
    const auto r = settings::parse(R"({ "id": "e1", "data_centre": "dc" /* here */ } // end)");
    REQUIRE(errors_of(r).empty());
    CHECK(std::get<settings::instance_settings>(r).listen.callers.port == 8080);
}

TEST_CASE("settings: every error is reported with its path")
{
    const auto text = errors_of(settings::parse(R"({
        "id": "", "listen": { "callers": "nowhere", "colour": 1 }, "log_level": "loud",
        "peers": [ { "id": "e2", "data_centre": "dc", "address": "1.2.3.4:99999" } ],
        "data_folder": 5 })"));
    for (const char* path : {"id:", "data_centre: is required", "listen.callers:", "listen.colour:",
                             "log_level:", "peers[0].address:", "data_folder:"}) {
        CAPTURE(path);
        CHECK(contains(text, path));
    }
}

TEST_CASE("settings: non-loopback addresses require secrets, and secret files must be private to "
          "the owner")
{
    const auto without_secrets = errors_of(settings::parse(
        R"({ "id": "e", "data_centre": "d", "listen": { "peers": "10.0.0.1:1", "control": "10.0.0.1:2" } })"));
    CHECK(contains(without_secrets,
                   "listen.peers: a non-loopback address needs cluster_secret_file"));
    CHECK(contains(without_secrets,
                   "listen.control: a non-loopback address needs operator_token_file"));
    const std::string file = "secret-for-test";
    std::ofstream{file} << "0123456789abcdef\n";
    chmod(file.c_str(), 0644);
    json::field_errors field_errors;
    settings::read_secret(file, "cluster_secret_file", field_errors);
    CHECK(contains(json::to_text(field_errors), "can be read by others"));
    chmod(file.c_str(), 0600);
    field_errors.clear();
    CHECK(settings::read_secret(file, "x", field_errors) == "0123456789abcdef");
    CHECK(field_errors.empty());
    std::remove(file.c_str());
}

TEST_CASE("catalogue: every error is reported with its path")
{
    const auto text = errors_of(catalogue::parse(R"({
        "teams": { "north": { "share": 0, "upper_limit": -1 }, "bad name": {} },
        "services": { "pay": { "pool": "none", "owner": "nobody", "class": "rush",
                               "timeout_ms": 1.5, "open": "yes", "limit": 3 } },
        "pools": { "a": { "spare": true }, "b": { "spare": true } },
        "zones": {} })"));
    for (const char* path :
         {"teams.north.share:", "teams.north.upper_limit:", "'bad name' is not a name",
          "services.pay.pool: there is no pool", "services.pay.owner: there is no team",
          "services.pay.class:", "services.pay.timeout_ms:", "services.pay.open:",
          "services.pay.limit: is not a known field", "pools: more than one", "zones: is not"}) {
        CAPTURE(path);
        CHECK(contains(text, path));
    }
    CHECK(contains(errors_of(catalogue::parse("{")), "not JSON"));
    CHECK(contains(errors_of(catalogue::parse(R"({"pools":{"a":{},"a":{}}})")), "stands twice"));
    CHECK(contains(errors_of(catalogue::parse("[]")), "must be an object"));
}

TEST_CASE("catalogue: writing and parsing it again preserves it")
{
    const auto first = catalogue::parse(
        R"({"teams":{"n":{"share":2.5}},"pools":{"p":{}},"services":{"s":{"pool":"p","owner":"n","open":true}}})");
    REQUIRE(errors_of(first).empty());
    const auto text = catalogue::to_json(std::get<catalogue::document>(first));
    const auto second = catalogue::parse(text);
    REQUIRE(errors_of(second).empty());
    CHECK(catalogue::to_json(std::get<catalogue::document>(second)) == text);
}
