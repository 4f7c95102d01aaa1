#pragma once

#include "dataplane/fleet/UpstreamDirectory.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>

namespace cuminrail {

/**
    Selects the upstream for a request without a prompt: the one with the fewest open requests of
    this instance relative to its slots, in the own failure domain if equal.

    Load reports would be a second old and direct every instance to the same upstream at once; the
    number of own open requests is always current. With hundreds of instances most have none open,
    and all would select the first upstream of the list.
*/
class LeastLoaded
{
public:
    /** Being in another failure domain counts as much as this share of occupied slots. */
    static constexpr double domainPenalty = 0.34;
    /** The share of recent bad outcomes counts as this many times that share of occupied slots. */
    static constexpr double badWeight = 3.0;

    struct Query
    {
        std::string ownDomain;
        /** Differs between instances: of equal upstreams each prefers another one. */
        std::uint64_t spreadKey = 0;
        const std::set<std::string> *tried = nullptr;
        std::function<double(const std::string &id)> badShare;
        std::function<bool(const std::string &id)> isEjected;
    };

    /** Returns the selected upstream, or null if none may get the request. */
    UpstreamPointer choose(const std::vector<UpstreamPointer> &upstreams, const Query &query) const;

    void started(const std::string &id) { ++open_[id]; }
    void finished(const std::string &id);
    int open(const std::string &id) const;

private:
    double cost(const UpstreamEntry &entry, const Query &query) const;
    static std::uint64_t preference(const UpstreamRecord &upstream, const Query &query);

    std::unordered_map<std::string, int> open_;
};

} // namespace cuminrail
