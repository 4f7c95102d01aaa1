#include "StatementJudge.h"

#include <algorithm>
#include <unordered_map>

namespace cuminrail::soak {

namespace {

/** Requests sent later than this after a passed on statement must not reach the server. */
constexpr Millis drainTime(2000);
/** A pause counts from this long after the refusal. */
constexpr Millis pauseDelay(500);
constexpr int mostInPause = 2;

/** One request at one server, with the gateway that sent it. */
struct Sending
{
    const platform::ServerArrival *arrival = nullptr;
    const CallResult *call = nullptr;

    std::uint16_t gateway() const { return call->gateway; }
    Millis callEnd() const
    {
        return call->sentAt + Millis(static_cast<std::int64_t>(call->tookMillis) + 1);
    }
    bool isSameWay(const Sending &other) const
    {
        return gateway() == other.gateway() && arrival->server == other.arrival->server;
    }
};

std::vector<Sending> sendingsOf(const std::vector<CallResult> &results,
                                const std::vector<platform::ServerArrival> &arrivals)
{
    std::unordered_map<std::string, const CallResult *> calls;
    for (const CallResult &result : results)
        calls[result.id] = &result;
    std::vector<Sending> sendings;
    for (const platform::ServerArrival &arrival : arrivals) {
        const auto call = calls.find(arrival.requestId);
        if (call != calls.end())
            sendings.push_back({&arrival, call->second});
    }
    return sendings;
}

bool wasSignalled(const Disturbances &disturbances, std::uint16_t gateway, Millis from, Millis to)
{
    const auto found = disturbances.signals.find(gateway);
    return found != disturbances.signals.end()
        && std::any_of(found->second.begin(), found->second.end(),
                       [&](Millis at) { return at >= from && at <= to; });
}

/** Whether the link to the server was harmed at any time of a span. */
bool wasHarmed(const Disturbances &disturbances, const std::string &server, Millis from, Millis to)
{
    const auto found = disturbances.links.find(server.substr(0, server.find_first_of("./")));
    if (found == disturbances.links.end())
        return false;
    bool isHarmed = false;
    for (const LinkChange &change : found->second) {
        if (change.at >= from && change.at <= to)
            return true;
        if (change.at < from)
            isHarmed = change.isHarmed;
    }
    return isHarmed;
}

/** Whether others may have carried requests of the gateway at any time of a span. */
bool wasCarried(const Disturbances &disturbances, std::uint16_t gateway, Millis from, Millis to)
{
    constexpr Millis wayBack(3000);
    const auto found = disturbances.cuts.find(gateway);
    return found != disturbances.cuts.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const CutSpan &span) {
               return span.begin <= to && from <= span.end + wayBack;
           });
}

void judgeLeaving(const std::vector<Sending> &sendings, const Disturbances &disturbances,
                  std::vector<std::string> &broken)
{
    for (const Sending &stated : sendings) {
        const bool isPassedOn = stated.arrival->statesLeaving && stated.call->isWhole
            && platform::statesLeaving(stated.call->text);
        if (!isPassedOn)
            continue;
        const Millis passedOnAt = stated.callEnd();
        for (const Sending &later : sendings) {
            if (later.isSameWay(stated) && later.call->sentAt > passedOnAt + drainTime
                && !wasSignalled(disturbances, stated.gateway(), passedOnAt, later.arrival->at))
                broken.push_back(later.call->id + ": reached " + later.arrival->server
                                 + ", which had stated that it leaves");
        }
    }
}

void judgePauses(const std::vector<Sending> &sendings, const Disturbances &disturbances,
                 std::vector<std::string> &broken)
{
    for (const Sending &refused : sendings) {
        if (!refused.arrival->backoff)
            continue;
        const Millis at = refused.arrival->at;
        const Millis end = at + *refused.arrival->backoff;
        if (wasSignalled(disturbances, refused.gateway(), at - Millis(5000), end)
            || wasHarmed(disturbances, refused.arrival->server, at - Millis(1000), end)
            || wasCarried(disturbances, refused.gateway(), at, end))
            continue;
        const auto count = std::count_if(sendings.begin(), sendings.end(), [&](const auto &each) {
            return each.isSameWay(refused) && each.arrival->at > at + pauseDelay
                && each.arrival->at < end;
        });
        if (count > mostInPause)
            broken.push_back(refused.arrival->server + ": got " + std::to_string(count)
                             + " requests from one gateway in a pause that it had asked for");
    }
}

} // namespace

std::vector<std::string> judgeStatements(const std::vector<CallResult> &results,
                                         const platform::ServerRequestLog &record,
                                         const Disturbances &disturbances)
{
    const std::vector<platform::ServerArrival> arrivals = record.arrivals();
    const std::vector<Sending> sendings = sendingsOf(results, arrivals);
    std::vector<std::string> broken;
    judgeLeaving(sendings, disturbances, broken);
    judgePauses(sendings, disturbances, broken);
    return broken;
}

} // namespace cuminrail::soak
