#include "StrayJudge.h"

#include "runtime/log/JsonLine.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace cuminrail::soak {

namespace {

/** A gateway may end a request this long after its caller's deadline, on a busy machine. */
constexpr double endSlackMillis = 250;

/** Returns a line's sort: what follows the request's identity, without numbers. */
std::string sortOf(const std::string &line)
{
    std::string sort = line.substr(std::min(line.find(": ") + 2, line.size()));
    sort.erase(
        std::remove_if(sort.begin(), sort.end(), [](unsigned char c) { return std::isdigit(c); }),
        sort.end());
    return sort;
}

} // namespace

std::optional<std::vector<ResponseFault>> responseFaultsNamed(const std::string &name)
{
    if (const auto fault = responseFaultNames.value(name))
        return std::vector<ResponseFault>{*fault};
    if (name != "all")
        return std::nullopt;
    std::vector<ResponseFault> all;
    for (const auto &entry : responseFaultNames.entries)
        all.push_back(entry.first);
    return all;
}

void markEndless(std::vector<CallResult> &results, const std::vector<SpoiltResponse> &spoilt)
{
    std::set<std::string> ids;
    for (const SpoiltResponse &each : spoilt) {
        if (isEndless(each.fault))
            ids.insert(each.requestId);
    }
    for (CallResult &result : results)
        result.hadNoEnd = ids.count(result.id) > 0;
}

std::vector<std::string> judgeDeadlines(const std::vector<CallResult> &results)
{
    std::vector<std::string> broken;
    for (const CallResult &result : results) {
        if (result.wasSent && result.tookMillis > double(callPatience.count()) + endSlackMillis)
            broken.push_back(result.id + ": no end by its deadline");
    }
    return broken;
}

std::vector<std::string> judgeMemory(const Fleet &fleet)
{
    std::vector<std::string> broken;
    for (const auto &gateway : fleet.gateways) {
        if (gateway->peakMegabytes() > memoryLimitMegabytes)
            broken.push_back("a gateway: memory over its limit at the peak, "
                             + std::to_string(gateway->peakMegabytes()) + " MB");
    }
    return broken;
}

std::string straySummary(const std::vector<CallResult> &results,
                         const std::vector<SpoiltResponse> &spoilt, const Fleet &fleet,
                         const std::vector<std::string> &broken)
{
    std::map<std::string, std::pair<int, int>> faults;
    for (const SpoiltResponse &each : spoilt) {
        auto &[count, late] = faults[std::string(responseFaultNames.name(each.fault))];
        ++count;
        late += each.lateAt ? 1 : 0;
    }
    Millis longestEndless;
    for (const SpoiltResponse &each : spoilt) {
        if (each.closedAt)
            longestEndless = std::max(longestEndless, *each.closedAt - each.at,
                                      [](Millis a, Millis b) { return a < b; });
    }
    std::map<std::string, int> sorts;
    for (const std::string &each : broken)
        ++sorts[sortOf(each)];
    std::map<int, int> failures;
    for (const CallResult &result : results) {
        // Requests with the withdrawn key are refused as they should be.
        if ((result.status != 200 || !result.isWhole) && result.status != 401)
            ++failures[result.status];
    }
    std::ostringstream text;
    for (const auto &[name, counts] : faults)
        text << "  spoilt " << name << ": " << counts.first << ", of these late " << counts.second
             << "\n";
    for (const auto &[sort, count] : sorts)
        text << "  sort " << count << " x " << sort << "\n";
    text << "  failed";
    for (const auto &[status, count] : failures)
        text << " " << status << ": " << count << ";";
    if (longestEndless > Millis())
        text << "\n  bytes without end were read for at most " << longestEndless.count() << " ms";
    text << "\n  peak memory";
    for (const auto &gateway : fleet.gateways)
        text << " " << gateway->peakMegabytes();
    text << " MB\n";
    return text.str();
}

void writeTimeline(const std::string &path, const std::vector<CallResult> &results,
                   const std::vector<SpoiltResponse> &spoilt,
                   const platform::ServerRequestLog &record)
{
    const std::int64_t wall = std::chrono::duration_cast<std::chrono::milliseconds>(
                                  std::chrono::system_clock::now().time_since_epoch())
                                  .count();
    const Millis offset = Millis(wall) - bootTime();
    std::multimap<Millis, std::string, std::function<bool(Millis, Millis)>> lines(
        [](Millis a, Millis b) { return a < b; });
    for (const CallResult &result : results) {
        lines.emplace(result.sentAt,
                      "caller sends " + result.id + " to port " + std::to_string(result.gateway)
                          + ", " + std::string(callKindNames.name(result.kind))
                          + (result.hasLargeBody ? ", large body" : ""));
        std::string text = result.text.substr(0, 500);
        for (auto at = text.find_first_of("\r\n"); at != std::string::npos;
             at = text.find_first_of("\r\n", at))
            text.replace(at, text[at] == '\r' ? 2 : 1, "|");
        lines.emplace(result.sentAt + Millis(static_cast<std::int64_t>(result.tookMillis)),
                      "caller has " + result.id + (result.isWhole ? ", whole: " : ", not whole: ")
                          + text);
    }
    for (const platform::ServerArrival &arrival : record.arrivals())
        lines.emplace(arrival.at,
                      arrival.server + (arrival.hasRun ? " runs " : " refuses ")
                          + arrival.requestId);
    for (const SpoiltResponse &each : spoilt) {
        const std::string fault(responseFaultNames.name(each.fault));
        lines.emplace(each.at, "link spoils response to " + each.requestId + ", " + fault);
        if (each.lateAt)
            lines.emplace(*each.lateAt,
                          "link sends second response to " + each.requestId + ", "
                              + (each.nextRequestId.empty()
                                     ? "after a pause"
                                     : "at the time of " + each.nextRequestId));
        if (each.closedAt)
            lines.emplace(*each.closedAt, "gateway closes on " + each.requestId);
    }
    std::ofstream file(path);
    for (const auto &[at, text] : lines)
        file << utcText((at + offset).count()) << " " << text << "\n";
}

} // namespace cuminrail::soak
