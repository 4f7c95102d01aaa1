#pragma once

#include "engineview/reports/EngineReport.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** What a report brought. */
enum class ReportNews : std::uint8_t {
    /** Known already, or older than what is known, or of an engine that settings do not name. */
    None,
    /** A newer sample of the same facts. */
    Load,
    /** The engine's role, models, adapters or life changed. */
    Facts,
};

/**
    The newest report of each engine, and the facts that reports refer to.

    Of two reports of one engine the one sampled later wins, whichever way it came; so reports may
    arrive twice, late and in any order.
*/
class ReportTable
{
public:
    /**
        How much later a sample must be to count as another one.

        A sample travels as an age, and the time on the way and the rounding are not part of it:
        with every hop it looks a little younger. Taken as news again it would go round among the
        instances for ever.
    */
    static constexpr Millis sampleStep{1000};

    /** Sets which engines there are; reports of others are ignored. */
    void setEngines(const std::vector<UpstreamId> &engines);

    /** Takes a report, unless it is older than what is known. */
    ReportNews merge(const EngineReport &report);

    /** Takes an engine's facts. Returns true when they are the ones its newest report refers to. */
    bool learn(const EngineState &state);

    /** Returns engines whose newest report refers to facts that are not known here. */
    std::vector<EngineKey> unknownFacts() const;

    /** Returns the report of an engine, or null. */
    const EngineReport *find(EngineKey engine) const;
    const EngineState *facts(EngineKey engine) const;
    const std::map<EngineKey, EngineReport> &reports() const { return reports_; }

    /** Returns every engine whose facts are known. */
    std::vector<const EngineState *> knownFacts() const;

    /** Rises whenever what knownFacts() returns has changed. */
    std::uint64_t factsRevision() const { return factsRevision_; }

private:
    struct Known
    {
        EngineState state;
        std::uint32_t hash = 0;
    };

    std::unordered_map<EngineKey, UpstreamId> engines_;
    std::map<EngineKey, EngineReport> reports_;
    std::map<EngineKey, Known> facts_;
    std::uint64_t factsRevision_ = 0;
};

} // namespace cuminrail
