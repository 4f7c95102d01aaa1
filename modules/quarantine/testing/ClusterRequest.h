#pragma once

#include "quarantine/quarantine.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail::testing {

/** Returns the contents of a request whose prompt has these parts, and one more of its own. */
inline RequestContents promptContents(const std::string &customer,
                                      const std::vector<std::string> &parts, const std::string &id)
{
    std::vector<ContentFingerprint> fingerprints;
    for (const std::string &part : parts) {
        fingerprints.push_back(ContentFingerprint::ofPart("m", part));
        fingerprints.push_back(ContentFingerprint::ofCustomerPart(customer, "m", part));
    }
    return {ContentFingerprint::ofRequest(customer, "/stream", id), std::move(fingerprints)};
}

template<typename List, typename Predicate>
void eraseIf(List &list, Predicate isErased)
{
    list.erase(std::remove_if(list.begin(), list.end(), isErased), list.end());
}

/** A request in a simulated cluster. */
struct ClusterRequest
{
    int instance = 0;
    RequestContents contents;
    bool isFatal = false;
    /** Requests are counted by group. */
    int group = 0;
    int attempt = 1;
    bool isTrial = false;
    Millis arrivedAt;
};

/** What became of the requests of a group. */
struct GroupCounts
{
    int requests = 0;
    /** Requests whose first attempt got a response that began. */
    int begunAtFirst = 0;
    int served = 0;
    /** By connected instances. */
    int refused = 0;
    int failed = 0;
    Millis longestHold;
};

} // namespace cuminrail::testing
