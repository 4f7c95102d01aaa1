#include <doctest/doctest.h>

#include "emulation/load/ArrivalPlan.h"
#include "emulation/load/LoadFile.h"

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace cuminrail;
using namespace cuminrail::emulation;

namespace {

std::string errorOf(const std::string &text)
{
    Reason reason;
    return parseLoadFile(text, &reason) ? "" : reason.toString();
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("validation errors name the path of the member")
{
    struct Row
    {
        const char *text;
        const char *part;
    };
    for (const Row &row :
         {Row{"{", "file: "}, Row{"[]", "file: must be an object"},
          Row{R"({"domains":["a"],"lenght_ms":1})", "lenght_ms: is not known"},
          Row{R"({"domains":["a"],"length_ms":0})", "length_ms: must be above 0"},
          Row{R"({"domains":["a"],"length_ms":"x"})", "length_ms: must be a number"},
          Row{R"({"domains":["a"],"instances":1.5})", "instances: must be a whole number"},
          Row{R"({"domains":["a"],"kinds":[{"name":"k","goal_ms":-1}]})",
              "kinds[0].goal_ms: must not be below 0"},
          Row{R"({"domains":["a"],"kinds":[{"name":"k","events":{"mean":0}}]})",
              "kinds[0].events.mean: must be above 0"},
          Row{R"({"kinds":[{"name":"k"}]})", "domains: must name at least one"},
          Row{R"({"domains":["a"]})", "kinds: must name at least one"},
          Row{R"({"domains":["a"],"kinds":[{"name":"k"},{"name":"k"}]})", "name of its own"},
          Row{R"({"domains":["a"],"kinds":[{"name":"k"}],"surges":[{"to_ms":1,"kind":"z"}]})",
              "no kind is called 'z'"},
          Row{R"({"domains":["a"],"kinds":[{"name":"k"}],"losses":[{"domain":"z"}]})",
              "no domain is called 'z'"}}) {
        CAPTURE(row.text);
        const std::string error = errorOf(row.text);
        CAPTURE(error);
        CHECK(error.find(row.part) != std::string::npos);
    }
}

TEST_CASE("all example loads parse, and a seed always generates the same requests")
{
    int files = 0;
    for (const auto &entry : std::filesystem::directory_iterator("examples/loads")) {
        if (entry.path().extension() != ".json")
            continue;
        ++files;
        const std::string path = entry.path().string();
        CAPTURE(path);
        Reason reason;
        const auto plan = parseLoadFile(readFile(entry.path()), &reason);
        CAPTURE(reason.toString());
        REQUIRE(plan);
        const auto requests = drawArrivals(*plan, 3);
        const auto again = drawArrivals(*plan, 3);
        REQUIRE(requests.size() == again.size());
        CHECK(requests.size() > 500);
        CHECK(requests.back().prompt.inputTokens == again.back().prompt.inputTokens);
        CHECK(drawArrivals(*plan, 4).size() != requests.size());
    }
    CHECK(files >= 4);
}

TEST_CASE("a surge multiplies the request rate of its kind for its duration")
{
    Reason reason;
    const auto plan = parseLoadFile(
        R"({"domains":["a"],"length_ms":100000,"kinds":[{"name":"k","per_second":20}],
            "surges":[{"from_ms":50000,"to_ms":100000,"kind":"k","factor":3}]})",
        &reason);
    REQUIRE(plan);
    int before = 0;
    int during = 0;
    for (const LoadRequest &request : drawArrivals(*plan, 1))
        ++(request.atMs < 50000 ? before : during);
    CHECK(before == doctest::Approx(1000).epsilon(0.15));
    CHECK(during == doctest::Approx(3000).epsilon(0.1));
}
