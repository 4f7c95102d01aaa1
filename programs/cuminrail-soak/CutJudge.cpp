#include "CutJudge.h"

#include <algorithm>

namespace cuminrail::soak {

namespace {

/** From this time after a cut on, callers must not notice it. */
constexpr Millis allowance(3000);
/** A stop takes up to the grace of the gateways, and a start some seconds. */
constexpr Millis stopTime(8000);
constexpr double requiredShare = 0.95;
/** With fewer requests the shares say nothing. */
constexpr std::size_t minRequests = 40;

struct Tally
{
    std::size_t sent = 0;
    std::size_t served = 0;

    void add(bool isServed)
    {
        ++sent;
        served += isServed ? 1 : 0;
    }
    double share() const { return double(served) / double(std::max<std::size_t>(1, sent)); }
    std::string text() const { return std::to_string(served) + " of " + std::to_string(sent); }
};

bool isInSpan(const CutSpan &span, Millis at)
{
    return at >= span.begin + allowance && at < span.end;
}

bool isCut(const Disturbances &disturbances, std::uint16_t gateway, Millis at)
{
    const auto spans = disturbances.cuts.find(gateway);
    return spans != disturbances.cuts.end()
        && std::any_of(spans->second.begin(), spans->second.end(),
                       [&](const CutSpan &span) { return isInSpan(span, at); });
}

bool isAnyCut(const Disturbances &disturbances, Millis at)
{
    return std::any_of(disturbances.cuts.begin(), disturbances.cuts.end(),
                       [&](const auto &each) { return isCut(disturbances, each.first, at); });
}

bool wasStopped(const Disturbances &disturbances, std::uint16_t gateway, const CallResult &result)
{
    const auto stops = disturbances.stops.find(gateway);
    if (stops == disturbances.stops.end())
        return false;
    const Millis end = result.sentAt + Millis(static_cast<std::int64_t>(result.tookMillis));
    return std::any_of(stops->second.begin(), stops->second.end(),
                       [&](Millis at) { return at > result.sentAt - stopTime && at < end; });
}

/** Whether another gateway could serve: it is neither cut nor stopped, nor soon after that. */
bool hasSoundGateway(const Disturbances &disturbances, const CallResult &result)
{
    return std::any_of(
        disturbances.stops.begin(), disturbances.stops.end(), [&](const auto &gateway) {
            const auto cuts = disturbances.cuts.find(gateway.first);
            const bool isReached =
                cuts == disturbances.cuts.end()
                || std::none_of(cuts->second.begin(), cuts->second.end(), [&](const auto &span) {
                       return result.sentAt >= span.begin && result.sentAt < span.end + allowance;
                   });
            return isReached && !wasStopped(disturbances, gateway.first, result);
        });
}

} // namespace

std::vector<std::string> judgeCuts(const std::vector<CallResult> &results,
                                   const Disturbances &disturbances, std::string &summary)
{
    Tally cut;
    Tally others;
    for (const CallResult &result : results) {
        if (!isAnyCut(disturbances, result.sentAt) || !hasSoundGateway(disturbances, result)
            || wasStopped(disturbances, result.gateway, result))
            continue;
        const bool isServed = result.status == 200 && result.isWhole;
        (isCut(disturbances, result.gateway, result.sentAt) ? cut : others).add(isServed);
    }
    summary = "cut gateways served " + cut.text() + ", the others " + others.text();
    const bool isWorse = cut.share() < requiredShare * others.share();
    if (cut.sent < minRequests || others.sent < minRequests || !isWorse)
        return {};
    return {summary};
}

} // namespace cuminrail::soak
