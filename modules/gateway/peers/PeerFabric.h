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

    Links are authenticated by a secret that all instances share. The platform gives none, so the
    first instance that finds none in the store draws one and creates it there; only one creation
    can succeed, and all read back what is there. Until then nothing is listened on and what is sent
    is dropped: callers of the transport must do without answers anyway.
*/
class PeerFabric
{
public:
    using FrameHandler = std::function<void(const PeerAddress &from, const std::string &frame)>;

    struct Environment
    {
        boost::asio::io_context &io;
        Clock clock;
        ObjectStore store;
        EventSink events;
    };

    /** @param listen  where this instance takes links, and how others reach it */
    PeerFabric(Environment environment, HostPort listen, FrameHandler onFrame);

    /** Does what is due until the links are open; to be called every few hundred milliseconds. */
    void tick();
    bool isOpen() const { return links_ != nullptr; }
    /**
        Holds links to these instances ready. A question is answered within milliseconds or not at
        all; without a link most of the first questions after a start would not be.
    */
    void holdLinks(std::vector<PeerAddress> peers);
    /** Whether a link to the instance is ready, whoever set it up. */
    bool isLinked(const PeerAddress &peer) const { return links_ && links_->isLinked(peer); }
    /** Valid as long as this object. */
    PeerTransport transport();
    void stop();

private:
    void secretRead(const StoreReply &reply);
    void createSecret();
    void open(const std::string &secret);
    void connectSome(Millis now);

    Environment environment_;
    HostPort listen_;
    FrameHandler onFrame_;
    std::unique_ptr<PeerLinks> links_;
    /** When a link to each of the held peers is looked for next. */
    std::map<PeerAddress, Millis> held_;
    Millis nextAt_;
    bool isAsking_ = false;
    bool isStopped_ = false;
};

} // namespace cuminrail
