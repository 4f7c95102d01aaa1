#include <doctest/doctest.h>

#include "ctl/explain/RequestStory.h"

#include <sstream>

using namespace cuminrail;

namespace {

std::string line(const std::string &time, const std::string &instance, const std::string &name,
                 const std::string &request, const std::string &more = "")
{
    return R"({"ts":"2026-12-02T10:15:)" + time + R"(Z","instance":")" + instance
        + R"(","event":203,"name":")" + name + R"(","level":"info","request":")" + request + "\""
        + more + "}\n";
}

} // namespace

TEST_CASE("lines of a request from several logs are sorted by time, other requests are left out")
{
    StoryReader reader("r-1");
    std::istringstream first(line("01.000", "i-1", "request-placed", "r-1", R"(,"upstream":"u-1")")
                             + line("01.500", "i-1", "request-placed", "r-2")
                             + line("03.000", "i-1", "request-failed", "r-1",
                                    R"(,"status":"502","verdict":"may-have-run","reason":"a b")"));
    std::istringstream second(line("02.000", "i-2", "request-placed", "r-1"));
    reader.read(first);
    reader.read(second);
    const RequestStory story = reader.story();
    REQUIRE(story.lines.size() == 3);
    CHECK(story.lines[0].details == "upstream=u-1");
    CHECK(story.lines[1].instance == "i-2");
    CHECK(storyText(story).find("=> failed; it may have run") != std::string::npos);
}

TEST_CASE("each final event is described by its outcome")
{
    struct Row
    {
        const char *event;
        const char *verdict;
        const char *outcome;
    };
    for (const Row &row :
         {Row{"request-refused", "not-run", "refused with 5; it did not run and may be sent again"},
          Row{"request-served", "ran", "answered with the upstream's own status 5"},
          Row{"request-failed", "ran", "failed; it ran; do not repeat it blindly"},
          Row{"caller-left", "may-have-run", "the caller left before its answer; it may have run"},
          Row{"request-placed", "", "no end is logged"}}) {
        StoryReader reader("r");
        std::istringstream log(
            line("01.000", "i", row.event, "r",
                 std::string(R"(,"status":"5","verdict":")") + row.verdict + "\""));
        reader.read(log);
        CHECK(storyText(reader.story()).find(row.outcome) != std::string::npos);
    }
}

// A log is truncated, or the gateway dropped lines under load. The text must say that lines may be
// missing, or it would be taken as complete.
TEST_CASE("dropped and unreadable lines are reported")
{
    StoryReader reader("r");
    std::istringstream log(line("01.000", "i", "log-lines-dropped", "") + "{\"ts\":\"2026\n\nno\n");
    reader.read(log);
    const std::string text = storyText(reader.story());
    CHECK(text.find("no line of these logs names the request") != std::string::npos);
    CHECK(text.find("may lack steps") != std::string::npos);
    CHECK(text.find("2 lines could not be read") != std::string::npos);
}
