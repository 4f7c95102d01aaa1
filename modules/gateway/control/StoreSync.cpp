#include "gateway/control/StoreSync.h"

#include "core/events/EventCatalogue.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

StoreSync::StoreSync(RelayContext &context, const ObjectStore &store, const RandomHook &random)
    : context_(context), listingLog_(Clock([this] { return context_.now(); }),
                                     [this](const Event &event) { context_.events(event); }),
      configuration_(
          FeedKind::Configuration,
          context.wire.configurationPath.substr(0, context.wire.configurationPath.find('/') + 1),
          WatchTiming::forMaxDelay(context.settings.changeAllowance),
          configurationHooks(store, random)),
      upstreams_(FeedKind::Upstreams, context.wire.upstreamsPath,
                 WatchTiming::forMaxDelay(context.settings.changeAllowance),
                 upstreamHooks(store, random))
{ }

FeedFollower::Hooks StoreSync::commonHooks(const ObjectStore &store, const RandomHook &random,
                                           const char *feed)
{
    FeedFollower::Hooks hooks{
        store, Clock([this] { return context_.now(); }), random, {}, {}, {}, {}, {}, {}};
    hooks.onWatchUpdate = [this](const FeedUpdate &update) {
        if (onWatchUpdate)
            onWatchUpdate(update);
    };
    hooks.onFailed = [this, feed](const Reason &reason) {
        context_.events(
            Event{&events::storeUnavailable, {{"feed", feed}, {"reason", reason.toString()}}});
    };
    hooks.onStoreRecovered = [this, feed] {
        context_.events(Event{&events::storeReturned, {{"feed", feed}}});
    };
    hooks.onGap = [this, feed](const FeedUpdate &update, ObjectVersion seen) {
        context_.events(Event{&events::feedGap,
                              {{"feed", feed},
                               {"seen", std::to_string(seen)},
                               {"from", std::to_string(update.from)},
                               {"to", std::to_string(update.to)},
                               {"objects", std::to_string(update.objects.size())}}});
    };
    return hooks;
}

FeedFollower::Hooks StoreSync::configurationHooks(const ObjectStore &store,
                                                  const RandomHook &random)
{
    FeedFollower::Hooks hooks = commonHooks(store, random, "configuration");
    hooks.onListed = [this](const std::vector<StoreObject> &objects) {
        for (const StoreObject &object : objects)
            applyConfigurationObject(object);
    };
    hooks.onChanged = [this](const StoreObject &object) { applyConfigurationObject(object); };
    hooks.onUpToDate = [this] { context_.configurationConfirmedAt = context_.now(); };
    return hooks;
}

FeedFollower::Hooks StoreSync::upstreamHooks(const ObjectStore &store, const RandomHook &random)
{
    FeedFollower::Hooks hooks = commonHooks(store, random, "upstreams");
    hooks.onListed = [this](const std::vector<StoreObject> &objects) { replaceUpstreams(objects); };
    hooks.onChanged = [this](const StoreObject &object) { applyUpstream(object); };
    hooks.onUpToDate = [this] {
        context_.upstreamsConfirmedAt = context_.now();
        context_.directory.expire(context_.now());
        context_.backoffs.expire(context_.now());
    };
    hooks.onStoreRecovered = [this, logged = hooks.onStoreRecovered] {
        logged();
        context_.directory.storeReturned(context_.now());
    };
    return hooks;
}

void StoreSync::start(bool hasPeers)
{
    configuration_.start(hasPeers);
    upstreams_.start(hasPeers);
}

void StoreSync::stop()
{
    configuration_.stop();
    upstreams_.stop();
}

void StoreSync::tick()
{
    configuration_.tick();
    upstreams_.tick();
    listingLog_.tick();
}

void StoreSync::setInstances(std::size_t count)
{
    const Millis scaled = batchIntervalPerInstance * static_cast<std::int64_t>(count);
    const Millis batchInterval = std::clamp(scaled, minBatchInterval, maxBatchInterval);
    configuration_.setBatchInterval(batchInterval);
    upstreams_.setBatchInterval(batchInterval);
}

void StoreSync::noteStoreFailure()
{
    configuration_.noteStoreFailure();
    upstreams_.noteStoreFailure();
}

void StoreSync::applyConfigurationObject(const StoreObject &object)
{
    if (object.path != context_.wire.configurationPath || object.removed)
        return;
    applyConfigurationText(object.value, "store revision " + std::to_string(object.version));
}

void StoreSync::applyConfigurationText(const std::string &text, const std::string &source)
{
    Reason reason;
    auto configuration = context_.wire.decodeConfiguration(text, &reason);
    if (!configuration) {
        context_.events(Event{&events::configurationRefused, {{"reason", reason.toString()}}});
        return;
    }
    // A lagging or repeated read must never bring back an older version.
    if (context_.index != nullptr && configuration->version <= context_.index->version())
        return;
    context_.index = std::make_shared<const RouteIndex>(std::move(*configuration));
    configurationText_ = text;
    context_.events(
        Event{&events::configurationInForce,
              {{"version", std::to_string(context_.index->version())}, {"source", source}}});
    if (onConfiguration)
        onConfiguration();
}

std::string StoreSync::upstreamId(const StoreObject &object) const
{
    return object.path.substr(upstreams_.prefix().size());
}

void StoreSync::replaceUpstreams(const std::vector<StoreObject> &objects)
{
    std::vector<UpstreamEntry> entries;
    const std::set<std::string> refusedBefore = std::exchange(refusedUpstreams_, {});
    for (const StoreObject &object : objects) {
        Reason reason;
        const std::string id = upstreamId(object);
        auto entry = context_.wire.decodeUpstream(id, object.value, &reason);
        if (entry && !object.removed)
            entries.push_back(std::move(*entry));
        else if (!entry && refusedBefore.count(id) > 0)
            refusedUpstreams_.insert(id);
        else if (!entry)
            refuseUpstream(id, reason);
    }
    context_.directory.replaceAll(entries, context_.now());
    hasUpstreams_ = true;
}

void StoreSync::refuseUpstream(const std::string &id, const Reason &reason)
{
    if (refusedUpstreams_.insert(id).second)
        context_.events(Event{&events::upstreamEntryRefused, {{"reason", reason.toString()}}});
}

void StoreSync::applyUpstream(const StoreObject &object)
{
    const std::string id = upstreamId(object);
    if (object.removed) {
        refusedUpstreams_.erase(id);
        context_.directory.remove(id, context_.now());
        context_.health.forget(id);
        context_.engines.forget(id);
        listingLog_.record({{"upstream", id}, {"state", "removed"}});
        return;
    }
    Reason reason;
    const auto entry = context_.wire.decodeUpstream(id, object.value, &reason);
    if (!entry) {
        refuseUpstream(id, reason);
        context_.directory.remove(id, context_.now());
        return;
    }
    refusedUpstreams_.erase(id);
    const UpstreamPointer known = context_.directory.find(id);
    if (known != nullptr && known->entry.startedAt < entry->startedAt) {
        // A new incarnation of the upstream has no cache and no state of the previous one.
        context_.health.forget(id);
        context_.engines.forget(id);
        if (context_.prefillExchange)
            context_.prefillExchange->removeEngine(engineKey(*known));
    }
    context_.directory.update(*entry, context_.now());
    listingLog_.record({{"upstream", id},
                        {"service", entry->service},
                        {"address", entry->address},
                        {"software_version", entry->softwareVersion},
                        {"state", entry->isLeaving ? "leaving" : "ready"},
                        {"stage", std::string(engineStageNames.name(entry->stage))}});
}

} // namespace cuminrail
