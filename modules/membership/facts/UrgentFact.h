#pragma once

#include "core/names/NameTable.h"

#include <cstdint>
#include <string>

namespace cuminrail {

enum class UrgentFactKind : std::uint8_t {
    /** Subject: SHA-256 of a key in hexadecimal. Number: the settings head that withdraws it. */
    KeyWithdrawn,
    /** Subject: an upstream. Number: its incarnation that is leaving. */
    UpstreamLeaving,
};

inline constexpr NameTable<UrgentFactKind, 2> urgentFactKindNames{{{
    {UrgentFactKind::KeyWithdrawn, "key-withdrawn"},
    {UrgentFactKind::UpstreamLeaving, "upstream-leaving"},
}}};

/**
    A small fact that all instances have to receive without delay.

    For each kind and subject only the greatest number counts, so facts may be received repeatedly
    and in any order.
*/
struct UrgentFact
{
    UrgentFactKind kind = UrgentFactKind::KeyWithdrawn;
    std::string subject;
    std::uint64_t number = 0;
};

} // namespace cuminrail
