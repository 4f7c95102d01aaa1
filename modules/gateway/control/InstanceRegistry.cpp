#include "gateway/control/InstanceRegistry.h"

#include <nlohmann/json.hpp>

namespace cuminrail {

namespace {

constexpr const char *prefix = "instances/";
/**
    After the first list, which shows who was there before a restart: when those that started
    together with this instance have written their entries too.
*/
constexpr Millis firstList = Millis(1200);
constexpr Millis retryAfter = Millis::seconds(2);

/** An entry that cannot be read still counts as an instance, one that cannot be reached. */
std::string textMember(const nlohmann::json &entry, const char *name)
{
    const auto found = entry.is_object() ? entry.find(name) : entry.end();
    return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

InstanceRegistry::InstanceRegistry(RegisteredInstance self, ObjectStore store, Clock clock,
                                   RandomHook random)
    : self_(std::move(self)), path_(prefix + self_.instance.text()), store_(std::move(store)),
      clock_(std::move(clock)), random_(std::move(random)), instances_{self_},
      nextRefresh_(clock_.now()), nextList_(clock_.now())
{ }

void InstanceRegistry::tick()
{
    const Millis now = clock_.now();
    if (!isLeaving_ && now >= nextRefresh_) {
        nextRefresh_ = now + refreshEvery;
        const nlohmann::json value{{"address", self_.address},
                                   {"links", self_.links},
                                   {"domain", self_.failureDomain},
                                   {"refreshes", ++refreshes_}};
        store_.put(StorePut{path_, value.dump(), std::nullopt}, [this](const StoreReply &reply) {
            if (reply.status != StoreStatus::Ok)
                nextRefresh_ = clock_.now() + retryAfter;
        });
    }
    if (now >= nextList_) {
        // Spread, as all instances may have started in the same second.
        const auto spread = static_cast<std::int64_t>(random_() % 5000);
        nextList_ = now + (lists_++ == 0 ? firstList : refreshEvery + Millis(spread));
        store_.list(prefix, [this](const StoreReply &reply) { listed(reply); });
    }
}

void InstanceRegistry::listed(const StoreReply &reply)
{
    const Millis now = clock_.now();
    if (reply.status != StoreStatus::Ok) {
        nextList_ = now + retryAfter;
        return;
    }
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
