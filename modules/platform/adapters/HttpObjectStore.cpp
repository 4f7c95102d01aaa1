#include "platform/adapters/HttpObjectStore.h"

#include "platform/client/Replies.h"

namespace cuminrail {

namespace {

PlatformCompletion reading(StoreCompletion done)
{
    return [done = std::move(done)](const PlatformAnswer &answer) {
        done(detail::toReadReply(answer));
    };
}

PlatformCompletion writing(StoreCompletion done)
{
    return [done = std::move(done)](const PlatformAnswer &answer) {
        done(detail::toWriteReply(answer));
    };
}

std::string objectTarget(const std::string &path)
{
    return "/objects/" + percentEncoded(path);
}

PlatformCall makeCall(PlatformCallKind kind, const std::string &address, std::string method,
                      std::string target)
{
    PlatformCall call;
    call.kind = kind;
    call.address = address;
    call.method = std::move(method);
    call.target = std::move(target);
    return call;
}

} // namespace

ObjectStore makeHttpObjectStore(PlatformClient &client, const std::string &address)
{
    ObjectStore store;
    store.get = [&client, address](const std::string &path, StoreCompletion done) {
        client.call(makeCall(PlatformCallKind::Get, address, "GET", objectTarget(path)),
                    reading(std::move(done)));
    };
    store.list = [&client, address](const std::string &prefix, StoreCompletion done) {
        client.call(makeCall(PlatformCallKind::List, address, "GET",
                             "/list?prefix=" + percentEncoded(prefix)),
                    reading(std::move(done)));
    };
    store.put = [&client, address](const StorePut &put, StoreCompletion done) {
        PlatformCall call = makeCall(PlatformCallKind::Put, address, "PUT", objectTarget(put.path));
        call.body = put.value;
        call.condition = put.expected;
        client.call(call, writing(std::move(done)));
    };
    store.remove = [&client, address](const std::string &path,
                                      std::optional<ObjectVersion> expected, StoreCompletion done) {
        PlatformCall call =
            makeCall(PlatformCallKind::Remove, address, "DELETE", objectTarget(path));
        call.condition = expected;
        client.call(call, writing(std::move(done)));
    };
    store.watch = [&client, address](const std::string &prefix, ObjectVersion after, Millis wait,
                                     StoreCompletion done) {
        PlatformCall call =
            makeCall(PlatformCallKind::Watch, address, "GET",
                     "/watch?prefix=" + percentEncoded(prefix) + "&after=" + std::to_string(after)
                         + "&wait_ms=" + std::to_string(wait.count()));
        call.extraWait = wait;
        client.call(call, reading(std::move(done)));
    };
    return store;
}

} // namespace cuminrail
