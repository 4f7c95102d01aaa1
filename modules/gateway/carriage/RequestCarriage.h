#pragma once

#include "carriage/carriage.h"
#include "core/events/Event.h"
#include "core/time/Clock.h"
#include "dataplane/model/InstanceSettings.h"
#include "gateway/carriage/CarriedExchange.h"
#include "gateway/control/InstanceRoster.h"
#include "gateway/peers/LinkTraffic.h"
#include "peerlink/PeerLinks.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminrail {

/**
    Hands requests to other instances while this one reaches no upstream, and carries theirs.

    Links for this are separate from those for control messages, which bodies must not delay. They
    are accepted on the port after that of the control links.
*/
class RequestCarriage
{
public:
    struct Environment
    {
        boost::asio::io_context &io;
        Clock clock;
        RandomHook random;
        EventSink events;
        LinkTraffic &traffic;
    };

    struct Hooks
    {
        /** Returns why this instance carries nothing now, or an empty text. */
        std::function<std::string()> refusal;
        /** A request of another instance is to be run. */
        std::function<void(const std::shared_ptr<CarriedExchange> &)> onRequest;
        /** This instance called for a carried response out of its order. */
        std::function<void(const Reason &)> onOutOfOrder;
    };

    RequestCarriage(Environment environment, const InstanceSettings &settings, Hooks hooks);

    /** Opens the links with the secret of all instances. */
    void open(const std::string &secret);
    void setInstances(const std::vector<RegisteredInstance> &instances);
    /** Looks for carriers from now on, or no longer. */
    void setWanted(bool isWanted) { carriers_.setWanted(isWanted, environment_.clock.now()); }
    /** To be called about ten times a second. */
    void tick() { carriers_.tick(environment_.clock.now()); }

    /** Returns an instance that can carry a request; nothing if none is known. */
    std::optional<PeerAddress> chooseCarrier(const std::set<PeerAddress> &tried) const
    {
        return carriers_.choose(tried);
    }
    /** Returns true while instances were asked whether they can carry, and have not replied. */
    bool isSearching() const { return carriers_.isSearching(); }
    OutgoingCalls &outgoing() { return outgoing_; }
    const IncomingCalls &incoming() const { return incoming_; }
    /** Returns true if all responses have left this process. */
    bool isFlushed() const { return !links_ || links_->unsentBytes() == 0; }
    void stop();

private:
    PeerTransport transport();
    void onFrame(const PeerAddress &from, const std::string &frame);
    void onLinkClosed(const PeerAddress &peer);
    CarrierSet::Hooks carrierHooks();
    IncomingCalls::Hooks incomingHooks(Hooks hooks);

    Environment environment_;
    std::string name_;
    HostPort listen_;
    std::unique_ptr<PeerLinks> links_;
    OutgoingCalls outgoing_;
    IncomingCalls incoming_;
    CarrierSet carriers_;
};

} // namespace cuminrail
