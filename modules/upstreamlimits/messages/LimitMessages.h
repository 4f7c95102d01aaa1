#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminrail {

/** A statement of an upstream, with its age. */
struct AnnouncedLimit
{
    UpstreamIncarnation incarnation = 0;
    /** Requests a second; nothing if it is not limited. */
    std::optional<double> perSecond;
    Millis age;
};

/** Announces or reports limits of upstreams to another instance. */
struct LimitAnnouncement
{
    /** The receiver announces to all instances what it did not know. */
    bool isReport = false;
    std::vector<AnnouncedLimit> limits;
};

/** A frame of the QuotaExchange that enforces the limits as quotas. */
struct LimitQuotaFrame
{
    std::string frame;
};

using LimitMessage = std::variant<LimitAnnouncement, LimitQuotaFrame>;

/** Upper bounds of message fields. */
struct LimitMessageLimits
{
    static constexpr std::size_t limits = 64;
    static constexpr std::size_t frameBytes = 1024;
    /** Rates are encoded in thousandths of a request a second. */
    static constexpr std::uint64_t thousandths = 1'000'000'000;
    static constexpr std::uint64_t millis = 3'600'000;
};

/** Encodes a message as a frame for another instance. */
std::string encodeLimitMessage(const LimitMessage &message);
/** Returns nothing unless the frame is a complete message of a known format within bounds. */
std::optional<LimitMessage> decodeLimitMessage(const std::string &frame);

} // namespace cuminrail
