#include "standin/standin.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace cuminrail::standin;

namespace {

struct FaultCase
{
    std::string rule;
    unsigned status;
    bool isWhole;
    bool ran;
    Ending ending;
};

std::string faultsOf(const std::string &rule)
{
    return R"({"rules":[)" + rule + "]}";
}

} // namespace

TEST_CASE("each fault leaves the caller and the record as the fault says")
{
    const FaultCase cases[] = {
        {R"({"fault":"down","method":"POST"})", 0, false, false, Ending::Cut},
        {R"({"fault":"silent","method":"POST"})", 0, false, false, Ending::Stalled},
        {R"({"fault":"slow","ms":1})", 200, true, true, Ending::Answered},
        {R"({"fault":"late","ms":1})", 200, true, true, Ending::Answered},
        {R"({"fault":"lose-answer"})", 0, false, true, Ending::Cut},
        {R"({"fault":"lose-answer","bytes":150})", 200, false, true, Ending::Cut},
        {R"({"fault":"reset"})", 0, false, true, Ending::Reset},
        {R"({"fault":"stall"})", 0, false, true, Ending::Stalled},
        {R"({"fault":"refuse","status":503})", 503, true, false, Ending::Answered},
    };
    for (const FaultCase &row : cases) {
        CAPTURE(row.rule);
        StandinHost<StandinService> service(ServiceOptions{});
        REQUIRE(service.setFaults(faultsOf(row.rule)));
        const auto answer = callOnce(service.port(), {"POST", "/orders", "one", {}, 200});
        const auto records = service.endedRecords();
        REQUIRE(records.size() == 1);
        CHECK(answer.status == row.status);
        CHECK(answer.isWhole == row.isWhole);
        CHECK(records[0].ran == row.ran);
        CHECK(records[0].ending == row.ending);
        CHECK(records[0].body == "one");
    }
}

TEST_CASE("an unfiltered down closes before reading, and the controls are reached all the same")
{
    StandinHost<StandinService> service(ServiceOptions{});
    REQUIRE(service.setFaults(faultsOf(R"({"fault":"down"})")));
    CHECK_FALSE(callOnce(service.port(), {"POST", "/orders", "one", {}}).isWhole);
    CHECK(service.records().empty());
    CHECK(callOnce(service.port(), {"PUT", "/standin/faults", "{}", {}}).status == 200);
    CHECK(callOnce(service.port(), {"POST", "/orders", "one", {}}).status == 200);
}

TEST_CASE("faults are aimed by caller, skipped and counted")
{
    StandinHost<StandinService> service(ServiceOptions{});
    REQUIRE(
        service.setFaults(faultsOf(R"({"fault":"refuse","instances":["a"],"skip":1,"count":1})")));
    const auto statusFor = [&service](const std::string &instance) {
        return callOnce(service.port(), {"GET", "/", "", {{"X-Instance", instance}}}).status;
    };
    CHECK(statusFor("a") == 200);
    CHECK(statusFor("b") == 200);
    CHECK(statusFor("a") == 503);
    CHECK(statusFor("a") == 200);
}

TEST_CASE("bad faults are refused and change nothing")
{
    StandinHost<StandinService> service(ServiceOptions{});
    for (const char *bad : {"", "[]", R"({"rules":[{"fault":"odd"}]})", R"({"rules":[{}]})",
                            R"({"rules":[{"fault":"down","odd":1}]})",
                            R"({"rules":[{"fault":"down","count":"many"}]})"}) {
        CAPTURE(bad);
        CHECK_FALSE(service.setFaults(bad));
        CHECK(callOnce(service.port(), {}).status == 200);
    }
}
