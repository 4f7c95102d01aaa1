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
    This instance's membership, fed by the links to peers and by the platform's lagging list.

    Hands frames to the module that they are for: other services register for their channel.
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

    /** Takes a frame from a peer and gives it to its module. */
    void receive(const PeerAddress &from, const std::string &frame);

    void setFrameHook(FrameChannel channel, FrameHook hook);
    void addFactHook(std::function<void(const UrgentFact &)> hook);
    void addDigestHook(std::function<void(const PeerDigest &)> hook);
    void addChangeHook(std::function<void()> hook);

    /** Called with each list of upstreams that the platform gave. */
    void setUpstreamListHook(std::function<void(const std::vector<ListedInstance> &)> hook);
    /** Says whether this instance is one of the few that read the platform's list every second. */
    void setListReaderHook(std::function<bool()> hook) { isListReader_ = std::move(hook); }

    /** Members that may be given duties, this instance included. */
    std::vector<MemberRecord> usable() const;
    std::vector<InstanceId> usableIds() const;
    /** Where news goes: addresses of the instance's neighbours among usable members. */
    std::vector<PeerAddress> neighbours() const;
    /** Returns true when this life of an instance is known to be over. */
    bool isGone(const InstanceId &instance, Incarnation incarnation) const;
    PeerAddress addressOf(const InstanceId &instance) const;

private:
    MembershipHooks hooksFor(PeerTransport transport,
                             std::function<SettingsDigest(Millis)> settingsDigest);
    void readListIfDue(Millis now);
    void listRead(const std::optional<std::vector<ListedInstance>> &listed);
    nlohmann::json describe() const;

    ControlPlane &control_;
    FleetOrdering fleet_;
    std::map<FrameChannel, FrameHook> frameHooks_;
    std::vector<std::function<void(const UrgentFact &)>> factHooks_;
    std::vector<std::function<void(const PeerDigest &)>> digestHooks_;
    std::vector<std::function<void()>> changeHooks_;
    std::function<void(const std::vector<ListedInstance> &)> onUpstreamList_;
    std::function<bool()> isListReader_;
    Millis nextListAt_{0};
    Membership membership_;
};

} // namespace cuminrail
