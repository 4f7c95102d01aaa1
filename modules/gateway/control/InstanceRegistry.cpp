#include "gateway/control/InstanceRegistry.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace cuminrail {

namespace {

constexpr const char *prefix = "instances/";
constexpr const char *rosterPath = "rosters/all";
/** After this delay, instances that started together have written their entries too. */
constexpr Millis settleDelay = Millis(1200);
/** They read the roster within this time, few at first, so that few find none and write one. */
constexpr Millis firstReadSpread = Millis(1000);
constexpr Millis maxListJitter = Millis(5000);

/** A malformed entry still counts as an instance, with no address. */
std::string textMember(const nlohmann::json &entry, const char *name)
{
    const auto found = entry.is_object() ? entry.find(name) : entry.end();
    return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint32_t milliCoresOf(const nlohmann::json &entry)
{
    constexpr std::uint64_t maxMilliCores = 1000 * 1000;
    const auto found = entry.is_object() ? entry.find("milli_cores") : entry.end();
    if (found == entry.end() || !found->is_number_unsigned())
        return 0;
    return static_cast<std::uint32_t>(std::min(found->get<std::uint64_t>(), maxMilliCores));
}

/** Returns a delay whose density grows from zero, for a number of any size. */
Millis risingDelay(std::uint64_t randomNumber, Millis span)
{
    constexpr std::uint64_t steps = 1U << 20U;
    const double uniform = static_cast<double>(randomNumber % steps) / steps;
    return Millis(
        static_cast<std::int64_t>(std::sqrt(uniform) * static_cast<double>(span.count())));
}

} // namespace

InstanceRegistry::InstanceRegistry(RegisteredInstance self, bool startsWithOthers, Hooks hooks)
    : self_(std::move(self)), path_(prefix + self_.instance.text()),
      hooks_(std::move(hooks)), instances_{self_}, startsWithOthers_(startsWithOthers),
      nextRefreshAt_(hooks_.clock.now()), nextListAt_(hooks_.clock.now())
{
    if (startsWithOthers)
        nextListAt_ = nextListAt_ + settleDelay + risingDelay(hooks_.random(), firstReadSpread);
}

Millis InstanceRegistry::refreshInterval() const
{
    return std::max(minRefreshInterval,
                    refreshIntervalPerInstance * static_cast<std::int64_t>(instances_.size()));
}

Millis InstanceRegistry::maintainInterval() const
{
    return std::max(minMaintainInterval,
                    maintainIntervalPerInstance * static_cast<std::int64_t>(instances_.size()));
}

Millis InstanceRegistry::jitterUpTo(Millis span) const
{
    return Millis(
        static_cast<std::int64_t>(hooks_.random() % static_cast<std::uint64_t>(span.count())));
}

Millis InstanceRegistry::retryAt(Millis &delay) const
{
    // An outage fails the calls of all instances; they must not all retry in the same second.
    const Millis wait = delay / 2 + jitterUpTo(delay / 2 + Millis(1));
    delay = std::min(delay * 2, maxRetryDelay);
    return hooks_.clock.now() + wait;
}

void InstanceRegistry::tick()
{
    const Millis now = hooks_.clock.now();
    // The interval grows with the number of known instances, so it is evaluated in every tick.
    const bool isRefreshDue = !refreshedAt_ || now - *refreshedAt_ >= refreshInterval();
    if (!isLeaving_ && isRefreshDue && now >= nextRefreshAt_)
        refresh(now);
    const bool isReadDue = !listedAt_ || now - *listedAt_ >= refreshInterval() + listJitter_;
    const bool isMaintenanceDue = isMaintainer_ && isSettled_ && now >= nextMaintainAt_;
    if (isListing_ || isLeaving_ || now < nextListAt_)
        return;
    if (isMaintenanceDue)
        listEntries();
    else if (isReadDue)
        readRoster(now);
}

void InstanceRegistry::refresh(Millis now)
{
    // On the first start of a system there is no entry yet, so replacing one would be a wasted
    // call.
    const bool isCreation = startsWithOthers_ && !refreshedAt_;
    refreshedAt_ = now;
    const nlohmann::json value{{"address", self_.address},
                               {"links", self_.links},
                               {"domain", self_.failureDomain},
                               {"milli_cores", self_.milliCores},
                               {"refreshes", ++refreshes_}};
    StorePut put{path_, value.dump(), std::nullopt};
    if (isCreation)
        put.expected = 0;
    hooks_.store.put(put, [this](const StoreReply &reply) {
        if (reply.status == StoreStatus::Ok) {
            refreshRetryDelay_ = minRetryDelay;
            return;
        }
        // Due again, and no longer as a creation.
        refreshedAt_ = Millis(0);
        nextRefreshAt_ = reply.status == StoreStatus::Conflict ? hooks_.clock.now()
                                                               : retryAt(refreshRetryDelay_);
    });
}

void InstanceRegistry::readRoster(Millis now)
{
    isListing_ = true;
    listedAt_ = now;
    listJitter_ = jitterUpTo(maxListJitter);
    hooks_.store.get(rosterPath, [this](const StoreReply &reply) { onRosterRead(reply); });
}

void InstanceRegistry::handleFailure()
{
    isListing_ = false;
    listedAt_.reset();
    nextListAt_ = retryAt(listRetryDelay_);
}

void InstanceRegistry::onRosterRead(const StoreReply &reply)
{
    const bool isFound = reply.status == StoreStatus::Ok && !reply.objects.empty();
    if (!isFound && reply.status != StoreStatus::NotFound)
        return handleFailure();
    rosterVersion_ = isFound ? reply.objects.front().version : 0;
    Reason reason;
    const auto roster = isFound ? decodeRoster(reply.objects.front().value, &reason) : std::nullopt;
    if (isFound && !roster && hooks_.onMalformed)
        hooks_.onMalformed(reason);
    if (!roster)
        return listEntries();
    rosterText_ = reply.objects.front().value;
    adopt(*roster);
}

void InstanceRegistry::adopt(const InstanceRoster &roster)
{
    const Millis now = hooks_.clock.now();
    const bool isListed = std::find(roster.instances.begin(), roster.instances.end(), self_)
        != roster.instances.end();
    missingRosters_ = isListed ? 0 : missingRosters_ + 1;
    if (missingRosters_ > 1)
        return listEntries();
    isListing_ = false;
    listRetryDelay_ = minRetryDelay;
    if (!isListed) {
        listedAt_.reset();
        nextListAt_ = now + missingRetryDelay + jitterUpTo(missingRetryDelay);
    }
    if (!roster.secret.empty() && hooks_.onSecret)
        hooks_.onSecret(roster.secret);
    setInstances(roster.instances);
}

void InstanceRegistry::listEntries()
{
    isListing_ = true;
    listedAt_ = hooks_.clock.now();
    hooks_.store.list(prefix, [this](const StoreReply &reply) { onEntriesListed(reply); });
}

void InstanceRegistry::onEntriesListed(const StoreReply &reply)
{
    const Millis now = hooks_.clock.now();
    if (reply.status != StoreStatus::Ok)
        return handleFailure();
    isListing_ = false;
    listRetryDelay_ = minRetryDelay;
    nextMaintainAt_ = now + maintainInterval();
    const Millis staleAfter = refreshInterval() * maxMissedRefreshes + staleSlack;
    std::vector<RegisteredInstance> listed;
    for (const StoreObject &object : reply.objects) {
        if (object.path == path_)
            continue;
        Observation &observation = observations_[object.path];
        if (observation.version != object.version)
            observation = Observation{object.version, now};
        if (now - observation.changedAt > staleAfter) {
            hooks_.store.remove(object.path, object.version, [](const StoreReply &) {});
            continue;
        }
        const auto json = nlohmann::json::parse(object.value, nullptr, false);
        listed.push_back({InstanceId(object.path.substr(std::string(prefix).size())),
                          textMember(json, "address"), textMember(json, "links"),
                          textMember(json, "domain"), milliCoresOf(json)});
    }
    setInstances(std::move(listed));
    writeRoster();
}

void InstanceRegistry::writeRoster()
{
    if (!hooks_.obtainSecret)
        return putRoster({});
    hooks_.obtainSecret([this](const std::string &secret) { putRoster(secret); });
}

void InstanceRegistry::putRoster(const std::string &secret)
{
    std::string text = encodeRoster({secret, instances_});
    if (text == rosterText_ || isLeaving_)
        return;
    hooks_.store.put(StorePut{rosterPath, text, rosterVersion_},
                     [this, text](const StoreReply &reply) {
                         if (reply.status == StoreStatus::Ok) {
                             rosterVersion_ = reply.version;
                             rosterText_ = text;
                             missingRosters_ = 0;
                             return;
                         }
                         // Another instance wrote it; its version is needed to replace it.
                         rosterText_.clear();
                         listedAt_.reset();
                         nextListAt_ = retryAt(listRetryDelay_);
                     });
}

void InstanceRegistry::setInstances(std::vector<RegisteredInstance> others)
{
    startsWithOthers_ = false;
    isSettled_ = true;
    instances_ = {self_};
    for (RegisteredInstance &other : others) {
        if (other.instance != self_.instance)
            instances_.push_back(std::move(other));
    }
    ++revision_;
    if (hooks_.onListed)
        hooks_.onListed();
}

void InstanceRegistry::storeRestored()
{
    const Millis now = hooks_.clock.now();
    observations_.clear();
    rosterText_.clear();
    refreshedAt_.reset();
    nextRefreshAt_ = now + jitterUpTo(restoreSpread);
    // A list before all have written again would count the others as gone.
    listedAt_.reset();
    nextListAt_ = now + restoreSpread + settleDelay + jitterUpTo(restoreSpread);
}

void InstanceRegistry::leave()
{
    isLeaving_ = true;
    hooks_.store.remove(path_, std::nullopt, [](const StoreReply &) {});
}

std::vector<InstanceId> InstanceRegistry::names() const
{
    std::vector<InstanceId> names;
    names.reserve(instances_.size());
    for (const RegisteredInstance &instance : instances_)
        names.push_back(instance.instance);
    return names;
}

} // namespace cuminrail
