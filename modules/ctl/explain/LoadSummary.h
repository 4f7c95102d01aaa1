#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace cuminrail {

/** The steps of a request's way to its first event, in milliseconds. */
struct RequestSteps
{
    /** Kept back at the instance. */
    double held = 0;
    /** At the engine that reads the prompt. */
    double read = 0;
    /** From there to the first event; for all else, the whole time at the upstream. */
    double run = 0;
};

/** The requests of one route, each counted once: the counts of causes add up to all of them. */
struct RouteSummary
{
    int asked = 0;
    int onTime = 0;
    /** Every other request, by what became of it and the cause: "late: read", "refused: full". */
    std::map<std::string, int> lost;
    /** Steps of the requests that were served. */
    std::vector<RequestSteps> steps;
};

/** What instances' logs say of all requests. */
struct LoadSummary
{
    std::map<std::string, RouteSummary> routes;
    /** Requests without a last line: under way, or the line was left out. */
    int withoutEnd = 0;
    /** Lines that are no JSON object, and notices that lines were left out. */
    std::size_t unreadable = 0;
    std::size_t gaps = 0;
};

/** Collects requests from logs of gateways; one request's lines may stand in several logs. */
class LoadSummaryReader
{
public:
    void read(std::istream &log);
    LoadSummary summary() const;

private:
    /** What is known of a request so far. Times since it came, in milliseconds. */
    struct Request
    {
        std::string route;
        double firstPlacedAt = -1;
        double readAt = -1;
        double ranAt = -1;
        int sends = 0;
        bool wasHeld = false;
        std::string end;
        std::string lateness;
        std::string cause;
        double firstEventAt = -1;
        double endedAt = 0;
    };

    static RequestSteps stepsOf(const Request &request);
    static std::string lossOf(const Request &request, const RequestSteps &steps);

    std::map<std::string, Request> requests_;
    std::size_t unreadable_ = 0;
    std::size_t gaps_ = 0;
};

/** Returns the summary for people: for each route its losses by cause, and the steps' times. */
std::string summaryText(const LoadSummary &summary);

} // namespace cuminrail
