#pragma once

#include <cstdlib>
#include <filesystem>
#include <string>

namespace fescue::fakes {

/** A folder that is removed at the end of the test. */
struct temporary_folder {
    temporary_folder()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "fescue-test-XXXXXX").string();
        path = ::mkdtemp(pattern.data());
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder() { std::filesystem::remove_all(path); }
    std::string file(const char* name) const { return (path / name).string(); }
    std::filesystem::path path;
};

} // namespace fescue::fakes
