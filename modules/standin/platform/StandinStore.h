#pragma once

#include "ports/store/ObjectStore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail::standin {

/**
    The platform's objects with all their versions, so that reads can be answered from the past.

    One revision counts all writes to the store; an object's version is the revision of its last
    write. Not thread-safe.
*/
class StandinStore
{
public:
    ObjectVersion revision() const { return revision_; }

    /** Returns the object as it was at a revision, or nothing. */
    std::optional<StoreObject> get(const std::string &path, ObjectVersion at) const;
    std::vector<StoreObject> list(const std::string &prefix, ObjectVersion at) const;

    /** Returns what changed below the prefix after a revision, removed objects included. */
    std::vector<StoreObject> changes(const std::string &prefix, ObjectVersion after) const;

    /** Writes under a condition; a conflict gives the present version. */
    StoreReply put(const StorePut &put);
    StoreReply remove(const std::string &path, std::optional<ObjectVersion> expected);

private:
    ObjectVersion versionOf(const std::string &path) const;

    std::map<std::string, std::vector<StoreObject>> histories_;
    ObjectVersion revision_ = 0;
};

} // namespace cuminrail::standin
