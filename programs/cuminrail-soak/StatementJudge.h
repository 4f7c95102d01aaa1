#pragma once

#include "Callers.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminrail::soak {

/** A change of a link to a server. */
struct LinkChange
{
    Millis at;
    bool isHarmed = false;
};

/** A time in which a gateway reached no server. */
struct CutSpan
{
    Millis begin;
    Millis end;
};

/** What excuses a gateway from heeding what a server stated. */
struct Disturbances
{
    /** When a signal was sent to each gateway, by its port. */
    std::map<std::uint16_t, std::vector<Millis>> signals;
    /** When each gateway was asked to stop. */
    std::map<std::uint16_t, std::vector<Millis>> stops;
    /** Changes of the links to each server, by its id. */
    std::map<std::string, std::vector<LinkChange>> links;
    /** When each gateway was cut from all servers, by its port. */
    std::map<std::uint16_t, std::vector<CutSpan>> cuts;
};

/**
    Returns where a gateway went on sending to a server that had stated that it leaves, or sent more
    than two requests in a pause that a server had asked it for; one line each.
*/
std::vector<std::string> judgeStatements(const std::vector<CallResult> &results,
                                         const platform::ServerRequestLog &record,
                                         const Disturbances &disturbances);

} // namespace cuminrail::soak
