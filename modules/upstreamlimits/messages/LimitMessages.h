#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminrail {

/** "An upstream stated this, so long ago." */
struct AnnouncedLimit
{
    UpstreamLife incarnation = 0;
    /** Nothing if it takes all requests. */
    std::optional<double> perSecond;
    Millis age;
};

/** What instances tell one another of upstreams' limits. */
struct LimitAnnouncement
{
    /** The receiver is to tell all instances what it did not know. */
    bool isReport = false;
    std::vector<AnnouncedLimit> limits;
};

/** A frame of the quotas that limits are kept as. */
struct LimitQuotaFrame
{
    std::string frame;
};

using LimitMessage = std::variant<LimitAnnouncement, LimitQuotaFrame>;

/** Bounds on what a message may hold. */
struct LimitMessageLimits
{
    static constexpr std::size_t limits = 64;
    static constexpr std::size_t frameBytes = 1024;
    /** Rates travel in thousandths of a request a second. */
    static constexpr std::uint64_t thousandths = 1'000'000'000;
    static constexpr std::uint64_t millis = 3'600'000;
};

/** Encodes a message as a frame for another instance. */
std::string encodeLimitMessage(const LimitMessage &message);
/** Returns nothing for what is no message of a known format, whole and within bounds. */
std::optional<LimitMessage> decodeLimitMessage(const std::string &frame);

} // namespace cuminrail
