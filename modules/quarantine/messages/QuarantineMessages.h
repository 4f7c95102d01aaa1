#pragma once

#include "quarantine/table/QuarantineTable.h"
#include "quarantine/table/Suspicion.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cuminrail {

/** Announces or reports contents under which upstreams ended. */
struct SuspicionAnnouncement
{
    /** The sender saw the endings itself: the receiver evaluates them and announces the result. */
    bool isReport = false;
    std::vector<Suspicion> suspicions;
};

/** The endings of some upstreams do not count for a content, as a later request was answered. */
struct SuspicionCleared
{
    ContentFingerprint content;
    std::vector<UpstreamIncarnation> upstreams;
};

/** Announces quarantines. */
struct QuarantineAnnouncement
{
    std::vector<Quarantine> quarantines;
    /** The sender has sent all that it knows. */
    bool isLast = false;
};

/** An operator has lifted a quarantine. */
struct QuarantineLifted
{
    std::string id;
    std::vector<ContentFingerprint> contents;
    std::vector<UpstreamIncarnation> upstreams;
};

/** A starting instance asks for the quarantines in force. */
struct QuarantineQuery
{ };

/** Asks a content's owner for its trial. */
struct TrialQuery
{
    ContentFingerprint content;
};

struct TrialReply
{
    ContentFingerprint content;
    bool isGranted = false;
};

/** Tells the owner that granted a trial that it is over. */
struct TrialEnded
{
    ContentFingerprint content;
};

using QuarantineMessage =
    std::variant<SuspicionAnnouncement, SuspicionCleared, QuarantineAnnouncement, QuarantineLifted,
                 QuarantineQuery, TrialQuery, TrialReply, TrialEnded>;

/** Upper bounds of message fields. */
struct QuarantineMessageLimits
{
    static constexpr std::size_t suspicions = 64;
    static constexpr std::size_t quarantines = 64;
    static constexpr std::size_t upstreams = 16;
};

/** Encodes a message as a frame for another instance. */
std::string encodeQuarantineMessage(const QuarantineMessage &message);
/** Returns nothing unless the frame is a complete message of a known format within bounds. */
std::optional<QuarantineMessage> decodeQuarantineMessage(const std::string &frame);

} // namespace cuminrail
