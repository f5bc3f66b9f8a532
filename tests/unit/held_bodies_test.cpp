#include "fescuestream/http/held_bodies.h"

#include "fescuestream/settings/job_service.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace fescue::http;
using namespace std::chrono_literals;

namespace {

constexpr mono_time start{1h};

} // namespace

// Fails if many small bodies together may hold more than the maximum.
TEST_CASE("held bodies: all bodies together stay within the maximum")
{
    held_bodies held{100};
    for (body_id id = 1; id <= 3; ++id) {
        held.begin(id, start);
    }
    CHECK(held.try_resize(1, 60));
    CHECK_FALSE(held.try_resize(2, 41));
    CHECK(held.try_resize(2, 40));
    CHECK(held.bytes() == 100);
    CHECK_FALSE(held.try_resize(1, 61));
    CHECK(held.try_resize(1, 10));
    CHECK(held.try_resize(3, 50));
    held.remove(2);
    CHECK(held.bytes() == 60);
    CHECK_FALSE(held.try_resize(3, SIZE_MAX));
}

// Fails if a client that is still sending is dropped in favour of one that has stopped.
TEST_CASE("held bodies: the body without progress for the longest time is dropped first")
{
    held_bodies held{100};
    for (body_id id = 1; id <= 3; ++id) {
        held.begin(id, start + milliseconds{id});
        held.try_resize(id, 10);
    }
    held.record_progress(1, start + 1s);
    CHECK(held.longest_stalled(0, 1) == 2);
    CHECK(held.longest_stalled(2, 1) == 3);
    held.try_resize(2, 0);
    CHECK(held.longest_stalled(0, 1) == 3);
    CHECK(held.longest_stalled(0, 0) == 2);
    CHECK(held.stalled_since(start + 2ms) == 2);
    CHECK_FALSE(held.stalled_since(start + 1ms));
}

// Fails if a request that was received whole, and may have taken effect, is dropped.
TEST_CASE("held bodies: complete bodies are never dropped and count until they are removed")
{
    held_bodies held{100};
    held.begin(1, start);
    held.try_resize(1, 80);
    held.complete(1);
    held.record_progress(1, start + 1s);
    CHECK_FALSE(held.longest_stalled(0, 0));
    CHECK_FALSE(held.stalled_since(start + 1h));
    held.begin(2, start);
    CHECK_FALSE(held.try_resize(2, 21));
    held.remove(1);
    held.remove(1);
    CHECK(held.try_resize(2, 21));
}

TEST_CASE("settings: limits on requests are read and checked")
{
    const auto parse = [](const std::string& http) {
        return settings::parse_job_service(
            R"({"role": "entry", "id": "e", "data_centre": "d", "seeds": ["127.0.0.1"],
                "listen": {"peers": "127.0.0.1:1", "callers": "127.0.0.1:2", "readiness": "127.0.0.1:3"},
                "http": )" +
            http + "}");
    };
    const auto limited = parse(R"({"max_body_bytes": 1000, "max_held_body_bytes": 2000,
                                   "body_stall_ms": 3000, "max_connections": 40,
                                   "header_timeout_ms": 4000, "idle_timeout_ms": 5000,
                                   "head_buffer_bytes": 65536})");
    REQUIRE(std::holds_alternative<settings::job_service_settings>(limited));
    const auto& limits = std::get<settings::job_service_settings>(limited).request_limits;
    CHECK(limits.max_body_bytes == 1000);
    CHECK(limits.max_held_body_bytes == 2000);
    CHECK(limits.body_stall_time == 3s);
    CHECK(limits.max_connections == 40);
    CHECK(limits.header_timeout == 4s);
    CHECK(limits.idle_timeout == 5s);
    CHECK(limits.head_buffer_bytes == 65536);
    CHECK(std::holds_alternative<settings::job_service_settings>(parse("{}")));
    for (const char* wrong :
         {R"({"max_body_bytes": 0})", R"({"max_held_body_bytes": 4096})",
          R"({"body_stall_ms": -1})", R"({"header_timeout_ms": 0})", R"({"idle_timeout_ms": 0})",
          R"({"head_buffer_bytes": 100})", R"({"unknown": 1})"}) {
        CAPTURE(wrong);
        CHECK(std::holds_alternative<json::field_errors>(parse(wrong)));
    }
}
