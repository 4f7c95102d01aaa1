#pragma once

#include "quarantine/book/SuspectBook.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminrail {

/** "Upstreams ended under these requests." */
struct SuspicionAnnouncement
{
    /** The sender saw it itself: the receiver is to weigh it and to tell all of what follows. */
    bool isReport = false;
    std::vector<Suspicion> suspicions;
};

/** "This request ran to its end: it is not suspected." */
struct SuspicionCleared
{
    RequestFingerprint fingerprint;
};

using QuarantineMessage = std::variant<SuspicionAnnouncement, SuspicionCleared>;

/** Bounds on what a message may hold. */
struct QuarantineMessageLimits
{
    static constexpr std::size_t suspicions = 64;
};

/** Encodes a message as a frame for another instance. */
std::string encodeQuarantineMessage(const QuarantineMessage &message);
/** Returns nothing for what is no message of a known format, whole and within bounds. */
std::optional<QuarantineMessage> decodeQuarantineMessage(const std::string &frame);

} // namespace cuminrail
