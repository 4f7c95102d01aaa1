#include "settings/settings.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace cuminrail;

namespace {

const std::string kHash(64, 'a');

/** A small valid tree, from which each row below breaks one thing. */
SettingsSubtrees validTree()
{
    SettingsSubtrees tree;
    tree["fleet"] =
        R"({"domains":[{"id":"a","region":"r"}],"models":[{"id":"m","version":"1"}],)"
        R"("engines":[{"id":"e1","address":"10.0.0.1:80","domain":"a","models":["m"]}],)"
        R"("services":[{"name":"s","prefix":"/services/s/","upstreams":)"
        R"([{"id":"u1","address":"10.0.0.2:80","domain":"a"}]}]})";
    tree["teams/north"] = R"({"customers":[{"id":"c1","weight":2,"models":["m"]}]})";
    tree["teams/south"] = R"({"customers":[{"id":"c2"}]})";
    tree["keys/north"] = R"({"keys":[{"sha256":")" + kHash + R"(","customer":"c1"}]})";
    return tree;
}

struct BadRow
{
    const char *name;
    const char *subtree;
    const char *oldText;
    std::string newText;
    const char *where;
    const char *what;
};

const std::vector<BadRow> &badRows()
{
    static const std::vector<BadRow> rows = {
        {"unknown entry", "fleet", R"("region":"r")", R"("region":"r","colour":"x")",
         "fleet: /domains/0/colour", "unknown entry"},
        {"misspelt entry", "teams/north", R"("weight":2)", R"("wieght":2)",
         "teams/north: /customers/0/wieght", "unknown entry"},
        {"missing entry", "fleet", R"(,"region":"r")", "", "fleet: /domains/0/region",
         "is missing"},
        {"missing list", "teams/south", R"("customers":[{"id":"c2"}])", "",
         "teams/south: /customers", "is missing"},
        {"number for a string", "fleet", R"("version":"1")", R"("version":1)",
         "fleet: /models/0/version", "must be a string"},
        {"string for a number", "teams/north", R"("weight":2)", R"("weight":"2")",
         "teams/north: /customers/0/weight", "must be a number"},
        {"null", "teams/north", R"("weight":2)", R"("weight":null)",
         "teams/north: /customers/0/weight", "must be a number"},
        {"object for a list", "fleet", R"("models":["m"])", R"("models":{})",
         "fleet: /engines/0/models", "must be a list"},
        {"list for an object", "teams/north", R"("weight":2)", R"("limits":[])",
         "teams/north: /customers/0/limits", "must be an object"},
        {"weight of nothing", "teams/north", R"("weight":2)", R"("weight":0)",
         "teams/north: /customers/0/weight", "must be from"},
        {"negative count", "teams/north", R"("weight":2)", R"("limits":{"concurrent_requests":-1})",
         "teams/north: /customers/0/limits/concurrent_requests", "must be from 0"},
        {"fraction for a count", "teams/north", R"("weight":2)",
         R"("limits":{"concurrent_requests":1.5})",
         "teams/north: /customers/0/limits/concurrent_requests", "whole number"},
        {"count beyond 64 bits", "teams/north", R"("weight":2)",
         R"("limits":{"concurrent_requests":18446744073709551615})",
         "teams/north: /customers/0/limits/concurrent_requests", "must be from 0"},
        {"share over one", "teams/north", R"({"customers")",
         R"({"reclaimable_share":1.01,"customers")", "teams/north: /reclaimable_share",
         "must be from"},
        {"not a number", "teams/north", R"("weight":2)", R"("weight":NaN)", "teams/north: /",
         "not valid JSON"},
        {"huge number", "teams/north", R"("weight":2)", R"("weight":1e999)", "teams/north: /",
         "not valid JSON"},
        {"large number", "teams/north", R"("weight":2)", R"("weight":1e300)",
         "teams/north: /customers/0/weight", "must be from"},
        {"name twice", "teams/north", R"("weight":2)", R"("weight":2,"weight":3)", "teams/north: /",
         "stands twice"},
        {"text after the value", "teams/south", R"("c2"}]})", R"("c2"}]} {})", "teams/south: /",
         "not valid JSON"},
        {"invalid UTF-8", "teams/south", "c2", "c2\xff", "teams/south: /", "not valid JSON"},
        {"too deep", "teams/south", R"("c2")", std::string(40, '[') + std::string(40, ']'),
         "teams/south: /", "too deeply"},
        {"too large", "teams/south", R"("c2")", "\"" + std::string(kMaxSubtreeBytes, 'x') + "\"",
         "teams/south: /", "larger than"},
        {"capital in an identifier", "teams/south", "c2", "C2", "teams/south: /customers/0/id",
         "lower-case"},
        {"empty identifier", "teams/south", "c2", "", "teams/south: /customers/0/id", "lower-case"},
        {"long identifier", "teams/south", "c2", std::string(65, 'c'),
         "teams/south: /customers/0/id", "1 to 64"},
        {"host name for an address", "fleet", "10.0.0.1:80", "engine.example:80",
         "fleet: /engines/0/address", "IP number"},
        {"port out of range", "fleet", "10.0.0.1:80", "10.0.0.1:65536", "fleet: /engines/0/address",
         "IP number"},
        {"unknown role", "fleet", R"("models":["m"])", R"("models":["m"],"role":"chief")",
         "fleet: /engines/0/role", "must be one of"},
        {"unknown priority", "teams/north", R"("weight":2)", R"("priority":"urgent")",
         "teams/north: /customers/0/priority", "must be one of"},
        {"bad hash", "keys/north", "aaaa\"", "AAAA\"", "keys/north: /keys/0/sha256", "hexadecimal"},
        {"bad day", "teams/north", R"({"customers")",
         R"({"expected_days":[{"date":"2026-02-29"}],"customers")",
         "teams/north: /expected_days/0/date", "must be a day"},
        {"unknown domain", "fleet", R"("domain":"a","models")", R"("domain":"b","models")",
         "fleet: /engines/0/domain", "no failure domain \"b\""},
        {"unknown model at an engine", "fleet", R"(["m"])", R"(["m","n"])",
         "fleet: /engines/0/models/1", "no model \"n\""},
        {"unknown model at a customer", "teams/north", R"(["m"])", R"(["n"])",
         "teams/north: /customers/0/models/0", "no model \"n\""},
        {"model twice in a list", "teams/north", R"(["m"])", R"(["m","m"])",
         "teams/north: /customers/0/models/1", "twice"},
        {"upstream named twice", "fleet", R"("id":"u1")", R"("id":"e1")",
         "fleet: /services/0/upstreams/0/id", "already given at fleet: /engines/0/id"},
        {"address twice", "fleet", "10.0.0.2:80", "10.0.0.1:80",
         "fleet: /services/0/upstreams/0/address", "already given"},
        {"customer in two teams", "teams/south", "c2", "c1", "teams/south: /customers/0/id",
         "already given at teams/north: /customers/0/id"},
        {"unknown customer of a key", "keys/north", R"("c1")", R"("c9")",
         "keys/north: /keys/0/customer", "no customer \"c9\""},
        {"key for another team's customer", "keys/north", R"("c1")", R"("c2")",
         "keys/north: /keys/0/customer", "customer of team \"south\""},
        {"overlapping services", "fleet", R"("services":[)",
         R"("services":[{"name":"t","prefix":"/services/","upstreams":[]},)",
         "fleet: /services/1/prefix", "overlaps"},
        {"service over the models", "fleet", "/services/s/", "/v1/", "fleet: /services/0/prefix",
         "below /v1/"},
        {"prefix that climbs", "fleet", "/services/s/", "/services/../s/",
         "fleet: /services/0/prefix", "must be a path"},
    };
    return rows;
}

bool hasMistake(const std::vector<Reason> &mistakes, const BadRow &row)
{
    return std::any_of(mistakes.begin(), mistakes.end(), [&](const Reason &mistake) {
        return mistake.where == row.where && mistake.what.find(row.what) != std::string::npos;
    });
}

} // namespace

