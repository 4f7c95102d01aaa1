#include "identity/keys/KeyRing.h"

#include "core/guards/Guards.h"

namespace cuminrail {

KeyRing::KeyRing(const std::vector<CallerKeySettings> &keys,
                 const std::set<KeyHash> &withdrawnAhead)
{
    entries_.reserve(keys.size());
    for (const CallerKeySettings &key : keys) {
        const auto hash = KeyHash::fromHex(key.sha256);
        if (!hash)
            continue;
        const bool withdrawn = key.withdrawn || withdrawnAhead.count(*hash) > 0;
        const auto [position, isNew] = entries_.emplace(*hash, Entry{key.customer, withdrawn});
        // Two entries for one key can only be a mistake. If either is withdrawn, so is the key:
        // otherwise a withdrawn key would go on working through its forgotten double.
        if (!isNew)
            position->second.withdrawn = position->second.withdrawn || withdrawn;
    }
}

KeyLookup KeyRing::find(const KeyHash &hash) const
{
    const auto position = entries_.find(hash);
    if (position == entries_.end())
        return {KeyStatus::Unknown, nullptr};
    if (position->second.withdrawn && guardEnabled(Guard::KeyCheckedEachRequest))
        return {KeyStatus::Withdrawn, nullptr};
    return {KeyStatus::Valid, &position->second.customer};
}

} // namespace cuminrail
