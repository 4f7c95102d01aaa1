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
    Simulated instances in virtual time that send requests to engines, some of them fatal to the
    engine that runs them. Records all sends.

    Simulates the gateway's part: a request is sent to one engine, and retried on a second one if
    the first ended, unless it is suspected. An engine that ends interrupts all requests that it
    runs, and is back as a new incarnation after some seconds.
*/
class QuarantineCluster : public FrameNetwork
{
public:
    QuarantineCluster(int instances, int engines, std::uint64_t seed)
        : FrameNetwork(seed), engines_(static_cast<std::size_t>(engines))
    {
        for (int i = 0; i < instances; ++i)
            start(i, instances);
        advance(Millis::seconds(3));
    }

    int count() const { return static_cast<int>(instances_.size()); }
    QuarantineExchange &at(int i) { return *instances_[static_cast<std::size_t>(i)]; }

    void kill(int i)
    {
        dead.insert(i);
        disturbedAt_[i] = now;
    }
    /** Restarts an instance without its state. */
    void restart(int i)
    {
        dead.erase(i);
        disturbedAt_[i] = now;
        start(i, count());
    }
    /** Treats the instance as disconnected until propagationTime from now. */
    void disturb(int i) { disturbedAt_[i] = now; }

    /** A caller's request arrives at an instance. */
    void request(int i, const RequestFingerprint &fingerprint, bool isFatal)
    {
        if (!isRunning(i))
            return;
        if (at(i).remainingQuarantine(fingerprint))
            ++refused;
        else
            send({i, fingerprint, isFatal, 1});
    }

    void advance(Millis span)
    {
        const Millis end = now + span;
        while (now < end) {
            now = now + step;
            deliver([this](int to, const PeerAddress &from, const std::string &frame) {
                at(to).handleFrame(from, frame);
            });
            endRuns();
            for (int i = 0; i < count(); ++i) {
                if (isRunning(i))
                    at(i).tick();
            }
        }
    }

    /** An engine ends for a reason of its own, with all requests that it runs. */
    void endEngine(std::size_t engine) { crash(engine); }
    /** Returns an engine that runs a request with this fingerprint, or nothing. */
    std::optional<std::size_t> engineRunning(const RequestFingerprint &fingerprint) const
    {
        for (const Run &run : runs_) {
            if (run.request.fingerprint == fingerprint)
                return run.engine;
        }
        return std::nullopt;
    }

    /** Number of engines that ended under requests with this fingerprint. */
    std::size_t endsUnder(const RequestFingerprint &fingerprint) const
    {
        const auto found = ends_.find(fingerprint);
        return found == ends_.end() ? 0 : found->second.size();
    }

    std::map<std::string, std::string> store;
    bool isStoreDown = false;
    /** Maximum number of sends of one request. */
    int attempts = 2;
    int refused = 0;
    int served = 0;
    int failed = 0;
    /** Sends by continuously connected instances of requests under which three engines had ended
        more than propagationTime ago. */
    int lateSends = 0;

private:
    static constexpr Millis step = Millis(5);
    static constexpr Millis engineRestartTime = Millis(4000);
    static constexpr Millis propagationTime = Millis(3000);

    struct Request
    {
        int instance = 0;
        RequestFingerprint fingerprint;
        bool isFatal = false;
        int attempt = 1;
    };
    struct Run
    {
        Request request;
        std::size_t engine = 0;
        Millis endsAt;
    };
    struct Engine
    {
        UpstreamIncarnation incarnation = 1;
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

    bool isConnected(int i) const
    {
        const auto found = disturbedAt_.find(i);
        return found == disturbedAt_.end() || now - found->second > propagationTime;
    }

    void send(Request request)
    {
        std::vector<std::size_t> running;
        for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
            if (now >= engines_[engine].downUntil)
                running.push_back(engine);
        }
        if (running.empty()) {
            ++failed;
            return;
        }
        const auto &ends = ends_[request.fingerprint];
        if (ends.size() >= SuspicionTable::quarantinedThreshold && isConnected(request.instance)
            && now - ends[SuspicionTable::quarantinedThreshold - 1] > propagationTime)
            ++lateSends;
        const std::size_t engine =
            running[static_cast<std::size_t>(pick(static_cast<int>(running.size())))];
        runs_.push_back({std::move(request), engine, now + Millis(40 + pick(60))});
    }

    void endRuns()
    {
        std::set<std::size_t> fatal;
        std::vector<Request> completed;
        const auto isFinished = [&](const Run &run) {
            if (run.endsAt > now)
                return false;
            if (run.request.isFatal)
                fatal.insert(run.engine);
            else
                completed.push_back(run.request);
            return !run.request.isFatal;
        };
        runs_.erase(std::remove_if(runs_.begin(), runs_.end(), isFinished), runs_.end());
        for (const Request &request : completed) {
            ++served;
            if (isRunning(request.instance))
                at(request.instance).requestCompleted(request.fingerprint);
        }
        for (const std::size_t engine : fatal)
            crash(engine);
    }

    void crash(std::size_t engine)
    {
        std::vector<Request> interrupted;
        const auto isHere = [&](const Run &run) {
            if (run.engine == engine)
                interrupted.push_back(run.request);
            return run.engine == engine;
        };
        runs_.erase(std::remove_if(runs_.begin(), runs_.end(), isHere), runs_.end());
        const UpstreamIncarnation incarnation =
            engine * incarnationBase + engines_[engine].incarnation++;
        engines_[engine].downUntil = now + engineRestartTime;
        for (const Request &request : interrupted)
            ends_[request.fingerprint].push_back(now);
        for (Request &request : interrupted)
            handleEnd(std::move(request), incarnation);
    }

    void handleEnd(Request request, UpstreamIncarnation incarnation)
    {
        const int i = request.instance;
        if (!isRunning(i))
            return;
        at(i).upstreamEnded(request.fingerprint, incarnation);
        if (request.attempt++ < attempts
            && at(i).level(request.fingerprint) < SuspicionLevel::Suspected)
            send(std::move(request));
        else
            ++failed;
    }

    static constexpr UpstreamIncarnation incarnationBase = 1000000;

    std::vector<std::unique_ptr<QuarantineExchange>> instances_;
    std::vector<Engine> engines_;
    std::vector<Run> runs_;
    std::unordered_map<RequestFingerprint, std::vector<Millis>> ends_;
    std::map<int, Millis> disturbedAt_;
};

} // namespace cuminrail::testing
