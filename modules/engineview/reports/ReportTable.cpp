#include "engineview/reports/ReportTable.h"

namespace cuminrail {

namespace {

template<typename Map, typename Kept>
void eraseAllBut(Map &map, const Kept &kept)
{
    for (auto entry = map.begin(); entry != map.end();)
        entry = kept.count(entry->first) > 0 ? std::next(entry) : map.erase(entry);
}

} // namespace

void ReportTable::setEngines(const std::vector<UpstreamId> &engines)
{
    engines_.clear();
    for (const UpstreamId &engine : engines)
        engines_[engineKey(engine)] = engine;
    eraseAllBut(reports_, engines_);
    eraseAllBut(facts_, engines_);
    ++factsRevision_;
}

ReportNews ReportTable::merge(const EngineReport &report)
{
    if (engines_.count(report.engine) == 0)
        return ReportNews::None;
    const auto [entry, isFirst] = reports_.emplace(report.engine, report);
    // A first report is most often news to this instance alone, which has just started. Passed on
    // as a change it would send the whole fleet's facts to all neighbours at every restart.
    if (isFirst)
        return ReportNews::Load;
    EngineReport &known = entry->second;
    if (report.sampledAt < known.sampledAt + sampleStep)
        return ReportNews::None;
    const bool sameFacts = report.facts == known.facts;
    known = report;
    return sameFacts ? ReportNews::Load : ReportNews::Facts;
}

bool ReportTable::learn(const EngineState &state)
{
    const EngineKey key = engineKey(state.engine);
    const auto engine = engines_.find(key);
    if (engine == engines_.end() || engine->second != state.engine)
        return false;
    const EngineReport *report = find(key);
    const std::uint32_t hash = factsHash(state);
    // Facts travel another way than reports and may be older. Taken without a look at the newest
    // report they would bring back a role that the engine has given up.
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
