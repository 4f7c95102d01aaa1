#pragma once

#include "gateway/control/InstanceRegistry.h"
#include "gateway/request/RelayContext.h"
#include "net/upstream/UpstreamPool.h"

namespace cuminrail {

/**
    Asks other instances for a newer configuration while the store does not answer this one.

    The store can turn a single instance away and serve the others. A key that is withdrawn then
    would go on working here, for as long as that lasts. Any other instance that knows of a newer
    version tells; versions only ever move forward, so one that is behind itself does no harm.
*/
class PeerConfiguration
{
public:
    /** The store has not confirmed the configuration for so long: a watch and its time-out. */
    static constexpr Millis doubtAfter = Millis(1500);
    static constexpr Millis askEvery = Millis(700);

    /** The hook gets the text of a newer configuration. */
    PeerConfiguration(RelayContext &context, const InstanceRegistry &registry, RandomHook random,
                      std::function<void(const std::string &text)> onNewer);

    /** Does what is due. @c isStoreSilent while the store does not answer this instance. */
    void tick(bool isStoreSilent);

private:
    void ask(const std::string &address);

    RelayContext &context_;
    const InstanceRegistry &registry_;
    RandomHook random_;
    std::function<void(const std::string &)> onNewer_;
    Millis nextAt_;
};

} // namespace cuminrail
