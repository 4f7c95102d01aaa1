#pragma once

#include "core/random/Random.h"
#include "keepers/ranking/KeeperRanking.h"

#include <functional>
#include <optional>
#include <vector>

namespace cuminrail {

/** The other instances that can be told something. */
class PeerDirectory
{
public:
    /** Tells whether a link is ready; may be left out, all are then. */
    std::function<bool(const PeerAddress &)> isLinked;

    /** All instances, this one among them without an address. */
    void setPeers(const std::vector<KeeperCandidate> &peers);
    const std::vector<PeerAddress> &all() const { return all_; }
    /** Returns one to which a link is ready, by chance; nothing if there is none. */
    std::optional<PeerAddress> anyLinked(const RandomHook &random) const;

private:
    std::vector<PeerAddress> all_;
};

} // namespace cuminrail
