#include "settings/settings.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
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

namespace {

/** Returns one of two values, for entries that may have their default. */
template<typename T>
T either(std::mt19937_64 &random, T one, T other)
{
    return random() % 2 == 0 ? one : other;
}

std::string drawnHash(std::mt19937_64 &random)
{
    std::string digits;
    for (int i = 0; i < 64; ++i)
        digits += "0123456789abcdef"[random() % 16];
    return digits;
}

FleetSettings drawnFleet(std::mt19937_64 &random)
{
    FleetSettings fleet;
    for (int i = 0; i < 3; ++i)
        fleet.domains.push_back({FailureDomainId("d" + std::to_string(i)), RegionId("r"),
                                 either<std::uint32_t>(random, 1, 7)});
    ModelSettings model;
    model.id = ModelId("m");
    model.version = either<std::string>(random, "1", "2026.1_b");
    model.adapters = either<std::vector<std::string>>(random, {}, {"a", "b-1"});
    model.tokenTarget = Millis(1 + std::int64_t(random() % 600000));
    fleet.models.push_back(model);
    EngineSettings engine;
    engine.id = UpstreamId("e");
    engine.address = either<std::string>(random, "10.0.0.1:1", "[fd00::1]:65535");
    engine.domain = FailureDomainId("d2");
    engine.models = {ModelId("m")};
    engine.role = either<std::string>(random, "mixed", "prefill");
    engine.checksFence = random() % 2 == 0;
    engine.decodeTokensPerSecond = 1 + double(random() % 1000000) / 7;
    fleet.engines.push_back(engine);
    ServiceSettings service;
    service.name = "s";
    service.prefix = "/s/";
    service.timeout = Millis(1 + std::int64_t(random() % 3600000));
    service.upstreams.push_back({UpstreamId("u"), "10.0.0.2:1", FailureDomainId("d0")});
    service.calls.push_back({"POST", "/x/", random() % 2 == 0, random() % 2 == 0});
    fleet.services.push_back(service);
    return fleet;
}

Settings drawnSettings(std::mt19937_64 &random)
{
    Settings settings;
    settings.fleet = drawnFleet(random);
    for (const char *name : {"a", "b"}) {
        TeamSettings team;
        team.id = TeamId(name);
        team.reclaimableShare = double(random() % 1000) / 999;
        team.expectedDays.push_back({"2028-02-29", 0.1 + double(random() % 900) / 11});
        CustomerSettings customer;
        customer.id = CustomerId(std::string("c-") + name);
        customer.team = team.id;
        customer.weight = 0.001 + double(random() % 10000) / 13;
        customer.priority = either(random, Priority::Standard, Priority::Batch);
        customer.limits.tokensPerSecond = either(random, 0.0, 1e9 / 3);
        team.customers.push_back(customer);
        settings.teams.push_back(team);
        settings.keys.push_back({drawnHash(random), customer.id,
                                 either<std::string>(random, "", "K\u00e9 \"x\""),
                                 random() % 2 == 0});
    }
    return settings;
}

} // namespace

TEST_CASE("any valid tree comes back from writing unchanged")
{
    std::mt19937_64 random(11);
    for (int round = 0; round < 200; ++round) {
        const Settings drawn = drawnSettings(random);
        std::vector<Reason> mistakes;
        const auto read = readSettings(writeSettings(drawn), &mistakes);
        INFO((mistakes.empty() ? std::string() : mistakes.front().toString()));
        REQUIRE(read);
        CHECK(isSameSettings(*read, drawn));
        CHECK(read->fleet.engines[0].decodeTokensPerSecond
              == drawn.fleet.engines[0].decodeTokensPerSecond);
        CHECK(read->teams[1].customers[0].weight == drawn.teams[1].customers[0].weight);
        CHECK(read->keys[0].label == drawn.keys[0].label);
        CHECK(read->keys[1].withdrawn == drawn.keys[1].withdrawn);
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
