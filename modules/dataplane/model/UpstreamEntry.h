#pragma once

#include "core/hash/StableHash.h"
#include "core/ids/Ids.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cuminrail {

/** What part of a prompt's way an engine takes. */
enum class EngineStage : std::uint8_t {
    /** Not an engine, or one that does everything. */
    Whole,
    /** Only reads prompts and hands their cache over. */
    Prefill,
    /** Generates; reads prompts too, but more slowly than a prefill engine. */
    Decode,
};

inline constexpr NameTable<EngineStage, 3> engineStageNames{{{
    {EngineStage::Whole, "whole"},
    {EngineStage::Prefill, "prefill"},
    {EngineStage::Decode, "decode"},
}}};

/** An upstream as it describes itself in the platform's store. */
struct UpstreamEntry
{
    /** Names one upstream; kept over a restart by some. */
    std::string id;
    std::string service;
    /** "10.0.1.4:8000" */
    std::string address;
    std::string failureDomain;
    /** When it started, in milliseconds since 1970 by its own clock; 0 where it does not say. */
    std::int64_t startedAt = 0;
    bool isLeaving = false;
    /** Ordered at a lower price; may be reclaimed at short notice. */
    bool isReclaimable = false;
    std::uint32_t slots = 1;
    EngineStage stage = EngineStage::Whole;

    /** The same at every instance; another one after a restart under the same id. */
    UpstreamLife life() const
    {
        return StableHash().add(id).add(static_cast<std::uint64_t>(startedAt)).value();
    }
};

} // namespace cuminrail
