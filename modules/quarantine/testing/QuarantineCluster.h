#pragma once

#include "keepers/testing/FrameNetwork.h"
#include "quarantine/quarantine.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cuminrail::testing {

/**
    Instances in virtual time that send requests to engines, some of which are fatal to the engine
    that runs them; and a judge that knows all sends.

    Stands for a gateway's part: a request goes to one engine, and to a second one if the first
    ended, unless it is suspected. An engine that ends takes all that runs there with it and is back
    as a new life after some seconds.
*/
class QuarantineCluster : public FrameNetwork
{
public:
    QuarantineCluster(int instances, int engines, std::uint64_t seed)
        : FrameNetwork(seed), engines_(static_cast<std::size_t>(engines))
    {
        for (int i = 0; i < instances; ++i)
            start(i, instances);
        pass(Millis::seconds(3));
    }

    int count() const { return static_cast<int>(instances_.size()); }
    QuarantineExchange &at(int i) { return *instances_[static_cast<std::size_t>(i)]; }

    void kill(int i)
    {
        dead.insert(i);
        disturbedAt_[i] = now;
    }
    /** Starts an instance again with nothing in its memory. */
    void restart(int i)
    {
        dead.erase(i);
        disturbedAt_[i] = now;
        start(i, count());
    }
    /** The instance counts as not in touch until some time from now. */
    void disturb(int i) { disturbedAt_[i] = now; }

    /** A caller's request arrives at an instance. */
    void request(int i, const RequestFingerprint &asked, bool isFatal)
    {
        if (!isRunning(i))
            return;
        if (at(i).quarantineLeft(asked))
            ++refused;
        else
            send({i, asked, isFatal, 1});
    }

    void pass(Millis span)
    {
        const Millis end = now + span;
        while (now < end) {
            now = now + step;
            deliver([this](int to, const PeerAddress &from, const std::string &frame) {
                at(to).received(from, frame);
            });
            endRuns();
            for (int i = 0; i < count(); ++i) {
                if (isRunning(i))
                    at(i).tick();
            }
        }
    }

    /** An engine ends by itself, with all that runs there. */
    void endEngine(std::size_t engine) { crash(engine); }
    /** Returns an engine that runs at least one request that asks this, or nothing. */
    std::optional<std::size_t> engineRunning(const RequestFingerprint &asked) const
    {
        for (const Run &run : runs_) {
            if (run.request.asked == asked)
                return run.engine;
        }
        return std::nullopt;
    }

    /** Ends of engines under requests that ask this. */
    std::size_t endsUnder(const RequestFingerprint &asked) const
    {
        const auto found = ends_.find(asked);
        return found == ends_.end() ? 0 : found->second.size();
    }

    std::map<std::string, std::string> store;
    bool isStoreDown = false;
    /** Sends of one request, at most. */
    int attempts = 2;
    int refused = 0;
    int served = 0;
    int failed = 0;
    /** Sends of requests under which three engines had ended longer ago than anybody may need to
        hear of it, by instances that were reached all the while. */
    int lateSends = 0;

private:
    static constexpr Millis step = Millis(5);
    static constexpr Millis engineStarts = Millis(4000);
    static constexpr Millis toldWithin = Millis(3000);

    struct Request
    {
        int instance = 0;
        RequestFingerprint asked;
        bool isFatal = false;
        int attempt = 1;
    };
    struct Run
    {
        Request request;
        std::size_t engine = 0;
        Millis until;
    };
    struct Engine
    {
        UpstreamLife life = 1;
        Millis downUntil;
    };

    void start(int i, int instances)
    {
        if (i >= count())
            instances_.resize(static_cast<std::size_t>(i) + 1);
        QuarantineExchange::Environment environment{transportOf(i), storePort(),
                                                    Clock([this] { return now; }),
                                                    [this] { return random_(); }, ignoreEvents()};
        auto &instance = instances_[static_cast<std::size_t>(i)];
        instance = std::make_unique<QuarantineExchange>(std::move(environment));
        instance->setPeers(peersOf(i, instances));
    }

