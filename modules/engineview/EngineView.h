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
    Keeps what this instance knows of all engines up to date, with a bounded share of the work.

    Each engine is polled by one instance (pollerOf). What a poll or a peer brings is passed on
    once, in frames gathered over a short span: loads to a few neighbours drawn at random, since
    the next sample makes up for a member that was missed; changes of role, models or life whole
    and to all neighbours, since work sent by the old ones fails. With n instances, e engines, poll
   period p and fan-out f an instance sends e × f × 14 bytes each p, whatever n is, and polls e / n
    engines each p.

    Runs on the control thread.

    @see ReportTable, pollerOf
*/
class EngineView
{
public:
    struct Config
    {
        InstanceId self;
        /** How often an engine is polled. */
        Millis pollPeriod = Millis::seconds(4);
        /** How long news is gathered before it is passed on. */
        Millis gatherPeriod{250};
        /** How many neighbours hear of each piece of news. */
        std::size_t fanOut = 3;
        /** Polls that may be unanswered at once. */
        std::size_t pollsInFlight = 32;
        /** How often missing facts are asked for again. */
        Millis askPeriod = Millis::seconds(1);
    };

    /** What the view needs of the membership. */
    struct Hooks
    {
        /** All members that are usable, this instance included. */
        std::function<std::vector<MemberRecord>()> members;
        /** Addresses of those that news is passed on to, one drawn at random at a time. */
        std::function<std::vector<PeerAddress>()> neighbours;
    };

    EngineView(Config config, EngineControl engines, PeerTransport peers, Hooks hooks,
               RandomHook random);
    ~EngineView();
    EngineView(const EngineView &) = delete;
    EngineView &operator=(const EngineView &) = delete;

    /** Takes the engines of newer settings. */
    void setEngines(const std::vector<EngineSettings> &engines);

    /** Chooses anew which engines this instance polls; call after the membership changed. */
    void refreshPolled();

    /** Polls what is due, passes news on, asks for missing facts. Call every 50 ms or so. */
    void tick(Millis now);

    /** Takes a frame of channel EngineReports. Returns false for a malformed one. */
    bool receive(const PeerAddress &from, const std::string &frame, Millis now);

    /** Puts the known loads into the counters that routing reads. */
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
        Millis nextPoll{0};
        bool inFlight = false;
    };

    void poll(Polled &polled, Millis now);
    void onPolled(const UpstreamId &engine, const std::optional<EngineState> &state);
    void passOn(Millis now);
    void askForFacts(Millis now);
    void answerFacts(const PeerAddress &to, const std::vector<EngineKey> &wanted, Millis now);
    void noteNews(EngineKey engine, ReportNews news);
    void passOnChanges(Millis now);
    std::string reportFrame(const std::set<EngineKey> &engines, Millis now) const;
    void takeReports(const PeerAddress &from, const std::vector<EngineReport> &reports);
    std::vector<PeerAddress> drawNeighbours();

    const Config config_;
    const EngineControl engines_;
    const PeerTransport peers_;
    const Hooks hooks_;
    const RandomHook random_;
    Millis now_{0};
    Millis nextPass_{0};
    Millis nextAsk_{0};
    std::size_t inFlight_ = 0;
    std::vector<EngineSettings> settings_;
    std::map<UpstreamId, Polled> polled_;
    ReportTable table_;
    /** Engines whose newest sample has not been passed on. */
    std::set<EngineKey> fresh_;
    /** Engines whose facts changed, which has not been passed on. */
    std::set<EngineKey> changed_;
    /** Who last told of an engine: whom to ask for its facts. */
    std::map<EngineKey, PeerAddress> teller_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cuminrail
