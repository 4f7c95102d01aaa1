#include "gateway/Gateway.h"

#include <nlohmann/json.hpp>

namespace cuminrail {

namespace {

using Json = nlohmann::json;

Json upstreamState(const UpstreamRecord &record, const RelayContext &context)
{
    const UpstreamEntry &entry = record.entry;
    Json state{{"service", entry.service},
               {"address", entry.address},
               {"failure_domain", entry.failureDomain},
               {"software_version", entry.softwareVersion},
               {"stage", std::string(engineStageNames.name(entry.stage))},
               {"leaving", record.isLeaving},
               {"lapsed", record.lapsedAt.has_value()},
               {"misplaced", record.isMisplaced},
               {"reclaimable", entry.isReclaimable},
               {"bad_share", context.health.badShare(entry.id)},
               {"set_aside", context.health.isEjected(entry.id, context.now())},
               {"own_open", context.services.open(entry.id)}};
    if (const auto limit = context.limits->table().limit(record.incarnation()))
        state["stated_limit_per_second"] = *limit;
    if (const auto pause = context.backoffs.remaining(record.incarnation(), context.now()))
        state["pauses_ms"] = pause->count();
    if (const EngineTracker *memory = context.engines.memory(entry.id)) {
        state["own_running"] = memory->running();
        state["own_unread_tokens"] = memory->openTokens();
    }
    return state;
}

Json quarantineState(const Quarantine &quarantine)
{
    Json contents = Json::array();
    for (const ContentFingerprint &content : quarantine.contents)
        contents.push_back({{"content", content.text()},
                            {"kind", std::string(contentKindNames.name(content.kind()))}});
    return {{"id", quarantine.id()},
            {"contents", contents},
            {"ended_upstreams", quarantine.ended},
            {"age_s", quarantine.age.toSeconds()},
            {"remaining_s", quarantine.remaining.toSeconds()}};
}

} // namespace

GatewayGauges Gateway::gauges() const
{
    const Millis now = environment_.clock.now();
    GatewayGauges gauges;
    gauges.isReady = isReady();
    gauges.configurationVersion = context_.index == nullptr ? 0 : context_.index->version();
    gauges.configurationAgeSeconds = (now - context_.configurationConfirmedAt).toSeconds();
    gauges.upstreamsAgeSeconds = (now - context_.upstreamsConfirmedAt).toSeconds();
    gauges.upstreams = context_.directory.size();
    gauges.refusedUpstreams = sync_.refusedUpstreams();
    gauges.callerConnections = callers_.openConnections();
    gauges.upstreamConnections = pool_.openConnections();
    gauges.instances = registry_.instances().size();
    gauges.pathState = context_.path.state();
    gauges.isDutyHolder = lease_.isHeld();
    gauges.storeEra = storeEra_;
    gauges.logLinesDropped = environment_.logLinesDropped ? environment_.logLinesDropped() : 0;
    gauges.quotas = context_.quotas->stats();
    gauges.quarantine = context_.quarantine->stats();
    gauges.suspects = context_.quarantine->table().suspectCount();
    gauges.limits = context_.limits->stats();
    gauges.pausingUpstreams = context_.backoffs.size();
    gauges.leavingUpstreams = context_.departures->size();
    gauges.limitedUpstreams = context_.limits->table().limitedCount();
    gauges.closedUnread = load_->closedUnread.load(std::memory_order_relaxed);
    gauges.evicted = load_->evicted.load(std::memory_order_relaxed);
    gauges.heldBytes = load_->heldBytes.load(std::memory_order_relaxed);
    gauges.responsesOutOfOrder = load_->outOfOrder.load(std::memory_order_relaxed);
    gauges.counters = context_.counters;
    gauges.linkTraffic = linkTraffic_;
    gauges.streamRecords = context_.origins->records().stats();
    gauges.streamRecordCount = context_.origins->records().table().size();
    gauges.streamRecordsDropped = context_.origins->records().table().dropped();
    return gauges;
}

std::string Gateway::quarantineText() const
{
    Json list = Json::array();
    for (const Quarantine &quarantine : context_.quarantine->quarantines())
        list.push_back(quarantineState(quarantine));
    return list.dump(2) + "\n";
}

std::string Gateway::stateText() const
{
    const GatewayGauges now = gauges();
    Json upstreams = Json::object();
    for (const auto &[id, record] : context_.directory.all())
        upstreams[id] = upstreamState(*record, context_);
    const Json state{{"instance", settings_.name},
                     {"failure_domain", settings_.failureDomain},
                     {"ready", now.isReady},
                     {"draining", isDraining_},
                     {"configuration", now.configurationVersion},
                     {"configuration_age_s", now.configurationAgeSeconds},
                     {"upstreams_age_s", now.upstreamsAgeSeconds},
                     {"instances", now.instances},
                     {"upstream_path", std::string(pathStateNames.name(now.pathState))},
                     {"duty_holder", now.isDutyHolder},
                     {"store_era", now.storeEra},
                     {"requests_in_progress", now.counters.inProgress},
                     {"suspected_contents", now.suspects},
                     {"quarantined_contents", context_.quarantine->quarantines().size()},
                     {"upstreams", upstreams}};
    return state.dump(2) + "\n";
}

} // namespace cuminrail