    ObjectStore storePort()
    {
        ObjectStore port;
        port.list = [this](const std::string &prefix, const StoreCompletion &done) {
            StoreReply reply;
            reply.status = isStoreDown ? StoreStatus::Unavailable : StoreStatus::Ok;
            for (const auto &[path, value] : store) {
                if (!isStoreDown && path.rfind(prefix, 0) == 0)
                    reply.objects.push_back({path, value, 1, false});
            }
            done(reply);
        };
        port.put = [this](const StorePut &put, const StoreCompletion &done) {
            const bool isNew = !isStoreDown && store.emplace(put.path, put.value).second;
            StoreReply reply;
            reply.status = isStoreDown ? StoreStatus::Unavailable
                : isNew                ? StoreStatus::Ok
                                       : StoreStatus::Conflict;
            done(reply);
        };
        port.remove = [this](const std::string &path, std::optional<ObjectVersion>,
                             const StoreCompletion &done) {
            StoreReply reply;
            reply.status = isStoreDown ? StoreStatus::Unavailable : StoreStatus::Ok;
            if (!isStoreDown)
                store.erase(path);
            done(reply);
        };
        return port;
    }

    bool isInTouch(int i) const
    {
        const auto found = disturbedAt_.find(i);
        return found == disturbedAt_.end() || now - found->second > toldWithin;
    }

    void send(Request request)
    {
        std::vector<std::size_t> up;
        for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
            if (now >= engines_[engine].downUntil)
                up.push_back(engine);
        }
        if (up.empty()) {
            ++failed;
            return;
        }
        const auto &ends = ends_[request.asked];
        if (ends.size() >= SuspectBook::quarantinedFrom && isInTouch(request.instance)
            && now - ends[SuspectBook::quarantinedFrom - 1] > toldWithin)
            ++lateSends;
        const std::size_t engine = up[static_cast<std::size_t>(pick(static_cast<int>(up.size())))];
        runs_.push_back({std::move(request), engine, now + Millis(40 + pick(60))});
    }

    void endRuns()
    {
        std::set<std::size_t> fatal;
        std::vector<Request> whole;
        const auto isOver = [&](const Run &run) {
            if (run.until > now)
                return false;
            if (run.request.isFatal)
                fatal.insert(run.engine);
            else
                whole.push_back(run.request);
            return !run.request.isFatal;
        };
        runs_.erase(std::remove_if(runs_.begin(), runs_.end(), isOver), runs_.end());
        for (const Request &request : whole) {
            ++served;
            if (isRunning(request.instance))
                at(request.instance).ranToItsEnd(request.asked);
        }
        for (const std::size_t engine : fatal)
            crash(engine);
    }

    void crash(std::size_t engine)
    {
        std::vector<Request> cut;
        const auto isHere = [&](const Run &run) {
            if (run.engine == engine)
                cut.push_back(run.request);
            return run.engine == engine;
        };
        runs_.erase(std::remove_if(runs_.begin(), runs_.end(), isHere), runs_.end());
        const UpstreamLife life = engine * lifeBase + engines_[engine].life++;
        engines_[engine].downUntil = now + engineStarts;
        for (const Request &request : cut)
            ends_[request.asked].push_back(now);
        for (Request &request : cut)
            endedUnder(std::move(request), life);
    }

    void endedUnder(Request request, UpstreamLife life)
    {
        const int i = request.instance;
        if (!isRunning(i))
            return;
        at(i).upstreamEnded(request.asked, life);
        if (request.attempt++ < attempts && at(i).level(request.asked) < SuspicionLevel::Suspected)
            send(std::move(request));
        else
            ++failed;
    }

    static constexpr UpstreamLife lifeBase = 1000000;

    std::vector<std::unique_ptr<QuarantineExchange>> instances_;
    std::vector<Engine> engines_;
    std::vector<Run> runs_;
    std::unordered_map<RequestFingerprint, std::vector<Millis>> ends_;
    std::map<int, Millis> disturbedAt_;
};

} // namespace cuminrail::testing
