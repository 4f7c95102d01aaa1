#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"

#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** An upstream that stated that it leaves, and how long ago. */
struct AnnouncedDeparture
{
    UpstreamIncarnation incarnation = 0;
    Millis age;
};

/** Announces or reports departures of upstreams to another instance. */
struct DepartureAnnouncement
{
    /** The receiver announces to all instances what it did not know. */
    bool isReport = false;
    std::vector<AnnouncedDeparture> departures;
};

/** Upper bounds of message fields. */
struct DepartureMessageLimits
{
    static constexpr std::size_t departures = 128;
    static constexpr std::uint64_t millis = 3'600'000;
};

/** Encodes an announcement as a frame for another instance. */
std::string encodeDepartures(const DepartureAnnouncement &announcement);
/** Returns nothing unless the frame is a complete announcement within bounds. */
std::optional<DepartureAnnouncement> decodeDepartures(const std::string &frame);

} // namespace cuminrail
