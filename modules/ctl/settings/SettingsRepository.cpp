#include "ctl/settings/SettingsRepository.h"

#include "identity/keys/KeyHash.h"
#include "runtime/time/BootClock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace cuminrail {

namespace {

constexpr int maxAttempts = 4;

std::string contentHash(const std::string &text)
{
    return KeyHash::of(text).toHex();
}

bool isReferenced(const SettingsHead &head, const std::string &hash)
{
    return std::any_of(head.subtrees.begin(), head.subtrees.end(),
                       [&hash](const auto &entry) { return entry.second == hash; });
}

} // namespace

std::string canonicalSubtree(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_discarded() ? text : json.dump();
}

SettingsRepository::SettingsRepository(ControlLoop &loop, ObjectStore store, RandomHook random)
    : loop_(loop), store_(std::move(store)), random_(std::move(random))
{ }

StoreReply SettingsRepository::get(const std::string &path)
{
    return loop_.await<StoreReply>([&](StoreCompletion done) { store_.get(path, done); });
}

StoreReply SettingsRepository::put(const StorePut &put)
{
    return loop_.await<StoreReply>([&](StoreCompletion done) { store_.put(put, done); });
}

std::optional<StoredSettings> SettingsRepository::load(Reason *lastReason)
{
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        StoredSettings stored;
        const StoreReply reply = get(kSettingsHeadPath);
        if (reply.status == StoreStatus::NotFound)
            return stored;
        if (reply.status != StoreStatus::Ok) {
            fail(lastReason, "platform", reply.lastReason.toString());
            continue;
        }
        const auto head = SettingsHead::fromText(reply.objects.front().value, lastReason);
        if (!head)
            return std::nullopt;
        stored.head = *head;
        stored.headVersion = reply.objects.front().version;
        // A content may have been removed because the head was replaced meanwhile: read it again.
        if (loadContents(stored, lastReason))
            return stored;
    }
    return std::nullopt;
}

bool SettingsRepository::loadContents(StoredSettings &stored, Reason *lastReason)
{
    for (const auto &[name, hash] : stored.head.subtrees) {
        const StoreReply reply = get(settingsContentPath(hash));
        if (reply.status != StoreStatus::Ok)
            return fail(lastReason, "platform: " + name, reply.lastReason.toString());
        const std::string &text = reply.objects.front().value;
        if (contentHash(text) != hash)
            return fail(lastReason, "platform: " + name, "the content does not match its hash");
        stored.subtrees[name] = text;
    }
    return true;
}

std::string SettingsRepository::makeToken()
{
    return std::to_string(random_()) + "-" + std::to_string(random_());
}

CommitResult SettingsRepository::commit(const StoredSettings &base, const SettingsSubtrees &wanted)
{
    SettingsHead head;
    head.generation = base.head.generation + 1;
    head.token = makeToken();
    for (const auto &[name, text] : wanted)
        head.subtrees[name] = contentHash(text);
    CommitResult result;
    result.status = CommitStatus::Unavailable;
    result.generation = base.head.generation;
    const Millis startedAt = bootTime();
    if (!writeContents(base, head, wanted, &result.lastReason))
        return result;
    if (bootTime() - startedAt > commitLimit) {
        // Pruning may already treat contents that were written this long ago as abandoned.
        result.lastReason = {"platform",
                             "writing the contents exceeded the time limit of a commit"};
        return result;
    }
    return writeHead(base, head);
}

bool SettingsRepository::writeContents(const StoredSettings &base, const SettingsHead &head,
                                       const SettingsSubtrees &wanted, Reason *lastReason)
{
    for (const auto &[name, hash] : head.subtrees) {
        if (isReferenced(base.head, hash))
            continue;
        // Written even if it exists: its new version prevents concurrent pruning from removing it.
        const StorePut content{settingsContentPath(hash), wanted.at(name), std::nullopt};
        StoreReply reply;
        for (int attempt = 0; attempt < maxAttempts && reply.status != StoreStatus::Ok; ++attempt)
            reply = put(content);
        if (reply.status != StoreStatus::Ok)
            return fail(lastReason, "platform: " + name, reply.lastReason.toString());
    }
    return true;
}

CommitResult SettingsRepository::writeHead(const StoredSettings &base, const SettingsHead &head)
{
    const StorePut write{kSettingsHeadPath, head.toText(), base.headVersion};
    bool isOutcomeUnknown = false;
    CommitResult result;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const StoreReply written = put(write);
        result.lastReason = written.lastReason;
        if (written.status == StoreStatus::Ok)
            return {CommitStatus::Committed, head.generation, written.version, {}};
        isOutcomeUnknown = isOutcomeUnknown || written.status == StoreStatus::Unknown;
        if (written.status != StoreStatus::Conflict)
            continue;
        const StoreReply present = get(kSettingsHeadPath);
        if (present.status != StoreStatus::Ok)
            continue;
        const StoreObject &object = present.objects.front();
        const auto found = SettingsHead::fromText(object.value, &result.lastReason);
        if (found && found->token == head.token)
            return {CommitStatus::Committed, head.generation, object.version, {}};
        return {CommitStatus::Conflict,
                found ? found->generation : 0,
                object.version,
                {kSettingsHeadPath,
                 "expected version " + std::to_string(base.headVersion) + ", found version "
                     + std::to_string(object.version)}};
    }
    result.status = isOutcomeUnknown ? CommitStatus::Unknown : CommitStatus::Unavailable;
    return result;
}

std::optional<std::vector<StoreObject>> SettingsRepository::unreferencedContents(Reason *lastReason)
{
    // The head is read after the list, so that contents referenced in between are not removed.
    const StoreReply list = loop_.await<StoreReply>(
        [&](StoreCompletion done) { store_.list(kSettingsContentPrefix, done); });
    const StoreReply head = get(kSettingsHeadPath);
    if (list.status != StoreStatus::Ok || head.status != StoreStatus::Ok) {
        fail(lastReason, "platform",
             (list.status != StoreStatus::Ok ? list : head).lastReason.toString());
        return std::nullopt;
    }
    const auto parsedHead = SettingsHead::fromText(head.objects.front().value, lastReason);
    if (!parsedHead)
        return std::nullopt;
    std::vector<StoreObject> unreferenced;
    const std::size_t prefix = std::string(kSettingsContentPrefix).size();
    for (const StoreObject &object : list.objects) {
        if (!isReferenced(*parsedHead, object.path.substr(prefix)))
            unreferenced.push_back(object);
    }
    return unreferenced;
}

PruneResult SettingsRepository::prune(const std::function<void(Millis)> &wait)
{
    PruneResult result;
    const auto before = unreferencedContents(&result.lastReason);
    if (!before)
        return result;
    wait(pruneWait);
    const auto after = unreferencedContents(&result.lastReason);
    if (!after)
        return result;
    std::set<std::pair<std::string, ObjectVersion>> unchanged;
    for (const StoreObject &object : *before)
        unchanged.emplace(object.path, object.version);
    for (const StoreObject &object : *after) {
        const bool isAbandoned = unchanged.count({object.path, object.version}) > 0;
        const bool isRemoved = isAbandoned
            && loop_.await<StoreReply>([&](StoreCompletion done) {
                        store_.remove(object.path, object.version, done);
                    })
                    .status
                == StoreStatus::Ok;
        ++(isRemoved ? result.removed : result.kept);
    }
    result.isComplete = true;
    return result;
}

} // namespace cuminrail
