#include "ports/testing/FakeObjectStore.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

StoreReply withStatus(StoreStatus status, ObjectVersion version = 0)
{
    StoreReply reply;
    reply.status = status;
    reply.version = version;
    return reply;
}

} // namespace

ObjectStore FakeObjectStore::port(const FakeProcessPtr &process)
{
    ObjectStore store;
    store.get = [this, process](const std::string &path, const StoreCompletion &done) {
        call(
            process, "get", path,
            [this, process, path] {
                ++counts_.gets;
                return read(stateFor(process->name()), path);
            },
            done);
    };
    store.list = [this, process](const std::string &prefix, const StoreCompletion &done) {
        call(
            process, "list", prefix,
            [this, process, prefix] {
                ++counts_.lists;
                return list(stateFor(process->name()), prefix, 0);
            },
            done);
    };
    store.put = [this, process](const StorePut &request, const StoreCompletion &done) {
        call(
            process, "put", request.path,
            [this, process, request] {
                ++counts_.puts;
                return put(process->name(), request);
            },
            done);
    };
    store.remove = [this, process](const std::string &path, std::optional<ObjectVersion> expected,
                                   const StoreCompletion &done) {
        call(
            process, "remove", path,
            [this, path, expected] {
                ++counts_.removes;
                return remove(path, expected);
            },
            done);
    };
    store.watch = [this, process](const std::string &prefix, ObjectVersion after, Millis wait,
                                  const StoreCompletion &done) {
        watch(process, prefix, after, wait, done);
    };
    return store;
}

void FakeObjectStore::call(const FakeProcessPtr &process, const std::string &operation,
                           const std::string &subject, const std::function<StoreReply()> &effect,
                           const StoreCompletion &done)
{
    FakeCall fakeCall;
    fakeCall.endpoint = endpoint;
    fakeCall.operation = operation;
    fakeCall.subject = subject;
    fakeCall.effect = [this, effect, done, name = process->name()](const FakeCall::Answer &answer) {
        answer([this, reply = effect(), done, name] {
            knownEra_[name] = std::max(knownEra_[name], eraOf(reply.version));
            done(reply);
        });
    };
    fakeCall.refused = [done] { done(withStatus(StoreStatus::Unavailable)); };
    fakeCall.unanswered = [done] { done(withStatus(StoreStatus::Unknown)); };
    network_.call(process, std::move(fakeCall));
}

FakeObjectStore::Objects FakeObjectStore::stateFor(const std::string &process) const
{
    const auto lag = readLag_.find(process);
    if (lag == readLag_.end() || lag->second == Millis(0))
        return objects_;
    const Millis seenUntil = network_.scheduler().now() - lag->second;
    Objects past;
    for (std::size_t i = 0; i < history_.size() && historyTimes_[i] <= seenUntil; ++i) {
        if (history_[i].removed)
            past.erase(history_[i].path);
        else
            past[history_[i].path] = history_[i];
    }
    return past;
}

StoreReply FakeObjectStore::read(const Objects &objects, const std::string &path) const
{
    const auto found = objects.find(path);
    if (found == objects.end())
        return withStatus(StoreStatus::NotFound, revision_);
    StoreReply reply = withStatus(StoreStatus::Ok, revision_);
    reply.objects.push_back(found->second);
    return reply;
}

StoreReply FakeObjectStore::list(const Objects &objects, const std::string &prefix,
                                 ObjectVersion after) const
{
    StoreReply reply = withStatus(StoreStatus::Ok, revision_);
    for (const auto &[path, object] : objects) {
        if (startsWith(path, prefix) && object.version > after)
            reply.objects.push_back(object);
    }
    return reply;
}

StoreReply FakeObjectStore::put(const std::string &process, const StorePut &put)
{
    const auto found = objects_.find(put.path);
    const ObjectVersion current = found == objects_.end() ? 0 : found->second.version;
    const bool isConditional = put.expected && *put.expected != 0;
    // Who has not met the new era sends a condition on a revision that may be met by chance.
    const bool isOfOldEra = isConditional && eraOf(*put.expected) != eraOf(revision_);
    const bool isMetByChance = isOfOldEra && knownEra_[process] == eraOf(*put.expected)
        && revisionOf(*put.expected) == revisionOf(current);
    if (put.expected && *put.expected != current && !isMetByChance)
        return withStatus(StoreStatus::Conflict, std::max(current, versionIn(eraOf(revision_), 0)));
    const ObjectVersion written = write(put.path, put.value);
    return isMetByChance ? withStatus(StoreStatus::Unknown, written)
                         : withStatus(StoreStatus::Ok, written);
}

