#pragma once

#include "instance/serving/ServingSnapshot.h"
#include "routing/table/FleetState.h"
#include "routing/table/StableIndexes.h"

#include <memory>
#include <set>

namespace cuminrail {

/**
    Builds the next snapshot from the current state of the control thread. Control thread only.

    Each setter replaces one input; build() combines all of them into a snapshot.
*/
class SnapshotBuilder
{
public:
    explicit SnapshotBuilder(FailureDomainId ownDomain);

    void setSettings(Settings settings) { settings_ = std::move(settings); }
    void setFacts(FleetState facts) { facts_ = std::move(facts); }
    /** Sets the keys that other instances reported as withdrawn before the settings did. */
    void setWithdrawnAhead(std::set<KeyHash> keys) { withdrawnAhead_ = std::move(keys); }

    std::unique_ptr<const ServingSnapshot> build();

    const Settings &settings() const { return settings_; }
    StableIndexes &indexes() { return indexes_; }

private:
    FailureDomainId ownDomain_;
    Settings settings_;
    FleetState facts_;
    std::set<KeyHash> withdrawnAhead_;
    StableIndexes indexes_;
    std::uint64_t generation_ = 0;
};

} // namespace cuminrail
