#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "core/time/Millis.h"
#include "ports/engines/EngineControl.h"

#include <optional>
#include <string>

namespace cuminrail {

/** The value of an object "leases/<duty>". */
struct LeaseRecord
{
    /** Empty when the last holder has handed the duty over. */
    InstanceId holder;
    Incarnation incarnation = 0;
    FenceNumber fence = 0;
    /** How long the lease is good for, counted by each reader on its own clock. */
    Millis term;
    /** Unique for each write, so that a writer whose answer was lost recognises its own. */
    std::string token;

    bool isReleased() const { return holder.isEmpty(); }
    bool isHeldBy(const InstanceId &instance, Incarnation life) const
    {
        return holder == instance && incarnation == life;
    }

    /** Returns the JSON text that the store keeps. */
    std::string toText() const;
    /** Reads what the store keeps; nothing, with a reason, when it is no lease. */
    static std::optional<LeaseRecord> fromText(const std::string &text, Reason *lastReason);
};

} // namespace cuminrail
