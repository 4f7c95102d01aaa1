#pragma once

#include "keepers/testing/FrameNetwork.h"
#include "upstreamlimits/upstreamlimits.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail::testing {

/**
    Simulated instances in virtual time that send requests to upstreams, some of which state limits.

    Simulates the gateway's part: a request is sent to any upstream that it may use, or waits for a
    credit, or is refused. Counts all arrivals, including those from instances that do not know of a
    limit yet, although the rule excludes these.
*/
class LimitCluster : public FrameNetwork
{
public:
    /** @param limits  the limit that each upstream states; nothing for an unlimited one */
    LimitCluster(int instances, std::vector<std::optional<double>> limits, std::uint64_t seed)
        : FrameNetwork(seed), limits_(std::move(limits)), arrivals_(limits_.size())
    {
        for (int i = 0; i < instances; ++i)
            start(i, instances);
        advance(Millis::seconds(2));
    }

    int count() const { return static_cast<int>(instances_.size()); }
    LimitExchange &at(int i) { return *instances_[static_cast<std::size_t>(i)]; }

    void setLimit(std::size_t upstream, std::optional<double> limit) { limits_[upstream] = limit; }
    /** Excludes arrivals from an instance for excusedFor from now, as the rule does. */
    void excuse(int i) { excusedUntil_[i] = now + excusedFor; }

    void kill(int i)
    {
        dead.insert(i);
        excuse(i);
    }
    void restart(int i)
    {
        dead.erase(i);
        excuse(i);
        start(i, count());
    }

    /** A caller's request arrives at an instance. */
    void request(int i)
    {
        if (!isRunning(i))
            return;
        ++requested;
        place(i, maxRounds);
    }

    void advance(Millis span)
    {
        const Millis end = now + span;
        while (now < end) {
            now = now + step;
            deliver([this](int to, const PeerAddress &from, const std::string &frame) {
                at(to).handleFrame(from, frame);
            });
            finishRuns();
            for (int i = 0; i < count(); ++i) {
                if (isRunning(i))
                    at(i).tick();
            }
        }
    }

    /** Returns the most arrivals at one upstream within any four seconds after an instant. */
    std::size_t busiest(std::size_t upstream, Millis since) const
    {
        std::deque<Millis> recent;
        std::size_t maxCount = 0;
        for (const Millis at : arrivals_[upstream]) {
            if (at < since)
                continue;
            recent.push_back(at);
            while (at - recent.front() > window)
                recent.pop_front();
            maxCount = std::max(maxCount, recent.size());
        }
        return maxCount;
    }
    std::size_t arrivals(std::size_t upstream, Millis since) const
    {
        const auto &all = arrivals_[upstream];
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [since](Millis at) { return at >= since; }));
    }

    int requested = 0;
    int served = 0;
    int refused = 0;

private:
    static constexpr Millis step = Millis(5);
    static constexpr Millis window = Millis(4000);
    static constexpr Millis excusedFor = Millis(3000);
    static constexpr int maxRounds = 3;

    struct Run
    {
        int instance = 0;
        std::size_t upstream = 0;
        Millis endsAt;
    };

    void start(int i, int instances)
    {
        if (i >= count())
            instances_.resize(static_cast<std::size_t>(i) + 1);
        auto &instance = instances_[static_cast<std::size_t>(i)];
        instance = std::make_unique<LimitExchange>(QuotaTolerance{window, 0.5, 5, 0},
                                                   transportOf(i), Clock([this] { return now; }),
                                                   [this] { return random_(); });
        instance->setPeers(peersOf(i, instances));
    }

    void place(int i, int rounds)
    {
        std::vector<UpstreamIncarnation> usable;
        std::vector<UpstreamIncarnation> limited;
        for (UpstreamIncarnation incarnation = 0; incarnation < limits_.size(); ++incarnation)
            (at(i).mayUse(incarnation) ? usable : limited).push_back(incarnation);
        at(i).prefetchCredits(limited);
        if (!usable.empty())
            return send(i, usable[static_cast<std::size_t>(pick(static_cast<int>(usable.size())))]);
        const auto candidate =
            std::find_if(limited.begin(), limited.end(), [&](UpstreamIncarnation incarnation) {
                return !at(i).isExhausted(incarnation);
            });
        if (candidate == limited.end() || rounds == 0) {
            ++refused;
            return;
        }
        at(i).acquire(*candidate,
                      [this, i, rounds](const CreditResult &) { place(i, rounds - 1); });
    }

    void send(int i, UpstreamIncarnation incarnation)
    {
        const auto upstream = static_cast<std::size_t>(incarnation);
        at(i).use(incarnation);
        const auto excused = excusedUntil_.find(i);
        if (excused == excusedUntil_.end() || now >= excused->second)
            arrivals_[upstream].push_back(now);
        runs_.push_back({i, upstream, now + Millis(20 + pick(60))});
    }

    void finishRuns()
    {
        std::vector<Run> finished;
        const auto isFinished = [&](const Run &run) {
            if (run.endsAt <= now)
                finished.push_back(run);
            return run.endsAt <= now;
        };
        runs_.erase(std::remove_if(runs_.begin(), runs_.end(), isFinished), runs_.end());
        for (const Run &run : finished) {
            ++served;
            if (!isRunning(run.instance))
                continue;
            at(run.instance).updateLimit(run.upstream, limits_[run.upstream]);
        }
    }

    std::vector<std::optional<double>> limits_;
    std::vector<std::unique_ptr<LimitExchange>> instances_;
    std::vector<std::vector<Millis>> arrivals_;
    std::map<int, Millis> excusedUntil_;
    std::vector<Run> runs_;
};

} // namespace cuminrail::testing
