#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "core/time/Millis.h"
#include "ports/engines/EngineControl.h"

#include <optional>
#include <string>

namespace cuminrail {

/** The value of the object "leases/<duty>". */
struct LeaseRecord
{
    /** Empty when the last holder has released the duty. */
    InstanceId holder;
    Incarnation incarnation = 0;
    FenceNumber fence = 0;
    /** Validity of the lease, measured by each reader on its own clock. */
    Millis term;
    /** Unique for each write, so that a writer whose reply was lost recognises its own write. */
    std::string token;

    bool isReleased() const { return holder.isEmpty(); }
    bool isHeldBy(const InstanceId &instance, Incarnation ownIncarnation) const
    {
        return holder == instance && incarnation == ownIncarnation;
    }

    /** Returns the JSON text to store. */
    std::string toText() const;
    /** Parses a stored text. Returns nothing, with a reason, if it is not a valid lease. */
    static std::optional<LeaseRecord> fromText(const std::string &text, Reason *lastReason);
};

} // namespace cuminrail
