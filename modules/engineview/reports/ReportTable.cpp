#include "engineview/reports/ReportTable.h"

namespace cuminrail {

namespace {

template<typename Map, typename Keys>
void retainKeys(Map &map, const Keys &keys)
{
    for (auto entry = map.begin(); entry != map.end();)
        entry = keys.count(entry->first) > 0 ? std::next(entry) : map.erase(entry);
}

} // namespace

void ReportTable::setEngines(const std::vector<UpstreamId> &engines)
{
    engines_.clear();
    for (const UpstreamId &engine : engines)
        engines_[engineKey(engine)] = engine;
    retainKeys(reports_, engines_);
    retainKeys(facts_, engines_);
    ++factsRevision_;
}

ReportMergeResult ReportTable::merge(const EngineReport &report)
{
    if (engines_.count(report.engine) == 0)
        return ReportMergeResult::Unchanged;
    const auto [entry, isFirst] = reports_.emplace(report.engine, report);
    // The first report of an engine is usually new only to this instance, because it has just
    // started. If it were forwarded as a change, every restart would send the facts of the whole
    // fleet to all neighbours.
    if (isFirst)
        return ReportMergeResult::NewSample;
    EngineReport &known = entry->second;
    if (report.sampledAt < known.sampledAt + sampleStep)
        return ReportMergeResult::Unchanged;
    const bool sameFacts = report.facts == known.facts;
    known = report;
    return sameFacts ? ReportMergeResult::NewSample : ReportMergeResult::FactsChanged;
}

bool ReportTable::mergeFacts(const EngineState &state)
{
    const EngineKey key = engineKey(state.engine);
    const auto engine = engines_.find(key);
    if (engine == engines_.end() || engine->second != state.engine)
        return false;
    const EngineReport *report = find(key);
    const std::uint32_t hash = factsHash(state);
    // Facts take another path than reports and may be older. Without the comparison with the newest
    // report they could restore a role that the engine no longer has.
    if (report == nullptr || report->facts != hash)
        return false;
    Known &known = facts_[key];
    if (known.hash != hash)
        ++factsRevision_;
    known = {state, hash};
    return true;
}

std::vector<EngineKey> ReportTable::unknownFacts() const
{
    std::vector<EngineKey> unknown;
    for (const auto &[key, report] : reports_) {
        const auto known = facts_.find(key);
        if (known == facts_.end() || known->second.hash != report.facts)
            unknown.push_back(key);
    }
    return unknown;
}

const EngineReport *ReportTable::find(EngineKey engine) const
{
    const auto entry = reports_.find(engine);
    return entry == reports_.end() ? nullptr : &entry->second;
}

const EngineState *ReportTable::facts(EngineKey engine) const
{
    const auto entry = facts_.find(engine);
    return entry == facts_.end() ? nullptr : &entry->second.state;
}

std::vector<const EngineState *> ReportTable::knownFacts() const
{
    std::vector<const EngineState *> states;
    states.reserve(facts_.size());
    for (const auto &entry : facts_)
        states.push_back(&entry.second.state);
    return states;
}

} // namespace cuminrail
