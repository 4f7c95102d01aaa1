#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "ports/peers/PeerTransport.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** An instance as registered in the store. */
struct RegisteredInstance
{
    InstanceId instance;
    /** HTTP address for requests of other instances; empty if it has none. */
    std::string address;
    /** Address on which it accepts links; empty if it accepts none. */
    PeerAddress links;
    std::string failureDomain;
    /** Processor share in thousandths of a core; 0 if its entry does not state it. */
    std::uint32_t milliCores = 0;

    bool operator==(const RegisteredInstance &other) const
    {
        return instance == other.instance && address == other.address && links == other.links
            && failureDomain == other.failureDomain && milliCores == other.milliCores;
    }
};

/**
    What an instance needs to know to take its place among the others, in one object of the store.

    Load: all instances of a system start at once. If each listed the entries of all others, the
    bytes that the store sends would grow with the square of their number.
*/
struct InstanceRoster
{
    /** The secret of the links; empty if the writer did not know it. */
    std::string secret;
    std::vector<RegisteredInstance> instances;
};

/** Returns the same text for the same instances in any order. */
std::string encodeRoster(InstanceRoster roster);
/** Returns nothing for a text that is not a roster. */
std::optional<InstanceRoster> decodeRoster(const std::string &text, Reason *lastReason);

} // namespace cuminrail
