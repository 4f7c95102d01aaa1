#pragma once

#include "gateway/GatewayWire.h"
#include "gateway/admin/GatewayAdmin.h"
#include "gateway/control/FleetLease.h"
#include "gateway/control/InstanceGroup.h"
#include "gateway/control/InstanceRegistry.h"
#include "gateway/control/PeerConfiguration.h"
#include "gateway/control/ScaleDuty.h"
#include "gateway/control/StageDuty.h"
#include "gateway/control/StoreSync.h"
#include "gateway/peers/PeerFabric.h"
#include "gateway/request/RelayContext.h"
#include "gateway/usage/GatewayUsage.h"
#include "net/server/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace cuminrail {

/**
    One instance: takes requests, follows the store, holds duties when it is its turn, and stops
    without cutting a request.

    Runs on one event loop. The instances of today have a quarter of one core each, which a second
    thread would only share; one loop spares every lock.
*/
class Gateway
{
public:
    /** What the instance is given to live with. */
    struct Environment
    {
        boost::asio::io_context &io;
        DeadlineList &deadlines;
        Clock clock;
        /** Milliseconds since 1970 as the machine tells them now. */
        std::function<std::int64_t()> wallMillis;
        RandomHook random;
        EventSink events;
        ObjectStore store;
        /** Log lines left out since the start. */
        std::function<std::uint64_t()> logLinesDropped;
    };

    Gateway(InstanceSettings settings, GatewayWire wire, Environment environment);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /** Listens and begins to follow the store. */
    bool start(Reason *lastReason);
    /** For the metrics: a call of the platform ended. */
    void platformCallEnded(const char *what, bool wasAnswered, Millis took)
    {
        context_.metrics.platformCall(what, wasAnswered, took.toSeconds());
    }
    /** Begins the planned stop; the hook is called when the last request is answered. */
    void drain(std::function<void()> onDrained);
    /**
        Ends every connection. What the event loop still holds must run once more before this object
        goes: it refers to the servers here.
    */
    void shutDown();
    /** Where the instance listens; of interest where the settings say 0, any free port. */
    std::uint16_t callersPort() const { return callers_.port(); }
    std::uint16_t readinessPort() const { return readiness_.port(); }
    std::uint16_t adminPort() const { return admin_.port(); }
    bool isReady() const;
    /** Takes in a configuration from another source than the store, if it is newer. */
    void takeConfiguration(const std::string &text, const std::string &source)
    {
        sync_.takeConfigurationText(text, source);
    }
    /** The whole state as JSON, without caller keys. */
    std::string stateText() const;

    const RelayContext &context() const { return context_; }

private:
    static RegisteredInstance registrationOf(const InstanceSettings &settings);
    void onRequest(const std::shared_ptr<HttpExchange> &exchange);
    void onReadinessRequest(const std::shared_ptr<HttpExchange> &exchange);
    HttpAnswer problemAnswer(int status, const Reason &reason) const;
    void applyLimits();
    void armTick();
    void tick();
    void tickDrain();
    void tickPeers();
    void setReach();
    /** Whether an engine had read no prompt at an instant of this machine's clock. */
    bool hadReadNothing(EngineKey engine, Millis at) const;
    void joinGroup();
    void onPeerFrame(const PeerAddress &from, const std::string &frame);
    /** Instances to which this one may give its usage ledger. */
    std::vector<PeerAddress> ledgerCollectors();
    GatewayUsage::Hooks usageHooks();
    std::int64_t trueTime() const;
    GatewayGauges gauges() const;
    AdminPages adminPages();

    InstanceSettings settings_;
    GatewayWire wire_;
    Environment environment_;
    UpstreamPool pool_;
    RelayContext context_;
    std::shared_ptr<ServerLoad> load_ = std::make_shared<ServerLoad>();
    HttpServer callers_;
    HttpServer readiness_;
    GatewayAdmin admin_;
    StoreSync sync_;
    InstanceRegistry registry_;
    FleetLease lease_;
    Millis startedAt_;
    PeerConfiguration peers_;
    PeerFabric fabric_;
    /** Looks for questions to other instances whose time is over. */
    Deadline bookTick_;
    std::uint64_t peersRevision_ = 0;
    Millis nextReach_;
    FeedGroup feeds_;
    InstanceGroup group_;
    /** True time less the steady clock's, as of the start. */
    std::int64_t wallOffset_ = environment_.wallMillis() - environment_.clock.now().count();
    GatewayUsage usage_;
    StageDuty stages_;
    ScaleDuty scale_;
    boost::asio::steady_timer timer_;
    bool isDraining_ = false;
    Millis drainStarted_;
    bool hasStoppedListening_ = false;
    std::function<void()> onDrained_;
};

} // namespace cuminrail
