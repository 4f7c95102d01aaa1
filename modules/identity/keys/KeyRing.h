#pragma once

#include "core/ids/Ids.h"
#include "identity/keys/KeyHash.h"
#include "settings/model/Settings.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace cuminrail {

enum class KeyStatus : std::uint8_t {
    Valid,
    Unknown,
    Withdrawn,
};

/** What a key's hash says of its caller. */
struct KeyLookup
{
    KeyStatus status = KeyStatus::Unknown;
    /** Set only for a valid key; lives as long as the ring. */
    const CustomerId *customer = nullptr;
};

/**
    All caller keys, by hash: immutable, shared by request threads as part of a snapshot.

    Look-ups cost one hash of the key and one table access, and no lock.

    @see KeyHash
*/
class KeyRing
{
public:
    KeyRing() = default;

    /**
        Builds the ring from settings.

        @param withdrawnAhead hashes that other instances reported withdrawn before the settings
               that say so arrived here; they count as withdrawn whatever the settings say.
    */
    KeyRing(const std::vector<CallerKeySettings> &keys, const std::set<KeyHash> &withdrawnAhead);

    /** Returns the status of a key and, if it is valid, its customer. */
    KeyLookup find(const KeyHash &hash) const;

    /** Returns the number of keys, withdrawn ones included. */
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        CustomerId customer;
        bool withdrawn = false;
    };

    std::unordered_map<KeyHash, Entry> entries_;
};

} // namespace cuminrail
