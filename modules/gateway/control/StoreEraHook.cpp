#include "gateway/control/StoreEraHook.h"

#include <utility>

namespace cuminrail {

ObjectStore withEraHook(const ObjectStore &store, const std::function<void(StoreEra)> &onReply)
{
    const auto reporting = [onReply](StoreCompletion done) {
        return [onReply, done = std::move(done)](const StoreReply &reply) {
            onReply(eraOf(reply.version));
            done(reply);
        };
    };
    ObjectStore hooked;
    hooked.get = [store, reporting](const std::string &path, StoreCompletion done) {
        store.get(path, reporting(std::move(done)));
    };
    hooked.list = [store, reporting](const std::string &prefix, StoreCompletion done) {
        store.list(prefix, reporting(std::move(done)));
    };
    hooked.put = [store, reporting](const StorePut &put, StoreCompletion done) {
        store.put(put, reporting(std::move(done)));
    };
    hooked.remove = [store, reporting](const std::string &path,
                                       std::optional<ObjectVersion> expected,
                                       StoreCompletion done) {
        store.remove(path, expected, reporting(std::move(done)));
    };
    hooked.watch = [store, reporting](const std::string &prefix, ObjectVersion after, Millis wait,
                                      StoreCompletion done) {
        store.watch(prefix, after, wait, reporting(std::move(done)));
    };
    return hooked;
}

} // namespace cuminrail
