#pragma once

#include "ports/store/ObjectStore.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** What of the store an instance follows. */
enum class FeedKind : std::uint8_t { Configuration, Upstreams };

/**
    What one instance's watch of a feed brought, for others that do not watch themselves: all
   changes after one revision of the store up to another. Without objects it confirms that there are
   none.
*/
struct FeedUpdate
{
    FeedKind kind = FeedKind::Configuration;
    ObjectVersion from = 0;
    ObjectVersion to = 0;
    std::vector<StoreObject> objects;
};

/** Returns nothing for an update that is too large for a frame. */
std::optional<std::string> encodeFeedUpdate(const FeedUpdate &update);
/** Returns nothing for any other frame. */
std::optional<FeedUpdate> decodeFeedUpdate(const std::string &frame);

} // namespace cuminrail
