#pragma once

#include "core/names/NameTable.h"
#include "dataplane/placement/EnginePlacement.h"

#include <memory>

namespace cuminrail::emulation {

/** Placement policy of a simulated run. */
enum class PlacementKind : std::uint8_t {
    /** The production placement code. */
    Cuminrail,
    /** The engine with the fewest open requests of this instance; always separate prefill. */
    LeastBusy,
    /** The engine selected by hashing the prompt's shared parts, regardless of its load. */
    CacheAffinity,
    RoundRobin,
};

inline constexpr NameTable<PlacementKind, 4> placementNames{{{
    {PlacementKind::Cuminrail, "cuminrail"},
    {PlacementKind::LeastBusy, "least-busy"},
    {PlacementKind::CacheAffinity, "cache-affinity"},
    {PlacementKind::RoundRobin, "round-robin"},
}}};

/** Engine selection of one instance, with the notifications that it learns from. */
class Placement
{
public:
    Placement() = default;
    virtual ~Placement() = default;
    Placement(const Placement &) = delete;
    Placement &operator=(const Placement &) = delete;

    virtual std::optional<EngineChoice> choose(const std::vector<UpstreamPointer> &engines,
                                               const PlacementQuery &query) = 0;
    virtual void dispatched(EngineChoice &choice, const PromptShape &prompt, Millis now) = 0;
    virtual void promptRead(EngineChoice &, Millis, Millis) { }
    virtual void handedOver(EngineChoice &, const PromptShape &, Millis) { }
    virtual void runBegan(EngineChoice &, Millis) { }
    virtual void finished(EngineChoice &choice, bool wasRead, Millis now) = 0;
    virtual void refused(const std::string &, Millis) { }
    /** Returns the production placement; null for a baseline. */
    virtual EnginePlacement *own() { return nullptr; }
};

/** @c weights apply to the production placement only. */
std::unique_ptr<Placement> makePlacement(PlacementKind kind, const PlacementWeights &weights);

} // namespace cuminrail::emulation
