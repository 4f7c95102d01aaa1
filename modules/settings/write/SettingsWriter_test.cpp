#include "settings/settings.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace cuminrail;

namespace {

std::string fileText(const std::filesystem::path &path)
{
    std::ifstream in(path);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

DirectoryHooks directoryHooks(const std::string &root)
{
    DirectoryHooks hooks;
    hooks.listFiles = [root]() -> std::optional<std::vector<std::string>> {
        std::vector<std::string> names;
        for (const auto &entry : std::filesystem::recursive_directory_iterator(root)) {
            if (entry.is_regular_file())
                names.push_back(entry.path().lexically_relative(root).generic_string());
        }
        return names;
    };
    hooks.readFile = [root](const std::string &name) -> std::optional<std::string> {
        return fileText(std::filesystem::path(root) / name);
    };
    return hooks;
}

} // namespace

TEST_CASE("the example trees are valid, complete and come back from writing unchanged")
{
    for (const char *root : {"examples/inteko", "examples/kerlann"}) {
        INFO(root);
        const auto subtrees = loadSettingsDirectory(directoryHooks(root));
        REQUIRE(subtrees);
        std::vector<Reason> mistakes;
        const auto settings = readSettings(*subtrees, &mistakes);
        INFO((mistakes.empty() ? std::string() : mistakes.front().toString()));
        REQUIRE(settings);
        std::size_t customers = 0;
        for (const TeamSettings &team : settings->teams)
            customers += team.customers.size();
        CHECK(customers == 8);
        CHECK(settings->fleet.domains.size() == 3);
        CHECK(settings->fleet.services.at(0).upstreams.size() == 3);

        const SettingsSubtrees written = writeSettings(*settings);
        const auto again = readSettings(written);
        REQUIRE(again);
        CHECK(writeSettings(*again) == written);
        CHECK(isSameSettings(*again, *settings));
        CHECK(again->keys.size() == settings->keys.size());
        CHECK(diffSettings(written, writeSettings(*again)).empty());
    }
}

TEST_CASE("a directory with a stray file is refused, with its name")
{
    DirectoryHooks hooks;
    hooks.listFiles = []() {
        return std::vector<std::string>{"fleet.json", "README.md", "teams/north.jsn"};
    };
    hooks.readFile = [](const std::string &) { return std::string("{}"); };
    std::vector<Reason> mistakes;
    CHECK_FALSE(loadSettingsDirectory(hooks, &mistakes));
    REQUIRE(mistakes.size() == 1);
    CHECK(mistakes[0].where == "teams/north.jsn");
}

TEST_CASE("a diff matches list elements by identity and gives old and new")
{
    const SettingsSubtrees older{
        {"teams/north", R"({"customers":[{"id":"c1","weight":1},{"id":"c2"}]})"}};
    const SettingsSubtrees newer{
        {"teams/north", R"({"customers":[{"id":"c0"},{"id":"c1","weight":3}]})"}};
    const auto changes = diffSettings(older, newer);
    REQUIRE(changes.size() == 3);
    CHECK(changes[0].kind == SettingsChangeKind::Added);
    CHECK(changes[0].path == "teams/north: /customers/c0/id");
    CHECK(changes[1].kind == SettingsChangeKind::Changed);
    CHECK(changes[1].oldValue == "1");
    CHECK(changes[1].newValue == "3");
    CHECK(changes[2].kind == SettingsChangeKind::Removed);
    CHECK(changes[2].path == "teams/north: /customers/c2/id");
}

// An operator sets an entry by the page and the reader refuses it, because the page was not
// changed with the code. Entry, type, unit, default and meaning are compared line by line.
TEST_CASE("docs/SETTINGS.md lists exactly the entries of the code")
{
    std::istringstream page(fileText("docs/SETTINGS.md"));
    std::vector<std::string> rows;
    for (std::string line; std::getline(page, line);) {
        if (line.rfind("| `fleet/", 0) == 0 || line.rfind("| `teams/", 0) == 0
            || line.rfind("| `keys/", 0) == 0)
            rows.push_back(line);
    }
    std::vector<std::string> expected;
    for (const SettingsPageRow &row : settingsPageRows())
        expected.push_back(toMarkdown(row));
    CHECK(rows == expected);
}
