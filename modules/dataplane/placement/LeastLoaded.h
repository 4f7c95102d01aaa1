#pragma once

#include "dataplane/fleet/UpstreamDirectory.h"

#include <functional>
#include <set>
#include <string>
#include <unordered_map>

namespace cuminrail {

/**
    Chooses the upstream of a plain service: the one with the least of this instance's own requests
    for its size, the own failure domain first among equals.

    Reports of load would be a second old and send every instance to the same upstream at once; the
    own requests under way are always current.
*/
class LeastLoaded
{
public:
    /** Another failure domain counts as this share of an upstream's slots taken. */
    static constexpr double domainPenalty = 0.34;
    /** The share of bad outcomes of late counts as this many times that share of slots taken. */
    static constexpr double badWeight = 3.0;

    struct Query
    {
        std::string ownDomain;
        const std::set<std::string> *tried = nullptr;
        std::function<double(const std::string &id)> badShare;
        std::function<bool(const std::string &id)> isSetAside;
    };

    /** Returns null when no upstream may get the request. */
    UpstreamPointer choose(const std::vector<UpstreamPointer> &upstreams, const Query &query) const;

    void started(const std::string &id) { ++open_[id]; }
    void finished(const std::string &id);
    int open(const std::string &id) const;

private:
    double cost(const UpstreamEntry &entry, const Query &query) const;

    std::unordered_map<std::string, int> open_;
};

} // namespace cuminrail
