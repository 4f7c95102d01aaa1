#include "gateway/control/InstanceRegistry.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cuminrail {

namespace {

constexpr const char *prefix = "instances/";
/** After this delay, instances that started together have written their entries too. */
constexpr Millis settleDelay = Millis(1200);
constexpr std::uint64_t maxListJitterMillis = 5000;

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

} // namespace

InstanceRegistry::InstanceRegistry(RegisteredInstance self, bool startsWithOthers,
                                   ObjectStore store, Clock clock, RandomHook random)
    : self_(std::move(self)), path_(prefix + self_.instance.text()), store_(std::move(store)),
      clock_(std::move(clock)), random_(std::move(random)), instances_{self_},
      startsWithOthers_(startsWithOthers), nextRefreshAt_(clock_.now()),
      nextListAt_(clock_.now() + (startsWithOthers ? settleDelay : Millis(0)))
{ }

Millis InstanceRegistry::refreshInterval() const
{
    return std::max(minRefreshInterval,
                    refreshIntervalPerInstance * static_cast<std::int64_t>(instances_.size()));
}

Millis InstanceRegistry::retryAt(Millis &delay) const
{
    // An outage fails the calls of all instances; they must not all retry in the same second.
    const auto half = static_cast<std::uint64_t>(delay.count()) / 2;
    const Millis wait = delay / 2 + Millis(static_cast<std::int64_t>(random_() % (half + 1)));
    delay = std::min(delay * 2, maxRetryDelay);
    return clock_.now() + wait;
}

void InstanceRegistry::tick()
{
    const Millis now = clock_.now();
    // The interval grows with the number of known instances, so it is evaluated in every tick.
    const bool isRefreshDue = !refreshedAt_ || now - *refreshedAt_ >= refreshInterval();
    if (!isLeaving_ && isRefreshDue && now >= nextRefreshAt_)
        refresh(now);
    const bool isListDue = !listedAt_ || now - *listedAt_ >= refreshInterval() + listJitter_;
    if (isListDue && now >= nextListAt_)
        list(now);
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
    store_.put(put, [this](const StoreReply &reply) {
        if (reply.status == StoreStatus::Ok) {
            refreshRetryDelay_ = minRetryDelay;
            return;
        }
        // Due again, and no longer as a creation.
        refreshedAt_ = Millis(0);
        nextRefreshAt_ =
            reply.status == StoreStatus::Conflict ? clock_.now() : retryAt(refreshRetryDelay_);
    });
}

void InstanceRegistry::list(Millis now)
{
    listedAt_ = now;
    listJitter_ = Millis(static_cast<std::int64_t>(random_() % maxListJitterMillis));
    store_.list(prefix, [this](const StoreReply &reply) { listed(reply); });
}

void InstanceRegistry::listed(const StoreReply &reply)
{
    const Millis now = clock_.now();
    if (reply.status != StoreStatus::Ok) {
        listedAt_.reset();
        nextListAt_ = retryAt(listRetryDelay_);
        return;
    }
    listRetryDelay_ = minRetryDelay;
    startsWithOthers_ = false;
    isSettled_ = true;
    const Millis staleAfter = refreshInterval() * maxMissedRefreshes + staleSlack;
    instances_ = {self_};
    for (const StoreObject &object : reply.objects) {
        if (object.path == path_)
            continue;
        Observation &observation = observations_[object.path];
        if (observation.version != object.version)
            observation = Observation{object.version, now};
        if (now - observation.changedAt > staleAfter) {
            store_.remove(object.path, object.version, [](const StoreReply &) {});
            continue;
        }
        const auto json = nlohmann::json::parse(object.value, nullptr, false);
        instances_.push_back({InstanceId(object.path.substr(std::string(prefix).size())),
                              textMember(json, "address"), textMember(json, "links"),
                              textMember(json, "domain"), milliCoresOf(json)});
    }
    ++revision_;
    if (onListed)
        onListed();
}

void InstanceRegistry::storeRestored()
{
    const Millis now = clock_.now();
    const auto spread = static_cast<std::uint64_t>(restoreSpread.count());
    const auto jitter = [&] { return Millis(static_cast<std::int64_t>(random_() % spread)); };
    observations_.clear();
    refreshedAt_.reset();
    nextRefreshAt_ = now + jitter();
    // A list before all have written again would count the others as gone.
    listedAt_.reset();
    nextListAt_ = now + restoreSpread + settleDelay + jitter();
}

void InstanceRegistry::leave()
{
    isLeaving_ = true;
    store_.remove(path_, std::nullopt, [](const StoreReply &) {});
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
