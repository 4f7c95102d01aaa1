#include <doctest/doctest.h>

#include "ctl/explain/LoadSummary.h"

#include <numeric>
#include <sstream>

using namespace cuminrail;

namespace {

std::string line(const std::string &event, const std::string &request, const std::string &more)
{
    return R"({"ts":"2026-11-02T10:00:00Z","instance":"i-1","name":")" + event + R"(","request":")"
        + request + R"(","route":"review")" + more + "}\n";
}

std::string placed(const std::string &request, const std::string &step, int elapsed)
{
    return line("request-placed", request,
                R"(,"step":")" + step + R"(","elapsed_ms":")" + std::to_string(elapsed) + "\"");
}

std::string served(const std::string &request, int first, const std::string &late)
{
    return line("request-served", request,
                R"(,"status":"200","elapsed_ms":"2000","first_event_ms":")" + std::to_string(first)
                    + R"(","late":")" + late + "\"");
}

LoadSummary summaryOf(const std::string &log)
{
    std::istringstream text(log);
    LoadSummaryReader reader;
    reader.read(text);
    return reader.summary();
}

} // namespace

TEST_CASE("each request is counted once, under its longest step")
{
    struct Row
    {
        const char *what;
        std::string log;
        const char *loss;
    };
    const Row rows[] = {
        {"on time", placed("r", "prefill", 0) + placed("r", "run", 200) + served("r", 250, "no"),
         ""},
        {"busy prefill engine",
         placed("r", "prefill", 1) + placed("r", "run", 1500) + served("r", 1600, "first-event"),
         "late: read"},
        {"slow run",
         placed("r", "prefill", 1) + placed("r", "run", 300) + served("r", 1600, "first-event"),
         "late: run"},
        {"deferred at the instance",
         line("request-held", "r", "") + placed("r", "prefill", 900) + placed("r", "run", 1100)
             + served("r", 1200, "first-event"),
         "late: kept back"},
        {"paused", placed("r", "run", 0) + served("r", 100, "pause"), "late: pause"},
        {"refused", line("request-refused", "r", R"(,"status":"503","cause":"overload")"),
         "refused: overload"},
        {"failed", placed("r", "run", 0) + line("request-failed", "r", R"(,"cause":"broken")"),
         "failed: broken"},
        {"caller left while the request was deferred",
         line("request-held", "r", "") + line("caller-left", "r", R"(,"elapsed_ms":"3200")"),
         "caller left: kept back"},
        {"caller left during prefill",
         placed("r", "prefill", 0) + line("caller-left", "r", R"(,"elapsed_ms":"3200")"),
         "caller left: read"},
    };
    std::string all;
    for (const Row &row : rows) {
        CAPTURE(row.what);
        const RouteSummary route = summaryOf(row.log).routes.at("review");
        CHECK(route.asked == 1);
        CHECK(route.onTime == (*row.loss == '\0' ? 1 : 0));
        CHECK(route.lost.size() == (*row.loss == '\0' ? 0 : 1));
        if (*row.loss != '\0')
            CHECK(route.lost.count(row.loss) == 1);
        std::string renumbered = row.log;
        const std::string id = "\"request\":\"r\"";
        for (auto at = renumbered.find(id); at != std::string::npos;
             at = renumbered.find(id, at + 1))
            renumbered.insert(at + id.size() - 1, std::to_string(&row - rows));
        all += renumbered;
    }
    const RouteSummary route = summaryOf(all).routes.at("review");
    const int lost = std::accumulate(route.lost.begin(), route.lost.end(), 0,
                                     [](int sum, const auto &loss) { return sum + loss.second; });
    CHECK(route.asked == static_cast<int>(std::size(rows)));
    CHECK(route.onTime + lost == route.asked);
}

TEST_CASE("dropped, unreadable and missing final log lines are reported")
{
    const LoadSummary summary =
        summaryOf("no json\n" + placed("r", "run", 0)
                  + R"({"name":"log-lines-dropped","request-placed":"3"})" + "\n");
    CHECK(summary.unreadable == 1);
    CHECK(summary.gaps == 1);
    CHECK(summary.withoutEnd == 1);
    const std::string text = summaryText(summary);
    CHECK(text.find("1 requests have no last line") != std::string::npos);
    CHECK(text.find("counts are too low") != std::string::npos);
    CHECK(text.find("1 lines could not be read") != std::string::npos);
}
