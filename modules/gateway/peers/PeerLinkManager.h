#pragma once

#include "core/events/Event.h"
#include "core/time/Clock.h"
#include "dataplane/model/InstanceSettings.h"
#include "peerlink/PeerLinks.h"
#include "ports/peers/PeerTransport.h"
#include "ports/store/ObjectStore.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/**
    The links of a gateway to the other instances.

    Links are authenticated with a secret shared by all instances. The platform provides none, so
    the first instance that finds no secret in the store generates one and creates it there; only
    one creation can succeed, and every instance reads back the stored secret. Until then the
    instance does not listen and frames sent are dropped: users of the transport must tolerate lost
    replies anyway.
*/
class PeerLinkManager
{
public:
    using FrameHandler = std::function<void(const PeerAddress &from, const std::string &frame)>;

    struct Environment
    {
        boost::asio::io_context &io;
        Clock clock;
        ObjectStore store;
        EventSink events;
        /** Accepted connections that may be in their handshake at the same time. */
        std::size_t maxOpening = PeerLinksConfig().maxOpening;
    };

    /** @param listen  address on which this instance accepts links, also advertised to others */
    PeerLinkManager(Environment environment, HostPort listen, FrameHandler onFrame);

    /** Called with the secret when the links were opened; optional. */
    std::function<void(const std::string &)> onOpen;

    /** Reads the secret and connects to peers when due; to be called a few times a second. */
    void tick();
    /** Postpones reading the secret from the store, as another way may provide it before. */
    void awaitSecret(Millis duration);
    /** Opens the links with a secret that is known from elsewhere, unless they are open. */
    void useSecret(const std::string &secret);
    /** Calls back with the secret, once it is known; reads it from the store at once if needed. */
    void obtainSecret(std::function<void(const std::string &)> done);
    /** The store came back from a copy: the secret is written again if it is lost. */
    void storeRestored();
    bool isOpen() const { return links_ != nullptr; }
    /**
        Keeps links to these instances established. Queries time out within milliseconds, so without
        an open link most of the first queries after a start would go unanswered.
    */
    void maintainLinks(std::vector<PeerAddress> peers);
    /** Returns whether a link to the instance is established, by either side. */
    bool isLinked(const PeerAddress &peer) const { return links_ && links_->isLinked(peer); }
    /** Returns a transport that is valid as long as this object. */
    PeerTransport transport();
    void stop();

private:
    void readSecret();
    void onSecretRead(const StoreReply &reply);
    void createSecret();
    void open(const std::string &secret);
    void checkSecret();
    void connectDuePeers(Millis now);

    Environment environment_;
    HostPort listen_;
    FrameHandler onFrame_;
    std::unique_ptr<PeerLinks> links_;
    /** When to connect next, for each peer to which a link is maintained. */
    std::map<PeerAddress, Millis> nextConnectAt_;
    Millis nextSecretReadAt_;
    bool isSecretRequested_ = false;
    std::vector<std::function<void(const std::string &)>> secretWaiters_;
    /** The secret in use; instances that start later must find it in the store. */
    std::string secret_;
    std::optional<Millis> secretCheckAt_;
    bool isStopped_ = false;
};

} // namespace cuminrail
