#include "fescuestream/store/store.h"

#include "fakes/temporary_folder.h"
#include "fescuestream/base/codec.h"

#include <doctest/doctest.h>
#include <sys/stat.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

using namespace fescue;
using namespace fescue::store;
using fakes::temporary_folder;
namespace fs = std::filesystem;

namespace {

std::string read(const std::string& file)
{
    std::ifstream in{file, std::ios::binary};
    return {std::istreambuf_iterator<char>{in}, {}};
}

void write(const std::string& file, const std::string& bytes)
{
    std::ofstream{file, std::ios::binary | std::ios::trunc} << bytes;
}

void append_entries(const std::string& folder, int entries)
{
    auto opened = disk_store::open(folder);
    REQUIRE(ok(opened));
    auto& disk = value(opened);
    for (int i = 1; i <= entries; ++i) {
        disk.append(
            {1, static_cast<log_index>(i), entry_kind::command, "entry " + std::to_string(i)});
        REQUIRE_FALSE(disk.sync());
    }
}

} // namespace

TEST_CASE("synced entries are read back and the disk keeps its identity")
{
    const temporary_folder folder;
    append_entries(folder.path, 10);
    auto opened = disk_store::open(folder.path);
    REQUIRE(ok(opened));
    const auto disk_id = value(opened).disk_incarnation();
    const auto found = value(opened).take_recovered();
    CHECK(found.entries.size() == 10);
    CHECK(found.entries.back().bytes == "entry 10");
    const auto second = disk_store::open(folder.path);
    CHECK_FALSE(ok(second));
    {
        auto moved = std::move(value(opened));
    }
    auto again = disk_store::open(folder.path);
    REQUIRE(ok(again));
    CHECK(value(again).disk_incarnation() == disk_id);
}

TEST_CASE("a torn tail of any length is truncated without losing an earlier record")
{
    const temporary_folder folder;
    append_entries(folder.path, 5);
    const std::string whole = read(folder.file("log"));
    auto complete = read_log(whole);
    REQUIRE(ok(complete));
    std::size_t last_size = 0;
    for (std::size_t cut_bytes = 1; cut_bytes < whole.size(); ++cut_bytes) {
        const auto found = read_log(std::string_view{whole}.substr(0, whole.size() - cut_bytes));
        REQUIRE(ok(found));
        CHECK(value(found).entries.size() < 5);
        last_size = value(found).entries.size();
    }
    CHECK(last_size == 0);
}

TEST_CASE("damage before the last record is an error at any position")
{
    const temporary_folder folder;
    append_entries(folder.path, 5);
    const std::string whole = read(folder.file("log"));
    const std::size_t record = whole.size() / 5;
    std::mt19937 random{42};
    for (int i = 0; i < 500; ++i) {
        std::string damaged = whole;
        damaged[random() % (record * 4)] ^= static_cast<char>(1 + random() % 255);
        const auto found = read_log(damaged);
        REQUIRE_FALSE(ok(found));
        CHECK(error_of(found).kind == error_kind::corrupt_store);
    }
}

TEST_CASE("opening a damaged folder fails with a remedy and leaves the files unchanged")
{
    const temporary_folder folder;
    append_entries(folder.path, 5);
    std::string bytes = read(folder.file("log"));
    bytes[20] ^= 1;
    write(folder.file("log"), bytes);
    const auto opened = disk_store::open(folder.path);
    REQUIRE_FALSE(ok(opened));
    CHECK(error_of(opened).detail.find("move the folder away") != std::string::npos);
    CHECK(read(folder.file("log")) == bytes);
    fs::remove(folder.file("identity"));
    CHECK_FALSE(ok(disk_store::open(folder.path)));
}

TEST_CASE("a snapshot replaces the log and a truncation is persisted")
{
    const temporary_folder folder;
    append_entries(folder.path, 5);
    {
        auto opened = disk_store::open(folder.path);
        auto& disk = value(opened);
        disk.truncate_from(4);
        disk.append({2, 4, entry_kind::command, "other"});
        REQUIRE_FALSE(disk.sync());
        const store::snapshot snap{3, 1, "config", "state"};
        const store::hard_state hard{2, instance_id{"e1"}};
        REQUIRE_FALSE(disk.save_snapshot(snap, hard, {{2, 4, entry_kind::command, "other"}}));
    }
    auto opened = disk_store::open(folder.path);
    const auto found = value(opened).take_recovered();
    REQUIRE(found.snap);
    CHECK(found.snap->state == "state");
    REQUIRE(found.entries.size() == 1);
    CHECK(found.entries.front().bytes == "other");
    CHECK(found.hard.voted_for == instance_id{"e1"});
}

TEST_CASE("random bytes do not crash the log reader")
{
    std::mt19937 random{7};
    for (int i = 0; i < 2000; ++i) {
        std::string bytes(random() % 200, '\0');
        for (char& c : bytes) {
            c = static_cast<char>(random());
        }
        const std::string record = make_record(bytes);
        const auto found = read_log(i % 2 == 0 ? bytes : record);
        if (ok(found)) {
            CHECK(value(found).entries.empty());
        }
    }
}
