#pragma once

#include "core/ids/Ids.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "quarantine/fingerprint/ContentFingerprint.h"

#include <cstdint>
#include <vector>

namespace cuminrail {

/** An upstream that ended while it had a request. */
struct UpstreamEnding
{
    UpstreamIncarnation upstream = 0;
    /** Time since then. */
    Millis age;
    /** The request was sent as a trial, while all others with that content were held. */
    bool isTrial = false;
};

/** The upstreams that ended under a content. */
struct Suspicion
{
    ContentFingerprint content;
    /** No upstream twice; SuspicionTable::maxEndings entries at most. */
    std::vector<UpstreamEnding> endings;
    /** A request with this content was answered recently. */
    bool wasAnswered = false;
};

/** How strongly a content is suspected of ending upstreams. */
enum class SuspicionLevel : std::uint8_t {
    None,
    /** One upstream ended under it, as under every request that ran there. */
    Noted,
    /** Two upstreams ended: the system does not retry requests with it. */
    Suspected,
    /** Requests with it are refused. */
    Quarantined,
};

inline constexpr NameTable<SuspicionLevel, 4> suspicionLevelNames{{{
    {SuspicionLevel::None, "none"},
    {SuspicionLevel::Noted, "noted"},
    {SuspicionLevel::Suspected, "suspected"},
    {SuspicionLevel::Quarantined, "quarantined"},
}}};

} // namespace cuminrail
