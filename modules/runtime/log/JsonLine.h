#pragma once

#include "core/events/Event.h"

#include <cstdint>
#include <string>

namespace cuminrail {

/** Returns a wall-clock time in milliseconds since 1970 as "2026-12-02T10:15:00.123Z". */
std::string utcText(std::int64_t wallMillis);

/**
    Returns an event as one line of JSON without a line end.

    @code
    {"ts":"2026-12-02T10:15:00.123Z","instance":"front-1","event":205,"name":"request-finished",
     "level":"info","request":"9c41d07be2a35f68","status":"503"}
    @endcode

    Bytes that are no printable ASCII are written as \\u00XX, so that no field of a caller can
    break the line or pass for another field.
*/
std::string jsonLine(const Event &event, const std::string &instance, std::int64_t wallMillis);

} // namespace cuminrail
