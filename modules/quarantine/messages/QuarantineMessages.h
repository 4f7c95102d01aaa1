#pragma once

#include "quarantine/table/SuspicionTable.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminrail {

/** Announces or reports requests under which upstreams ended. */
struct SuspicionAnnouncement
{
    /** The sender saw the end itself: the receiver evaluates it and announces a raised level. */
    bool isReport = false;
    std::vector<Suspicion> suspicions;
};

/** Announces that a request completed and is not suspected any more. */
struct SuspicionCleared
{
    RequestFingerprint fingerprint;
};

using QuarantineMessage = std::variant<SuspicionAnnouncement, SuspicionCleared>;

/** Upper bounds of message fields. */
struct QuarantineMessageLimits
{
    static constexpr std::size_t suspicions = 64;
};

/** Encodes a message as a frame for another instance. */
std::string encodeQuarantineMessage(const QuarantineMessage &message);
/** Returns nothing unless the frame is a complete message of a known format within bounds. */
std::optional<QuarantineMessage> decodeQuarantineMessage(const std::string &frame);

} // namespace cuminrail
