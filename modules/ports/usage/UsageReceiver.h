#pragma once

#include "ports/engines/EngineControl.h"

#include <functional>
#include <string>

namespace cuminrail {

/** A usage window as it is reported: the bytes of the sealed object, never computed anew. */
struct UsageReport
{
    /** For instance "north/2026-12-02T10:15". */
    std::string windowId;
    std::string sealedFigures;
    FenceNumber fence = 0;
    /** As EngineOrder::notAfter. */
    Millis notAfter = Millis::never();
};

/** The platform's interface that takes usage reports. */
struct UsageReceiver
{
    std::function<void(const UsageReport &, std::function<void(const OrderReply &)>)> report;
};

} // namespace cuminrail
