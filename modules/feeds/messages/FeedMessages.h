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

/** What of the store an instance follows. */
enum class FeedKind : std::uint8_t { Configuration, Upstreams };
inline constexpr std::size_t feedKinds = 2;

/**
    What one instance's watch of a feed brought, for others that do not watch themselves: all
    changes after one revision of the store up to another.
*/
struct FeedUpdate
{
    FeedKind kind = FeedKind::Configuration;
    ObjectVersion from = 0;
    ObjectVersion to = 0;
    std::vector<StoreObject> objects;
    /** The objects are all that there are, rather than those that changed. */
    bool isWhole = false;
};

/** An update on its way down a tree of instances. */
struct FeedDelivery
{
    static constexpr std::size_t mostReceivers = 512;

    /** The encoded update; whoever passes it on need not encode it again. */
    std::string update;
    /** To whom its receiver passes it on. */
    std::vector<PeerAddress> passOnTo;
};

/** Asks an instance that knows more for what happened after a revision of the store. */
struct FeedQuestion
{
    FeedKind kind = FeedKind::Configuration;
    ObjectVersion seen = 0;
};

/** How far an instance that watches a feed itself knows it. */
struct FeedStanding
{
    /** Everything up to this revision of the store is known. */
    ObjectVersion seen = 0;
    /** The last revision at which something changed: whoever knows that knows all up to seen. */
    ObjectVersion changedAt = 0;
    /** How long ago the store answered a call of this feed. */
    Millis age;
    /** The last call of this feed failed. */
    bool isRefused = false;
};

/** Tells the other instances of a failure domain how fresh the sender's knowledge is. */
struct FeedHeartbeat
{
    std::array<FeedStanding, feedKinds> feeds;
};

/** Returns nothing for an update that is too large for a frame. */
std::optional<std::string> encodeFeedUpdate(const FeedUpdate &update);
/** Returns nothing for anything else, or what is not whole and within bounds. */
std::optional<FeedUpdate> decodeFeedUpdate(const std::string &encoded);

std::string encodeFeedDelivery(const FeedDelivery &delivery);
/** Returns nothing for any other frame. */
std::optional<FeedDelivery> decodeFeedDelivery(const std::string &frame);

std::string encodeFeedQuestion(const FeedQuestion &question);
/** Returns nothing for any other frame. */
std::optional<FeedQuestion> decodeFeedQuestion(const std::string &frame);

std::string encodeFeedHeartbeat(const FeedHeartbeat &heartbeat);
/** Returns nothing for any other frame. */
std::optional<FeedHeartbeat> decodeFeedHeartbeat(const std::string &frame);

} // namespace cuminrail
