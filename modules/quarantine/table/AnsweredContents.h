#pragma once

#include "core/time/Millis.h"
#include "quarantine/fingerprint/ContentFingerprint.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace cuminrail {

/** When responses to requests with a content began that were complete. Bounded; the oldest go. */
class AnsweredContents
{
public:
    static constexpr std::size_t maxContents = 4096;
    static constexpr Millis retention = Millis::seconds(60);

    /** A complete response began at this time. */
    void record(const ContentFingerprint &content, Millis beganAt, Millis now);
    /** Returns when the last complete response began; nothing if there was none recently. */
    std::optional<Millis> lastBeganAt(const ContentFingerprint &content, Millis now) const;
    void expire(Millis now);

private:
    struct Answer
    {
        Millis beganAt;
        Millis expiresAt;
    };

    void removeOldest();

    std::unordered_map<ContentFingerprint, Answer> answers_;
    std::deque<ContentFingerprint> order_;
};

} // namespace cuminrail
