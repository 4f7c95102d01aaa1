#pragma once

#include "core/time/Millis.h"
#include "standin/proxy/ResponseFault.h"

#include <string>
#include <string_view>

namespace cuminrail {

/** When the second response is sent. */
enum class LateMoment : std::uint8_t {
    Never,
    WhileIdle,
    BeforeNext,
    InNextBody,
    OfResent,
    /** A little later, though the first one is not whole. */
    AfterPause,
};

/** What is sent in place of a response. */
struct ResponsePlan
{
    std::string now;
    std::string late;
    LateMoment when = LateMoment::Never;
    /** Sent again and again, each after a pause, until the other end closes; empty for nothing. */
    std::string unit;
    Millis interval;
    /** The connection is closed after the bytes. */
    bool closes = false;
};

/** Whether a response with this head can be spoilt so. */
bool canSpoil(ResponseFault fault, std::string_view head);

/** Returns a response without its identity. */
std::string anonymous(const std::string &response);

/**
    Returns what is sent in place of a whole response.

    @param random   selects the place of a cut, or a status
    @param refusal  another request's, without its identity; for the faults that need one
*/
ResponsePlan planFor(ResponseFault fault, const std::string &response, std::uint64_t random,
                     const std::string &refusal = {});

} // namespace cuminrail
