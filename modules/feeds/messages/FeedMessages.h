#pragma once

#include "core/time/Millis.h"
#include "ports/peers/PeerTransport.h"
#include "ports/store/ObjectStore.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** The parts of the store that an instance follows. */
enum class FeedKind : std::uint8_t { Configuration, Upstreams };
inline constexpr std::size_t feedKinds = 2;

/**
    The changes that a watch of one instance returned, for instances that do not watch themselves:
    all changes after one revision of the store up to another.
*/
struct FeedUpdate
{
    FeedKind kind = FeedKind::Configuration;
    ObjectVersion from = 0;
    ObjectVersion to = 0;
    std::vector<StoreObject> objects;
    /** The objects are the whole state rather than the changes. */
    bool isWhole = false;
};

/** An update with the addresses to which its receiver relays it. */
struct FeedDelivery
{
    static constexpr std::size_t maxReceivers = 512;

    /** The encoded update; relays forward it without encoding it again. */
    std::string update;
    /** Where its receiver forwards it. */
    std::vector<PeerAddress> forwardTo;
};

/** Queries another instance for the changes after a revision of the store. */
struct FeedQuery
{
    FeedKind kind = FeedKind::Configuration;
    ObjectVersion seen = 0;
};

/** How current an instance that watches a feed itself is. */
struct FeedStatus
{
    /** Everything up to this revision of the store is known. */
    ObjectVersion seen = 0;
    /** The last revision with a change: an instance that has it has everything up to seen. */
    ObjectVersion changedAt = 0;
    /** Age of the last answer of the store to a call for this feed. */
    Millis age;
    /** The last call for this feed failed. */
    bool isRefused = false;
};

/** Announces to the other instances of a failure domain how current the sender is. */
struct FeedHeartbeat
{
    std::array<FeedStatus, feedKinds> feeds;
};

/** Returns nothing for an update that is too large for a frame. */
std::optional<std::string> encodeFeedUpdate(const FeedUpdate &update);
/** Returns nothing for other, truncated or out-of-bounds data. */
std::optional<FeedUpdate> decodeFeedUpdate(const std::string &encoded);

std::string encodeFeedDelivery(const FeedDelivery &delivery);
/** Returns nothing for any other frame. */
std::optional<FeedDelivery> decodeFeedDelivery(const std::string &frame);

std::string encodeFeedQuery(const FeedQuery &query);
/** Returns nothing for any other frame. */
std::optional<FeedQuery> decodeFeedQuery(const std::string &frame);

std::string encodeFeedHeartbeat(const FeedHeartbeat &heartbeat);
/** Returns nothing for any other frame. */
std::optional<FeedHeartbeat> decodeFeedHeartbeat(const std::string &frame);

} // namespace cuminrail
