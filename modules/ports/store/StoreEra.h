#pragma once

#include <cstdint>

namespace cuminrail {

/** Counts how often the store came back from a copy; 0 for a store that never says. */
using StoreEra = std::uint32_t;

/**
    The store's version of an object, and a revision of the whole store: rises with every write to
    the store, 0 means "no object".

    A store that comes back from a copy gives the same revisions out again, for other states. A
    version therefore consists of the era and the revision, so that any version of a later era is
    higher than all versions before. Versions of different eras name different states.
*/
using ObjectVersion = std::uint64_t;

namespace detail {
/** At ten thousand writes a second the revisions last for three years within an era. */
inline constexpr int revisionBits = 40;
} // namespace detail

inline constexpr std::uint64_t maxStoreRevision = (std::uint64_t{1} << detail::revisionBits) - 1;
inline constexpr StoreEra maxStoreEra = (StoreEra{1} << (64 - detail::revisionBits)) - 1;

constexpr ObjectVersion versionIn(StoreEra era, std::uint64_t revision)
{
    return (std::uint64_t{era} << detail::revisionBits) | (revision & maxStoreRevision);
}

constexpr StoreEra eraOf(ObjectVersion version)
{
    return static_cast<StoreEra>(version >> detail::revisionBits);
}

constexpr std::uint64_t revisionOf(ObjectVersion version)
{
    return version & maxStoreRevision;
}

} // namespace cuminrail