void FakeObjectStore::restore(Millis age)
{
    const StoreEra era = eraOf(revision_) + 1;
    const Millis seenUntil = network_.scheduler().now() - age;
    const auto first = std::upper_bound(historyTimes_.begin(), historyTimes_.end(), seenUntil);
    const auto kept = static_cast<std::size_t>(first - historyTimes_.begin());
    history_.resize(kept);
    historyTimes_.resize(kept);
    objects_.clear();
    std::uint64_t revision = 0;
    for (StoreObject &object : history_) {
        revision = revisionOf(object.version);
        object.version = versionIn(era, revision);
        if (object.removed)
            objects_.erase(object.path);
        else
            objects_[object.path] = object;
    }
    revision_ = versionIn(era, revision);
    droppedThrough_ = revision_;
    for (const auto &[number, watch] : std::exchange(watches_, {}))
        watch.answer(withStatus(StoreStatus::NotFound, revision_));
}

ObjectVersion FakeObjectStore::write(const std::string &path, const std::string &value)
{
    StoreObject object;
    object.path = path;
    object.value = value;
    object.version = ++revision_;
    objects_[path] = object;
    applied(object);
    return object.version;
}

StoreReply FakeObjectStore::remove(const std::string &path, std::optional<ObjectVersion> expected)
{
    const auto found = objects_.find(path);
    if (found == objects_.end())
        return withStatus(StoreStatus::NotFound, revision_);
    if (expected && *expected != found->second.version)
        return withStatus(StoreStatus::Conflict, found->second.version);
    StoreObject removed = found->second;
    removed.removed = true;
    removed.value.clear();
    removed.version = ++revision_;
    objects_.erase(found);
    applied(removed);
    return withStatus(StoreStatus::Ok, removed.version);
}

void FakeObjectStore::applied(const StoreObject &object)
{
    history_.push_back(object);
    historyTimes_.push_back(network_.scheduler().now());
    for (auto it = watches_.begin(); it != watches_.end();) {
        if (!startsWith(object.path, it->second.prefix)) {
            ++it;
            continue;
        }
        const Watch watch = it->second;
        it = watches_.erase(it);
        watch.answer(changesSince(watch.prefix, watch.after));
    }
}

StoreReply FakeObjectStore::changesSince(const std::string &prefix, ObjectVersion after) const
{
    std::map<std::string, StoreObject> latest;
    for (const StoreObject &object : history_) {
        if (startsWith(object.path, prefix) && object.version > after)
            latest[object.path] = object;
    }
    StoreReply reply = withStatus(StoreStatus::Ok, revision_);
    for (const auto &[path, object] : latest)
        reply.objects.push_back(object);
    return reply;
}

void FakeObjectStore::watch(const FakeProcessPtr &process, const std::string &prefix,
                            ObjectVersion after, Millis wait, const StoreCompletion &done)
{
    FakeCall fakeCall;
    fakeCall.endpoint = endpoint;
    fakeCall.operation = "watch";
    fakeCall.subject = prefix;
    fakeCall.extraWait = wait;
    fakeCall.refused = [done] { done(withStatus(StoreStatus::Unavailable)); };
    fakeCall.unanswered = [done] { done(withStatus(StoreStatus::Unknown)); };
    fakeCall.effect = [this, prefix, after, wait, done](const FakeCall::Answer &answer) {
        ++counts_.watches;
        const auto reply = [answer, done](const StoreReply &result) {
            answer([done, result] { done(result); });
        };
        if (after < droppedThrough_) {
            reply(withStatus(StoreStatus::NotFound, revision_));
            return;
        }
        const StoreReply changes = changesSince(prefix, after);
        if (!changes.objects.empty()) {
            reply(changes);
            return;
        }
        const std::uint64_t number = watchCount_++;
        watches_[number] = Watch{prefix, after, reply};
        network_.scheduler().after(wait, [this, number] {
            const auto found = watches_.find(number);
            if (found == watches_.end())
                return;
            const Watch watch = found->second;
            watches_.erase(found);
            watch.answer(withStatus(StoreStatus::Ok, revision_));
        });
    };
    network_.call(process, std::move(fakeCall));
}

std::string FakeObjectStore::value(const std::string &path) const
{
    const auto found = objects_.find(path);
    return found == objects_.end() ? std::string() : found->second.value;
}

} // namespace cuminrail
