#include "gateway/control/InstanceRegistry.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cuminrail {

namespace {

constexpr const char *prefix = "instances/";
/** When those that started together with this instance have written their entries too. */
constexpr Millis firstList = Millis(1200);
constexpr std::uint64_t listSpreadMost = 5000;

/** An entry that cannot be read still counts as an instance, one that cannot be reached. */
std::string textMember(const nlohmann::json &entry, const char *name)
{
    const auto found = entry.is_object() ? entry.find(name) : entry.end();
    return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

InstanceRegistry::InstanceRegistry(RegisteredInstance self, bool startsWithOthers,
                                   ObjectStore store, Clock clock, RandomHook random)
    : self_(std::move(self)), path_(prefix + self_.instance.text()), store_(std::move(store)),
      clock_(std::move(clock)), random_(std::move(random)), instances_{self_},
      startsWithOthers_(startsWithOthers), nextRefresh_(clock_.now()), nextList_(clock_.now())
{ }

Millis InstanceRegistry::refreshEvery() const
{
    return std::max(refreshLeast, refreshEach * static_cast<std::int64_t>(instances_.size()));
}

Millis InstanceRegistry::retryAt(Millis &span) const
{
    // All instances fail in the same outage; they must not all come back in the same second.
    const auto half = static_cast<std::uint64_t>(span.count()) / 2;
    const Millis wait = span / 2 + Millis(static_cast<std::int64_t>(random_() % (half + 1)));
    span = std::min(span * 2, longestRetry);
    return clock_.now() + wait;
}

void InstanceRegistry::tick()
{
    const Millis now = clock_.now();
    // The spans grow with the instances that are known, so they are looked at anew each time.
    const bool isRefreshDue = !refreshedAt_ || now - *refreshedAt_ >= refreshEvery();
    if (!isLeaving_ && isRefreshDue && now >= nextRefresh_)
        refresh(now);
    const bool isListDue = !listedAt_ || now - *listedAt_ >= refreshEvery() + listSpread_;
    if (isListDue && now >= nextList_)
        list(now);
}

void InstanceRegistry::refresh(Millis now)
{
    // Where nobody ran before there is no entry; trying to replace it would be a call in vain.
    const bool isCreation = startsWithOthers_ && !refreshedAt_;
    refreshedAt_ = now;
    const nlohmann::json value{{"address", self_.address},
                               {"links", self_.links},
                               {"domain", self_.failureDomain},
                               {"refreshes", ++refreshes_}};
    StorePut put{path_, value.dump(), std::nullopt};
    if (isCreation)
        put.expected = 0;
    store_.put(put, [this](const StoreReply &reply) {
        if (reply.status == StoreStatus::Ok) {
            refreshRetry_ = firstRetry;
            return;
        }
        // Due again, and no creation any more.
        refreshedAt_ = Millis(0);
        nextRefresh_ =
            reply.status == StoreStatus::Conflict ? clock_.now() : retryAt(refreshRetry_);
    });
}

void InstanceRegistry::list(Millis now)
{
    listedAt_ = now;
    listSpread_ = Millis(static_cast<std::int64_t>(random_() % listSpreadMost));
    store_.list(prefix, [this](const StoreReply &reply) { listed(reply); });
}

void InstanceRegistry::listed(const StoreReply &reply)
{
    const Millis now = clock_.now();
    if (reply.status != StoreStatus::Ok) {
        listedAt_.reset();
        nextList_ = retryAt(listRetry_);
        return;
    }
    listRetry_ = firstRetry;
    if (startsWithOthers_) {
        startsWithOthers_ = false;
        listedAt_.reset();
        nextList_ = now + firstList;
    } else {
        isSettled_ = true;
    }
    const Millis staleAfter = refreshEvery() * refreshesMissed + staleSlack;
    instances_ = {self_};
    for (const StoreObject &object : reply.objects) {
        if (object.path == path_)
            continue;
        Seen &seen = seen_[object.path];
        if (seen.version != object.version)
            seen = Seen{object.version, now};
        if (now - seen.since > staleAfter) {
            store_.remove(object.path, object.version, [](const StoreReply &) {});
            continue;
        }
        const auto json = nlohmann::json::parse(object.value, nullptr, false);
        instances_.push_back({InstanceId(object.path.substr(std::string(prefix).size())),
                              textMember(json, "address"), textMember(json, "links"),
                              textMember(json, "domain")});
    }
    ++revision_;
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
