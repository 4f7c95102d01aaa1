#include "quarantine/exchange/QuarantineStore.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

constexpr std::string_view prefix = "quarantine/";

std::string pathOf(const std::string &id)
{
    return std::string(prefix) + id;
}

std::string valueOf(const Quarantine &quarantine)
{
    nlohmann::json contents = nlohmann::json::array();
    for (const ContentFingerprint &each : quarantine.contents)
        contents.push_back(each.text());
    return nlohmann::json{{"contents", std::move(contents)}, {"ended", quarantine.ended}}.dump();
}

/** Returns the contents of an object; of one without a list, the one that its name states. */
std::optional<std::vector<ContentFingerprint>> contentsOf(const nlohmann::json &json,
                                                          const std::string &name)
{
    const auto list = json.find("contents");
    std::vector<ContentFingerprint> contents;
    if (list == json.end()) {
        const auto content = ContentFingerprint::fromText(name);
        if (content)
            contents.push_back(*content);
    } else if (list->is_array()) {
        for (const auto &each : *list) {
            const auto content = each.is_string()
                ? ContentFingerprint::fromText(each.get<std::string>())
                : std::nullopt;
            if (!content)
                return std::nullopt;
            contents.push_back(*content);
        }
    }
    if (contents.empty() || contents.size() > Quarantine::maxContents)
        return std::nullopt;
    return contents;
}

/** Returns nothing if the object was not written by this class. */
std::optional<Quarantine> quarantineOf(const StoreObject &object)
{
    const std::string name = object.path.substr(prefix.size());
    const auto json = nlohmann::json::parse(object.value, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    auto contents = contentsOf(json, name);
    const auto ended = json.find("ended");
    if (!contents || ended == json.end() || !ended->is_array())
        return std::nullopt;
    Quarantine quarantine{std::move(*contents), {}, {}, QuarantineTable::retention};
    for (const auto &upstream : *ended) {
        if (!upstream.is_number_unsigned())
            return std::nullopt;
        quarantine.ended.push_back(upstream.get<UpstreamIncarnation>());
    }
    return quarantine;
}

Millis randomBelow(const RandomHook &random, Millis bound)
{
    return Millis(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(bound.count())));
}

} // namespace

QuarantineStore::QuarantineStore(ObjectStore store, Clock clock, RandomHook random,
                                 EventSink events)
    : store_(std::move(store)), clock_(std::move(clock)), random_(std::move(random)),
      events_(std::move(events)), nextReadAt_(clock_.now() + randomBelow(random_, jitter))
{ }

void QuarantineStore::writeAgain(const std::string &id)
{
    PendingWrite write;
    write.nextAt = clock_.now() + randomBelow(random_, jitter);
    writes_.insert_or_assign(id, write);
}

void QuarantineStore::remove(const std::string &id)
{
    cancelWrite(id);
    store_.remove(pathOf(id), std::nullopt, [this, id](const StoreReply &reply) {
        const bool isRemoved =
            reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound;
        if (!isRemoved)
            events_(Event{&events::quarantineNotRemoved, {{"content", id}}});
    });
}

void QuarantineStore::read()
{
    const Millis now = clock_.now();
    if (isRead_ || isReading_ || now < nextReadAt_)
        return;
    isReading_ = true;
    nextReadAt_ = now + readRetryDelay_;
    readRetryDelay_ = std::min(readRetryDelay_ * 2, maxRetryDelay);
    store_.list(std::string(prefix), [this](const StoreReply &reply) { onListed(reply); });
}

void QuarantineStore::onListed(const StoreReply &reply)
{
    isReading_ = false;
    if (reply.status != StoreStatus::Ok)
        return;
    isRead_ = true;
    if (!guardEnabled(Guard::QuarantineReadAtStart))
        return;
    for (const StoreObject &object : reply.objects) {
        const auto quarantine = quarantineOf(object);
        if (!quarantine) {
            events_(Event{&events::quarantineEntryRefused, {{"object", object.path}}});
            continue;
        }
        onRead(*quarantine);
        cancelWrite(quarantine->id());
    }
}

void QuarantineStore::tick()
{
    const Millis now = clock_.now();
    std::vector<std::string> due;
    for (const auto &[id, pending] : writes_) {
        if (!pending.isInFlight && now >= pending.nextAt)
            due.push_back(id);
    }
    for (const std::string &id : due) {
        const auto quarantine = find(id);
        if (!quarantine) {
            cancelWrite(id);
            continue;
        }
        writes_[id].isInFlight = true;
        store_.put(StorePut{pathOf(id), valueOf(*quarantine), 0},
                   [this, id](const StoreReply &reply) { onWritten(id, reply.status); });
    }
}

void QuarantineStore::onWritten(const std::string &id, StoreStatus status)
{
    const auto entry = writes_.find(id);
    if (entry == writes_.end())
        return;
    // On a conflict another owner wrote it, or this one did and missed the reply.
    if (status == StoreStatus::Ok || status == StoreStatus::Conflict) {
        writes_.erase(entry);
        return;
    }
    PendingWrite &pending = entry->second;
    pending.isInFlight = false;
    pending.nextAt = clock_.now() + pending.retryDelay;
    pending.retryDelay = std::min(pending.retryDelay * 2, maxRetryDelay);
}

} // namespace cuminrail
