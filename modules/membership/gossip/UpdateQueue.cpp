#include "membership/gossip/UpdateQueue.h"

#include <algorithm>
#include <vector>

namespace cuminrail {

namespace {

constexpr std::size_t kRecordOverhead = 32;
constexpr std::size_t kFactOverhead = 16;

// Failures, refutations and departures are time-critical; joins can wait for another round.
bool isTimeCritical(const MemberRecord &record)
{
    return record.status != MemberStatus::Alive || record.refutation > 0 || record.leaving;
}

bool isTimeCritical(const UrgentFact &)
{
    return true;
}

/**
    Moves updates into a message until the budget is used up: urgent ones first, then those sent
    least often.
*/
template<typename Map, typename Update>
void collectUpdates(Map &pending, std::size_t &budget, std::uint32_t maxSends, std::size_t maxCount,
                    std::vector<Update> &taken)
{
    std::vector<typename Map::iterator> order;
    order.reserve(pending.size());
    for (auto entry = pending.begin(); entry != pending.end(); ++entry)
        order.push_back(entry);
    std::stable_sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
        const bool leftIsCritical = isTimeCritical(left->second.update);
        const bool rightIsCritical = isTimeCritical(right->second.update);
        if (leftIsCritical != rightIsCritical)
            return leftIsCritical;
        return left->second.sends < right->second.sends;
    });
    for (const auto &entry : order) {
        const std::size_t size = updateSize(entry->second.update);
        if (size > budget || taken.size() >= maxCount)
            return;
        budget -= size;
        taken.push_back(entry->second.update);
        if (++entry->second.sends >= maxSends)
            pending.erase(entry);
    }
}

} // namespace

std::size_t updateSize(const MemberRecord &record)
{
    return kRecordOverhead + record.id.text().size() + record.domain.text().size()
        + record.region.text().size() + record.address.size();
}

std::size_t updateSize(const UrgentFact &fact)
{
    return kFactOverhead + fact.subject.size();
}

void UpdateQueue::add(const MemberRecord &record)
{
    members_[record.id] = Pending<MemberRecord>{record, 0};
}

void UpdateQueue::add(const UrgentFact &fact)
{
    Pending<UrgentFact> &pending = facts_[FactKey(fact.kind, fact.subject)];
    if (fact.number >= pending.update.number)
        pending = Pending<UrgentFact>{fact, 0};
}

Gossip UpdateQueue::take(std::size_t budget, std::uint32_t maxSends)
{
    Gossip gossip;
    collectUpdates(facts_, budget, maxSends, MembershipLimits::facts, gossip.facts);
    collectUpdates(members_, budget, maxSends, MembershipLimits::records, gossip.members);
    return gossip;
}

} // namespace cuminrail
