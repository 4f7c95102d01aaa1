#pragma once

#include "engineview/reports/EngineReport.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** The effect of merging a report. */
enum class ReportMergeResult : std::uint8_t {
    /**
        The report was known, is older than the known one or belongs to an engine that is not in the
        settings.
    */
    Unchanged,
    /** A newer sample with the same facts. */
    NewSample,
    /** The engine's role, models, adapters or incarnation changed. */
    FactsChanged,
};

/**
    The newest report of each engine, and the facts that the reports refer to.

    Of two reports of an engine the one sampled later wins, whatever path it took; reports may
    therefore arrive repeatedly, late and in any order.
*/
class ReportTable
{
public:
    /**
        Minimum difference between the times of two samples.

        A sample is sent as an age, which does not include the transit time and is rounded, so that
        with every hop it appears slightly more recent. If that counted as a new sample, it would
        circulate among the instances endlessly.
    */
    static constexpr Millis sampleStep{1000};

    /** Sets the known engines; reports of others are ignored. */
    void setEngines(const std::vector<UpstreamId> &engines);

    /** Merges a report, unless it is older than the known one. */
    ReportMergeResult merge(const EngineReport &report);

    /** Merges an engine's facts. Returns true if its newest report refers to them. */
    bool mergeFacts(const EngineState &state);

    /** Returns the engines whose newest report refers to facts that are unknown here. */
    std::vector<EngineKey> unknownFacts() const;

    /** Returns the report of an engine, or null. */
    const EngineReport *find(EngineKey engine) const;
    const EngineState *facts(EngineKey engine) const;
    const std::map<EngineKey, EngineReport> &reports() const { return reports_; }

    /** Returns the state of every engine whose facts are known. */
    std::vector<const EngineState *> knownFacts() const;

    /** Incremented whenever the result of knownFacts() changes. */
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
