#include "standin/platform/StandinStore.h"

namespace cuminrail::standin {

namespace {

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

std::optional<StoreObject> StandinStore::get(const std::string &path, ObjectVersion at) const
{
    const auto found = histories_.find(path);
    if (found == histories_.end())
        return std::nullopt;
    const StoreObject *latest = nullptr;
    for (const StoreObject &object : found->second) {
        if (object.version <= at)
            latest = &object;
    }
    if (latest == nullptr || latest->removed)
        return std::nullopt;
    return *latest;
}

std::vector<StoreObject> StandinStore::list(const std::string &prefix, ObjectVersion at) const
{
    std::vector<StoreObject> objects;
    for (auto it = histories_.lower_bound(prefix); it != histories_.end(); ++it) {
        if (!startsWith(it->first, prefix))
            break;
        if (auto object = get(it->first, at))
            objects.push_back(std::move(*object));
    }
    return objects;
}

std::vector<StoreObject> StandinStore::changes(const std::string &prefix, ObjectVersion after) const
{
    std::vector<StoreObject> objects;
    for (auto it = histories_.lower_bound(prefix); it != histories_.end(); ++it) {
        if (!startsWith(it->first, prefix))
            break;
        if (it->second.back().version > after)
            objects.push_back(it->second.back());
    }
    return objects;
}

ObjectVersion StandinStore::versionOf(const std::string &path) const
{
    const auto object = get(path, revision_);
    return object ? object->version : 0;
}

StoreReply StandinStore::put(const StorePut &put)
{
    const ObjectVersion present = versionOf(put.path);
    if (put.expected && *put.expected != present)
        return {StoreStatus::Conflict, present, {}, {put.path, "has another version"}};
    histories_[put.path].push_back({put.path, put.value, ++revision_, false});
    return {StoreStatus::Ok, revision_, {}, {}};
}

StoreReply StandinStore::remove(const std::string &path, std::optional<ObjectVersion> expected)
{
    const ObjectVersion present = versionOf(path);
    if (expected && *expected != present)
        return {StoreStatus::Conflict, present, {}, {path, "has another version"}};
    if (present == 0)
        return {StoreStatus::NotFound, 0, {}, {path, "no such object"}};
    histories_[path].push_back({path, "", ++revision_, true});
    return {StoreStatus::Ok, revision_, {}, {}};
}

} // namespace cuminrail::standin
