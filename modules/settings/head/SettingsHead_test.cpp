#include "settings/head/SettingsHead.h"

#include <doctest/doctest.h>

using namespace cuminrail;

TEST_CASE("a head survives being written and read")
{
    SettingsHead head;
    head.generation = 7;
    head.token = "t-1";
    head.subtrees["fleet"] = std::string(64, 'a');
    head.subtrees["teams/north"] = std::string(64, '0');
    const auto read = SettingsHead::fromText(head.toText());
    REQUIRE(read);
    CHECK(read->generation == 7);
    CHECK(read->token == "t-1");
    CHECK(read->subtrees == head.subtrees);
}

TEST_CASE("a damaged head is refused with its reason")
{
    const std::string hash(64, 'a');
    const std::string cases[] = {
        "",
        "[]",
        R"({"generation":1,"token":"t"})",
        R"({"generation":-1,"token":"t","subtrees":{}})",
        R"({"generation":1,"token":2,"subtrees":{}})",
        R"({"generation":1,"token":"t","subtrees":[]})",
        R"({"generation":1,"token":"t","subtrees":{},"more":1})",
        R"({"generation":1,"generation":2,"token":"t","subtrees":{}})",
        R"({"generation":1,"token":"t","subtrees":{"fleet":"abc"}})",
        R"({"generation":1,"token":"t","subtrees":{"fleet":"G)" + hash.substr(1) + R"("}})",
    };
    for (const std::string &text : cases) {
        CAPTURE(text);
        Reason reason;
        CHECK_FALSE(SettingsHead::fromText(text, &reason));
        CHECK_FALSE(reason.what.empty());
    }
}
