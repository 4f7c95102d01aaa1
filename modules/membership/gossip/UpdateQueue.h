#pragma once

#include "membership/messages/MembershipMessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace cuminrail {

/** Returns roughly how many bytes a piece of news takes in a message. */
std::size_t newsSize(const MemberRecord &record);
std::size_t newsSize(const UrgentFact &fact);

/**
    News that still has to ride along with messages, what was sent least often first.

    Each piece is sent a bounded number of times, a small multiple of the logarithm of the number
    of members: enough to reach all with near certainty, and then it costs nothing more.
*/
class UpdateQueue
{
public:
    /** Adds news of a member, in place of older news of the same member. */
    void add(const MemberRecord &record);
    /** Adds a fact, in place of the same one with a smaller number. */
    void add(const UrgentFact &fact);

    /**
        Takes news for one message.

        @param budget     bytes that the news may have, roughly
        @param maxSends   how often one piece is sent before it is dropped
    */
    Gossip take(std::size_t budget, std::uint32_t maxSends);

    std::size_t size() const { return members_.size() + facts_.size(); }

private:
    template<typename T>
    struct Waiting
    {
        T news;
        std::uint32_t sends = 0;
    };
    using FactKey = std::pair<UrgentFactKind, std::string>;

    std::map<InstanceId, Waiting<MemberRecord>> members_;
    std::map<FactKey, Waiting<UrgentFact>> facts_;
};

} // namespace cuminrail
