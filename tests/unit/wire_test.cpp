#include "fescuestream/base/codec.h"
#include "fescuestream/wire/frame.h"
#include "fescuestream/wire/message.h"

#include <doctest/doctest.h>

#include <random>

using namespace fescue;
using namespace fescue::wire;

TEST_CASE("frames are decoded unchanged for any split of the byte stream")
{
    const auto key = derive_key("secret", "test");
    frame_writer writer{key};
    std::string stream;
    for (int i = 0; i < 20; ++i) {
        stream += writer.write(std::string(static_cast<std::size_t>(i) * 37, 'a'));
    }
    std::mt19937 random{3};
    frame_reader reader{key};
    std::size_t offset = 0;
    std::size_t seen = 0;
    while (offset < stream.size()) {
        const std::size_t part = std::min<std::size_t>(1 + random() % 50, stream.size() - offset);
        reader.append(std::string_view{stream}.substr(offset, part));
        offset += part;
        while (true) {
            const auto next = reader.next();
            REQUIRE(ok(next));
            if (!value(next)) {
                break;
            }
            CHECK(value(next)->size() == seen++ * 37);
        }
    }
    CHECK(seen == 20);
}

TEST_CASE("a modified, replayed, reordered or foreign frame fails verification")
{
    const auto key = derive_key("secret", "test");
    frame_writer writer{key};
    const std::string first = writer.write("one");
    const std::string second = writer.write("two");
    const auto rejects = [&](const frame_key& with, const std::string& bytes) {
        frame_reader reader{with};
        reader.append(bytes);
        auto next = reader.next();
        while (ok(next) && value(next)) {
            next = reader.next();
        }
        return !ok(next);
    };
    CHECK_FALSE(rejects(key, first + second));
    CHECK(rejects(key, first + first));
    CHECK(rejects(key, second + first));
    CHECK(rejects(derive_key("other", "test"), first));
    for (std::size_t i = 4; i < first.size(); ++i) {
        std::string changed = first;
        changed[i] ^= 1;
        CHECK(rejects(key, changed));
    }
}

TEST_CASE("a message round-trips; truncated bytes are rejected; random bytes do not crash or "
          "exhaust memory")
{
    work w;
    w.id = request_id{"r"};
    w.body = "body";
    const std::string bytes = to_bytes(message{w});
    const auto again = from_bytes<message>(bytes);
    REQUIRE(ok(again));
    CHECK(std::get<work>(value(again)).body == "body");
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
        CHECK_FALSE(ok(from_bytes<message>(std::string_view{bytes}.substr(0, cut))));
    }
    std::mt19937 random{5};
    for (int i = 0; i < 5000; ++i) {
        std::string random_input(random() % 64, '\0');
        for (char& c : random_input) {
            c = static_cast<char>(random());
        }
        from_bytes<message>(random_input);
    }
}

TEST_CASE("decoding rejects a flag, an enumerator or a variant's index out of range")
{
    std::string flag = to_bytes(true);
    REQUIRE(ok(from_bytes<bool>(flag)));
    flag[0] = 2;
    CHECK_FALSE(ok(from_bytes<bool>(flag)));
    std::string present = to_bytes(std::optional<std::int32_t>{5});
    REQUIRE(ok(from_bytes<std::optional<std::int32_t>>(present)));
    present[0] = 2;
    CHECK_FALSE(ok(from_bytes<std::optional<std::int32_t>>(present)));
    using errors = std::vector<error>;
    REQUIRE(ok(from_bytes<errors>(to_bytes(errors{{error_kind::internal, ""}}))));
    CHECK_FALSE(ok(from_bytes<errors>(to_bytes(errors{{error_kind::number_of_kinds, ""}}))));
    using alternatives = std::variant<std::uint8_t, std::string>;
    for (const std::int32_t index : {-1, 2, INT32_MAX, INT32_MIN}) {
        CHECK_FALSE(ok(from_bytes<alternatives>(to_bytes(index) + std::string(16, '\0'))));
    }
}

TEST_CASE("decoding rejects lengths beyond the input before it allocates memory")
{
    for (const std::uint64_t length : {std::uint64_t{17}, std::uint64_t{1} << 40U, UINT64_MAX}) {
        const std::string bytes = to_bytes(length) + std::string(16, '\0');
        CHECK_FALSE(ok(from_bytes<std::string>(bytes)));
        CHECK_FALSE(ok(from_bytes<std::vector<std::uint64_t>>(bytes)));
        CHECK_FALSE(ok(from_bytes<std::vector<std::string>>(bytes)));
        CHECK_FALSE(ok(from_bytes<std::map<std::string, std::string>>(bytes)));
        CHECK_FALSE(ok(from_bytes<server_reports>(bytes)));
    }
    frame_reader reader{derive_key("secret", "test")};
    const std::uint32_t size = max_frame_bytes + 1;
    reader.append(std::string(reinterpret_cast<const char*>(&size), sizeof size) +
                  std::string(tag_bytes, 'x'));
    CHECK_FALSE(ok(reader.next()));
}
