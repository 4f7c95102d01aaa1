#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace cuminrail {

/** Time a request spent in each step up to its first event, in milliseconds. */
struct RequestSteps
{
    /** Deferred at the instance. */
    double held = 0;
    /** At the prefill engine. */
    double read = 0;
    /** From prefill to the first event; without separate prefill, all time at the upstream. */
    double run = 0;
};

/** The requests of one route. Each counts once: onTime and the counts in lost add up to asked. */
struct RouteSummary
{
    int asked = 0;
    int onTime = 0;
    /** Every other request by outcome and cause: "late: read", "refused: full". */
    std::map<std::string, int> lost;
    /** Step times of the served requests. */
    std::vector<RequestSteps> steps;
};

/** Summary of all requests found in the logs of instances. */
struct LoadSummary
{
    std::map<std::string, RouteSummary> routes;
    /** Requests without a final log line: still in progress, or the line was dropped. */
    int withoutEnd = 0;
    /** Lines that are not a JSON object, and notices that log lines were dropped. */
    std::size_t unreadable = 0;
    std::size_t gaps = 0;
};

/** Collects requests from gateway logs; the lines of one request may be spread over several. */
class LoadSummaryReader
{
public:
    void read(std::istream &log);
    LoadSummary summary() const;

private:
    /** State of a request as read so far. Times are in milliseconds since its arrival. */
    struct Request
    {
        std::string route;
        double firstPlacedAt = -1;
        double prefillAt = -1;
        double runAt = -1;
        int sends = 0;
        bool wasDeferred = false;
        std::string end;
        std::string lateness;
        std::string cause;
        double firstEventAt = -1;
        double endedAt = 0;
    };

    static RequestSteps stepsOf(const Request &request);
    static std::string lossCause(const Request &request, const RequestSteps &steps);

    std::map<std::string, Request> requests_;
    std::size_t unreadable_ = 0;
    std::size_t gaps_ = 0;
};

/** Returns the summary as text: losses by cause and quantiles of the step times per route. */
std::string summaryText(const LoadSummary &summary);

} // namespace cuminrail
