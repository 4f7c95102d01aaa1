#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** Small numbers that stand for names on the path of a request, so that nothing is hashed there. */
using UpstreamIndex = std::uint32_t;
using CustomerIndex = std::uint32_t;
using TeamIndex = std::uint32_t;
using DomainIndex = std::uint32_t;
using AdapterIndex = std::uint32_t;
/** A model or a plain service: what a set of upstreams serves together. */
using PoolIndex = std::uint32_t;

/** Stands for "none" in every kind of index. */
inline constexpr std::uint32_t noIndex = std::numeric_limits<std::uint32_t>::max();

/**
    Gives each name a small number that it keeps for the life of the process.

    State that outlives one version of the settings (fair queueing, outstanding work) is kept by
    index; an index that moved to another name would charge one customer for another's work. So a
    removed name keeps its number and gets it back when it returns.

    Used by one thread; readers get copies.
*/
template<typename Name>
class IndexRegistry
{
public:
    /** Returns the name's number, giving it the next free one the first time. */
    std::uint32_t indexOf(const Name &name)
    {
        const auto [entry, added] =
            indexes_.emplace(name, static_cast<std::uint32_t>(names_.size()));
        if (added)
            names_.push_back(name);
        return entry->second;
    }

    /** Returns the name's number, or noIndex for one never seen. */
    std::uint32_t find(const Name &name) const
    {
        const auto entry = indexes_.find(name);
        return entry == indexes_.end() ? noIndex : entry->second;
    }

    const Name &name(std::uint32_t index) const { return names_[index]; }
    std::size_t size() const { return names_.size(); }

private:
    std::unordered_map<Name, std::uint32_t> indexes_;
    std::vector<Name> names_;
};

} // namespace cuminrail
