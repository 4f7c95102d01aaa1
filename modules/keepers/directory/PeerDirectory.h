#pragma once

#include "core/random/Random.h"
#include "keepers/ranking/OwnerRanking.h"

#include <functional>
#include <optional>
#include <vector>

namespace cuminrail {

/** The other instances to which messages can be sent. */
class PeerDirectory
{
public:
    /** Returns whether a link is ready; if not set, all links count as ready. */
    std::function<bool(const PeerAddress &)> isLinked;

    /** All instances; this one is among them with an empty address. */
    void setPeers(const std::vector<OwnerCandidate> &peers);
    const std::vector<PeerAddress> &all() const { return all_; }
    /** Returns a random peer with a ready link; nothing if there is none. */
    std::optional<PeerAddress> anyLinked(const RandomHook &random) const;

private:
    std::vector<PeerAddress> all_;
};

} // namespace cuminrail
