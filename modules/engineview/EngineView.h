#pragma once

#include "core/random/Random.h"
#include "engineview/reports/ReportCodec.h"
#include "engineview/reports/ReportTable.h"
#include "membership/model/Member.h"
#include "ports/engines/EngineControl.h"
#include "ports/peers/PeerTransport.h"
#include "routing/live/LiveLoads.h"
#include "settings/model/Settings.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cuminrail {

/**
    Keeps this instance's state of all engines up to date, at a bounded cost per instance.

    Each engine is polled by one instance (pollerOf). Results of polls and updates from peers are
    forwarded once, in frames that batch the updates of a short interval: loads go to a few random
    neighbours, since the next sample reaches a member that was missed; changes of role, models or
    incarnation go to all neighbours together with the facts, since requests sent according to the
    previous facts fail. With n instances, e engines, poll period p and fan-out f an instance sends
    e × f × 14 bytes per p, independent of n, and polls e / n engines per p.

    Runs on the control thread.

    @see ReportTable, pollerOf
*/
class EngineView
{
public:
    struct Config
    {
        InstanceId self;
        /** Interval between polls of one engine. */
        Millis pollPeriod = Millis::seconds(4);
        /** Interval during which updates are batched before they are forwarded. */
        Millis batchInterval{250};
        /** Number of neighbours that receive each load report. */
        std::size_t fanOut = 3;
        /** Maximum number of concurrent polls. */
        std::size_t maxConcurrentPolls = 32;
        /** Interval between queries for missing facts. */
        Millis factsQueryInterval = Millis::seconds(1);
    };

    /** Callbacks into the membership. */
    struct Hooks
    {
        /** Returns all usable members, including this instance. */
        std::function<std::vector<MemberRecord>()> members;
        /**
            Returns the addresses to which updates may be forwarded; load reports go to a random
            selection of them.
        */
        std::function<std::vector<PeerAddress>()> neighbours;
    };

    EngineView(Config config, EngineControl engines, PeerTransport peers, Hooks hooks,
               RandomHook random);
    ~EngineView();
    EngineView(const EngineView &) = delete;
    EngineView &operator=(const EngineView &) = delete;

    /** Sets the engines of newer settings. */
    void setEngines(const std::vector<EngineSettings> &engines);

    /** Recomputes which engines this instance polls; to be called after the membership changed. */
    void refreshPolled();

    /**
        Polls engines that are due, forwards updates and queries missing facts. To be called about
        every 50 ms.
    */
    void tick(Millis now);

    /** Handles a frame of FrameChannel::EngineReports. Returns false if it was malformed. */
    bool handleFrame(const PeerAddress &from, const std::string &frame, Millis now);

    /** Writes the known loads to the counters that routing reads. */
    void publishLoads(LiveLoads &loads,
                      const std::function<UpstreamIndex(const UpstreamId &)> &index,
                      Millis now) const;

    const ReportTable &table() const { return table_; }

    /** Returns the number of engines that this instance polls. */
    std::size_t polledCount() const { return polled_.size(); }

private:
    struct Polled
    {
        UpstreamId engine;
        Millis nextPollAt{0};
        bool inFlight = false;
    };

    void poll(Polled &polled, Millis now);
    void onPolled(const UpstreamId &engine, const std::optional<EngineState> &state);
    void forwardUpdates(Millis now);
    void queryFacts(Millis now);
    void sendFacts(const PeerAddress &to, const std::vector<EngineKey> &wanted, Millis now);
    void recordUpdate(EngineKey engine, ReportMergeResult result);
    void forwardChanges(Millis now);
    std::string reportFrame(const std::set<EngineKey> &engines, Millis now) const;
    void handleReports(const PeerAddress &from, const std::vector<EngineReport> &reports);
    std::vector<PeerAddress> selectNeighbours();

    const Config config_;
    const EngineControl engines_;
    const PeerTransport peers_;
    const Hooks hooks_;
    const RandomHook random_;
    Millis now_{0};
    Millis nextForwardAt_{0};
    Millis nextFactsQueryAt_{0};
    std::size_t inFlight_ = 0;
    std::vector<EngineSettings> settings_;
    std::map<UpstreamId, Polled> polled_;
    ReportTable table_;
    /** Engines whose newest sample has not been forwarded yet. */
    std::set<EngineKey> unsentLoads_;
    /** Engines whose changed facts have not been forwarded yet. */
    std::set<EngineKey> unsentChanges_;
    /** The peer that last sent a report of an engine, and that is queried for its facts. */
    std::map<EngineKey, PeerAddress> lastReporter_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cuminrail