TEST_CASE("a valid tree is read")
{
    std::vector<Reason> mistakes{{"left over", ""}};
    const auto settings = readSettings(validTree(), &mistakes);
    REQUIRE(settings);
    CHECK(mistakes.empty());
    CHECK(settings->teams.at(0).customers.at(0).team == TeamId("north"));
    CHECK(settings->fleet.models.at(0).firstTokenTarget == Millis(750));
    CHECK(settings->keys.at(0).customer == CustomerId("c1"));
}

// An operator mistypes one entry. Taken half, the tree would open a customer to another's key or
// send work to no engine; so the whole tree is refused, with the place and what is wrong there.
TEST_CASE("one mistake refuses the whole tree and names its place")
{
    for (const BadRow &row : badRows()) {
        INFO(row.name);
        SettingsSubtrees tree = validTree();
        std::string &text = tree[row.subtree];
        const auto position = text.find(row.oldText);
        REQUIRE(position != std::string::npos);
        text.replace(position, std::string(row.oldText).size(), row.newText);
        std::vector<Reason> mistakes;
        CHECK_FALSE(readSettings(tree, &mistakes));
        INFO((mistakes.empty() ? std::string("no mistake") : mistakes.front().toString()));
        CHECK(hasMistake(mistakes, row));
    }
}

TEST_CASE("subtrees that are missing, unknown or without their team are refused")
{
    SettingsSubtrees withoutFleet = validTree();
    withoutFleet.erase("fleet");
    CHECK_FALSE(readSettings(withoutFleet));

    for (const char *path : {"flet", "teams/North", "teams/", "keys/west", "teams/a/b"}) {
        INFO(path);
        SettingsSubtrees tree = validTree();
        tree[path] = R"({"keys":[]})";
        CHECK_FALSE(readSettings(tree));
    }
}

TEST_CASE("all mistakes are listed at once")
{
    SettingsSubtrees tree = validTree();
    tree["teams/north"] = R"({"customers":[{"id":"C1","weight":-1,"models":["x"]}]})";
    std::vector<Reason> mistakes;
    CHECK_FALSE(readSettings(tree, &mistakes));
    CHECK(mistakes.size() == 4); // identifier, weight, model, and the key's customer
}
