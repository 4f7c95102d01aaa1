#pragma once

#include "instance/control/ControlPlane.h"
#include "peerlink/PeerLinks.h"

#include <functional>
#include <string>

namespace cuminrail {

/**
    The links to other instances. Reloads the shared secrets when their file changes.

    Without a secrets file there are no links: an instance without a shared secret cannot
    authenticate its peers, so it runs standalone.
*/
class PeerService
{
public:
    explicit PeerService(ControlPlane &control);
    PeerService(const PeerService &) = delete;
    PeerService &operator=(const PeerService &) = delete;

    /**
        Reads the secrets and starts to listen. Call it before the control thread starts.

        Returns false, with the reason, if the file is unreadable or invalid or if listening on the
        address fails.
    */
    bool start(Reason *lastReason);

    void setFrameHandler(PeerLinks::FrameHandler handler);

    /** Returns the address at which peers reach this instance; empty without links. */
    const PeerAddress &address() const { return address_; }
    PeerTransport transport();

private:
    bool hasLinks() const;
    void reloadSecrets();
    nlohmann::json describe() const;

    ControlPlane &control_;
    PeerLinks links_;
    PeerAddress address_;
    std::string secretsText_;
};

} // namespace cuminrail
