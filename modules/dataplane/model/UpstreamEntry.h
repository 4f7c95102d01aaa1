#pragma once

#include "core/hash/StableHash.h"
#include "core/ids/Ids.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrail {

/** The stages of processing a prompt that an engine executes. */
enum class EngineStage : std::uint8_t {
    /** Not an engine, or an engine that executes both stages. */
    Whole,
    /** Only executes prefill and passes the KV cache on. */
    Prefill,
    /** Executes decode; also prefill, but more slowly than a prefill engine. */
    Decode,
};

inline constexpr NameTable<EngineStage, 3> engineStageNames{{{
    {EngineStage::Whole, "whole"},
    {EngineStage::Prefill, "prefill"},
    {EngineStage::Decode, "decode"},
}}};

/** An upstream as it registers itself in the platform's store. */
struct UpstreamEntry
{
    /** Identifies one upstream; some upstreams keep it over a restart. */
    std::string id;
    std::string service;
    /** "10.0.1.4:8000" */
    std::string address;
    std::string failureDomain;
    /** Versions are equal or not; they have no order. */
    std::string softwareVersion;
    /** Start time in milliseconds since 1970 by its own clock; 0 if not stated. */
    std::int64_t startedAt = 0;
    bool isLeaving = false;
    /** Ordered at a lower price; the platform may reclaim it at short notice. */
    bool isReclaimable = false;
    std::uint32_t slots = 1;
    EngineStage stage = EngineStage::Whole;

    /** Equal at all instances; differs after a restart under the same id. */
    UpstreamIncarnation incarnation() const
    {
        return StableHash().add(id).add(static_cast<std::uint64_t>(startedAt)).value();
    }
};

} // namespace cuminrail
