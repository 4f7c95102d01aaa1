#include "membership/facts/FactStore.h"

#include "core/hash/StableHash.h"

namespace cuminrail {

bool FactStore::add(const UrgentFact &fact)
{
    const Key key(fact.kind, fact.subject);
    const auto found = numbers_.find(key);
    if (found != numbers_.end()) {
        if (fact.number <= found->second)
            return false;
        hash_ ^= hash(key, found->second);
        found->second = fact.number;
    } else {
        if (numbers_.size() >= maxFacts) {
            hash_ ^= hash(numbers_.begin()->first, numbers_.begin()->second);
            numbers_.erase(numbers_.begin());
        }
        numbers_.emplace(key, fact.number);
    }
    hash_ ^= hash(key, fact.number);
    return true;
}

std::uint64_t FactStore::number(UrgentFactKind kind, const std::string &subject) const
{
    const auto found = numbers_.find(Key(kind, subject));
    return found == numbers_.end() ? 0 : found->second;
}

void FactStore::removeIf(const std::function<bool(const UrgentFact &)> &isObsolete)
{
    for (auto entry = numbers_.begin(); entry != numbers_.end();) {
        const UrgentFact fact{entry->first.first, entry->first.second, entry->second};
        if (!isObsolete(fact)) {
            ++entry;
            continue;
        }
        hash_ ^= hash(entry->first, entry->second);
        entry = numbers_.erase(entry);
    }
}

std::vector<UrgentFact> FactStore::ofKind(UrgentFactKind kind) const
{
    std::vector<UrgentFact> facts;
    for (const auto &entry : numbers_) {
        if (entry.first.first == kind)
            facts.push_back(UrgentFact{kind, entry.first.second, entry.second});
    }
    return facts;
}

std::vector<UrgentFact> FactStore::page(std::size_t &cursor, std::size_t limit) const
{
    std::vector<UrgentFact> facts;
    if (cursor >= numbers_.size())
        cursor = 0;
    auto entry = std::next(numbers_.begin(), static_cast<std::ptrdiff_t>(cursor));
    for (; entry != numbers_.end() && facts.size() < limit; ++entry, ++cursor)
        facts.push_back(UrgentFact{entry->first.first, entry->first.second, entry->second});
    return facts;
}

std::uint64_t FactStore::hash(const Key &key, std::uint64_t number)
{
    return StableHash().add(std::uint64_t(key.first)).add(key.second).add(number).value();
}

} // namespace cuminrail
