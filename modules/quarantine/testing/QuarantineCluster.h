#pragma once

#include "core/guards/Guards.h"
#include "keepers/testing/FrameNetwork.h"
#include "quarantine/testing/ClusterRequest.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace cuminrail::testing {

/**
    Simulated instances in virtual time that send requests to engines, some of them fatal to the
    engine that begins to respond to them. Records all sends.

    Simulates the gateway's part: a request is sent to one engine, and retried on a second one if
    the first ended, unless it is suspected; requests that are held wait, and those that were sent
    and got nothing yet are called back. An engine that ends interrupts all requests that it runs,
    and is back as a new incarnation after some seconds.
*/
class QuarantineCluster : public FrameNetwork
{
public:
    QuarantineCluster(int instances, int engines, std::uint64_t seed,
                      const QuarantineOptions &options = {})
        : FrameNetwork(seed), options_(options), engines_(static_cast<std::size_t>(engines))
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
        const auto isOfInstance = [i](const ClusterRequest &request) {
            return request.instance == i;
        };
        eraseIf(held_, isOfInstance);
        eraseIf(runs_, [&](const Run &run) { return isOfInstance(run.request); });
        eraseIf(ended_, [&](const Ended &ended) { return isOfInstance(ended.request); });
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
    void request(int i, const RequestContents &contents, bool isFatal, int group = 0)
    {
        if (!isRunning(i))
            return;
        ++groups[group].requests;
        admit({i, contents, isFatal, group, 1, false, now});
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
            noticeEnds();
            for (int i = 0; i < count(); ++i) {
                if (isRunning(i))
                    at(i).tick();
            }
            callBackHeld();
            admitHeld();
        }
    }

    /** An engine ends for a reason of its own, with all requests that it runs. */
    void endEngine(std::size_t engine)
    {
        if (now >= engines_[engine].downUntil)
            crash(engine);
    }
    std::size_t engineCount() const { return engines_.size(); }
    /** Returns an engine that runs a request with this fingerprint, or nothing. */
    std::optional<std::size_t> engineRunning(const ContentFingerprint &request) const
    {
        const auto found = std::find_if(runs_.begin(), runs_.end(), [&](const Run &run) {
            return run.request.contents.request() == request;
        });
        return found == runs_.end() ? std::nullopt : std::optional<std::size_t>(found->engine);
    }

    /** Number of engines that ended under requests with this fingerprint. */
    std::size_t endsUnder(const ContentFingerprint &content) const
    {
        const auto found = ends_.find(content);
        return found == ends_.end() ? 0 : found->second.size();
    }

    std::map<std::string, std::string> store;
    bool isStoreDown = false;
    /** Maximum number of sends of one request. */
    int attempts = 2;
    /** Time from an engine's first event to the end of its response. */
    Millis streamTime = Millis(0);
    /** Time from the begin of a response to the end of the engine that crashes under it. */
    Millis crashTime = Millis(0);
    std::map<int, GroupCounts> groups;
    /** When engines ended under fatal requests, by group. */
    std::map<int, std::vector<Millis>> crashes;
    /** The same, under requests that connected instances sent. */
    std::map<int, std::vector<Millis>> connectedCrashes;
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
    static constexpr Millis maxHold = Millis(2000);

    struct Run
    {
        ClusterRequest request;
        std::size_t engine = 0;
        Millis beginsAt;
        Millis endsAt;
        bool hasBegun = false;
    };
    /** An interrupted request, noticed a moment after its engine ended. */
    struct Ended
    {
        ClusterRequest request;
        UpstreamIncarnation incarnation = 0;
        Millis noticedAt;
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
        instance = std::make_unique<QuarantineExchange>(std::move(environment), options_);
        instance->setPeers(peersOf(i, instances));
        instance->setLinkCheck([this, i](const PeerAddress &peer) {
            return !isCut(i, numberOf(peer)) && dead.count(numberOf(peer)) == 0;
        });
        instance->onRestricted = [this, i] { restricted_.insert(i); };
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

    /** Sends a request, holds it or refuses it. */
    void admit(ClusterRequest request)
    {
        GroupCounts &counts = groups[request.group];
        switch (at(request.instance).decide(request.contents)) {
        case QuarantineDecision::Refuse:
            return refuse(request);
        case QuarantineDecision::Wait:
            counts.longestHold = std::max(counts.longestHold, now - request.arrivedAt);
            if (now - request.arrivedAt >= maxHold)
                return refuse(request);
            return held_.push_back(std::move(request));
        case QuarantineDecision::SendAsTrial:
            request.isTrial = true;
            return send(std::move(request));
        case QuarantineDecision::Send:
            request.isTrial = false;
            return send(std::move(request));
        }
    }

    void refuse(const ClusterRequest &request)
    {
        ++refused;
        groups[request.group].refused += isConnected(request.instance) ? 1 : 0;
    }

    void fail(const ClusterRequest &request)
    {
        ++failed;
        ++groups[request.group].failed;
    }

    void send(ClusterRequest request)
    {
        std::vector<std::size_t> running;
        for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
            if (now >= engines_[engine].downUntil)
                running.push_back(engine);
        }
        if (running.empty()) {
            if (request.isTrial)
                at(request.instance).trialEnded(request.contents);
            return fail(request);
        }
        const auto &ends = ends_[request.contents.request()];
        if (ends.size() >= QuarantineExchange::requestThreshold && isConnected(request.instance)
            && now - ends[QuarantineExchange::requestThreshold - 1] > propagationTime)
            ++lateSends;
        const std::size_t engine =
            running[static_cast<std::size_t>(pick(static_cast<int>(running.size())))];
        const Millis beginsAt = now + Millis(40 + pick(60));
        const Millis lasts = request.isFatal ? crashTime : streamTime;
        runs_.push_back({std::move(request), engine, beginsAt, beginsAt + lasts});
    }

    void endRuns()
    {
        std::map<std::size_t, int> fatal;
        std::vector<Run> completed;
        for (Run &run : runs_) {
            if (run.hasBegun || run.beginsAt > now || run.request.isFatal)
                continue;
            run.hasBegun = true;
            groups[run.request.group].begunAtFirst += run.request.attempt == 1 ? 1 : 0;
        }
        const auto isFinished = [&](const Run &run) {
            if (run.endsAt > now)
                return false;
            if (run.request.isFatal) {
                if (fatal.emplace(run.engine, run.request.group).second) {
                    crashes[run.request.group].push_back(now);
                    if (isConnected(run.request.instance))
                        connectedCrashes[run.request.group].push_back(now);
                }
            } else {
                completed.push_back(run);
            }
            return !run.request.isFatal;
        };
        eraseIf(runs_, isFinished);
        for (const Run &run : completed) {
            ++served;
            ++groups[run.request.group].served;
            if (isRunning(run.request.instance))
                endAnswered(run);
        }
        for (const auto &[engine, group] : fatal)
            crash(engine);
    }

    void endAnswered(const Run &run)
    {
        QuarantineExchange &exchange = at(run.request.instance);
        exchange.requestAnswered(run.request.contents, run.beginsAt);
        if (run.request.isTrial)
            exchange.trialEnded(run.request.contents);
    }

    void crash(std::size_t engine)
    {
        const UpstreamIncarnation incarnation =
            engine * incarnationBase + engines_[engine].incarnation++;
        engines_[engine].downUntil = now + engineRestartTime;
        const auto isHere = [&](const Run &run) {
            if (run.engine != engine)
                return false;
            ends_[run.request.contents.request()].push_back(now);
            ended_.push_back({run.request, incarnation, now + Millis(pick(3) * 2)});
            return true;
        };
        eraseIf(runs_, isHere);
    }

    void noticeEnds()
    {
        std::vector<Ended> due;
        eraseIf(ended_, [&](const Ended &each) {
            // What a frozen instance would notice waits for it.
            if (each.noticedAt > now || frozen.count(each.request.instance) > 0)
                return false;
            due.push_back(each);
            return true;
        });
        for (Ended &each : due)
            handleEnd(std::move(each.request), each.incarnation);
    }

    void handleEnd(ClusterRequest request, UpstreamIncarnation incarnation)
    {
        QuarantineExchange &exchange = at(request.instance);
        exchange.upstreamEnded(request.contents, incarnation, request.isTrial);
        sendAgain(std::move(request));
    }

    void sendAgain(ClusterRequest request)
    {
        QuarantineExchange &exchange = at(request.instance);
        if (request.attempt++ < attempts && !exchange.isSuspected(request.contents))
            admit(std::move(request));
        else
            fail(request);
    }

    void callBackHeld()
    {
        for (const int i : std::exchange(restricted_, {})) {
            if (!guardEnabled(Guard::HeldCalledBack) || !isRunning(i))
                continue;
            const auto isCalledBack = [&](const Run &run) {
                const ClusterRequest &request = run.request;
                const bool isMine = request.instance == i && !request.isTrial && !run.hasBegun;
                if (!isMine || !at(i).isHeld(request.contents))
                    return false;
                ClusterRequest again = request;
                if (again.attempt++ < attempts)
                    held_.push_back(std::move(again));
                else
                    fail(again);
                return true;
            };
            eraseIf(runs_, isCalledBack);
        }
    }

    void admitHeld()
    {
        std::vector<ClusterRequest> waiting = std::exchange(held_, {});
        for (ClusterRequest &request : waiting) {
            if (frozen.count(request.instance) > 0)
                held_.push_back(std::move(request));
            else
                admit(std::move(request));
        }
    }

    static constexpr UpstreamIncarnation incarnationBase = 1000000;

    QuarantineOptions options_;
    std::vector<std::unique_ptr<QuarantineExchange>> instances_;
    std::vector<Engine> engines_;
    std::vector<Run> runs_;
    std::vector<ClusterRequest> held_;
    std::vector<Ended> ended_;
    std::set<int> restricted_;
    std::unordered_map<ContentFingerprint, std::vector<Millis>> ends_;
    std::map<int, Millis> disturbedAt_;
};

} // namespace cuminrail::testing
