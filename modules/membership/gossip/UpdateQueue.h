#pragma once

#include "membership/messages/MembershipMessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace cuminrail {

/** Returns the approximate number of bytes that an update takes in a message. */
std::size_t updateSize(const MemberRecord &record);
std::size_t updateSize(const UrgentFact &fact);

/**
    Updates still to be piggybacked on messages, those sent least often first.

    Each update is sent a limited number of times, a small multiple of the logarithm of the number
    of members: enough to reach all of them with near certainty, without further cost afterwards.
*/
class UpdateQueue
{
public:
    /** Adds an update about a member and replaces an older one about the same member. */
    void add(const MemberRecord &record);
    /** Adds a fact and replaces the same one with a smaller number. */
    void add(const UrgentFact &fact);

    /**
        Takes updates for one message.

        @param budget     approximate number of bytes available for updates
        @param maxSends   how often one update is sent before it is dropped
    */
    Gossip take(std::size_t budget, std::uint32_t maxSends);

    std::size_t size() const { return members_.size() + facts_.size(); }

private:
    template<typename T>
    struct Pending
    {
        T update;
        std::uint32_t sends = 0;
    };
    using FactKey = std::pair<UrgentFactKind, std::string>;

    std::map<InstanceId, Pending<MemberRecord>> members_;
    std::map<FactKey, Pending<UrgentFact>> facts_;
};

} // namespace cuminrail
