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
    The urgent facts that still matter: of each kind and subject the greatest number.

    Kept so that an instance that was cut off, or has just started, can be told what it missed;
    two instances compare hashes to see whether there is anything to tell.
*/
class FactStore
{
public:
    /** Above this the oldest subjects of a kind in order of name are let go. */
    static constexpr std::size_t maxFacts = 8192;

    /** Returns true when the fact is news. */
    bool add(const UrgentFact &fact);

    /** Returns the greatest number known for a subject, 0 for none. */
    std::uint64_t number(UrgentFactKind kind, const std::string &subject) const;

    /** Forgets facts that a predicate says no longer matter. */
    void forget(const std::function<bool(const UrgentFact &)> &isOver);

    /** Returns all facts of a kind. */
    std::vector<UrgentFact> ofKind(UrgentFactKind kind) const;

    /** Returns up to @c limit facts, beginning at a place that the caller moves on. */
    std::vector<UrgentFact> page(std::size_t &place, std::size_t limit) const;

    /** Returns a hash over all facts, for comparing with a peer. */
    std::uint64_t hash() const { return hash_; }
    std::size_t size() const { return numbers_.size(); }

private:
    using Key = std::pair<UrgentFactKind, std::string>;

    static std::uint64_t hash(const Key &key, std::uint64_t number);

    std::map<Key, std::uint64_t> numbers_;
    std::uint64_t hash_ = 0;
};

} // namespace cuminrail
