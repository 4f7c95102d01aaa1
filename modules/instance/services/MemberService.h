#pragma once

#include "instance/control/ControlPlane.h"
#include "membership/membership.h"
#include "ports/fleet/FleetOrdering.h"
#include "ports/peers/PeerTransport.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cuminrail {

/**
    The membership of this instance, updated by frames from peers and by the platform's list of
    instances, which lags behind.

    Dispatches received frames by channel: other services register a hook for their channel.
*/
class MemberService
{
public:
    using FrameHook = std::function<void(const PeerAddress &from, const std::string &frame)>;

    MemberService(ControlPlane &control, const MemberRecord &self, PeerTransport transport,
                  FleetOrdering fleet, std::function<SettingsDigest(Millis)> settingsDigest);
    MemberService(const MemberService &) = delete;
    MemberService &operator=(const MemberService &) = delete;

    Membership &membership() { return membership_; }

    /** Passes a frame from a peer to the hook of its channel; drops it if there is none. */
    void receive(const PeerAddress &from, const std::string &frame);

    void setFrameHook(FrameChannel channel, FrameHook hook);
    void addFactHook(std::function<void(const UrgentFact &)> hook);
    void addDigestHook(std::function<void(const PeerDigest &)> hook);
    void addChangeHook(std::function<void()> hook);

    /** Sets the hook that is called with each list of upstreams received from the platform. */
    void setUpstreamListHook(std::function<void(const std::vector<ListedInstance> &)> hook);
    /** Sets the hook that returns whether this instance reads the platform's list every second. */
    void setListReaderHook(std::function<bool()> hook) { isListReader_ = std::move(hook); }

    /** Returns the members that may hold duties, this instance included unless it is leaving. */
    std::vector<MemberRecord> usable() const;
    std::vector<InstanceId> usableIds() const;
    /** Returns the addresses of this instance's usable neighbours, to which updates are sent. */
    std::vector<PeerAddress> neighbours() const;
    /** Returns true if this incarnation of an instance is known to have ended. */
    bool isGone(const InstanceId &instance, Incarnation incarnation) const;
    PeerAddress addressOf(const InstanceId &instance) const;

private:
    MembershipHooks makeHooks(PeerTransport transport,
                              std::function<SettingsDigest(Millis)> settingsDigest);
    void requestListIfDue(Millis now);
    void handleList(const std::optional<std::vector<ListedInstance>> &listed);
    nlohmann::json describe() const;

    ControlPlane &control_;
    FleetOrdering fleet_;
    std::map<FrameChannel, FrameHook> frameHooks_;
    std::vector<std::function<void(const UrgentFact &)>> factHooks_;
    std::vector<std::function<void(const PeerDigest &)>> digestHooks_;
    std::vector<std::function<void()>> changeHooks_;
    std::function<void(const std::vector<ListedInstance> &)> onUpstreamList_;
    std::function<bool()> isListReader_;
    Millis nextListRequestAt_{0};
    Membership membership_;
};

} // namespace cuminrail
