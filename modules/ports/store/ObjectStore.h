#pragma once

#include "core/errors/Reason.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "ports/store/StoreEra.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** How a call to the object store ended. */
enum class StoreStatus : std::uint8_t {
    Ok,
    NotFound,
    /** The condition failed: the object has another version. Nothing was written. */
    Conflict,
    /** The call had no effect. */
    Unavailable,
    /** No answer came: a write may have taken effect. Read back before believing either. */
    Unknown,
};

inline constexpr NameTable<StoreStatus, 5> storeStatusNames{{{
    {StoreStatus::Ok, "ok"},
    {StoreStatus::NotFound, "not-found"},
    {StoreStatus::Conflict, "conflict"},
    {StoreStatus::Unavailable, "unavailable"},
    {StoreStatus::Unknown, "unknown"},
}}};

/** One object as the store holds it. A removed object is reported by watches with removed set. */
struct StoreObject
{
    std::string path;
    std::string value;
    ObjectVersion version = 0;
    bool removed = false;
};

/** The answer to any call. */
struct StoreReply
{
    StoreStatus status = StoreStatus::Unknown;
    /**
        For a write the object's new version; for get, list and watch the store's revision. Other
        replies of a store that states its era have the lowest version of that era.
    */
    ObjectVersion version = 0;
    /** What get, list and watch found. */
    std::vector<StoreObject> objects;
    Reason lastReason;
};

using StoreCompletion = std::function<void(const StoreReply &)>;

/** A conditional write. */
struct StorePut
{
    std::string path;
    std::string value;
    /** The version that the object must have, 0 for "must not exist"; nothing for no condition. */
    std::optional<ObjectVersion> expected;
};

/**
    The platform's object API: several hundred writes and 2,000 reads a second for the whole
    system, each call counted, values up to 1 MiB, paths like "settings/teams/north".

    A conditional call under a version of an earlier era than a reply has shown is a conflict. One
    that reached the store before that was known, and was carried out in a later era, is Unknown.
*/
struct ObjectStore
{
    std::function<void(const std::string &path, StoreCompletion)> get;
    /** Objects whose path starts with the prefix. */
    std::function<void(const std::string &prefix, StoreCompletion)> list;
    std::function<void(const StorePut &, StoreCompletion)> put;
    std::function<void(const std::string &path, std::optional<ObjectVersion> expected,
                       StoreCompletion)>
        remove;
    /** Answers when something below the prefix is newer than @c after, or empty after @c wait. */
    std::function<void(const std::string &prefix, ObjectVersion after, Millis wait,
                       StoreCompletion)>
        watch;
};

} // namespace cuminrail
