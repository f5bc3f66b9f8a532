#include "fescuestream/base/log.h"
#include "fescuestream/base/log_limiter.h"

#include <doctest/doctest.h>

using namespace fescue;
using namespace std::chrono_literals;

TEST_CASE("log: quoted input neither writes control characters nor grows a line without bound")
{
    CHECK(log::printable("i-7f3a91c2") == "i-7f3a91c2");
    CHECK(log::printable("a\nb\x1b[31m\xff") == "a\\x0ab\\x1b[31m\\xff");
    const std::string cut = log::printable(std::string(4U << 20U, '\0'));
    CHECK(cut.size() < 3000);
    CHECK(cut.ends_with("..."));
}

TEST_CASE("log: repeated lines of one writer are counted and do not hold back those of others")
{
    log::limiter limiter;
    const mono_time t{1h};
    CHECK(limiter.admit("i-1 bad", t) == 1);
    CHECK(limiter.admit("i-1 bad", t + 1s) == 0);
    CHECK(limiter.admit("i-1 bad", t + 9s) == 0);
    CHECK(limiter.admit("i-2 bad", t + 9s) == 1);
    CHECK(limiter.admit("i-1 bad", t + 10s) == 3);
    CHECK(limiter.admit("i-1 bad", t + 11s) == 0);
}

TEST_CASE("log: the lines of any number of writers stay bounded")
{
    log::limiter limiter;
    const mono_time t{1h};
    std::uint64_t lines = 0;
    for (int i = 0; i < 100'000; ++i) {
        lines += limiter.admit("writer " + std::to_string(i), t) > 0 ? 1 : 0;
    }
    CHECK(lines <= 300);
    CHECK(limiter.admit("later", t + 20s) == 1);
}
