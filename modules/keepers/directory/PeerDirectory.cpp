#include "keepers/directory/PeerDirectory.h"

namespace cuminrail {

void PeerDirectory::setPeers(const std::vector<OwnerCandidate> &peers)
{
    all_.clear();
    for (const OwnerCandidate &peer : peers) {
        if (!peer.address.empty())
            all_.push_back(peer.address);
    }
}

std::optional<PeerAddress> PeerDirectory::anyLinked(const RandomHook &random) const
{
    std::vector<const PeerAddress *> linked;
    for (const PeerAddress &each : all_) {
        if (!isLinked || isLinked(each))
            linked.push_back(&each);
    }
    if (linked.empty())
        return std::nullopt;
    return *linked[random() % linked.size()];
}

} // namespace cuminrail
