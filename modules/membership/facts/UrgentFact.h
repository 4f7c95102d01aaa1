#pragma once

#include "core/names/NameTable.h"

#include <cstdint>
#include <string>

namespace cuminrail {

enum class UrgentFactKind : std::uint8_t {
    /** Subject: a key's SHA-256 in hexadecimal. Number: the settings head that withdraws it. */
    KeyWithdrawn,
    /** Subject: an upstream. Number: its incarnation that is leaving. */
    UpstreamLeaving,
};

inline constexpr NameTable<UrgentFactKind, 2> urgentFactKindNames{{{
    {UrgentFactKind::KeyWithdrawn, "key-withdrawn"},
    {UrgentFactKind::UpstreamLeaving, "upstream-leaving"},
}}};

/**
    Something small that all instances must know at once.

    Of two facts of one kind and subject only the one with the greater number matters, so facts
    can be repeated and arrive in any order.
*/
struct UrgentFact
{
    UrgentFactKind kind = UrgentFactKind::KeyWithdrawn;
    std::string subject;
    std::uint64_t number = 0;
};

} // namespace cuminrail
