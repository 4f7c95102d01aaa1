#include <doctest/doctest.h>

#include "core/json/JsonText.h"
#include "core/random/Random.h"

#include <string>

using namespace cuminrail;

TEST_CASE("a text is split at the commas of its outermost bracket alone")
{
    struct Row
    {
        std::string text;
        std::vector<std::pair<std::string, std::string>> expected;
    };
    for (const Row &row :
         {Row{R"({"a":1, "b" : [1,{"c":2}] ,"d":"x,\"}"})",
              {{"a", "1"}, {"b", R"([1,{"c":2}])"}, {"d", R"("x,\"}")"}}},
          Row{R"([1e400,"\ud83d", {}, [] ])",
              {{"", "1e400"}, {"", R"("\ud83d")"}, {"", "{}"}, {"", "[]"}}},
          Row{"{}", {}}, Row{" [ ] ", {}}, Row{R"({"a:b":{"c":1}})", {{"a:b", R"({"c":1})"}}}}) {
        CAPTURE(row.text);
        const auto slices = splitJson(row.text);
        REQUIRE(slices.has_value());
        REQUIRE(slices->size() == row.expected.size());
        for (std::size_t i = 0; i < slices->size(); ++i) {
            CHECK((*slices)[i].name == row.expected[i].first);
            CHECK((*slices)[i].value == row.expected[i].second);
        }
    }
}

TEST_CASE("a text that is cut off or has no bracket is not split")
{
    for (const char *text :
         {"", "1", "\"[]\"", "[1,2", "{\"a\":[1}", "[\"x]", "[\"x\\\"]", "[]x"}) {
        CAPTURE(std::string(text));
        CHECK_FALSE(splitJson(text).has_value());
    }
}

// Guards against a text of brackets that ends the process.
TEST_CASE("the depth of a text counts its brackets, not those in strings")
{
    CHECK(jsonDepth("7") == 0);
    CHECK(jsonDepth(R"({"a":["[[[[",{"b":"\"[["}]})") == 3);
    CHECK(jsonDepth("]]][[") == 2);
    CHECK(jsonDepth(std::string(400000, '[')) == 400000);
}

// Guards against reads beyond a text of any bytes.
TEST_CASE("texts of random bytes are split or not, and each slice lies within its text")
{
    const RandomHook random = seededRandom(1);
    const std::string bytes = "{}[]\",:\\ a1\xff";
    for (int i = 0; i < 20000; ++i) {
        std::string text;
        for (std::size_t size = random() % 24; text.size() < size;)
            text += bytes[random() % bytes.size()];
        CAPTURE(text);
        const auto slices = splitJson(text);
        for (const JsonSlice &slice : slices.value_or(std::vector<JsonSlice>())) {
            CHECK(slice.value.data() >= text.data());
            CHECK(slice.value.data() + slice.value.size() <= text.data() + text.size());
        }
        CHECK(jsonDepth(text) <= text.size());
    }
}
