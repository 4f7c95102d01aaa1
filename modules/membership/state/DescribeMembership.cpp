#include "membership/state/DescribeMembership.h"

namespace cuminrail {

namespace {

nlohmann::json describeMember(const MemberView &member)
{
    return {
        {"id", member.record.id.text()},
        {"incarnation", member.record.incarnation},
        {"status", std::string(memberStatusNames.name(member.record.status))},
        {"unreachable", member.unreachable},
        {"leaving", member.record.leaving},
        {"domain", member.record.domain.text()},
        {"region", member.record.region.text()},
        {"address", member.record.address},
        {"settings_generation", member.settings.headVersion},
    };
}

} // namespace

nlohmann::json describeMembership(const Membership &membership)
{
    nlohmann::json members = nlohmann::json::array();
    for (const MemberView &member : membership.members())
        members.push_back(describeMember(member));
    const PeerReach reach = membership.reach();
    const MembershipStats &stats = membership.stats();
    return {
        {"self", membership.self().id.text()},
        {"incarnation", membership.self().incarnation},
        {"leaving", membership.self().leaving},
        {"known", reach.known},
        {"alive", reach.alive},
        {"neighbours_probed", reach.probed},
        {"neighbours_answered", reach.answered},
        {"facts", membership.facts().size()},
        {"pending_news", membership.pendingNews()},
        {"frames_sent", stats.framesSent},
        {"bytes_sent", stats.bytesSent},
        {"frames_received", stats.framesReceived},
        {"malformed_frames", stats.malformedFrames},
        {"members", members},
    };
}

} // namespace cuminrail
