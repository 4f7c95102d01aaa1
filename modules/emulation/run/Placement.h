#pragma once

#include "core/names/NameTable.h"
#include "dataplane/placement/EnginePlacement.h"

#include <memory>

namespace cuminrail::emulation {

/** Which decisions a run is played with. */
enum class PlacementKind : std::uint8_t {
    /** What instances really run. */
    Cuminrail,
    /** The engine with the least of the instance's own requests, prompts always read apart. */
    LeastBusy,
    /** The engine that hashing names for the prompt's shared parts, whatever its load. */
    CacheAffinity,
    RoundRobin,
};

inline constexpr NameTable<PlacementKind, 4> placementNames{{{
    {PlacementKind::Cuminrail, "cuminrail"},
    {PlacementKind::LeastBusy, "least-busy"},
    {PlacementKind::CacheAffinity, "cache-affinity"},
    {PlacementKind::RoundRobin, "round-robin"},
}}};

/** One instance's choice of engines, and what it is told of their outcomes. */
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
    /** Returns what instances run, for what only that has; null for a baseline. */
    virtual EnginePlacement *own() { return nullptr; }
};

/** @c weights are for the instances' own placement. */
std::unique_ptr<Placement> makePlacement(PlacementKind kind, const PlacementWeights &weights);

} // namespace cuminrail::emulation
