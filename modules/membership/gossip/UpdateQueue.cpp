#include "membership/gossip/UpdateQueue.h"

#include <algorithm>
#include <vector>

namespace cuminrail {

namespace {

constexpr std::size_t kRecordOverhead = 32;
constexpr std::size_t kFactOverhead = 16;

// Who is silent or refutes it must be heard in time; who has joined can wait a round.
bool isPressing(const MemberRecord &record)
{
    return record.status != MemberStatus::Alive || record.refutation > 0 || record.leaving;
}

bool isPressing(const UrgentFact &)
{
    return true;
}

/** Moves as many of the least often sent pieces as the budget allows into a message. */
template<typename Map, typename News>
void takeFrom(Map &waiting, std::size_t &budget, std::uint32_t maxSends, std::size_t maxCount,
              std::vector<News> &taken)
{
    std::vector<typename Map::iterator> order;
    order.reserve(waiting.size());
    for (auto entry = waiting.begin(); entry != waiting.end(); ++entry)
        order.push_back(entry);
    std::stable_sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
        const bool leftPresses = isPressing(left->second.news);
        const bool rightPresses = isPressing(right->second.news);
        if (leftPresses != rightPresses)
            return leftPresses;
        return left->second.sends < right->second.sends;
    });
    for (const auto &entry : order) {
        const std::size_t size = newsSize(entry->second.news);
        if (size > budget || taken.size() >= maxCount)
            return;
        budget -= size;
        taken.push_back(entry->second.news);
        if (++entry->second.sends >= maxSends)
            waiting.erase(entry);
    }
}

} // namespace

std::size_t newsSize(const MemberRecord &record)
{
    return kRecordOverhead + record.id.text().size() + record.domain.text().size()
        + record.region.text().size() + record.address.size();
}

std::size_t newsSize(const UrgentFact &fact)
{
    return kFactOverhead + fact.subject.size();
}

void UpdateQueue::add(const MemberRecord &record)
{
    members_[record.id] = Waiting<MemberRecord>{record, 0};
}

void UpdateQueue::add(const UrgentFact &fact)
{
    Waiting<UrgentFact> &waiting = facts_[FactKey(fact.kind, fact.subject)];
    if (fact.number >= waiting.news.number)
        waiting = Waiting<UrgentFact>{fact, 0};
}

Gossip UpdateQueue::take(std::size_t budget, std::uint32_t maxSends)
{
    Gossip gossip;
    takeFrom(facts_, budget, maxSends, MembershipLimits::facts, gossip.facts);
    takeFrom(members_, budget, maxSends, MembershipLimits::records, gossip.members);
    return gossip;
}

} // namespace cuminrail
