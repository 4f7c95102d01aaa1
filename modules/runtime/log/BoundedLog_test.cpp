#include <doctest/doctest.h>

#include "core/events/EventCatalogue.h"
#include "runtime/log/BoundedLog.h"
#include "runtime/log/JsonLine.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

using namespace cuminrail;

namespace {

struct LogUnderTest
{
    explicit LogUnderTest(LogBounds bounds = {})
        : log(
            "i-1", Clock([this] { return now; }), [] { return std::int64_t{1700000000123}; },
            [this](std::string_view bytes) {
                const std::size_t size = std::min(bytes.size(), room);
                room -= size;
                text.append(bytes.substr(0, size));
                return size;
            },
            bounds)
    { }

    std::vector<nlohmann::json> lines() const
    {
        std::vector<nlohmann::json> parsed;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);)
            parsed.push_back(nlohmann::json::parse(line));
        return parsed;
    }

    Millis now;
    std::size_t room = 1U << 30U;
    std::string text;
    BoundedLog log;
};

} // namespace

TEST_CASE("an event becomes one line of JSON that no field can break")
{
    const Event event{&events::requestFailed,
                      {{"request", "a\"b\\c\n{\x01\xff"}, {"customer", "north"}}};
    const auto json = nlohmann::json::parse(jsonLine(event, "i-1", 1700000000123));
    CHECK(json["ts"] == "2023-11-14T22:13:20.123Z");
    CHECK(json["event"] == 206);
    CHECK(json["name"] == "request-failed");
    CHECK(json["instance"] == "i-1");
    CHECK(json["customer"] == "north");
    CHECK(jsonLine(event, "i-1", 0).find('\n') == std::string::npos);
}

// Ten times the usual load comes. Without bounds the log takes the processor from the requests, and
// the engineer finds the one failure under a flood of successes.
TEST_CASE("a flood of one event is cut to its budget, counted, and leaves the others alone")
{
    LogUnderTest test;
    for (int i = 0; i < 10000; ++i)
        test.log.write(Event{&events::requestServed, {}});
    test.log.write(Event{&events::requestFailed, {{"request", "r"}}});
    test.now = Millis(1000);
    test.log.flush();
    const auto lines = test.lines();
    CHECK(lines.size() <= 130);
    const auto failure = std::find_if(lines.begin(), lines.end(),
                                      [](const auto &line) { return line["event"] == 206; });
    CHECK(failure != lines.end());
    CHECK(lines.back()["name"] == "log-lines-dropped");
    CHECK(std::stoi(lines.back()["request-served"].get<std::string>()) + 120 == 10000);
}

// Nobody reads the output any more. The process must go on without its log, and keep the lines that
// matter most for when somebody does.
TEST_CASE(
    "an output that takes nothing costs lines, successes first, and never more than the bound")
{
    LogBounds bounds;
    bounds.waitingBytes = 4000;
    LogUnderTest test(bounds);
    test.room = 0;
    for (int i = 0; i < 50; ++i) {
        test.log.write(Event{&events::requestServed, {}});
        test.log.write(Event{&events::requestFailed, {{"request", std::to_string(i)}}});
        test.log.flush();
    }
    CHECK(test.log.waitingBytes() <= bounds.waitingBytes);
    CHECK(test.log.dropped() > 50);
    test.room = 1U << 30U;
    test.log.flush();
    const auto lines = test.lines();
    REQUIRE_FALSE(lines.empty());
    CHECK(std::all_of(lines.begin(), lines.end(), [](const auto &line) {
        return line["event"] == 206 || line["event"] == 106;
    }));
}

TEST_CASE("lines come out whole though the output takes them in pieces")
{
    LogUnderTest test;
    for (int i = 0; i < 20; ++i)
        test.log.write(Event{&events::requestFailed, {{"request", std::to_string(i)}}});
    for (int i = 0; i < 500; ++i) {
        test.room = 37;
        test.log.flush();
    }
    const auto lines = test.lines();
    REQUIRE(lines.size() == 20);
    for (std::size_t i = 0; i < lines.size(); ++i)
        CHECK(lines[i]["request"] == std::to_string(i));
}

TEST_CASE("a full pipe is left alone instead of waited for")
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    const auto output = descriptorOutput(ends[1]);
    const std::string block(4096, 'x');
    std::size_t taken = 0;
    for (int i = 0; i < 1000; ++i)
        taken += output(block);
    CHECK(taken > 0);
    CHECK(taken < 1000 * block.size());
    CHECK(output(block) == 0);
    close(ends[0]);
    close(ends[1]);
}
