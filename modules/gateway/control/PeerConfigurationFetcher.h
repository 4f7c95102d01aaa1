#pragma once

#include "gateway/control/InstanceRegistry.h"
#include "gateway/request/RelayContext.h"
#include "net/upstream/UpstreamPool.h"

namespace cuminrail {

/**
    Fetches a newer configuration from other instances while the store does not respond.

    The store can refuse a single instance and serve the others. A key withdrawn meanwhile would
    remain valid here for as long as that lasts. Any instance with a newer version returns it;
    versions only ever increase, so a peer that is itself behind does no harm.
*/
class PeerConfigurationFetcher
{
public:
    /** Time without confirmation by the store: the length of a watch and its time-out. */
    static constexpr Millis storeSilenceTimeout = Millis(1500);
    static constexpr Millis queryInterval = Millis(700);

    /** @param onNewer  called with the text of a newer configuration */
    PeerConfigurationFetcher(RelayContext &context, const InstanceRegistry &registry,
                             RandomHook random,
                             std::function<void(const std::string &text)> onNewer);

    /** Queries a peer when due; @c isStoreSilent while the store does not respond here. */
    void tick(bool isStoreSilent);

private:
    void query(const std::string &address);

    RelayContext &context_;
    const InstanceRegistry &registry_;
    RandomHook random_;
    std::function<void(const std::string &)> onNewer_;
    Millis nextQueryAt_;
};

} // namespace cuminrail
