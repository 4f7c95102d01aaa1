#pragma once

#include "membership/facts/UrgentFact.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail {

/**
    The urgent facts still needed: the greatest number for each kind and subject.

    Stored so that an instance that was isolated or has just started can catch up; two instances
    compare hashes to find out whether they differ.
*/
class FactStore
{
public:
    /** Beyond this, the first subject in order of kind and name is evicted. */
    static constexpr std::size_t maxFacts = 8192;

    /** Returns true if the fact was not known. */
    bool add(const UrgentFact &fact);

    /** Returns the greatest number known for a subject, 0 if there is none. */
    std::uint64_t number(UrgentFactKind kind, const std::string &subject) const;

    /** Removes the facts for which the predicate returns true. */
    void removeIf(const std::function<bool(const UrgentFact &)> &isObsolete);

    std::vector<UrgentFact> ofKind(UrgentFactKind kind) const;

    /** Returns up to @c limit facts from the cursor on, and advances the cursor. */
    std::vector<UrgentFact> page(std::size_t &cursor, std::size_t limit) const;

    /** Returns a hash of all facts, for comparison with a peer. */
    std::uint64_t hash() const { return hash_; }
    std::size_t size() const { return numbers_.size(); }

private:
    using Key = std::pair<UrgentFactKind, std::string>;

    static std::uint64_t hash(const Key &key, std::uint64_t number);

    std::map<Key, std::uint64_t> numbers_;
    std::uint64_t hash_ = 0;
};

} // namespace cuminrail
