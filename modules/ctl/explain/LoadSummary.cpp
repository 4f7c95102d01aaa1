#include "ctl/explain/LoadSummary.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace cuminrail {

namespace {

using Json = nlohmann::json;

std::string textIn(const Json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/** Returns a numeric field of a log line, or the fallback if the field is missing. */
double numberIn(const Json &json, const char *name, double fallback)
{
    const std::string text = textIn(json, name);
    return text.empty() ? fallback : std::strtod(text.c_str(), nullptr);
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

std::string stepLine(const char *name, const std::vector<RequestSteps> &steps,
                     double RequestSteps::*step)
{
    std::vector<double> values;
    values.reserve(steps.size());
    for (const RequestSteps &each : steps)
        values.push_back(each.*step);
    char line[120];
    std::snprintf(line, sizeof(line), "    %-8s p50 %6.0f  p90 %6.0f  p99 %6.0f ms\n", name,
                  quantile(values, 0.5), quantile(values, 0.9), quantile(values, 0.99));
    return line;
}

} // namespace

void LoadSummaryReader::read(std::istream &log)
{
    for (std::string text; std::getline(log, text);) {
        if (text.empty())
            continue;
        const Json json = Json::parse(text, nullptr, false);
        if (!json.is_object()) {
            ++unreadable_;
            continue;
        }
        const std::string event = textIn(json, "name");
        if (event == "log-lines-dropped")
            ++gaps_;
        const std::string id = textIn(json, "request");
        const double elapsed = numberIn(json, "elapsed_ms", 0);
        if (id.empty())
            continue;
        Request &request = requests_[id];
        const std::string route = textIn(json, "route");
        if (!route.empty())
            request.route = route;
        if (event == "request-held") {
            request.wasDeferred = true;
        } else if (event == "request-placed") {
            ++request.sends;
            if (request.firstPlacedAt < 0)
                request.firstPlacedAt = elapsed;
            (textIn(json, "step") == "prefill" ? request.prefillAt : request.runAt) = elapsed;
        } else if (event == "request-served" || event == "request-refused"
                   || event == "request-failed" || event == "caller-left") {
            request.end = event;
            request.lateness = textIn(json, "late");
            request.cause = textIn(json, "cause");
            request.firstEventAt = numberIn(json, "first_event_ms", -1);
            request.endedAt = elapsed;
        }
    }
}

RequestSteps LoadSummaryReader::stepsOf(const Request &request)
{
    const double first = request.firstEventAt < 0 ? request.endedAt : request.firstEventAt;
    RequestSteps steps;
    if (request.firstPlacedAt < 0) {
        steps.held = request.endedAt;
        return steps;
    }
    steps.held = request.firstPlacedAt;
    const bool hasSeparatePrefill = request.prefillAt >= 0;
    const double runAt = request.runAt < 0 ? first : request.runAt;
    if (hasSeparatePrefill)
        steps.read = std::max(0.0, runAt - request.firstPlacedAt);
    const double runStartedAt = hasSeparatePrefill ? runAt : request.firstPlacedAt;
    steps.run = std::max(0.0, first - runStartedAt);
    return steps;
}

std::string LoadSummaryReader::lossCause(const Request &request, const RequestSteps &steps)
{
    if (request.end == "request-refused")
        return "refused: " + request.cause;
    if (request.end == "request-failed")
        return "failed: " + request.cause;
    // The loss is attributed to the longest step.
    const char *const step = request.firstPlacedAt < 0      ? "kept back"
        : steps.held > steps.read && steps.held > steps.run ? "kept back"
        : request.prefillAt >= 0 && steps.read > steps.run  ? "read"
                                                            : "run";
    if (request.end == "caller-left")
        return std::string("caller left: ") + step;
    if (request.lateness == "pause")
        return "late: pause";
    return std::string("late: ") + step;
}

LoadSummary LoadSummaryReader::summary() const
{
    LoadSummary summary;
    summary.unreadable = unreadable_;
    summary.gaps = gaps_;
    for (const auto &[id, request] : requests_) {
        if (request.end.empty()) {
            ++summary.withoutEnd;
            continue;
        }
        RouteSummary &route = summary.routes[request.route.empty() ? "(none)" : request.route];
        ++route.asked;
        const RequestSteps steps = stepsOf(request);
        const bool isServed = request.end == "request-served";
        if (isServed)
            route.steps.push_back(steps);
        if (isServed && (request.lateness.empty() || request.lateness == "no"))
            ++route.onTime;
        else
            ++route.lost[lossCause(request, steps)];
    }
    return summary;
}

std::string summaryText(const LoadSummary &summary)
{
    std::string text;
    for (const auto &[name, route] : summary.routes) {
        char line[160];
        std::snprintf(line, sizeof(line), "%s: %d requests, %d on time\n", name.c_str(),
                      route.asked, route.onTime);
        text += line;
        std::vector<std::pair<std::string, int>> losses(route.lost.begin(), route.lost.end());
        std::stable_sort(losses.begin(), losses.end(),
                         [](const auto &a, const auto &b) { return a.second > b.second; });
        for (const auto &[cause, count] : losses) {
            std::snprintf(line, sizeof(line), "    %6d  %s\n", count, cause.c_str());
            text += line;
        }
        text += stepLine("held", route.steps, &RequestSteps::held);
        text += stepLine("read", route.steps, &RequestSteps::read);
        text += stepLine("run", route.steps, &RequestSteps::run);
    }
    if (summary.routes.empty())
        text += "these logs have no request that ended\n";
    if (summary.withoutEnd > 0)
        text += std::to_string(summary.withoutEnd) + " requests have no last line\n";
    if (summary.gaps > 0)
        text += "some lines were left out of these logs (" + std::to_string(summary.gaps)
            + " notices): counts are too low\n";
    if (summary.unreadable > 0)
        text += std::to_string(summary.unreadable) + " lines could not be read\n";
    return text;
}

} // namespace cuminrail
