#include <doctest/doctest.h>

#include "runtime/files/Files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace cuminrail;

// A process was started in a directory that has been removed since. Asked for its settings it must
// read them, or say that it cannot, instead of ending by an exception that nobody catches.
TEST_CASE("files are found by relative names, also when the working directory is gone")
{
    namespace fs = std::filesystem;
    const fs::path former = fs::current_path();
    const fs::path base = fs::temp_directory_path() / ("files-test-" + std::to_string(getpid()));
    fs::create_directories(base / "tree" / "teams");
    fs::create_directories(base / "gone");
    std::ofstream(base / "tree" / "fleet.json") << "{}";
    std::ofstream(base / "tree" / "teams" / "north.json") << "{}";
    fs::current_path(base / "gone");
    fs::remove(base / "gone");
    for (const std::string &directory :
         {(base / "tree").string(), (base / "tree").string() + "/"}) {
        auto names = filesBelow(directory);
        REQUIRE(names);
        std::sort(names->begin(), names->end());
        CHECK(*names == std::vector<std::string>{"fleet.json", "teams/north.json"});
    }
    CHECK_FALSE(filesBelow((base / "none").string()));
    fs::current_path(former);
    fs::remove_all(base);
}

// A settings directory holds a link that leads to itself. Its operator must read that the directory
// cannot be read, instead of an abort message of the runtime.
TEST_CASE("an entry that cannot be looked at makes the directory unreadable, without an exception")
{
    namespace fs = std::filesystem;
    const fs::path base = fs::temp_directory_path() / ("files-loop-" + std::to_string(getpid()));
    fs::create_directories(base);
    fs::create_symlink("loop", base / "loop");
    CHECK_FALSE(filesBelow(base.string()));
    fs::remove_all(base);
}
