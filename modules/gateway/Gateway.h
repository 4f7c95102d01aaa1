#pragma once

#include "gateway/GatewayProtocol.h"
#include "gateway/admin/GatewayAdmin.h"
#include "gateway/control/FleetLease.h"
#include "gateway/control/InstanceGroup.h"
#include "gateway/control/InstanceRegistry.h"
#include "gateway/control/PeerConfigurationFetcher.h"
#include "gateway/control/ScaleDuty.h"
#include "gateway/control/StageDuty.h"
#include "gateway/control/StoreSync.h"
#include "gateway/peers/FrameRelay.h"
#include "gateway/peers/LinkTraffic.h"
#include "gateway/peers/PeerLinkManager.h"
#include "gateway/request/RelayContext.h"
#include "gateway/usage/GatewayUsage.h"
#include "net/server/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace cuminrail {

/**
    One instance: serves requests, follows the store, performs duties while it holds the lease, and
    shuts down without truncating a response.

    Runs on one event loop. An instance has a quarter of one core, which a second thread would only
    share; with a single loop no locks are needed.
*/
class Gateway
{
public:
    /** External dependencies of the instance: event loop, clocks, random numbers, log, store. */
    struct Environment
    {
        boost::asio::io_context &io;
        DeadlineList &deadlines;
        Clock clock;
        /** The machine's wall clock in milliseconds since 1970. */
        std::function<std::int64_t()> wallMillis;
        RandomHook random;
        EventSink events;
        ObjectStore store;
        /** Number of log lines dropped since the start. */
        std::function<std::uint64_t()> logLinesDropped;
        /** For tests: whether the completion of a request's step is called twice. */
        std::function<bool(RequestStep)> repeatsCompletion = nullptr;
    };

    Gateway(InstanceSettings settings, GatewayProtocol wire, Environment environment);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /** Starts listening and following the store. */
    bool start(Reason *lastReason);
    /** Records the duration of a finished platform call in the metrics. */
    void platformCallEnded(const char *what, bool wasAnswered, Millis took)
    {
        context_.metrics.platformCall(what, wasAnswered, took.toSeconds());
    }
    /** Counts and logs bytes that are not their request's response. */
    void noteStray(const StrayResponse &stray);
    /** Begins a graceful shutdown; @c onDrained is called when the last response is complete. */
    void drain(std::function<void()> onDrained);
    /**
        Closes every connection. Run the event loop once more before destroying this object:
        handlers that are still queued refer to the servers here.
    */
    void shutDown();
    /** Ports that the instance listens on; of use if the settings say 0, for any free port. */
    std::uint16_t callersPort() const { return callers_.port(); }
    std::uint16_t readinessPort() const { return readiness_.port(); }
    std::uint16_t adminPort() const { return admin_.port(); }
    bool isReady() const;
    /** Applies a configuration from another source than the store, if it is newer. */
    void applyConfiguration(const std::string &text, const std::string &source)
    {
        sync_.applyConfigurationText(text, source);
    }
    /** The whole state as JSON, without caller keys. */
    std::string stateText() const;
    std::string quarantineText() const;

    const RelayContext &context() const { return context_; }
    /** Returns the number of known instances, this one included. */
    std::size_t instanceCount() const { return registry_.instances().size(); }

private:
    static RegisteredInstance registrationOf(const InstanceSettings &settings);
    /** A reply of the store stated its era. */
    void onStoreEra(StoreEra era);
    /** Takes requests back that upstreams have not begun and whose content became held. */
    void callBackHeld();
    std::vector<std::shared_ptr<RequestRelay>> requestsInProgress() const;
    /** Ends the requests in progress, as the instance stops. */
    void endRequests();
    void onDeparture(UpstreamIncarnation incarnation, DepartureSource source);
    void onRequest(const std::shared_ptr<HttpExchange> &exchange);
    /** Sets up carrying of requests between instances. */
    void setUpCarriage();
    /** Sets up the knowledge of where streams began. */
    void setUpStreams();
    void configureStreams(const Configuration &configuration);
    /** Returns why requests of other instances are not carried here; empty if they are. */
    std::string carriageRefusal() const;
    void onPathChange(PathState before);
    void tickPath();
    /** Returns the hooks of a server whose requests a function handles. */
    HttpServerHooks
    serverHooks(std::function<void(const std::shared_ptr<HttpExchange> &)> onRequest);
    /** Logs that this instance called for a part of a response out of its order. */
    void reportOutOfOrder(const Reason &reason) const;
    void onReadinessRequest(const std::shared_ptr<HttpExchange> &exchange);
    HttpResponse problemAnswer(int status, const Reason &reason) const;
    void applyLimits();
    void armTick();
    void tick();
    void tickDrain();
    void tickPeers();
    /** Expires queries to other instances, and sends announcements. */
    void tickExchanges();
    /** Ticks the exchanges often for a while: a request arrived, or a frame of an exchange. */
    void noteExchangeActivity();
    /** Updates the share of instances that this one has links to. */
    void updateReachableShare();
    /** Returns the share of a set of instances, this one and the others, that have links. */
    double linkedShare(const std::vector<PeerAddress> &others) const;
    /** Returns whether an engine had no prefilled prompt yet at a time of the steady clock. */
    bool wasUnusedAt(EngineKey engine, Millis at) const;
    void updateGroup();
    void onLinkFrame(const PeerAddress &from, const std::string &frame);
    void onPeerFrame(const PeerAddress &from, const std::string &frame);
    /** Returns the transport for a purpose, over own links only or through relays too. */
    PeerTransport transportFor(LinkPurpose purpose);
    /** Returns the instances to which this one may send its usage ledger. */
    std::vector<PeerAddress> ledgerCollectors();
    GatewayUsage::Hooks usageHooks();
    InstanceRegistry::Hooks registryHooks();
    std::int64_t wallTime() const;
    GatewayGauges gauges() const;
    AdminPages adminPages();

    InstanceSettings settings_;
    GatewayProtocol wire_;
    Environment environment_;
    UpstreamPool pool_;
    LinkTraffic linkTraffic_;
    RelayContext context_;
    std::shared_ptr<ServerLoad> load_ = std::make_shared<ServerLoad>();
    HttpServer callers_;
    HttpServer readiness_;
    GatewayAdmin admin_;
    StoreSync sync_;
    InstanceRegistry registry_;
    FleetLease lease_;
    Millis startedAt_;
    StoreEra storeEra_ = 0;
    PeerConfigurationFetcher peers_;
    PeerLinkManager fabric_;
    FrameRelay relay_;
    Deadline queryTick_;
    Millis exchangesBusyUntil_;
    std::uint64_t peersRevision_ = 0;
    Millis nextReachUpdateAt_;
    FeedGroup feeds_;
    InstanceGroup group_;
    /** The others whose links show how much of the system is reachable. */
    std::vector<PeerAddress> reachablePeers_;
    /** Wall clock minus steady clock, at the start. */
    std::int64_t wallOffset_ = environment_.wallMillis() - environment_.clock.now().count();
    GatewayUsage usage_;
    StageDuty stages_;
    ScaleDuty scale_;
    boost::asio::steady_timer timer_;
    bool isDraining_ = false;
    bool isCallBackPending_ = false;
    Millis drainStartedAt_;
    bool hasStoppedListening_ = false;
    std::function<void()> onDrained_;
};

} // namespace cuminrail
